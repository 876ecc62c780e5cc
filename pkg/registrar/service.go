package registrar

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/internal/monotonic"
	"almondrock.example/almondrock/pkg/member"
	"almondrock.example/almondrock/pkg/metrics"
	"almondrock.example/almondrock/pkg/raft"
	"almondrock.example/almondrock/pkg/registry"
	"almondrock.example/almondrock/pkg/replication"
	"almondrock.example/almondrock/pkg/rpc"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Names of the RPC methods between hosts.
const (
	methodForward  = "Registry.Forward"
	methodRead     = "Registry.Read"
	methodCurrent  = "Registry.Current"
	methodJoin     = "Registry.Join"
	methodKeyLoads = "Registry.KeyLoads"
	methodWatching = "Registry.Watching"
	// MethodWatch is the method by which entry hosts get updates of their view.
	MethodWatch = "Registry.Watch"
	// MethodAnnounce is the method by which entry hosts pass on announcements of targets.
	MethodAnnounce = "Registry.Announce"
	// MethodQuota is the method by which entry hosts get leases of the rates of tenants.
	MethodQuota = "Registry.Quota"
)

const (
	// watchTimeout is how long a watch call waits for a change.
	watchTimeout = 400 * time.Millisecond
	// updateIntervalPerWatcher bounds the updates of all entry hosts of this host to 500 a second, which take about 15 % of a core.
	updateIntervalPerWatcher = 2 * time.Millisecond
	// maxUpdateInterval is far below the times within which a change must be in force on all hosts.
	maxUpdateInterval = 400 * time.Millisecond
	// watcherTimeout is how long after its last watch call an entry host stays in the registry.
	watcherTimeout = 8 * time.Second
	// maxUnknownChecks is how often a silent entry host is kept because a registry host, through which it may watch, does not answer. A
	// registry host that is away for longer may never return.
	maxUnknownChecks = 3
	// adoptInterval is how often the leader asks for entry hosts that have not called it. With maxUnknownChecks, one that is cut off for up to
	// a minute together with its registry host stays in the registry.
	adoptInterval = 4 * watcherTimeout
	// proposalTimeout is the timeout of a proposal or read with its retries. Callers use another host after a second.
	proposalTimeout = 900 * time.Millisecond
)

func (r *Registrar) registerHandlers() {
	rpc.Register(r.server, methodForward, r.handleForward)
	rpc.Register(r.server, methodRead, r.handleRead)
	rpc.Register(r.server, methodCurrent, r.handleCurrent)
	rpc.Register(r.server, methodJoin, r.handleJoin)
	rpc.Register(r.server, methodKeyLoads, r.handleKeyLoads)
	rpc.Register(r.server, methodWatching, r.handleWatching)
	rpc.Register(r.server, MethodWatch, r.handleWatch)
	rpc.Register(r.server, MethodAnnounce, r.handleAnnounce)
	rpc.Register(r.server, MethodQuota, r.handleQuota)
	rpc.Register(r.server, MethodReportSuspects, r.handleReportSuspects)
	rpc.Register(r.server, member.MethodStep, r.handleStep)
}

func (r *Registrar) handleStep(_ context.Context, batch *schemav1.RaftBatch) (*schemav1.RaftBatchResponse, error) {
	replica := r.currentReplica()
	if replica == nil {
		return nil, merry.Wrap(ErrNotJoined)
	}
	return &schemav1.RaftBatchResponse{}, replica.Step(batch)
}

func (r *Registrar) handleForward(ctx context.Context, request *schemav1.RegistryForward) (*schemav1.RegistryForwarded, error) {
	replica := r.currentReplica()
	if replica == nil {
		return nil, merry.Wrap(ErrNotJoined)
	}
	if replica.Status().Role != raft.Leader {
		return nil, merry.Wrap(ErrNoLeader)
	}
	result, err := r.proposeTo(ctx, replica, request.GetCommand())
	return &schemav1.RegistryForwarded{Result: result}, err
}

func (r *Registrar) handleRead(ctx context.Context, request *schemav1.RoutesRead) (*schemav1.RoutesReadAnswer, error) {
	replica := r.currentReplica()
	if replica == nil {
		return nil, merry.Wrap(ErrNotJoined)
	}
	if err := r.completeState(ctx, replica); err != nil {
		return nil, err
	}
	newest := r.state.Routes()
	if newest != nil && newest.GetRevision() == request.GetHeld() {
		newest = &schemav1.RouteDocument{Revision: newest.GetRevision()}
	}
	return &schemav1.RoutesReadAnswer{Routes: newest}, nil
}

