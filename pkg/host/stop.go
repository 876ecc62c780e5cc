package host

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/httpserver"
	"almondrock.example/almondrock/pkg/internal/monotonic"
	"almondrock.example/almondrock/pkg/raft"
	"almondrock.example/almondrock/pkg/replication"
)

const (
	// balancerDelay gives the platform's load balancer time to see that the host is not ready before it refuses connections.
	balancerDelay = 300 * time.Millisecond
	// handoverTimeout limits the wait for other hosts to take over attachments and leadership.
	handoverTimeout = 5 * time.Second
)

// serve runs an HTTP server in the background until Stop or Kill.
func (h *Host) serve(server *httpserver.Server, listener net.Listener) {
	h.httpServers = append(h.httpServers, server)
	h.tasks.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "HTTP server stopped", "address", listener.Addr())
		}
	})
}

// Stop performs a planned stop: the host reports that it is not ready, hands over attachments and leadership, waits until
// ctx ends for requests in flight, and stops. It returns the error of ctx when requests in flight were cut off.
func (h *Host) Stop(ctx context.Context) error {
	h.draining.Store(true)
	klog.InfoS("planned stop started", "host", h.settings.GetName())
	monotonic.Sleep(ctx, balancerDelay)
	if h.options.Handover {
		h.handOver(ctx)
	}
	err := h.shutdownHTTP(ctx)
	h.Kill()
	return err
}

// handOver transfers the leadership and waits until no target is attached to this host and it leads no group that another
// member could lead, for handoverTimeout at most.
func (h *Host) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for monotonic.Sleep(ctx, leaderStepInterval) {
		g := h.group.Load()
		if g == nil {
			return
		}
		if len(g.table.TargetsAttachedTo(h.settings.GetName())) > 0 {
			continue
		}
		if !h.transferLeadership(ctx, g) {
			return
		}
	}
	klog.InfoS("handover did not finish in time", "host", h.settings.GetName())
}

// transferLeadership transfers the leadership of the data centre group and the control group. It reports whether this host
// leads a group that another voter could lead.
func (h *Host) transferLeadership(ctx context.Context, g *group) bool {
	replicas := []*replication.Replica{g.replica}
	if control, _ := h.control.replicaAndService(); control != nil {
		replicas = append(replicas, control)
	}
	leading := false
	for _, replica := range replicas {
		status := replica.Status()
		if status.Role != raft.Leader {
			continue
		}
		for _, member := range status.Members {
			if member.Learner || member.ID == status.ID || member.SinceLastResponse > time.Second {
				continue
			}
			leading = true
			// The loop in handOver retries a failed transfer.
			_ = replica.TransferLeadership(ctx, member.ID)
			break
		}
	}
	return leading
}

// shutdownHTTP refuses new connections and waits for requests in flight.
func (h *Host) shutdownHTTP(ctx context.Context) error {
	var wait sync.WaitGroup
	results := make([]error, len(h.httpServers))
	for i, server := range h.httpServers {
		wait.Go(func() { results[i] = server.Shutdown(ctx) })
	}
	wait.Wait()
	return errors.Join(results...)
}

// Kill stops the host at once. It closes all connections and hands nothing over.
func (h *Host) Kill() {
	h.cancel()
	for _, server := range h.httpServers {
		server.Close()
	}
	h.listeners.Close()
	if h.server != nil {
		h.server.Close()
	}
	if h.manager != nil {
		h.manager.Close()
	}
	h.client.Close()
	if g := h.group.Load(); g != nil {
		g.replica.Stop()
	}
	h.tasks.Wait()
	h.control.close()
	h.metrics.Close()
}
