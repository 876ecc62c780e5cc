package registry

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/guard"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// maxEndedTargets is the number of ended targets that are kept, so that a delayed announcement does not register one again.
const maxEndedTargets = 8192

// State is the replicated state machine of the registry. Apply, Snapshot and Restore must be called from one goroutine; all
// other methods are safe for concurrent use. Callers must not modify the messages that it returns.
type State struct {
	mu sync.RWMutex
	// version is the number of changes so far, except those that only raise a fence.
	version uint64
	// lastFence is the highest fence that was assigned so far.
	lastFence uint64
	routes    *schemav1.RouteDocument
	// targets has the registrations by target ID, including those of recently ended targets.
	targets map[string]*schemav1.Registration
	// evacuations is the set of evacuated data centres.
	evacuations map[string]bool
	// evacuationOrders has the number of the last order by data centre.
	evacuationOrders map[string]uint64
	// keyTables has the key ranges by service.
	keyTables map[string]*schemav1.KeyTable
	// entryHosts has the entry hosts by name, and hosts the registry hosts by name.
	entryHosts map[string]*schemav1.EntryHost
	hosts      map[string]*schemav1.RegistryHost
	// endedTargets is the order in which targets ended, oldest first.
	endedTargets []string
	suspects     suspectTable
	// changed is closed and replaced when the version changes.
	changed chan struct{}
	// changeVersions has the version of the last change of each part.
	changeVersions changeVersions
	// onEvacuationOrder is called with the outcome of each evacuation order that is applied, or nil.
	onEvacuationOrder func(EvacuationOutcome)
}

// EvacuationOutcome is what became of an evacuation order when it was applied.
type EvacuationOutcome struct {
	DataCentre string
	// Out is what was ordered. WasOut is whether the data centre was evacuated before.
	Out, WasOut bool
	// Expected is the number of the order before it when it was received, or nil for orders of earlier versions.
	Expected *uint64
	// Number is that of the last order for the data centre, which is this one unless it was overtaken.
	Number uint64
	// Overtaken is set if it contradicts a newer order. It has no effect then.
	Overtaken bool
	// Version is that of the state with this order.
	Version uint64
}

// OnEvacuationOrder calls f with the outcome of each evacuation order that is applied, also of those in the log that is read at the start.
// It must be called before the first order is applied. f must not block, nor call the state.
func (s *State) OnEvacuationOrder(f func(EvacuationOutcome)) { s.onEvacuationOrder = f }

// changeVersions has the version at which each part of the state last changed. UpdateSince uses it to select what to send.
type changeVersions struct {
	routes, evacuated, registryHosts uint64
	// targets has the changes of targets in the order of their versions, except those up to targetsReset. A view older than that needs a
	// full update. With thousands of targets and many views, looking at each target for each update would take the whole processor.
	targets      []targetChange
	targetsReset uint64
	// ranges has the version of each key range by service and first key.
	ranges map[string]map[uint32]uint64
	// entryHosts has the version of each entry host, including those that have left since entryHostsReset. A view older than
	// entryHostsReset needs the whole list.
	entryHosts      map[string]uint64
	entryHostsReset uint64
	// targetRemoved is the version at which an ended target was last deleted. A view older than that needs a full update, because
	// it may have missed the end of that target.
	targetRemoved uint64
}

// targetChange is the change of a target at a version.
type targetChange struct {
	version uint64
	id      string
}

// maxTargetChanges is the number of changes of targets that are kept for updates of views. It covers a restart of all targets of a large
// deployment several times.
const maxTargetChanges = 32768

// add records the change of a target.
func (v *changeVersions) add(id string, version uint64) {
	if len(v.targets) >= maxTargetChanges {
		half := len(v.targets) / 2
		v.targetsReset = v.targets[half-1].version
		v.targets = slices.Clone(v.targets[half:])
	}
	v.targets = append(v.targets, targetChange{version, id})
}

