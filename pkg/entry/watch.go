package entry

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/dispatch"
	"almondrock.example/almondrock/pkg/guard"
	"almondrock.example/almondrock/pkg/internal/monotonic"
	"almondrock.example/almondrock/pkg/registrar"
	"almondrock.example/almondrock/pkg/rpc"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// watchTimeout covers the time for which a registry host waits for a change, and a round trip with a retransmission. After it another
	// registry host is asked as well.
	watchTimeout = 900 * time.Millisecond
	// lateWatchTimeout is how long a response is awaited in total. Behind the files on a congested link of 3 Mbit/s, each response may
	// take longer than watchTimeout, so that without late responses the view would stand still.
	lateWatchTimeout = 4 * time.Second
	// maxPendingWatches bounds the registry hosts that are asked for the view at the same time.
	maxPendingWatches = 3
	// probeTimeout is long enough that a probe without an answer closes a connection that has gone silent.
	probeTimeout = rpc.DefaultSilenceTimeout
	// silentWatches is the number of calls without an answer from which on the connections to the other registry hosts may have gone silent too,
	// so that these are asked over new ones. A single one may wait on a congested link, on which a new connection could not be opened in time.
	silentWatches = 2
	// watchRetryDelay is the pause after a failed call before another registry host is tried.
	watchRetryDelay = 20 * time.Millisecond
	// lookupTimeout is how long a seed is waited for that is asked for the registry hosts, before the next one is asked as well. It answers at
	// once, but a connection to a seed that just starts is opened only when its handshake is sent again, after a second.
	lookupTimeout = 300 * time.Millisecond
	// lookupRetryDelay is the pause before the registry hosts are looked up again at another seed.
	lookupRetryDelay = 100 * time.Millisecond
	// maxLookups is the number of lookups after which the first view is asked for at a seed, whatever its distance.
	maxLookups = 10
	// notConfirmed stands for an update that does not tell up to which time the view after it is complete. It is far before the start of any
	// host, because a view may be older than the host that gets it.
	notConfirmed time.Duration = math.MinInt64 / 2
)

// lookUpRegistryHosts asks the seeds for the registry hosts, so that the first view, which is large, is asked for at the nearest one. Hosts
// begin at different seeds. If a seed does not answer within lookupTimeout, the next one is asked as well.
func (h *Host) lookUpRegistryHosts(ctx context.Context) {
	first := firstSeed(h.options.Name)
	pending, results := map[string]bool{}, make(chan lookupResult, maxLookups)
	for started := 0; started < maxLookups || len(pending) > 0; {
		seeds := *h.seeds.Load()
		if len(seeds) == 0 {
			return
		}
		if address := seeds[(first+started)%len(seeds)]; started < maxLookups && !pending[address] {
			started++
			pending[address] = true
			go func() { results <- h.lookUpAt(ctx, address) }()
		}
		select {
		case result := <-results:
			delete(pending, result.address)
			if len(result.hosts) > 0 {
				h.knownRegistryHosts = result.hosts
				return
			}
			monotonic.Sleep(ctx, lookupRetryDelay)
		case <-time.After(lookupTimeout):
		case <-ctx.Done():
			return
		}
	}
}

// lookupResult is the result of asking a seed for the registry hosts. hosts is empty if it failed or the seed knows none.
type lookupResult struct {
	address string
	hosts   []*schemav1.RegistryHost
}

// lookUpAt asks a seed for the registry hosts.
func (h *Host) lookUpAt(ctx context.Context, address string) lookupResult {
	result := lookupResult{address: address}
	err := guard.Run("lookup", func() error {
		update, err := h.callRegistry(ctx, address, watchTimeout, &schemav1.ViewHello{Entry: h.announcedSelf(), HostsOnly: true})
		result.hosts = update.GetRegistryHosts()
		return err
	})
	if err != nil || len(result.hosts) == 0 {
		klog.V(1).InfoS("registry hosts not found", "address", address, "err", err)
	}
	return result
}

