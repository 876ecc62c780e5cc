package registry

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// maxEnded bounds the ended targets that are remembered so that late announcements do not bring them back.
const maxEnded = 8192

// State is the state machine. Apply, Snapshot and Restore are called from one goroutine; all other methods are safe for
// concurrent use. Messages that it returns must not be changed.
type State struct {
	mu       sync.RWMutex
	version  uint64
	fence    uint64
	routes   *schemav1.RouteDocument
	targets  map[string]*schemav1.Registration
	evacuees map[string]bool
	keys     map[string]*schemav1.KeyTable
	entries  map[string]*schemav1.EntryHost
	hosts    map[string]*schemav1.RegistryHost
	// ended is the order in which targets ended, oldest first.
	ended   []string
	changed chan struct{}
	// stamps has the version of the last change of each part.
	stamps stamps
}

// stamps has versions by part, for incremental views.
type stamps struct {
	routes, evacuated, hosts uint64
	targets, keys            map[string]uint64
	// forgotten is the version of the last removal of a target, after which older views need everything.
	forgotten uint64
}

// NewState returns an empty registry.
func NewState() *State {
	return &State{
		targets: map[string]*schemav1.Registration{}, evacuees: map[string]bool{}, keys: map[string]*schemav1.KeyTable{},
		entries: map[string]*schemav1.EntryHost{}, hosts: map[string]*schemav1.RegistryHost{}, changed: make(chan struct{}),
		stamps: stamps{targets: map[string]uint64{}, keys: map[string]uint64{}},
	}
}

// Apply implements replication.StateMachine. It returns an encoded RegistryResult.
func (s *State) Apply(_ uint64, command []byte) []byte {
	decoded := &schemav1.RegistryCommand{}
	result := &schemav1.RegistryResult{}
	// A command that cannot be decoded is the same on every member, so that refusing it keeps them equal.
	if proto.Unmarshal(command, decoded) == nil {
		s.mu.Lock()
		next := s.version + 1
		if s.raisesFence(decoded.GetRange()) {
			// Entry hosts do not use fences, so that their views stay as they are.
			result.Applied = s.setRange(decoded.GetRange())
		} else if result.Applied = s.apply(decoded, next); result.Applied {
			s.version = next
			close(s.changed)
			s.changed = make(chan struct{})
		}
		result.Fence = s.fence
		s.mu.Unlock()
	}
	encoded, err := proto.Marshal(result)
	if err != nil {
		return nil
	}
	return encoded
}

func (s *State) apply(c *schemav1.RegistryCommand, version uint64) bool {
	switch {
	case c.GetRoutes() != nil:
		return s.applyRoutes(c.GetRoutes(), version)
	case c.GetRegistration() != nil:
		return s.applyRegistration(c.GetRegistration(), version)
	case c.GetForgetTarget() != nil:
		return s.applyForget(c.GetForgetTarget(), version)
	case c.GetEvacuation() != nil:
		return s.applyEvacuation(c.GetEvacuation(), version)
	case c.GetKeys() != nil:
		return s.applyKeys(c.GetKeys(), version)
	case c.GetRange() != nil:
		return s.applyRange(c.GetRange(), version)
	case c.GetSplit() != nil:
		return s.applySplit(c.GetSplit(), version)
	case c.GetEntryJoined() != nil:
		return setHost(s.entries, c.GetEntryJoined().GetName(), c.GetEntryJoined(), &s.stamps, version)
	case c.GetEntryLeft() != "":
		if _, ok := s.entries[c.GetEntryLeft()]; !ok {
			return false
		}
		delete(s.entries, c.GetEntryLeft())
		s.stamps.hosts = version
		return true
	case c.GetRegistryHost() != nil:
		return setHost(s.hosts, c.GetRegistryHost().GetName(), c.GetRegistryHost(), &s.stamps, version)
	}
	return false
}

func setHost[T proto.Message](hosts map[string]T, name string, host T, stamps *stamps, version uint64) bool {
	if old, ok := hosts[name]; ok && proto.Equal(old, host) {
		return false
	}
	hosts[name] = host
	stamps.hosts = version
	return true
}

func (s *State) applyRoutes(routes *schemav1.RouteDocument, version uint64) bool {
	if routes.GetRevision() <= s.routes.GetRevision() {
		return false
	}
	s.routes = routes
	s.stamps.routes = version
	return true
}