// targetsSince returns the IDs of the targets that changed after a version, in ascending order.
func (v *changeVersions) targetsSince(version uint64) []string {
	first, _ := slices.BinarySearchFunc(v.targets, version+1, func(c targetChange, version uint64) int { return cmp.Compare(c.version, version) })
	ids := make([]string, 0, len(v.targets)-first)
	for _, c := range v.targets[first:] {
		ids = append(ids, c.id)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// NewState returns the state of an empty registry.
func NewState() *State {
	return &State{
		targets: map[string]*schemav1.Registration{}, evacuations: map[string]bool{}, evacuationOrders: map[string]uint64{},
		keyTables:  map[string]*schemav1.KeyTable{},
		entryHosts: map[string]*schemav1.EntryHost{}, hosts: map[string]*schemav1.RegistryHost{}, changed: make(chan struct{}),
		changeVersions: changeVersions{ranges: map[string]map[uint32]uint64{}, entryHosts: map[string]uint64{}},
	}
}

// Apply implements replication.StateMachine. It returns an encoded RegistryResult.
func (s *State) Apply(_ uint64, command []byte) []byte {
	decoded := &schemav1.RegistryCommand{}
	result := &schemav1.RegistryResult{}
	// A command that cannot be decoded fails on every member alike, so ignoring it keeps the members consistent.
	if proto.Unmarshal(command, decoded) == nil {
		// A command that panics does so on every member, again after each restart, so it must not end the process.
		guard.Do("apply registry command", func() { s.applyCommand(decoded, result) })
	}
	encoded, err := proto.Marshal(result)
	if err != nil {
		return nil
	}
	return encoded
}

// applyCommand applies a command and fills in the result.
func (s *State) applyCommand(command *schemav1.RegistryCommand, result *schemav1.RegistryResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.version + 1
	if s.onlyRaisesFence(command.GetRange()) {
		// Entry hosts do not use fences, so their views need no update and the version stays the same.
		result.Applied = s.setRange(command.GetRange())
	} else if result.Applied = s.apply(command, next, result); result.Applied {
		s.version = next
		close(s.changed)
		s.changed = make(chan struct{})
	}
	result.Fence, result.Version = s.lastFence, s.version
}

func (s *State) apply(c *schemav1.RegistryCommand, version uint64, result *schemav1.RegistryResult) bool {
	switch {
	case c.GetRoutes() != nil:
		return s.applyRoutes(c.GetRoutes(), version)
	case c.GetRegistration() != nil:
		return s.applyRegistration(c.GetRegistration(), version, c.GetProposedUnixMs())
	case len(c.GetRegistrations()) > 0:
		applied := false
		for _, next := range c.GetRegistrations() {
			applied = s.applyRegistration(next, version, c.GetProposedUnixMs()) || applied
		}
		return applied
	case len(c.GetExpectedColdOver()) > 0:
		return s.applyExpectedColdOver(c.GetExpectedColdOver(), version)
	case c.GetForgetTarget() != nil:
		return s.applyForgetTarget(c.GetForgetTarget(), version, result)
	case c.GetEvacuation() != nil:
		return s.applyEvacuation(c.GetEvacuation(), version, result)
	case c.GetKeys() != nil:
		return s.applyKeyTable(c.GetKeys(), version)
	case c.GetRange() != nil:
		return s.applyRangeChange(c.GetRange(), version)
	case c.GetSplit() != nil:
		return s.applySplit(c.GetSplit(), version)
	case c.GetEntryJoined() != nil:
		if c.GetEntryJoined().GetDataCentre() == "" || !setHost(s.entryHosts, c.GetEntryJoined().GetName(), c.GetEntryJoined()) {
			return false
		}
		s.setEntryHostVersion(c.GetEntryJoined().GetName(), version)
		return true
	case c.GetEntryLeft() != "":
		if _, ok := s.entryHosts[c.GetEntryLeft()]; !ok {
			return false
		}
		delete(s.entryHosts, c.GetEntryLeft())
		s.setEntryHostVersion(c.GetEntryLeft(), version)
		return true
	case c.GetRegistryHost() != nil:
		return s.applyRegistryHost(c.GetRegistryHost(), version)
	case c.GetSuspects() != nil:
		return s.suspects.apply(c.GetSuspects(), version)
	}
	return false
}

// applyRegistryHost adds, changes or removes a registry host.
func (s *State) applyRegistryHost(host *schemav1.RegistryHost, version uint64) bool {
	if hasLeft(host) {
		if s.hosts[host.GetName()] == nil {
			return false
		}
		delete(s.hosts, host.GetName())
	} else if !setHost(s.hosts, host.GetName(), host) {
		return false
	}
	s.changeVersions.registryHosts = version
	return true
}

// hasLeft reports whether an entry only tells that a registry host has left. Hosts of earlier versions keep such entries.
func hasLeft(host *schemav1.RegistryHost) bool { return host.GetPeerAddress() == "" }

func setHost[T proto.Message](hosts map[string]T, name string, host T) bool {
	if old, ok := hosts[name]; ok && proto.Equal(old, host) {
		return false
	}
	hosts[name] = host
	return true
}

// maxLeftEntryHosts is the number of entry hosts that have left up to which views get single changes instead of the whole list.
const maxLeftEntryHosts = 256

// setEntryHostVersion records that an entry host has joined, changed or left.
func (s *State) setEntryHostVersion(name string, version uint64) {
	s.changeVersions.entryHosts[name] = version
	if len(s.changeVersions.entryHosts) <= len(s.entryHosts)+maxLeftEntryHosts {
		return
	}
	maps.DeleteFunc(s.changeVersions.entryHosts, func(name string, _ uint64) bool { return s.entryHosts[name] == nil })
	s.changeVersions.entryHostsReset = version
}

// setRangeVersions records that key ranges have changed.
func (s *State) setRangeVersions(service string, version uint64, ranges ...*schemav1.KeyRange) {
	if s.changeVersions.ranges[service] == nil {
		s.changeVersions.ranges[service] = map[uint32]uint64{}
	}
	for _, r := range ranges {
		s.changeVersions.ranges[service][r.GetFirst()] = version
	}
}

func (s *State) applyRoutes(routes *schemav1.RouteDocument, version uint64) bool {
	if routes.GetRevision() <= s.routes.GetRevision() {
		return false
	}
	s.routes = routes
	s.changeVersions.routes = version
	return true
}

// Supersedes reports whether the announced registration next replaces the known registration old. A later start of the target
// replaces an earlier one. Within one start the life only advances, so that a delayed announcement cannot make a draining
// target ready again, and otherwise the later announcement holds.
func Supersedes(old, next *schemav1.Registration) bool {
	switch {
	case old == nil:
		return true
	case next.GetStartedUnixMs() != old.GetStartedUnixMs():
		return next.GetStartedUnixMs() > old.GetStartedUnixMs()
	case next.GetLife() != old.GetLife():
		return next.GetLife() > old.GetLife()
	default:
		return isLater(old, next) && !saysTheSame(old, next)
	}
}

// lateAnnouncementTime is how late an announcement may arrive whose process has been removed since.
const lateAnnouncementTime = 5 * time.Second

// mayBeRemoved reports whether next may be a late announcement of the process that a removal without a start meant. A process that was
// started after the removal, and one that still announces itself later, are others. An announcement may have been proposed shortly before the
// removal and be applied after it. A clock that was set back by more is no reason to wait until it has caught up.
func mayBeRemoved(old, next *schemav1.Registration, proposedUnixMs int64) bool {
	removedAt := old.GetRemovedUnixMs()
	late := max(proposedUnixMs-removedAt, removedAt-proposedUnixMs) < lateAnnouncementTime.Milliseconds()
	return removedAt > 0 && next.GetStartedUnixMs() <= removedAt && late
}

func (s *State) applyRegistration(next *schemav1.Registration, version uint64, proposedUnixMs int64) bool {
	old := s.targets[next.GetId()]
	if !Supersedes(old, next) {
		s.raiseSequence(old, next)
		return false
	}
	if mayBeRemoved(old, next, proposedUnixMs) {
		return false
	}
	next = merged(old, next)
	if next.GetLife() != schemav1.Life_LIFE_GONE && !s.claimAddress(next, version) {
		return false
	}
	s.setTarget(next, version)
	return true
}

// raiseSequence records the number of a later announcement that says the same. Views do not need it, so the version stays the same.
func (s *State) raiseSequence(old, next *schemav1.Registration) {
	if next.Sequence != nil && next.GetStartedUnixMs() == old.GetStartedUnixMs() && next.GetLife() == old.GetLife() && isLater(old, next) {
		s.targets[old.GetId()] = withSequence(old, next.Sequence)
	}
}

// claimAddress marks older targets at the address of next as gone. It returns false if a target that started later has the
// address; next is then a delayed announcement of a target that has ended.
func (s *State) claimAddress(next *schemav1.Registration, version uint64) bool {
	for id, other := range s.targets {
		if id == next.GetId() || other.GetAddress() != next.GetAddress() || other.GetLife() == schemav1.Life_LIFE_GONE {
			continue
		}
		if other.GetStartedUnixMs() > next.GetStartedUnixMs() {
			return false
		}
		gone := proto.Clone(other).(*schemav1.Registration)
		gone.Life = schemav1.Life_LIFE_GONE
		s.setTarget(gone, version)
	}
	return true
}

func (s *State) setTarget(next *schemav1.Registration, version uint64) {
	s.targets[next.GetId()] = next
	s.changeVersions.add(next.GetId(), version)
	if next.GetLife() != schemav1.Life_LIFE_GONE {
		return
	}
	s.endedTargets = append(slices.DeleteFunc(s.endedTargets, func(id string) bool { return id == next.GetId() }), next.GetId())
	for len(s.endedTargets) > maxEndedTargets {
		oldest := s.endedTargets[0]
		s.endedTargets = s.endedTargets[1:]
		if s.targets[oldest].GetLife() == schemav1.Life_LIFE_GONE {
			delete(s.targets, oldest)
			s.changeVersions.targetRemoved = version
		}
	}
}

// applyForgetTarget marks a target as gone. A start time of 0 stands for the start that is registered. A start that is not registered yet is
// recorded as gone too, because its announcement may still be on the way.
//
// A removal without a start that refers to an earlier one than the registered is overtaken: it may have meant the process that was registered
// since the removal was received.
func (s *State) applyForgetTarget(target *schemav1.Registration, version uint64, result *schemav1.RegistryResult) bool {
	old := s.targets[target.GetId()]
	started := cmp.Or(target.GetStartedUnixMs(), old.GetStartedUnixMs())
	result.Overtaken = target.GetRemovedUnixMs() > 0 && started < old.GetStartedUnixMs()
	ended := old.GetLife() == schemav1.Life_LIFE_GONE && started == old.GetStartedUnixMs() && target.GetRemovedUnixMs() <= old.GetRemovedUnixMs()
	if started == 0 || started < old.GetStartedUnixMs() || ended {
		return false
	}
	gone := &schemav1.Registration{Id: target.GetId()}
	if old != nil {
		gone = proto.Clone(old).(*schemav1.Registration)
	}
	gone.StartedUnixMs, gone.Life, gone.RemovedUnixMs = started, schemav1.Life_LIFE_GONE, target.GetRemovedUnixMs()
	s.setTarget(gone, version)
	return true
}

// applyEvacuation applies an order unless it contradicts one that was given after it was received. Each other order gets a number, also one
// that changes nothing, so that none that was received before it can undo it later.
func (s *State) applyEvacuation(change *schemav1.EvacuationChange, version uint64, result *schemav1.RegistryResult) bool {
	dataCentre := change.GetDataCentre()
	contradicts := s.evacuations[dataCentre] != change.GetOut()
	result.Overtaken = contradicts && change.ExpectedOrder != nil && change.GetExpectedOrder() != s.evacuationOrders[dataCentre]
	if !result.GetOvertaken() {
		s.evacuationOrders[dataCentre]++
	}
	if s.onEvacuationOrder != nil {
		outcome := EvacuationOutcome{
			DataCentre: dataCentre, Out: change.GetOut(), WasOut: s.evacuations[dataCentre], Expected: change.ExpectedOrder,
			Number: s.evacuationOrders[dataCentre], Overtaken: result.GetOvertaken(), Version: s.version,
		}
		if contradicts && !outcome.Overtaken {
			outcome.Version = version
		}
		s.onEvacuationOrder(outcome)
	}
	if result.GetOvertaken() || !contradicts {
		return false
	}
	if change.GetOut() {
		s.evacuations[dataCentre] = true
	} else {
		delete(s.evacuations, dataCentre)
		s.expectCold(dataCentre, version)
	}
	s.changeVersions.evacuated = version
	return true
}

// expectCold marks the targets of a data centre that is put back into service as cold until they announce what they are. They may have
// become cold meanwhile, and the announcements that would say so may not get through. As targets without recent requests they would
// otherwise be the first choice of all entry hosts.
func (s *State) expectCold(dataCentre string, version uint64) {
	for id, target := range s.targets {
		if target.GetDataCentre() == dataCentre && target.GetLife() == schemav1.Life_LIFE_READY && !target.GetCold() {
			s.setCold(id, true, version)
		}
	}
}

// applyExpectedColdOver marks targets as warm that have not announced anything since cold was expected of them.
func (s *State) applyExpectedColdOver(targets []*schemav1.Registration, version uint64) bool {
	applied := false
	for _, target := range targets {
		known := s.targets[target.GetId()]
		if known.GetColdExpected() && known.GetStartedUnixMs() == target.GetStartedUnixMs() {
			s.setCold(target.GetId(), false, version)
			applied = true
		}
	}
	return applied
}

// setCold records whether a target is expected to be cold.
func (s *State) setCold(id string, expected bool, version uint64) {
	changed := proto.Clone(s.targets[id]).(*schemav1.Registration)
	changed.Cold, changed.ColdExpected = expected, expected
	s.targets[id] = changed
	s.changeVersions.add(id, version)
}

// applyKeyTable sets the initial key table of a service. Later changes replace or split single ranges.
func (s *State) applyKeyTable(table *schemav1.KeyTable, version uint64) bool {
	if s.keyTables[table.GetService()] != nil {
		return false
	}
	next := proto.Clone(table).(*schemav1.KeyTable)
	for _, r := range next.GetRanges() {
		s.lastFence++
		r.Fence = s.lastFence
	}
	s.keyTables[table.GetService()] = next
	s.setRangeVersions(table.GetService(), version, next.GetRanges()...)
	return true
}

// findRange returns the key table of a service and the index of the range with the given first key and fence, or a negative
// index if there is none.
func (s *State) findRange(service string, first uint32, fence uint64) (*schemav1.KeyTable, int) {
	table := s.keyTables[service]
	return table, slices.IndexFunc(table.GetRanges(), func(r *schemav1.KeyRange) bool {
		return r.GetFence() == fence && r.GetFirst() == first
	})
}

// onlyRaisesFence reports whether a change gives a range a new fence and changes nothing else.
func (s *State) onlyRaisesFence(change *schemav1.RangeChange) bool {
	table, at := s.findRange(change.GetService(), change.GetRange().GetFirst(), change.GetExpectedFence())
	if at < 0 || change.GetRange() == nil || change.GetRange().GetFence() != 0 {
		return false
	}
	next := proto.Clone(change.GetRange()).(*schemav1.KeyRange)
	next.Fence = change.GetExpectedFence()
	return proto.Equal(table.GetRanges()[at], next)
}

func (s *State) applyRangeChange(change *schemav1.RangeChange, version uint64) bool {
	if !s.setRange(change) {
		return false
	}
	s.setRangeVersions(change.GetService(), version, change.GetRange())
	return true
}

func (s *State) setRange(change *schemav1.RangeChange) bool {
	table, at := s.findRange(change.GetService(), change.GetRange().GetFirst(), change.GetExpectedFence())
	if at < 0 || change.GetRange() == nil {
		return false
	}
	// The parts of a split keep the fence of the whole range, so the fence does not tell that the range was split after the change was decided.
	if change.GetRange().GetLast() != table.GetRanges()[at].GetLast() {
		return false
	}
	next := proto.Clone(change.GetRange()).(*schemav1.KeyRange)
	if next.GetFence() == 0 {
		s.lastFence++
		next.Fence = s.lastFence
	}
	// Callers of Keys and UpdateSince may hold the current table, so it is copied instead of modified.
	ranges := slices.Clone(table.GetRanges())
	ranges[at] = next
	s.keyTables[change.GetService()] = &schemav1.KeyTable{Service: table.GetService(), Ranges: ranges}
	return true
}

func (s *State) applySplit(split *schemav1.RangeSplit, version uint64) bool {
	table, at := s.findRange(split.GetService(), split.GetFirst(), split.GetExpectedFence())
	if at < 0 || len(split.GetStarts()) == 0 {
		return false
	}
	whole := table.GetRanges()[at]
	var parts []*schemav1.KeyRange
	first := whole.GetFirst()
	for _, start := range append(slices.Clone(split.GetStarts()), whole.GetLast()+1) {
		if start <= first || start > whole.GetLast()+1 {
			return false
		}
		part := proto.Clone(whole).(*schemav1.KeyRange)
		part.First, part.Last = first, start-1
		parts = append(parts, part)
		first = start
	}
	ranges := slices.Replace(slices.Clone(table.GetRanges()), at, at+1, parts...)
	s.keyTables[split.GetService()] = &schemav1.KeyTable{Service: table.GetService(), Ranges: ranges}
	s.setRangeVersions(split.GetService(), version, parts...)
	return true
}

// Snapshot implements replication.StateMachine.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	state := &schemav1.RegistryState{
		Routes: s.routes, Evacuated: s.evacuated(), Entries: sortedByName(s.entryHosts), RegistryHosts: sortedByName(s.hosts),
		Keys: sortedByName(s.keyTables), Targets: s.orderedTargets(), LastFence: s.lastFence, Version: s.version,
		Suspects: s.suspects.ordered,
	}
	for _, dataCentre := range slices.Sorted(maps.Keys(s.evacuationOrders)) {
		state.EvacuationOrders = append(state.EvacuationOrders, &schemav1.EvacuationOrder{
			DataCentre: dataCentre, Number: s.evacuationOrders[dataCentre],
		})
	}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(state)
	return encoded, merry.Wrap(err)
}

