package replication

import (
	"fmt"
	"sort"
	"time"

	"almondrock.example/almondrock/pkg/raft"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// checker records the history of a simulation and reports violations of the safety properties of Raft (thesis, figure 3.2)
// and of the leader lease.
type checker struct {
	violations []string
	// leaderByTerm is the ID of the leader of each term.
	leaderByTerm map[uint64]uint64
	// entries has the entries that any member saved, by position; previousTerms has the term of the entry before each.
	entries       map[position]*schemav1.Entry
	previousTerms map[position]uint64
	// appliedValues are the commands that members applied, by index; all members must apply the same one.
	appliedValues map[uint64]uint64
	// acknowledged are the acknowledged commands by index. lastAcknowledged is the highest index of them.
	acknowledged     map[uint64]uint64
	lastAcknowledged uint64
	// lastProposed is the last command that was proposed. Commands are consecutive numbers.
	lastProposed uint64
	// acknowledgements has the acknowledged indexes with the true time, in order of time.
	acknowledgements []acknowledgement
	// knownAges counts the steps of the simulation and members at which the age of a member's state was known.
	knownAges int
	// leaseInstants counts the steps of the simulation at which a member held the lease.
	leaseInstants int
	// membershipChanges counts the membership changes that succeeded.
	membershipChanges int
	// comparedRecords is the number of records of each state machine that were compared.
	comparedRecords map[*recorder]int
}

// acknowledgement is the highest index that was acknowledged by the true time at.
type acknowledgement struct {
	at    time.Duration
	index uint64
}

// position identifies a log entry.
type position struct{ index, term uint64 }

func newChecker() *checker {
	return &checker{
		leaderByTerm: map[uint64]uint64{}, entries: map[position]*schemav1.Entry{}, previousTerms: map[position]uint64{},
		appliedValues: map[uint64]uint64{}, acknowledged: map[uint64]uint64{}, comparedRecords: map[*recorder]int{},
	}
}

func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// checkSavedEntries checks log matching: entries with equal index and term are equal, and so are their predecessors.
func (c *checker) checkSavedEntries(id uint64, entries []*schemav1.Entry) {
	for i, entry := range entries {
		at := position{entry.GetIndex(), entry.GetTerm()}
		if known, ok := c.entries[at]; ok && !sameEntry(known, entry) {
			c.addViolation("log matching: member %d has a different entry at %v", id, at)
		}
		c.entries[at] = entry
		if i == 0 {
			continue
		}
		term := entries[i-1].GetTerm()
		if known, ok := c.previousTerms[at]; ok && known != term {
			c.addViolation("log matching: member %d has a different entry before %v", id, at)
		}
		c.previousTerms[at] = term
	}
}

func (c *checker) acknowledge(now time.Duration, value, index uint64) {
	c.acknowledged[index] = value
	c.lastAcknowledged = max(c.lastAcknowledged, index)
	c.acknowledgements = append(c.acknowledgements, acknowledgement{now, c.lastAcknowledged})
}

// checkStateAge checks that a member's state has everything that was acknowledged before the time for which it counts as complete.
func (c *checker) checkStateAge(now time.Duration, node *simNode) {
	tick, known := node.replica.node.CompleteAt()
	if !known {
		return
	}
	c.knownAges++
	age := node.elapsed() - time.Duration(tick)*node.replica.options.Tick
	completeAt := now - time.Duration(float64(age)/node.clockRate)
	later := sort.Search(len(c.acknowledgements), func(i int) bool { return c.acknowledgements[i].at >= completeAt })
	if later > 0 && node.replica.appliedIndex < c.acknowledgements[later-1].index {
		c.addViolation("state age: member %d has index %d at %v, but index %d was acknowledged before %v", node.id, node.replica.appliedIndex, now,
			c.acknowledgements[later-1].index, completeAt)
	}
}

// checkInstant checks what must hold at every instant of true time: at most one leader per term, at most one holder of the
// lease, ages of state that are true, and equal commands in all state machines.
func (c *checker) checkInstant(s *sim) {
	var holder uint64
	for _, id := range s.ids {
		node := s.nodes[id]
		if node.replica == nil {
			continue
		}
		if term := node.replica.node.Term(); node.replica.node.Role() == raft.Leader {
			if known, ok := c.leaderByTerm[term]; ok && known != id {
				c.addViolation("election safety: members %d and %d lead term %d", known, id, term)
			}
			c.leaderByTerm[term] = id
		}
		if node.holdsLease() {
			if holder != 0 {
				c.addViolation("leases of members %d and %d overlap at %v", holder, id, s.now)
			}
			holder = id
			c.leaseInstants++
		}
		if node.isRunning() {
			c.checkStateAge(s.now, node)
		}
		c.checkStateMachine(id, node.stateMachine)
	}
}

// checkStateMachine checks state machine safety: all members apply the same command at an index.
func (c *checker) checkStateMachine(id uint64, machine *recorder) {
	from := min(c.comparedRecords[machine], len(machine.records))
	for _, r := range machine.records[from:] {
		if value, ok := c.appliedValues[r.index]; ok && value != r.value {
			c.addViolation("state machine safety: member %d applied command %d at index %d, another member command %d",
				id, r.value, r.index, value)
		}
		c.appliedValues[r.index] = r.value
	}
	c.comparedRecords[machine] = len(machine.records)
}

// checkAcknowledged checks that every running member of the leader's group has applied all acknowledged commands, in order and
// once.
func (c *checker) checkAcknowledged(s *sim) {
	leader := s.leader()
	for _, id := range s.ids {
		node := s.nodes[id]
		if node.replica == nil || (leader != nil && leader.replica.node.Member(id) == nil) {
			continue
		}
		applied, last := map[uint64]uint64{}, uint64(0)
		for _, r := range node.stateMachine.records {
			if r.index <= last {
				c.addViolation("member %d applied index %d after index %d", id, r.index, last)
			}
			applied[r.index], last = r.value, r.index
		}
		for index, value := range c.acknowledged {
			if applied[index] != value {
				c.addViolation("member %d lost the acknowledged command %d at index %d", id, value, index)
			}
		}
	}
}