func (r *Registrar) handleJoin(ctx context.Context, request *schemav1.MemberJoin) (*schemav1.MemberJoinAnswer, error) {
	replica := r.currentReplica()
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

// watchers has the entry hosts that watch the registry through this host. The zero value is ready for use.
type watchers struct {
	mu     sync.Mutex
	byName map[string]*watcher
	// adopted has entry hosts that the leader looks for although they have not called this host.
	adopted map[string]*watcher
}

// watcher is an entry host that watches the registry.
type watcher struct {
	// seenAt is the time of its last watch call, updatedAt that of the last update that it got.
	seenAt, updatedAt time.Time
	// unknownChecks counts the checks in a row after which it was not known whether it watches elsewhere.
	unknownChecks int
	// adopted is set if it has not called this host.
	adopted bool
}

func (w *watchers) markSeen(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byName == nil {
		w.byName = map[string]*watcher{}
	}
	if w.byName[name] == nil {
		w.byName[name] = &watcher{}
	}
	w.byName[name].seenAt, w.byName[name].unknownChecks = time.Now(), 0
	delete(w.adopted, name)
}

// adopt takes over the entry hosts that do not watch through this host. Nobody else may ask for them: the registry host through which they
// watched may have restarted since, or may be gone.
func (w *watchers) adopt(names []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	adopted := map[string]*watcher{}
	for _, name := range names {
		switch {
		case w.byName[name] != nil:
		case w.adopted[name] != nil:
			adopted[name] = w.adopted[name]
		default:
			adopted[name] = &watcher{seenAt: time.Now(), adopted: true}
		}
	}
	w.adopted = adopted
}

// keepSilent keeps a silent entry host until the next check, because nothing could be found out about it or it could not be removed.
func (w *watchers) keepSilent(name string, known watcher) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byName[name] != nil {
		return
	}
	known.seenAt = time.Now()
	known.unknownChecks++
	if known.adopted {
		w.adopted[name] = &known
	} else {
		w.byName[name] = &known
	}
}

// isWatching reports whether an entry host has called within watcherTimeout.
func (w *watchers) isWatching(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.byName[name]
	return known != nil && known.unknownChecks == 0 && time.Since(known.seenAt) <= watcherTimeout
}

// reserveUpdate returns how long to wait before the next update is sent to an entry host, and counts it as sent then.
func (w *watchers) reserveUpdate(name string, now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.byName[name]
	if known == nil {
		return 0
	}
	pause := max(0, known.updatedAt.Add(updateInterval(len(w.byName))).Sub(now))
	known.updatedAt = now.Add(pause)
	return pause
}

// updateInterval returns the minimum time between two updates for the same entry host, of which this host serves count. Changes in
// between are sent together, because in a restart of thousands of targets a separate update for each change and entry host would take
// more than the whole processor.
func updateInterval(count int) time.Duration {
	return min(time.Duration(count)*updateIntervalPerWatcher, maxUpdateInterval)
}

// removeSilent removes and returns the entry hosts whose last call is more than watcherTimeout ago, and the adopted ones that are to be
// checked.
func (w *watchers) removeSilent() map[string]watcher {
	w.mu.Lock()
	defer w.mu.Unlock()
	silent := map[string]watcher{}
	collect := func(hosts map[string]*watcher, timeout time.Duration) {
		for name, known := range hosts {
			if time.Since(known.seenAt) > timeout {
				silent[name] = *known
				delete(hosts, name)
			}
		}
	}
	collect(w.adopted, adoptInterval)
	collect(w.byName, watcherTimeout)
	return silent
}