// Restore implements replication.StateMachine.
func (s *State) Restore(snapshot []byte) error {
	state := &schemav1.RegistryState{}
	if err := proto.Unmarshal(snapshot, state); err != nil {
		return merry.Wrap(err)
	}
	fresh := NewState()
	version := state.GetVersion()
	fresh.version, fresh.lastFence, fresh.routes = version, state.GetLastFence(), state.GetRoutes()
	for _, dataCentre := range state.GetEvacuated() {
		fresh.evacuations[dataCentre] = true
	}
	for _, order := range state.GetEvacuationOrders() {
		fresh.evacuationOrders[order.GetDataCentre()] = order.GetNumber()
	}
	for _, entry := range state.GetEntries() {
		fresh.entryHosts[entry.GetName()] = entry
	}
	for _, host := range state.GetRegistryHosts() {
		if !hasLeft(host) {
			fresh.hosts[host.GetName()] = host
		}
	}
	for _, table := range state.GetKeys() {
		fresh.keyTables[table.GetService()] = table
		fresh.setRangeVersions(table.GetService(), version, table.GetRanges()...)
	}
	for _, target := range state.GetTargets() {
		fresh.setTarget(target, version)
	}
	fresh.changeVersions.routes, fresh.changeVersions.evacuated, fresh.changeVersions.registryHosts = version, version, version
	fresh.changeVersions.targetRemoved, fresh.changeVersions.entryHostsReset = version, version
	fresh.suspects = suspectTable{ordered: state.GetSuspects(), reset: version}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.lastFence, s.routes, s.targets, s.evacuations =
		fresh.version, fresh.lastFence, fresh.routes, fresh.targets, fresh.evacuations
	s.evacuationOrders = fresh.evacuationOrders
	s.keyTables, s.entryHosts, s.hosts, s.endedTargets, s.changeVersions, s.suspects =
		fresh.keyTables, fresh.entryHosts, fresh.hosts, fresh.endedTargets, fresh.changeVersions, fresh.suspects
	klog.InfoS("registry restored from a snapshot", "version", s.version, "evacuated", s.evacuated(), "evacuationOrders", s.evacuationOrders)
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// orderedTargets returns the registrations of all targets: those that have not ended by ID, and then those that have in the order of
// their ends, so that a restored member forgets the same ones as the others.
func (s *State) orderedTargets() []*schemav1.Registration {
	ordered := make([]*schemav1.Registration, 0, len(s.targets))
	for _, target := range sortedByName(s.targets) {
		if target.GetLife() != schemav1.Life_LIFE_GONE {
			ordered = append(ordered, target)
		}
	}
	for _, id := range s.endedTargets {
		if target := s.targets[id]; target.GetLife() == schemav1.Life_LIFE_GONE {
			ordered = append(ordered, target)
		}
	}
	return ordered
}

// sortedByName returns the values in the order of their map keys, so that equal states have equal snapshots.
func sortedByName[T any](values map[string]T) []T {
	ordered := make([]T, 0, len(values))
	for _, name := range slices.Sorted(maps.Keys(values)) {
		ordered = append(ordered, values[name])
	}
	return ordered
}

func (s *State) evacuated() []string { return slices.Sorted(maps.Keys(s.evacuations)) }

// Version returns the version of the state, which increases by one with each change except those that only raise a fence.
func (s *State) Version() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.version
}