// firstSeed returns the number of the seed, modulo the number of seeds, that a host asks first.
func firstSeed(host string) int { return int(dispatch.TargetHash(host) >> 1) }

// watchResult is the result of a watch call.
type watchResult struct {
	address string
	// askedAt is when the call was sent.
	askedAt time.Duration
	update  *schemav1.ViewUpdate
	err     error
}

// completeUntil returns the time up to which the view after the update certainly has all changes, or notConfirmed. The call reached the
// registry host after askedAt, so that the result may be too early, but never too late.
func (r *watchResult) completeUntil() time.Duration {
	if r.update.CompleteUntilUs == nil {
		return notConfirmed
	}
	return r.askedAt + time.Duration(r.update.GetCompleteUntilUs())*time.Microsecond
}

// pendingWatch is a watch call without a result yet.
type pendingWatch struct {
	askedAt time.Duration
	cancel  context.CancelFunc
}

// registryFollower keeps the view of a host up to date. Only one goroutine uses it.
type registryFollower struct {
	host   *Host
	choice registryChoice
	// staleHosts counts the registry hosts in a row that were not up to date.
	staleHosts int
	// silent is set after a call without an answer, until there is one.
	silent bool
	// pending has the watch calls without a result by address.
	pending map[string]pendingWatch
	results chan watchResult
	probes  chan probeResult
}

// followRegistry keeps the view up to date until ctx ends.
func (h *Host) followRegistry(ctx context.Context) {
	h.lookUpRegistryHosts(ctx)
	f := &registryFollower{
		host: h, choice: newRegistryChoice(), pending: map[string]pendingWatch{}, results: make(chan watchResult), probes: make(chan probeResult),
	}
	for ctx.Err() == nil {
		f.step(ctx)
	}
}

// step asks the registry host in use for changes, starts the probes that are due, and handles the next result. If the one in use does not
// answer within watchTimeout, the next step asks another one as well.
func (f *registryFollower) step(ctx context.Context) {
	if f.host.completeUntil.Load() != int64(notConfirmed) {
		f.host.requestMetrics.recordViewAge(f.host.viewAge())
	}
	now := f.host.now()
	f.choice.setAddresses(now, f.host.registryAddresses())
	for _, address := range f.choice.dueProbes(now) {
		f.probe(ctx, address)
	}
	address := f.choice.inUse
	if _, asked := f.pending[address]; !asked && f.makeRoom() {
		f.start(ctx, address)
	}
	timer := time.NewTimer(max(f.pending[address].askedAt, f.choice.chosenAt) + watchTimeout - now)
	defer timer.Stop()
	select {
	case result := <-f.results:
		if call := f.pending[result.address]; call.cancel != nil && call.askedAt == result.askedAt {
			call.cancel()
			delete(f.pending, result.address)
			f.handle(ctx, result)
		}
	case result := <-f.probes:
		f.choice.probed(f.host.now(), result)
	case <-timer.C:
		klog.InfoS("registry host slow to answer", "address", address, "viewVersion", f.host.current().version, "pending", len(f.pending))
		if len(f.pending) >= silentWatches {
			f.host.registryClient.CloseIdle()
		}
		f.silent = true
		f.choice.failed(f.host.now(), address)
	case <-ctx.Done():
	}
}

// start sends a watch call for the changes since the view in force, which reports the key loads of this host.
func (f *registryFollower) start(ctx context.Context, address string) {
	h := f.host
	// Only one response is asked for at once: while a leader is elected, no registry host is up to date, and all entry hosts ask them in turn.
	hello := &schemav1.ViewHello{
		Version: h.current().version, Entry: h.announcedSelf(), KeyLoads: h.keyLoads.takeCounts(), AtOnce: f.staleHosts == 1 || f.silent,
	}
	call, cancel := context.WithCancel(ctx)
	result := watchResult{address: address, askedAt: h.now()}
	f.pending[address] = pendingWatch{result.askedAt, cancel}
	go func() {
		result.err = guard.Run("watch", func() (err error) {
			result.update, err = h.callRegistry(call, address, lateWatchTimeout, hello)
			return err
		})
		select {
		case f.results <- result:
		case <-call.Done():
		}
	}()
}