// removeSilentEntryHosts starts to remove entry hosts from the registry that no longer watch through this host, nor through another one.
func (r *Registrar) removeSilentEntryHosts() {
	silent := r.watchers.removeSilent()
	if len(silent) == 0 {
		return
	}
	r.start("remove entry hosts", func() {
		watching, complete := r.watchingElsewhere(slices.Sorted(maps.Keys(silent)))
		for name, known := range silent {
			switch {
			case watching[name]:
				continue
			case (known.adopted || !complete) && known.unknownChecks < maxUnknownChecks:
				klog.InfoS("entry host silent, may watch elsewhere", "entry", name, "adopted", known.adopted, "allAsked", complete, "checks", known.unknownChecks+1)
				r.watchers.keepSilent(name, known)
				continue
			}
			if _, err := r.proposeWithRetry(r.ctx, &schemav1.RegistryCommand{EntryLeft: name}); err != nil {
				klog.InfoS("entry host not removed", "entry", name, "err", err)
				r.watchers.keepSilent(name, known)
			}
		}
	})
}

// watchingElsewhere asks the other registry hosts, all at the same time, which of these entry hosts watch through them. complete is false if
// one did not answer.
func (r *Registrar) watchingElsewhere(names []string) (watching map[string]bool, complete bool) {
	watching, complete = map[string]bool{}, true
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, host := range r.state.RegistryHosts() {
		if host.GetPeerAddress() == r.options.PeerAddress {
			continue
		}
		calls.Go(func() {
			response := &schemav1.EntryHostNames{}
			err := r.call(host.GetPeerAddress(), methodWatching, &schemav1.EntryHostNames{Names: names}, response)
			if err != nil {
				klog.V(1).InfoS("registry host not asked for its entry hosts", "address", host.GetPeerAddress(), "err", err)
			}
			mu.Lock()
			defer mu.Unlock()
			complete = complete && err == nil
			for _, name := range response.GetNames() {
				watching[name] = true
			}
		})
	}
	calls.Wait()
	return watching, complete
}

// handleWatching returns which of the given entry hosts watch through this host.
func (r *Registrar) handleWatching(_ context.Context, request *schemav1.EntryHostNames) (*schemav1.EntryHostNames, error) {
	return &schemav1.EntryHostNames{Names: slices.DeleteFunc(request.GetNames(), func(name string) bool { return !r.watchers.isWatching(name) })}, nil
}

// handleWatch returns what changed since the caller's version. If there is nothing, or if the caller has no view and this host is not up to
// date, it waits up to watchTimeout.
func (r *Registrar) handleWatch(ctx context.Context, request *schemav1.ViewHello) (*schemav1.ViewUpdate, error) {
	if request.GetHostsOnly() {
		return r.listHosts(request.GetVersion()), nil
	}
	received := time.Now()
	r.watchers.markSeen(request.GetEntry().GetName())
	r.keyLoads.add(received, request.GetKeyLoads())
	r.addEntryHost(request.GetEntry())
	if !request.GetAtOnce() {
		r.awaitUpdate(ctx, request.GetVersion())
	}
	if r.state.Version() > request.GetVersion() {
		monotonic.Sleep(ctx, r.watchers.reserveUpdate(request.GetEntry().GetName(), time.Now()))
	}
	// The time and the age are read before the state, so that the update has at least what they stand for.
	waited := time.Since(received)
	age := r.stateAge()
	update := &schemav1.ViewUpdate{Version: request.GetVersion()}
	if r.state.Version() > request.GetVersion() {
		if request.GetVersion() == 0 && age > maxStateAge {
			// An entry host takes its first view only from a host that is up to date.
			return &schemav1.ViewUpdate{}, nil
		}
		update = r.fullViews.UpdateSince(r.state, request.GetVersion())
	}
	update.UpToDate = age <= maxStateAge
	if age != replication.UnknownAge {
		update.CompleteUntilUs = proto.Int64((waited - age).Microseconds())
	}
	return update, nil
}

// listHosts returns whether this host is up to date, and the registry hosts if they have changed since a version.
func (r *Registrar) listHosts(version uint64) *schemav1.ViewUpdate {
	age := r.stateAge()
	update := &schemav1.ViewUpdate{UpToDate: age <= maxStateAge}
	if r.state.RegistryHostsChangedSince(version) {
		update.HostsChanged, update.RegistryHosts = true, r.state.RegistryHosts()
	}
	if age != replication.UnknownAge {
		update.CompleteUntilUs = proto.Int64(-age.Microseconds())
	}
	return update
}

