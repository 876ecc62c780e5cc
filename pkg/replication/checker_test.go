package replication

import (
	"fmt"

	"almondrock.example/almondrock/pkg/raft"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// checker records the history of a simulation and finds violations of the safety properties of Raft (thesis, figure
// 3.2) and of the leader lease.
type checker struct {
	violations []string
	leaders    map[uint64]uint64
	// entries saved by anyone, by position; previous has the term of the entry before.
	entries  map[position]*schemav1.Entry
	previous map[position]uint64
	// chosen is what the first member applied at each index.
	chosen           map[uint64]uint64
	acknowledged     map[uint64]uint64
	lastAcknowledged uint64
	next             uint64
	// leased counts the instants at which somebody held the lease.
	leased int
	// changes of the membership that succeeded.
	changes int
	// checked has how many records of each state machine were compared.
	checked map[*recorder]int
}

type position struct{ index, term uint64 }

func newChecker() *checker {
	return &checker{
		leaders: map[uint64]uint64{}, entries: map[position]*schemav1.Entry{}, previous: map[position]uint64{},
		chosen: map[uint64]uint64{}, acknowledged: map[uint64]uint64{}, checked: map[*recorder]int{},
	}
}

func (c *checker) fail(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// saved checks log matching: entries with equal index and term are equal, and so are their predecessors.
func (c *checker) saved(id uint64, entries []*schemav1.Entry) {
	for i, entry := range entries {
		at := position{entry.GetIndex(), entry.GetTerm()}
		if known, ok := c.entries[at]; ok && !sameEntry(known, entry) {
			c.fail("log matching: member %d has another entry at %v", id, at)
		}
		c.entries[at] = entry
		if i == 0 {
			continue
		}
		term := entries[i-1].GetTerm()
		if known, ok := c.previous[at]; ok && known != term {
			c.fail("log matching: member %d has another entry before %v", id, at)
		}
		c.previous[at] = term
	}
}

func (c *checker) acknowledge(value, index uint64) {
	c.acknowledged[index] = value
	c.lastAcknowledged = max(c.lastAcknowledged, index)
}

// observe checks what must hold at every instant of true time.
func (c *checker) observe(s *sim) {
	var holder uint64
	for _, id := range s.order {
		node := s.nodes[id]
		if node.m == nil {
			continue
		}
		if term := node.m.node.Term(); node.m.node.Role() == raft.Leader {
			if known, ok := c.leaders[term]; ok && known != id {
				c.fail("members %d and %d lead term %d", known, id, term)
			}
			c.leaders[term] = id
		}
		if node.holdsLease() {
			if holder != 0 {
				c.fail("leases of members %d and %d overlap at %v", holder, id, s.now)
			}
			holder = id
			c.leased++
		}
		c.compare(id, node.machine)
	}
}

// compare checks state machine safety: all members apply the same command at an index.
func (c *checker) compare(id uint64, machine *recorder) {
	from := min(c.checked[machine], len(machine.records))
	for _, r := range machine.records[from:] {
		if value, ok := c.chosen[r.index]; ok && value != r.value {
			c.fail("state machine safety: member %d applied %d at %d, another one %d", id, r.value, r.index, value)
		}
		c.chosen[r.index] = r.value
	}
	c.checked[machine] = len(machine.records)
}

// finish checks that every running member of the leader's group has everything that was acknowledged, in order and
// once.
func (c *checker) finish(s *sim) {
	leader := s.leader()
	for _, id := range s.order {
		node := s.nodes[id]
		if node.m == nil || (leader != nil && leader.m.node.Member(id) == nil) {
			continue
		}
		applied, last := map[uint64]uint64{}, uint64(0)
		for _, r := range node.machine.records {
			if r.index <= last {
				c.fail("member %d applied %d after %d", id, r.index, last)
			}
			applied[r.index], last = r.value, r.index
		}
		for index, value := range c.acknowledged {
			if applied[index] != value {
				c.fail("member %d lost the acknowledged command %d at %d", id, value, index)
			}
		}
	}
}