// makeRoom reports whether a further watch call may be started. Beyond maxPendingWatches it gives up one at a registry host that does not answer
// probes either; the answers of those that do may only be late.
func (f *registryFollower) makeRoom() bool {
	if len(f.pending) < maxPendingWatches {
		return true
	}
	for address, call := range f.pending {
		if f.choice.unanswered[address] {
			call.cancel()
			delete(f.pending, address)
			return true
		}
	}
	return false
}

// probe asks a registry host whether it could be used. The answer is small unless the list of registry hosts has changed.
func (f *registryFollower) probe(ctx context.Context, address string) {
	h := f.host
	hello := &schemav1.ViewHello{HostsOnly: true, Version: h.current().version}
	go func() {
		result := probeResult{address: address}
		err := guard.Run("probe", func() error {
			update, err := h.callRegistry(ctx, address, probeTimeout, hello)
			// Registry hosts of earlier versions, and those that do not know how old their state is, tell nothing of it.
			result.answered = err == nil
			result.usable = result.answered && (update.GetUpToDate() || update.CompleteUntilUs == nil)
			return err
		})
		klog.InfoS("registry host probed", "address", address, "usable", result.usable, "err", err)
		select {
		case f.probes <- result:
		case <-ctx.Done():
		}
	}()
}

// handle applies the result of a watch call.
func (f *registryFollower) handle(ctx context.Context, result watchResult) {
	h, inUse := f.host, result.address == f.choice.inUse
	if result.err == nil && (result.update.GetUpToDate() || h.registryAddress.Load() == nil) {
		h.registryAddress.Store(&result.address)
	}
	switch {
	case ctx.Err() != nil:
	case result.err != nil:
		klog.InfoS("registry host not answering", "address", result.address, "viewVersion", h.current().version, "err", result.err)
		f.choice.failed(h.now(), result.address)
		if inUse {
			monotonic.Sleep(ctx, watchRetryDelay)
		}
	case result.update.GetUpToDate():
		h.applyUpdate(result.update, result.completeUntil())
		f.staleHosts, f.silent = 0, false
		f.choice.answered(h.now(), result.address)
	default:
		// The update may lack changes. It replaces the view in force only if it is newer, and it cannot be the first view.
		if h.current().version > 0 {
			h.applyUpdate(result.update, result.completeUntil())
		}
		f.choice.outdated(h.now(), result.address)
		if inUse {
			klog.InfoS("registry host not up to date", "address", result.address, "viewVersion", h.current().version, "viewAge", h.viewAge())
			f.staleHosts, f.silent = f.staleHosts+1, false
			monotonic.Sleep(ctx, watchRetryDelay)
		}
	}
}

// callRegistry makes a watch call to a registry host.
func (h *Host) callRegistry(ctx context.Context, address string, timeout time.Duration, request *schemav1.ViewHello) (*schemav1.ViewUpdate, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	update := &schemav1.ViewUpdate{}
	return update, h.registryClient.Call(ctx, address, registrar.MethodWatch, request, update)
}

