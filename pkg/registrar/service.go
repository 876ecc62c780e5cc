package registrar

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/member"
	"almondrock.example/almondrock/pkg/metrics"
	"almondrock.example/almondrock/pkg/raft"
	"almondrock.example/almondrock/pkg/registry"
	"almondrock.example/almondrock/pkg/replication"
	"almondrock.example/almondrock/pkg/rpc"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Methods of calls between hosts.
const (
	methodForward = "Registry.Forward"
	methodRead    = "Registry.Read"
	methodJoin    = "Registry.Join"
	methodLoads   = "Registry.KeyLoads"
	// MethodWatch serves views to entry hosts.
	MethodWatch = "Registry.Watch"
)

const (
	// watchHold is how long a call for a view waits for a change.
	watchHold = 400 * time.Millisecond
	// watcherSilence is how long after its last call an entry host counts as present.
	watcherSilence = 8 * time.Second
	// lagAllowed is how long this host may lack committed entries and still count as current: a few round trips between
	// regions.
	lagAllowed = 200 * time.Millisecond
	// beatMemory is the number of announcements whose order is remembered.
	beatMemory = 16384
	// orderTimeout bounds an order of a caller; callers turn to another host after a second.
	orderTimeout = 900 * time.Millisecond
)

func (r *Registrar) register() {
	rpc.Register(r.server, methodForward, r.handleForward)
	rpc.Register(r.server, methodRead, r.handleRead)
	rpc.Register(r.server, methodJoin, r.handleJoin)
	rpc.Register(r.server, methodLoads, r.handleLoads)
	rpc.Register(r.server, MethodWatch, r.handleWatch)
	rpc.Register(r.server, member.MethodStep, r.handleStep)
}

func (r *Registrar) handleStep(_ context.Context, batch *schemav1.RaftBatch) (*schemav1.RaftBatchResponse, error) {
	replica := r.member()
	if replica == nil {
		return nil, merry.Wrap(ErrNotJoined)
	}
	return &schemav1.RaftBatchResponse{}, replica.Step(batch)
}

func (r *Registrar) handleForward(ctx context.Context, request *schemav1.RegistryForward) (*schemav1.RegistryForwarded, error) {
	replica := r.member()
	if replica == nil {
		return nil, merry.Wrap(ErrNotJoined)
	}
	if replica.Status().Role != raft.Leader {
		return nil, merry.Wrap(ErrNoLeader)
	}
	result, err := proposeTo(ctx, replica, request.GetCommand())
	return &schemav1.RegistryForwarded{Result: result}, err
}

func (r *Registrar) handleRead(ctx context.Context, request *schemav1.RoutesRead) (*schemav1.RoutesReadAnswer, error) {
	replica := r.member()
	if replica == nil {
		return nil, merry.Wrap(ErrNotJoined)
	}
	if err := replica.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	newest := r.state.Routes()
	if newest != nil && newest.GetRevision() == request.GetHeld() {
		newest = &schemav1.RouteDocument{Revision: newest.GetRevision()}
	}
	return &schemav1.RoutesReadAnswer{Routes: newest}, nil
}

func (r *Registrar) handleJoin(ctx context.Context, request *schemav1.MemberJoin) (*schemav1.MemberJoinAnswer, error) {
	replica := r.member()
	if replica == nil {
		return nil, merry.Wrap(ErrNotJoined)
	}
	status := replica.Status()
	if status.Role != raft.Leader {
		return &schemav1.MemberJoinAnswer{LeaderAddress: status.LeaderAddress}, nil
	}
	for _, m := range status.Members {
		if m.ID == request.GetId() {
			return &schemav1.MemberJoinAnswer{Added: true}, nil
		}
	}
	if err := replica.AddLearner(ctx, request.GetId(), request.GetHost().GetPeerAddress()); err != nil {
		return nil, err
	}
	klog.InfoS("learner added", "id", request.GetId(), "address", request.GetHost().GetPeerAddress())
	return &schemav1.MemberJoinAnswer{Added: true}, nil
}

// watchers are the entry hosts that ask this host for views.
type watchers struct {
	mu   sync.Mutex
	seen map[string]time.Time
}

func (w *watchers) note(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.seen == nil {
		w.seen = map[string]time.Time{}
	}
	w.seen[name] = time.Now()
}