// awaitUpdate waits up to watchTimeout until there is an update for a view with this version. Version 0 stands for no view, which a host
// provides only if it is up to date.
func (r *Registrar) awaitUpdate(ctx context.Context, version uint64) {
	deadline := time.NewTimer(watchTimeout)
	defer deadline.Stop()
	for {
		changed := r.state.Changed()
		// A host that lags behind the caller has nothing new for it until it has caught up.
		if r.state.Version() > version && (version > 0 || r.isUpToDate()) {
			return
		}
		var poll <-chan time.Time
		if version == 0 {
			poll = time.After(stepInterval)
		}
		select {
		case <-changed:
		case <-poll:
		case <-deadline.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// addEntryHost starts to add an entry host to the registry, or to update it, if needed.
func (r *Registrar) addEntryHost(entry *schemav1.EntryHost) {
	if known := r.state.EntryHost(entry.GetName()); known != nil && proto.Equal(known, entry) {
		return
	}
	r.start("add entry host", func() {
		if _, err := r.proposeWithRetry(r.ctx, &schemav1.RegistryCommand{EntryJoined: entry}); err != nil {
			klog.V(1).InfoS("entry host not added", "entry", entry.GetName(), "err", err)
		}
	})
}

// proposeWithRetry proposes a command until a proposal succeeds or proposalTimeout has passed.
func (r *Registrar) proposeWithRetry(ctx context.Context, command *schemav1.RegistryCommand) (*schemav1.RegistryResult, error) {
	began := time.Now()
	result, err := retry(ctx, func(ctx context.Context) (*schemav1.RegistryResult, error) { return r.Propose(ctx, command) })
	if err != nil {
		r.recordProposal("failed", began)
		return nil, err
	}
	r.recordProposal("committed", began)
	return result, nil
}

// retry makes attempts until one succeeds or proposalTimeout has passed. It returns the error of the last attempt.
func retry[T any](ctx context.Context, attempt func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	for {
		result, err := attempt(ctx)
		if err == nil || !monotonic.Sleep(ctx, retryInterval) {
			return result, err
		}
	}
}

// recordProposal records the result and duration of a proposal in the metrics.
func (r *Registrar) recordProposal(result string, began time.Time) {
	scope := r.metrics.Scope.Tagged(map[string]string{metrics.TagResult: result})
	scope.Histogram(metrics.OrderSeconds, proposalBuckets).RecordDuration(time.Since(began))
}

// proposalBuckets are the histogram buckets for durations of proposals. They range from the duration of one disk sync to the time after
// which callers use another host.
var proposalBuckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 10)

// Announce processes an announcement of a target. After it has returned without an error, the announced life of the target applies on
// all hosts. next is the address to which the target should send later announcements, or empty.
func (r *Registrar) Announce(ctx context.Context, target *schemav1.Registration, sequence uint64) (next string, err error) {
	// One that cannot be encoded would fail all others of its batch.
	if err := registry.CheckRegistration(target); err != nil {
		return "", merry.Wrap(err)
	}
	configuration := r.Configuration()
	if configuration == nil {
		return "", merry.Wrap(ErrNoConfiguration)
	}
	if _, ok := configuration.Services[target.GetService()]; !ok {
		if !r.isUpToDate() {
			return "", merry.Wrap(ErrOutdated)
		}
		return "", merry.Wrap(ErrUnknownService)
	}
	if r.state.OrdersAnnouncements() {
		target.Sequence = &sequence
	}
	known, _ := r.state.Target(target.GetId())
	if r.announcements.NeedsCommit(known, target, sequence) {
		if known.GetColdExpected() && !target.GetCold() {
			err = r.orders.checkWarm(ctx)
		}
		if err == nil {
			err = r.registrations.commit(ctx, target)
		}
		klog.InfoS("announcement committed", "target", target.GetId(), "service", target.GetService(), "address", target.GetAddress(),
			"started", target.GetStartedUnixMs(), "life", target.GetLife(), "cold", target.GetCold(), "sequence", sequence, "err", err)
		if err != nil {
			return "", err
		}
	} else if err := r.forming.await(ctx); err != nil {
		return "", err
	}
	return r.nextAnnounceAddress(target), nil
}

// handleAnnounce processes an announcement or a removal that an entry host passes on.
func (r *Registrar) handleAnnounce(ctx context.Context, request *schemav1.TargetAnnouncement) (*schemav1.TargetAnnouncementAnswer, error) {
	target := request.GetRegistration()
	if request.GetRemoved() {
		err := r.removeTarget(ctx, target.GetId(), target.GetStartedUnixMs(), request.KnownStartedUnixMs)
		if errors.Is(err, ErrUnknownTarget) {
			return &schemav1.TargetAnnouncementAnswer{UnknownTarget: true}, nil
		}
		return &schemav1.TargetAnnouncementAnswer{}, err
	}
	if request.GetLeaving() {
		return &schemav1.TargetAnnouncementAnswer{}, r.recordLeaving(ctx, target.GetId(), target.GetStartedUnixMs())
	}
	_, err := r.Announce(ctx, target, request.GetSequence())
	return &schemav1.TargetAnnouncementAnswer{}, err
}

// nextAnnounceAddress returns the address to which a target should send its next announcement: an entry host of its data centre if the
// registry hosts have too many targets to hear all of them themselves, or else a registry host there that can be reached. It returns an empty string if that
// is this host, if it has not joined the group yet, or if there is no such host.
func (r *Registrar) nextAnnounceAddress(target *schemav1.Registration) string {
	if r.currentReplica() == nil {
		return ""
	}
	if r.state.NeedsRelays() {
		if relay := r.state.Relay(target); relay != nil {
			return relay.GetAnnounceAddress()
		}
	}
	if target.GetDataCentre() == r.options.DataCentre {
		return ""
	}
	for _, host := range r.state.RegistryHosts() {
		if host.GetDataCentre() == target.GetDataCentre() && r.isReachable(host.GetPeerAddress()) {
			return host.GetAnnounceAddress()
		}
	}
	return ""
}

// SubmitConfiguration puts a configuration in force, unless one with the same or a higher revision is in force already.
func (r *Registrar) SubmitConfiguration(ctx context.Context, document *schemav1.RouteDocument) error {
	result, err := r.proposeWithRetry(ctx, &schemav1.RegistryCommand{Routes: document})
	klog.InfoS("configuration submitted", "revision", document.GetRevision(), "bytes", len(document.GetBody()),
		"applied", result.GetApplied(), "err", err)
	return err
}

// ReadConfiguration returns the newest configuration of the whole deployment, or nil if there is none. This host may not have it yet.
func (r *Registrar) ReadConfiguration(ctx context.Context) (*schemav1.RouteDocument, error) {
	document, err := retry(ctx, r.tryReadConfiguration)
	if err != nil {
		klog.InfoS("configuration not read", "err", err)
		return nil, err
	}
	return document, nil
}

// tryReadConfiguration makes one attempt to read the newest configuration. A host that is not the leader asks the leader, which sends
// the document only if its revision differs from the one that this host has.
func (r *Registrar) tryReadConfiguration(ctx context.Context) (*schemav1.RouteDocument, error) {
	leader, err := r.readBarrier(ctx)
	if err != nil {
		return nil, err
	}
	if leader == "" {
		return r.state.Routes(), nil
	}
	held := r.state.Routes()
	response := &schemav1.RoutesReadAnswer{}
	if err := r.client.Call(ctx, leader, methodRead, &schemav1.RoutesRead{Held: held.GetRevision()}, response); err != nil {
		return nil, err
	}
	if held != nil && response.GetRoutes().GetRevision() == held.GetRevision() {
		return held, nil
	}
	return response.GetRoutes(), nil
}

// readBarrier returns when the state of this host has everything that was committed before the call, if this host is the leader. Otherwise
// it returns the address of the leader, which has to be asked.
func (r *Registrar) readBarrier(ctx context.Context) (leader string, err error) {
	replica := r.currentReplica()
	if replica == nil {
		return "", merry.Wrap(ErrNotJoined)
	}
	status := replica.Status()
	switch {
	case status.Role == raft.Leader:
		return "", r.completeState(ctx, replica)
	case status.LeaderAddress == "":
		return "", merry.Wrap(ErrNoLeader)
	}
	return status.LeaderAddress, nil
}

// completeState returns when the state of the leader has everything that was committed before the call, and enough hosts have stored it.
func (r *Registrar) completeState(ctx context.Context, replica *replication.Replica) error {
	if err := replica.ReadBarrier(ctx); err != nil {
		return err
	}
	return r.forming.await(ctx)
}