// Changed returns a channel that is closed at the next change of the version or when a snapshot is restored.
func (s *State) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// Routes returns the configuration in force, or nil if there is none.
func (s *State) Routes() *schemav1.RouteDocument {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.routes
}

// Target returns the registration of the target with the given ID, which may have ended.
func (s *State) Target(id string) (*schemav1.Registration, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	target, ok := s.targets[id]
	return target, ok
}

// Targets returns the registrations of all targets that have not ended, in the order of their IDs.
func (s *State) Targets() []*schemav1.Registration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	live := make([]*schemav1.Registration, 0, len(s.targets))
	for _, target := range s.targets {
		if target.GetLife() != schemav1.Life_LIFE_GONE {
			live = append(live, target)
		}
	}
	slices.SortFunc(live, func(a, b *schemav1.Registration) int { return cmp.Compare(a.GetId(), b.GetId()) })
	return live
}

// ExpectedCold returns the registrations of the targets that are only expected to be cold, in no order.
func (s *State) ExpectedCold() []*schemav1.Registration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var expected []*schemav1.Registration
	for _, target := range s.targets {
		if target.GetColdExpected() && target.GetLife() == schemav1.Life_LIFE_READY {
			expected = append(expected, target)
		}
	}
	return expected
}

// EntryHostCount returns the number of entry hosts.
func (s *State) EntryHostCount() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.entryHosts)
}

