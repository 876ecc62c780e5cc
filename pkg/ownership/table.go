package ownership

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Table is the replicated table of one data centre group. Apply and Restore are called by one goroutine; all other
// methods are safe for concurrent use. Records returned by the table are immutable: callers must not change them.
type Table struct {
	dataCentre string
	generation uint64

	// mu guards the fields below it; Assignment and Target read through atomic pointers instead.
	mu           sync.RWMutex
	fenceCounter uint64
	byOwner      map[string]map[shardKey]*shardEntry
	records      *recordStore
	delegations  delegations

	applied atomic.Uint64
	// changes counts what Changed announces; records of requests don't count.
	changes   atomic.Uint64
	view      atomic.Pointer[schemav1.ControlView]
	keyspaces atomic.Pointer[map[string]*keyspaceState]
	targets   atomic.Pointer[map[string]*targetState]
	changed   atomic.Pointer[chan struct{}]
}

// Assignment is where requests for a shard or hot key go.
type Assignment struct {
	// Target owns the shard. Host is attached to it; empty while the target is unattached.
	Target, Host string
	Fence        *schemav1.Fence
	// Moving is set while the owner stops: no new work may start.
	Moving bool
	// Attachment is the number of the target's attachment.
	Attachment uint64
}

// shardKey identifies a shard or a hot key.
type shardKey struct {
	keyspace string
	shard    uint32
	hot      bool
	keyHash  uint64
}

// shardEntry is immutable once published; owner is nil while the shard has none.
type shardEntry struct {
	record *schemav1.ShardRecord
	owner  *targetState
}

// keyspaceState holds the entries of one keyspace, replaced one by one while requests read them.
type keyspaceState struct {
	id      string
	service string
	shards  []atomic.Pointer[shardEntry]
	hot     atomic.Pointer[map[uint64]*shardEntry]
}

// targetState keeps its place while the record behind it is replaced.
type targetState struct {
	published atomic.Pointer[publishedTarget]
}

// publishedTarget pairs a record with the host that may send to the target; the host is empty when the attached host
// has restarted or left since.
type publishedTarget struct {
	record *schemav1.TargetRecord
	host   string
}

// NewTable returns the empty table of a data centre group in the given generation.
func NewTable(dataCentre string, generation uint64) *Table {
	t := &Table{
		dataCentre: dataCentre, generation: generation,
		byOwner: map[string]map[shardKey]*shardEntry{}, records: newRecordStore(), delegations: delegations{},
	}
	t.view.Store(&schemav1.ControlView{})
	t.keyspaces.Store(&map[string]*keyspaceState{})
	t.targets.Store(&map[string]*targetState{})
	ch := make(chan struct{})
	t.changed.Store(&ch)
	return t
}

// Assignment returns the owner of a key: the entry of the hot key if there is one, otherwise that of the shard. It
// reports false when there is no owner. It takes no lock and allocates nothing.
func (t *Table) Assignment(keyspace string, shard uint32, keyHash uint64) (Assignment, bool) {
	state, ok := (*t.keyspaces.Load())[keyspace]
	if !ok {
		return Assignment{}, false
	}
	entry := state.find(shard, keyHash)
	if entry == nil || entry.owner == nil {
		return Assignment{}, false
	}
	owner := entry.owner.published.Load()
	return Assignment{
		Target:     entry.record.Target,
		Host:       owner.host,
		Fence:      entry.record.Fence,
		Moving:     entry.record.State == schemav1.ShardState_SHARD_STATE_MOVING,
		Attachment: owner.record.Attachment,
	}, true
}

// find returns the entry in force for a key.
func (k *keyspaceState) find(shard uint32, keyHash uint64) *shardEntry {
	if hot := *k.hot.Load(); len(hot) > 0 {
		if entry, ok := hot[keyHash]; ok && entry.record.Shard == shard {
			return entry
		}
	}
	if int(shard) >= len(k.shards) {
		return nil
	}
	return k.shards[shard].Load()
}