// Supersedes reports whether what next announces goes beyond what is known as old. Within one start the life only goes
// forward, so that an announcement that was delayed on its way cannot bring a leaving target back.
func Supersedes(old, next *schemav1.Registration) bool {
	switch {
	case old == nil:
		return true
	case next.GetStartedUnixMs() != old.GetStartedUnixMs():
		return next.GetStartedUnixMs() > old.GetStartedUnixMs()
	case next.GetLife() != old.GetLife():
		return next.GetLife() > old.GetLife()
	default:
		return !proto.Equal(old, next)
	}
}

func (s *State) applyRegistration(next *schemav1.Registration, version uint64) bool {
	if !Supersedes(s.targets[next.GetId()], next) {
		return false
	}
	if next.GetLife() != schemav1.Life_LIFE_GONE && !s.takeAddress(next, version) {
		return false
	}
	s.setTarget(next, version)
	return true
}

// takeAddress ends older targets at the address of next. It returns false if a later start holds the address, which
// makes next the late announcement of a target that has ended.
func (s *State) takeAddress(next *schemav1.Registration, version uint64) bool {
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
	s.stamps.targets[next.GetId()] = version
	if next.GetLife() != schemav1.Life_LIFE_GONE {
		return
	}
	s.ended = append(s.ended, next.GetId())
	for len(s.ended) > maxEnded {
		oldest := s.ended[0]
		s.ended = s.ended[1:]
		if s.targets[oldest].GetLife() == schemav1.Life_LIFE_GONE {
			delete(s.targets, oldest)
			delete(s.stamps.targets, oldest)
			s.stamps.forgotten = version
		}
	}
}

// applyForget ends a target. A start of 0 means the one that is known.
func (s *State) applyForget(target *schemav1.Registration, version uint64) bool {
	old, ok := s.targets[target.GetId()]
	other := target.GetStartedUnixMs() != 0 && old.GetStartedUnixMs() != target.GetStartedUnixMs()
	if !ok || old.GetLife() == schemav1.Life_LIFE_GONE || other {
		return false
	}
	gone := proto.Clone(old).(*schemav1.Registration)
	gone.Life = schemav1.Life_LIFE_GONE
	s.setTarget(gone, version)
	return true
}

func (s *State) applyEvacuation(change *schemav1.EvacuationChange, version uint64) bool {
	if s.evacuees[change.GetDataCentre()] == change.GetOut() {
		return false
	}
	if change.GetOut() {
		s.evacuees[change.GetDataCentre()] = true
	} else {
		delete(s.evacuees, change.GetDataCentre())
	}
	s.stamps.evacuated = version
	return true
}

// applyKeys sets the first table of a service. Later changes go range by range.
func (s *State) applyKeys(table *schemav1.KeyTable, version uint64) bool {
	if s.keys[table.GetService()] != nil {
		return false
	}
	next := proto.Clone(table).(*schemav1.KeyTable)
	for _, r := range next.GetRanges() {
		s.fence++
		r.Fence = s.fence
	}
	s.keys[table.GetService()] = next
	s.stamps.keys[table.GetService()] = version
	return true
}

// rangeAt returns the table of a service and the place of the range with a first key and a fence, or a negative place.
func (s *State) rangeAt(service string, first uint32, fence uint64) (*schemav1.KeyTable, int) {
	table := s.keys[service]
	return table, slices.IndexFunc(table.GetRanges(), func(r *schemav1.KeyRange) bool {
		return r.GetFence() == fence && r.GetFirst() == first
	})
}

// raisesFence reports whether a change gives a range a new fence and nothing else.
func (s *State) raisesFence(change *schemav1.RangeChange) bool {
	table, at := s.rangeAt(change.GetService(), change.GetRange().GetFirst(), change.GetExpectedFence())
	if at < 0 || change.GetRange().GetFence() != 0 {
		return false
	}
	next := proto.Clone(change.GetRange()).(*schemav1.KeyRange)
	next.Fence = change.GetExpectedFence()
	return proto.Equal(table.GetRanges()[at], next)
}

func (s *State) applyRange(change *schemav1.RangeChange, version uint64) bool {
	if !s.setRange(change) {
		return false
	}
	s.stamps.keys[change.GetService()] = version
	return true
}

func (s *State) setRange(change *schemav1.RangeChange) bool {
	table, at := s.rangeAt(change.GetService(), change.GetRange().GetFirst(), change.GetExpectedFence())
	if at < 0 {
		return false
	}
	next := proto.Clone(change.GetRange()).(*schemav1.KeyRange)
	if next.GetFence() == 0 {
		s.fence++
		next.Fence = s.fence
	}
	// Views share the table, so it is copied.
	ranges := slices.Clone(table.GetRanges())
	ranges[at] = next
	s.keys[change.GetService()] = &schemav1.KeyTable{Service: table.GetService(), Ranges: ranges}
	return true
}

