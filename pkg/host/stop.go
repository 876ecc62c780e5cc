package host

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/raft"
	"almondrock.example/almondrock/pkg/replication"
)

const (
	// balancerDelay lets the platform's balancer see that the host is not ready before it refuses connections.
	balancerDelay = 300 * time.Millisecond
	// handoverTimeout bounds the wait for other hosts to take over attachments and leadership.
	handoverTimeout = 5 * time.Second
)

// serve runs an HTTP server until Stop.
func (h *Host) serve(server *http.Server, listener net.Listener) {
	h.https = append(h.https, server)
	h.tasks.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "HTTP server stopped", "address", listener.Addr())
		}
	})
}

// Stop is the planned stop: the host stops being ready, hands over attachments and leadership, lets work in flight
// finish until ctx ends, and leaves. It returns ctx's error when work in flight was cut off.
func (h *Host) Stop(ctx context.Context) error {
	h.draining.Store(true)
	klog.InfoS("planned stop", "host", h.settings.GetName())
	pause(ctx, balancerDelay)
	if h.options.Handover {
		h.handOver(ctx)
	}
	err := h.shutdownHTTP(ctx)
	h.Kill()
	return err
}

// handOver waits until no target is attached to this host and it leads no group, or until nobody can take over.
func (h *Host) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for pause(ctx, leaderStep) {
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

// transferLeadership passes on the leadership of both groups. It reports whether this host still leads one that
// another voter could lead.
func (h *Host) transferLeadership(ctx context.Context, g *group) bool {
	replicas := []*replication.Replica{g.replica}
	if control, _ := h.control.parts(); control != nil {
		replicas = append(replicas, control)
	}
	still := false
	for _, replica := range replicas {
		status := replica.Status()
		if status.Role != raft.Leader {
			continue
		}
		for _, member := range status.Members {
			if member.Learner || member.ID == status.ID || member.SinceLastResponse > time.Second {
				continue
			}
			still = true
			// A transfer that fails is tried again with the next step of the loop.
			_ = replica.TransferLeadership(ctx, member.ID)
			break
		}
	}
	return still
}

// shutdownHTTP refuses new connections and waits for requests in flight.
func (h *Host) shutdownHTTP(ctx context.Context) error {
	var wait sync.WaitGroup
	results := make([]error, len(h.https))
	for i, server := range h.https {
		wait.Go(func() { results[i] = server.Shutdown(ctx) })
	}
	wait.Wait()
	return errors.Join(results...)
}

// Kill stops at once: connections are cut and nothing is handed over.
func (h *Host) Kill() {
	h.cancel()
	for _, server := range h.https {
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