// EntryHost returns the entry host with the given name, or nil.
func (s *State) EntryHost(name string) *schemav1.EntryHost {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.entryHosts[name]
}

// IsEvacuated reports whether a data centre is evacuated.
func (s *State) IsEvacuated(dataCentre string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.evacuations[dataCentre]
}

// EvacuationOrder returns the number of the last evacuation order for a data centre, or 0 if there was none.
func (s *State) EvacuationOrder(dataCentre string) uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.evacuationOrders[dataCentre]
}

// Keys returns the key ranges of a service, or nil if it has none.
func (s *State) Keys(service string) *schemav1.KeyTable {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.keyTables[service]
}

// RegistryHosts returns the registry hosts in the order of their names.
func (s *State) RegistryHosts() []*schemav1.RegistryHost {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return sortedByName(s.hosts)
}

// RegistryHostsChangedSince reports whether the registry hosts have changed after a version, which is 0 for no version.
func (s *State) RegistryHostsChangedSince(version uint64) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return version == 0 || version > s.version || s.changeVersions.registryHosts > version
}

// EntryHostNames returns the names of the entry hosts in their order.
func (s *State) EntryHostNames() []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Sorted(maps.Keys(s.entryHosts))
}

// UpdateSince returns the parts that changed after version. It returns everything if version is 0, is higher than the current
// version, or is older than the last deletion of an ended target.
func (s *State) UpdateSince(version uint64) *schemav1.ViewUpdate {
	s.mu.RLock()
	defer s.mu.RUnlock()
	full := version == 0 || version > s.version || s.changeVersions.targetRemoved > version ||
		s.changeVersions.targetsReset > version || s.changeVersions.entryHostsReset > version
	update := &schemav1.ViewUpdate{Version: s.version, Full: full}
	update.Suspects, update.AllSuspects = s.suspects.changedSince(version, full)
	if full || s.changeVersions.routes > version {
		update.Routes = s.routes
	}
	if full || s.changeVersions.evacuated > version {
		update.EvacuatedChanged, update.Evacuated = true, s.evacuated()
	}
	if full || s.changeVersions.registryHosts > version {
		update.HostsChanged, update.RegistryHosts = true, sortedByName(s.hosts)
	}
	if update.Entries = s.changedEntryHosts(version, full); len(update.Entries) > 0 {
		update.HostsChanged = true
	}
	if full {
		for _, target := range sortedByName(s.targets) {
			if target.GetLife() != schemav1.Life_LIFE_GONE {
				update.Targets = append(update.Targets, target)
			}
		}
	} else {
		for _, id := range s.changeVersions.targetsSince(version) {
			if target := s.targets[id]; target != nil {
				update.Targets = append(update.Targets, target)
			}
		}
	}
	for _, service := range slices.Sorted(maps.Keys(s.keyTables)) {
		if ranges := s.changedRanges(service, version, full); len(ranges) > 0 {
			update.Keys = append(update.Keys, &schemav1.KeyTable{Service: service, Ranges: ranges})
		}
	}
	return update
}

// changedRanges returns the key ranges of a service that changed after a version, or all of them.
func (s *State) changedRanges(service string, version uint64, all bool) []*schemav1.KeyRange {
	ranges := s.keyTables[service].GetRanges()
	if all {
		return ranges
	}
	versions := s.changeVersions.ranges[service]
	var changed []*schemav1.KeyRange
	for _, r := range ranges {
		if versions[r.GetFirst()] > version {
			changed = append(changed, r)
		}
	}
	return changed
}

// changedEntryHosts returns the entry hosts that joined or changed after a version, and those that left since with only their name, or
// all of them.
func (s *State) changedEntryHosts(version uint64, all bool) []*schemav1.EntryHost {
	if all {
		return sortedByName(s.entryHosts)
	}
	var changed []*schemav1.EntryHost
	for _, name := range slices.Sorted(maps.Keys(s.changeVersions.entryHosts)) {
		if s.changeVersions.entryHosts[name] <= version {
			continue
		}
		if host := s.entryHosts[name]; host != nil {
			changed = append(changed, host)
		} else {
			changed = append(changed, &schemav1.EntryHost{Name: name})
		}
	}
	return changed
}