// silent removes and returns the hosts that have not asked for long.
func (w *watchers) silent() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var names []string
	for name, at := range w.seen {
		if time.Since(at) > watcherSilence {
			names = append(names, name)
			delete(w.seen, name)
		}
	}
	return names
}

// dropWatchers removes entry hosts that went silent here. One that asks elsewhere is added again at its next call.
func (r *Registrar) dropWatchers() {
	for _, name := range r.watchers.silent() {
		r.tasks.Go(func() {
			if _, err := r.order(r.ctx, &schemav1.RegistryCommand{EntryLeft: name}); err != nil {
				klog.InfoS("entry host not removed", "entry", name, "err", err)
			}
		})
	}
}

// handleWatch answers with what changed since the caller's version, after waiting for a change.
func (r *Registrar) handleWatch(ctx context.Context, request *schemav1.ViewHello) (*schemav1.ViewUpdate, error) {
	r.watchers.note(request.GetEntry().GetName())
	r.keyLoads.add(request.GetKeyLoads())
	r.addEntry(request.GetEntry())
	deadline := time.NewTimer(watchHold)
	defer deadline.Stop()
	for {
		changed := r.state.Changed()
		// A host that lags behind the caller has nothing to tell until it has caught up.
		if r.state.Version() > request.GetVersion() {
			break
		}
		select {
		case <-changed:
			continue
		case <-deadline.C:
		case <-ctx.Done():
		}
		break
	}
	replica := r.member()
	known := replica != nil && r.isCurrent(replica.Status())
	if r.state.Version() <= request.GetVersion() {
		return &schemav1.ViewUpdate{Version: request.GetVersion(), LeaderKnown: known}, nil
	}
	update := r.state.UpdateSince(request.GetVersion())
	update.LeaderKnown = known
	return update, nil
}

// isCurrent reports whether this host has all that its leader has told to be committed, apart from what came in the last
// moments. A host that was away has a leader again long before it has caught up.
func (r *Registrar) isCurrent(status replication.Status) bool {
	now := time.Now().UnixNano()
	if status.LeaderID != 0 && status.AppliedIndex >= status.LeaderCommitIndex {
		r.currentAt.Store(now)
		return true
	}
	return status.LeaderID != 0 && time.Duration(now-r.currentAt.Load()) < lagAllowed
}

func (r *Registrar) addEntry(entry *schemav1.EntryHost) {
	for _, known := range r.state.EntryHosts() {
		if known.GetName() == entry.GetName() && proto.Equal(known, entry) {
			return
		}
	}
	r.tasks.Go(func() {
		if _, err := r.order(r.ctx, &schemav1.RegistryCommand{EntryJoined: entry}); err != nil {
			klog.V(1).InfoS("entry host not added", "entry", entry.GetName(), "err", err)
		}
	})
}

// order proposes until an outcome is certain or the time is over.
func (r *Registrar) order(ctx context.Context, command *schemav1.RegistryCommand) (*schemav1.RegistryResult, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	began := time.Now()
	for {
		result, err := r.Propose(ctx, command)
		if err == nil {
			r.note("committed", began)
			return result, nil
		}
		select {
		case <-ctx.Done():
			r.note("failed", began)
			return nil, err
		case <-time.After(retryPause):
		}
	}
}

// note counts one order and the time until its outcome.
func (r *Registrar) note(result string, began time.Time) {
	scope := r.metrics.Scope.Tagged(map[string]string{metrics.TagResult: result})
	scope.Histogram(metrics.OrderSeconds, orderSeconds).RecordDuration(time.Since(began))
}

// orderSeconds are the buckets of order times, from one sync to the time after which callers turn to another host.
var orderSeconds = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 10)

// beats remembers the order of announcements.
type beats struct {
	mu   sync.Mutex
	last map[string]beat
}

type beat struct {
	started  int64
	sequence uint64
}

// isLate reports whether a later announcement of the same start was already taken.
func (b *beats) isLate(target *schemav1.Registration, sequence uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.last == nil || len(b.last) > beatMemory {
		b.last = map[string]beat{}
	}
	last, ok := b.last[target.GetId()]
	if ok && last.started == target.GetStartedUnixMs() && sequence < last.sequence {
		return true
	}
	b.last[target.GetId()] = beat{target.GetStartedUnixMs(), sequence}
	return false
}