func (s *State) applySplit(split *schemav1.RangeSplit, version uint64) bool {
	table, at := s.rangeAt(split.GetService(), split.GetFirst(), split.GetExpectedFence())
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
	s.keys[split.GetService()] = &schemav1.KeyTable{Service: table.GetService(), Ranges: ranges}
	s.stamps.keys[split.GetService()] = version
	return true
}

// Snapshot implements replication.StateMachine.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	state := &schemav1.RegistryState{
		Routes: s.routes, Evacuated: s.evacuated(), Entries: sorted(s.entries), RegistryHosts: sorted(s.hosts),
		Keys: sorted(s.keys), Targets: sorted(s.targets), LastFence: s.fence, Version: s.version,
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
	fresh.version, fresh.fence, fresh.routes = version, state.GetLastFence(), state.GetRoutes()
	for _, dataCentre := range state.GetEvacuated() {
		fresh.evacuees[dataCentre] = true
	}
	for _, entry := range state.GetEntries() {
		fresh.entries[entry.GetName()] = entry
	}
	for _, host := range state.GetRegistryHosts() {
		fresh.hosts[host.GetName()] = host
	}
	for _, table := range state.GetKeys() {
		fresh.keys[table.GetService()] = table
		fresh.stamps.keys[table.GetService()] = version
	}
	for _, target := range state.GetTargets() {
		fresh.setTarget(target, version)
	}
	fresh.stamps.routes, fresh.stamps.evacuated, fresh.stamps.hosts, fresh.stamps.forgotten = version, version, version, version
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.fence, s.routes, s.targets, s.evacuees = fresh.version, fresh.fence, fresh.routes, fresh.targets, fresh.evacuees
	s.keys, s.entries, s.hosts, s.ended, s.stamps = fresh.keys, fresh.entries, fresh.hosts, fresh.ended, fresh.stamps
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// sorted returns the values in the order of their names, so that equal states have equal snapshots.
func sorted[T any](values map[string]T) []T {
	ordered := make([]T, 0, len(values))
	for _, name := range slices.Sorted(maps.Keys(values)) {
		ordered = append(ordered, values[name])
	}
	return ordered
}

func (s *State) evacuated() []string { return slices.Sorted(maps.Keys(s.evacuees)) }

// Version counts the changes so far.
func (s *State) Version() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.version
}

// Changed returns a channel that is closed at the next change.
func (s *State) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// Routes returns the configuration in force; nil when there is none.
func (s *State) Routes() *schemav1.RouteDocument {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.routes
}

// Target returns the registration of id.
func (s *State) Target(id string) (*schemav1.Registration, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	target, ok := s.targets[id]
	return target, ok
}

// Targets returns all registrations that have not ended, in the order of their ids.
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

// IsEvacuated reports whether a data centre is out.
func (s *State) IsEvacuated(dataCentre string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.evacuees[dataCentre]
}

// Keys returns the key ranges of a service; nil when it has none.
func (s *State) Keys(service string) *schemav1.KeyTable {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.keys[service]
}

// EntryHosts returns the entry hosts.
func (s *State) EntryHosts() []*schemav1.EntryHost {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return sorted(s.entries)
}

// RegistryHosts returns the registry hosts.
func (s *State) RegistryHosts() []*schemav1.RegistryHost {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return sorted(s.hosts)
}

// UpdateSince returns what changed after version, or everything when that is cheaper or needed.
func (s *State) UpdateSince(version uint64) *schemav1.ViewUpdate {
	s.mu.RLock()
	defer s.mu.RUnlock()
	full := version == 0 || version > s.version || s.stamps.forgotten > version
	update := &schemav1.ViewUpdate{Version: s.version, Full: full}
	if full || s.stamps.routes > version {
		update.Routes = s.routes
	}
	if full || s.stamps.evacuated > version {
		update.EvacuatedChanged, update.Evacuated = true, s.evacuated()
	}
	if full || s.stamps.hosts > version {
		update.HostsChanged, update.Entries, update.RegistryHosts = true, sorted(s.entries), sorted(s.hosts)
	}
	for _, id := range slices.Sorted(maps.Keys(s.targets)) {
		target := s.targets[id]
		if full && target.GetLife() == schemav1.Life_LIFE_GONE {
			continue
		}
		if full || s.stamps.targets[id] > version {
			update.Targets = append(update.Targets, target)
		}
	}
	for service, table := range s.keys {
		if full || s.stamps.keys[service] > version {
			update.Keys = append(update.Keys, table)
		}
	}
	return update
}