// Target returns the record of a target.
func (t *Table) Target(name string) (*schemav1.TargetRecord, bool) {
	state, ok := (*t.targets.Load())[name]
	if !ok {
		return nil, false
	}
	return state.published.Load().record, true
}

// TargetsAttachedTo returns the targets that the current process of host may send to, in order of their names.
func (t *Table) TargetsAttachedTo(host string) []*schemav1.TargetRecord {
	return t.selectTargets(func(p *publishedTarget) bool { return host != "" && p.host == host })
}

// TargetsOf returns the targets of service, lost ones included, in order of their names.
func (t *Table) TargetsOf(service string) []*schemav1.TargetRecord {
	return t.selectTargets(func(p *publishedTarget) bool { return p.record.Announcement.Service == service })
}

// Targets returns all registered targets in order of their names.
func (t *Table) Targets() []*schemav1.TargetRecord {
	return t.selectTargets(func(*publishedTarget) bool { return true })
}

func (t *Table) selectTargets(match func(*publishedTarget) bool) []*schemav1.TargetRecord {
	var selected []*schemav1.TargetRecord
	for _, state := range *t.targets.Load() {
		if p := state.published.Load(); match(p) {
			selected = append(selected, p.record)
		}
	}
	slices.SortFunc(selected, func(a, b *schemav1.TargetRecord) int {
		return strings.Compare(a.Announcement.Target, b.Announcement.Target)
	})
	return selected
}

// ShardsOf returns the shards and hot keys that target owns, in order.
func (t *Table) ShardsOf(target string) []*schemav1.ShardRecord {
	t.mu.RLock()
	defer t.mu.RUnlock()
	owned := make([]*schemav1.ShardRecord, 0, len(t.byOwner[target]))
	for _, entry := range t.byOwner[target] {
		owned = append(owned, entry.record)
	}
	slices.SortFunc(owned, compareRecords)
	return owned
}

// Shards returns the records of all shards and hot keys in order, for the driver and the administration API.
func (t *Table) Shards() []*schemav1.ShardRecord {
	var all []*schemav1.ShardRecord
	for _, state := range *t.keyspaces.Load() {
		state.each(func(entry *shardEntry) { all = append(all, entry.record) })
	}
	slices.SortFunc(all, compareRecords)
	return all
}

// each calls visit for every entry of the keyspace, shards in order and then hot keys in no order.
func (k *keyspaceState) each(visit func(*shardEntry)) {
	for i := range k.shards {
		if entry := k.shards[i].Load(); entry != nil {
			visit(entry)
		}
	}
	for _, entry := range *k.hot.Load() {
		visit(entry)
	}
}

// ControlView returns the last view of the control group; it is empty before the first.
func (t *Table) ControlView() *schemav1.ControlView {
	return t.view.Load()
}

// AppliedIndex returns the index of the last applied command. A host sends it with each lease renewal.
func (t *Table) AppliedIndex() uint64 {
	return t.applied.Load()
}

// Generation returns the generation of the data centre group.
func (t *Table) Generation() uint64 {
	return t.generation
}

// DataCentre returns the name of the data centre.
func (t *Table) DataCentre() string {
	return t.dataCentre
}

// Changed returns a channel that is closed at the next change of a target, a shard or the control view.
func (t *Table) Changed() <-chan struct{} {
	return *t.changed.Load()
}

func (t *Table) notify() {
	ch := make(chan struct{})
	close(*t.changed.Swap(&ch))
}

func compareRecords(a, b *schemav1.ShardRecord) int {
	if c := strings.Compare(a.Keyspace, b.Keyspace); c != 0 {
		return c
	}
	if a.Hot != b.Hot {
		if b.Hot {
			return -1
		}
		return 1
	}
	if a.Shard != b.Shard {
		return compareUint(uint64(a.Shard), uint64(b.Shard))
	}
	return compareUint(a.KeyHash, b.KeyHash)
}

func compareUint(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