// Announce takes an announcement. When it returns without an error, what the target said of its life binds everywhere.
// next is the address for later announcements, or empty.
func (r *Registrar) Announce(ctx context.Context, target *schemav1.Registration, sequence uint64) (next string, err error) {
	configuration := r.Configuration()
	if configuration == nil {
		return "", merry.Wrap(ErrNoConfiguration)
	}
	if _, ok := configuration.Services[target.GetService()]; !ok {
		return "", merry.Wrap(ErrUnknownService)
	}
	known, _ := r.state.Target(target.GetId())
	late := r.beats.isLate(target, sequence)
	if !late && registry.Supersedes(known, target) {
		result, err := r.order(ctx, &schemav1.RegistryCommand{Registration: target})
		if err != nil {
			klog.InfoS("announcement not committed", "target", target.GetId(), "life", target.GetLife(), "err", err)
			return "", err
		}
		klog.InfoS("announcement committed", "target", target.GetId(), "service", target.GetService(), "address", target.GetAddress(),
			"started", target.GetStartedUnixMs(), "life", target.GetLife(), "cold", target.GetCold(), "sequence", sequence,
			"applied", result.GetApplied())
	}
	return r.nearest(target.GetDataCentre()), nil
}

// nearest returns the address for announcements in a data centre, or empty if this host is as near as any.
func (r *Registrar) nearest(dataCentre string) string {
	if dataCentre == r.options.DataCentre {
		return ""
	}
	replica := r.member()
	if replica == nil {
		return ""
	}
	for _, host := range r.state.RegistryHosts() {
		if host.GetDataCentre() == dataCentre {
			return host.GetAnnounceAddress()
		}
	}
	return ""
}

// RemoveTarget takes the word that a target is gone. started is 0 when the target did not say which start it means.
func (r *Registrar) RemoveTarget(ctx context.Context, id string, started int64) error {
	_, err := r.order(ctx, &schemav1.RegistryCommand{ForgetTarget: &schemav1.Registration{Id: id, StartedUnixMs: started}})
	klog.InfoS("target left", "target", id, "started", started, "err", err)
	return err
}

// SubmitConfiguration puts a configuration in force, unless one with the same or a higher revision is.
func (r *Registrar) SubmitConfiguration(ctx context.Context, document *schemav1.RouteDocument) error {
	result, err := r.order(ctx, &schemav1.RegistryCommand{Routes: document})
	klog.InfoS("configuration submitted", "revision", document.GetRevision(), "bytes", len(document.GetBody()),
		"applied", result.GetApplied(), "err", err)
	return err
}

// ReadConfiguration returns the newest configuration of the whole deployment.
func (r *Registrar) ReadConfiguration(ctx context.Context) (*schemav1.RouteDocument, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	for {
		document, err := r.readRoutes(ctx)
		if err == nil {
			return document, nil
		}
		select {
		case <-ctx.Done():
			klog.InfoS("configuration not read", "err", err)
			return nil, err
		case <-time.After(retryPause):
		}
	}
}

func (r *Registrar) readRoutes(ctx context.Context) (*schemav1.RouteDocument, error) {
	replica := r.member()
	if replica == nil {
		return nil, merry.Wrap(ErrNotJoined)
	}
	status := replica.Status()
	if status.Role == raft.Leader {
		if err := replica.ReadBarrier(ctx); err != nil {
			return nil, err
		}
		return r.state.Routes(), nil
	}
	if status.LeaderAddress == "" {
		return nil, merry.Wrap(ErrNoLeader)
	}
	held := r.state.Routes()
	answer := &schemav1.RoutesReadAnswer{}
	if err := r.client.Call(ctx, status.LeaderAddress, methodRead, &schemav1.RoutesRead{Held: held.GetRevision()}, answer); err != nil {
		return nil, err
	}
	if held != nil && answer.GetRoutes().GetRevision() == held.GetRevision() {
		return held, nil
	}
	return answer.GetRoutes(), nil
}

// SetEvacuated takes a data centre out of service or back.
func (r *Registrar) SetEvacuated(ctx context.Context, dataCentre string, out bool) error {
	_, err := r.order(ctx, &schemav1.RegistryCommand{Evacuation: &schemav1.EvacuationChange{DataCentre: dataCentre, Out: out}})
	klog.InfoS("evacuation ordered", "dataCentre", dataCentre, "out", out, "err", err)
	return err
}