// registryAddresses returns the peer addresses of the registry hosts in the view, or before the first one those that were looked up, the
// nearest first, followed by further seeds.
func (h *Host) registryAddresses() []string {
	registryHosts := slices.Clone(h.current().registryHosts)
	if len(registryHosts) == 0 {
		registryHosts = slices.Clone(h.knownRegistryHosts)
	}
	// Among hosts at the same distance, entry hosts use different ones, so that they share the load.
	preference := func(host *schemav1.RegistryHost) uint32 {
		return dispatch.TargetHash(h.options.Name + " " + host.GetName())
	}
	slices.SortStableFunc(registryHosts, func(a, b *schemav1.RegistryHost) int {
		return cmp.Or(cmp.Compare(h.distance(a.GetDataCentre()), h.distance(b.GetDataCentre())), cmp.Compare(preference(a), preference(b)))
	})
	var addresses []string
	for _, host := range registryHosts {
		// Registry hosts of earlier versions list those that have left by their names only.
		if host.GetPeerAddress() != "" {
			addresses = append(addresses, host.GetPeerAddress())
		}
	}
	for _, seed := range *h.seeds.Load() {
		if !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

// distance is 0 for the data centre of this host, 1 for others in its region and 2 for other regions.
func (h *Host) distance(dataCentre string) int {
	switch {
	case dataCentre == h.options.DataCentre:
		return 0
	case h.options.Regions[dataCentre] == h.options.Region:
		return 1
	default:
		return 2
	}
}

// applyUpdate replaces the view by the one after the update, and informs the dispatcher. completeUntil is the time up to which the view
// after the update certainly has all changes, or notConfirmed.
func (h *Host) applyUpdate(update *schemav1.ViewUpdate, completeUntil time.Duration) {
	old := h.current()
	if update.GetVersion() == old.version {
		h.confirmView(completeUntil)
		return
	}
	updated := old.updated(update, h.options.DecodeConfiguration)
	if updated == nil {
		klog.InfoS("outdated view update ignored", "version", update.GetVersion(), "inForce", old.version)
		return
	}
	now := h.now()
	if updated.table != old.table || !slices.Equal(updated.entryHosts, old.entryHosts) {
		// Before the view, so that no request is admitted by a new tenant without its limit.
		h.quotas.setLimits(now, updated)
	}
	h.view.Store(updated)
	h.confirmView(completeUntil)
	h.dispatcher.SetColdRates(updated.coldRates())
	h.dispatcher.SetEvacuated(updated.evacuated)
	if !slices.Equal(old.evacuated, updated.evacuated) {
		klog.InfoS("evacuated data centres changed", "host", h.options.Name, "from", old.evacuated, "to", updated.evacuated,
			"viewVersion", updated.version, "viewAge", h.viewAge())
	}
	if update.GetFull() || len(update.GetTargets()) > 0 {
		h.dispatcher.SetTargets(now, updated.dispatchTargets(h.options.Regions))
	}
	h.setSuspects(updated.version, updated.suspects, update.GetFull() || update.GetAllSuspects() || len(update.GetSuspects()) > 0)
	if update.GetHostsChanged() {
		hostsInDataCentre, hostIndex := 0, 0
		for _, entry := range updated.entryHosts {
			if entry.GetDataCentre() != h.options.DataCentre {
				continue
			}
			if entry.GetName() == h.options.Name {
				hostIndex = hostsInDataCentre
			}
			hostsInDataCentre++
		}
		h.dispatcher.SetEntryHosts(len(updated.entryHosts), hostsInDataCentre, hostIndex)
		h.dispatcher.SetPaceHosts(h.options.Name, paceHosts(updated.entryHosts))
		h.setPeers(updated.entryHosts)
	}
	if h.slots != nil && (update.GetFull() || update.GetHostsChanged() || update.GetEvacuatedChanged() || update.GetRoutes() != nil || len(update.GetTargets()) > 0) {
		h.slots.viewChanged()
	}
	h.viewChanged.broadcast()
	h.dispatcher.DispatchWaiting(now)
	if old.table == nil && updated.table != nil {
		klog.InfoS("first configuration in force", "revision", updated.table.Configuration.Revision)
	}
	klog.V(1).InfoS("view in force", "version", updated.version, "full", update.GetFull(), "targets", len(update.GetTargets()),
		"bytes", proto.Size(update))
}

// confirmView records that the view is complete up to a time, or nothing for notConfirmed. Only the follower of the registry calls it.
func (h *Host) confirmView(until time.Duration) {
	h.completeUntil.Store(max(h.completeUntil.Load(), int64(until)))
}
