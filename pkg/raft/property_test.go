package raft

import (
	"slices"
	"testing"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"

	"pgregory.net/rapid"
)

// With a wrong quorum a leader could commit entries or hold a lease with a minority of the voters.
func TestQuorumValue(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		values := rapid.SliceOfN(rapid.Uint64Range(0, 9), 1, 7).Draw(t, "values")
		membership := voters(uint64(len(values)))
		membership.Members = append(membership.Members, &schemav1.Member{Id: 99, Learner: true})
		got := quorumValue(membership, func(id uint64) uint64 { return values[id-1] })
		countAtLeast := func(limit uint64) (count int) {
			for _, value := range values {
				if value >= limit {
					count++
				}
			}
			return count
		}
		if 2*countAtLeast(got) <= len(values) || 2*countAtLeast(got+1) > len(values) {
			t.Fatalf("quorum value of %v is %d", values, got)
		}
	})
}

// Any majority before a membership change must share a member with any majority after it, or both could elect a leader.
func TestMajoritiesOfAdjacentConfigurationsOverlap(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		before := voters(rapid.Uint64Range(1, 6).Draw(t, "voters"))
		before.Members = append(before.Members, &schemav1.Member{Id: 7, Learner: true})
		after := applyChange(before, &schemav1.MembershipChange{
			Kind:   schemav1.MembershipChange_Kind(rapid.IntRange(1, 3).Draw(t, "kind")),
			Member: &schemav1.Member{Id: rapid.Uint64Range(1, 8).Draw(t, "member")},
		})
		side := rapid.SliceOfN(rapid.Bool(), 9, 9).Draw(t, "side")
		majorityBefore := hasQuorum(before, func(id uint64) bool { return side[id] })
		majorityAfter := hasQuorum(after, func(id uint64) bool { return !side[id] })
		if majorityBefore && majorityAfter {
			t.Fatalf("disjoint majorities of %v and %v", before, after)
		}
	})
}

// Compares the log with a plain list while entries are appended, truncated and compacted.
func TestLogMatchesListModel(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		log, err := newEntryLog(PersistentState{})
		if err != nil {
			t.Fatal(err)
		}
		model, first := []*schemav1.Entry{}, uint64(1)
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				entry := &schemav1.Entry{
					Index: log.lastIndex() + 1, Term: log.lastTerm() + rapid.Uint64Range(0, 2).Draw(t, "term"),
					Data: make([]byte, rapid.IntRange(0, 50).Draw(t, "size")),
				}
				log.entries, model = append(log.entries, entry), append(model, entry)
			},
			"truncate": func(t *rapid.T) {
				index := rapid.Uint64Range(first, log.lastIndex()+1).Draw(t, "index")
				log.truncate(index)
				model = model[:index-1]
			},
			"compact": func(t *rapid.T) {
				index := rapid.Uint64Range(first-1, log.lastIndex()).Draw(t, "index")
				log.compact(index)
				first = max(first, index+1)
			},
			"": func(t *rapid.T) {
				if log.lastIndex() != uint64(len(model)) {
					t.Fatalf("last index is %d, want %d", log.lastIndex(), len(model))
				}
				for i, entry := range model {
					term, ok := log.term(uint64(i + 1))
					if ok != (uint64(i+1) >= first-1) || (ok && term != entry.GetTerm()) {
						t.Fatalf("term of entry %d is %d (found: %v)", i+1, term, ok)
					}
				}
				from := rapid.Uint64Range(first, log.lastIndex()+1).Draw(t, "from")
				limit := rapid.IntRange(1, 200).Draw(t, "limit")
				got, size := log.between(from, log.lastIndex(), limit), 0
				for _, entry := range got {
					size += entrySize(entry)
				}
				if !slices.Equal(got, model[from-1:from-1+uint64(len(got))]) || (len(got) > 1 && size > limit) ||
					(len(got) == 0 && from <= log.lastIndex()) {
					t.Fatalf("entries from %d with limit %d: got %d entries of %d bytes", from, limit, len(got), size)
				}
			},
		})
	})
}

// A follower whose log differs from the leader's in any way that Raft allows must end with the leader's log after a bounded
// number of messages.
func TestFollowerConverges(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		terms := rapid.SliceOfN(rapid.Uint64Range(1, 5), 0, 30)
		leaderTerms, followerTerms := terms.Draw(t, "leader"), terms.Draw(t, "follower")
		slices.Sort(leaderTerms)
		slices.Sort(followerTerms)
		// Log matching: entries with equal index and term have equal predecessors.
		common := 0
		for i := range min(len(leaderTerms), len(followerTerms)) {
			if leaderTerms[i] == followerTerms[i] {
				common = i + 1
			}
		}
		copy(followerTerms[:common], leaderTerms[:common])
		leader := newRapidNode(t, 1, leaderTerms, 0)
		committed := rapid.IntRange(0, common).Draw(t, "committed")
		follower := newRapidNode(t, 2, followerTerms, uint64(committed))
		leader.config.MaxAppendBytes = rapid.IntRange(1, 200).Draw(t, "maxAppendBytes")
		leader.term, leader.role = 6, Candidate
		leader.becomeLeader()
		messageCount := 0
		for queue := drain(leader); len(queue) > 0; messageCount++ {
			m := queue[0]
			queue = queue[1:]
			to := map[uint64]*Node{1: leader, 2: follower}[m.GetTo()]
			if to == nil {
				continue
			}
			if err := to.Step(m); err != nil {
				t.Fatal(err)
			}
			queue = append(queue, drain(to)...)
		}
		if follower.log.lastIndex() != leader.log.lastIndex() || follower.log.commitIndex != leader.log.lastIndex() {
			t.Fatalf("follower has %d of %d entries and commit index %d", follower.log.lastIndex(), leader.log.lastIndex(), follower.log.commitIndex)
		}
		for i := bootstrapIndex; uint64(i) <= leader.log.lastIndex(); i++ {
			if term, _ := leader.log.term(uint64(i)); !follower.log.matches(uint64(i), term) {
				t.Fatalf("entry %d of the follower differs from the leader's", i)
			}
		}
		// In the worst case, one message per entry, one probe per term, the responses, and a commit index after each.
		if limit := 4*(len(leaderTerms)+1) + 2*5 + 20; messageCount > limit {
			t.Fatalf("%d messages, want at most %d", messageCount, limit)
		}
	})
}

// newRapidNode returns a member of a group of three voters, at term 5, with a log whose entries have the given terms. The
// first committed of these entries are committed.
func newRapidNode(t *rapid.T, id uint64, terms []uint64, committed uint64) *Node {
	state := Bootstrap(voters(3), nil)
	state.HardState.Commit += committed
	state.HardState.Term = 5
	for i, term := range terms {
		state.Entries = append(state.Entries, &schemav1.Entry{Term: term, Index: bootstrapIndex + 1 + uint64(i)})
	}
	n, err := New(Config{ID: id, Rand: func(int) int { return 0 }}, state)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Whatever messages arrive, a member's term and commit index never decrease, and a sealed member sends nothing.
func TestInvariantsHoldForAnyMessages(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		n := newRapidNode(t, 1, []uint64{1, 2, 3}, 0)
		n.TickBy(21)
		small := rapid.Uint64Range(0, 6)
		t.Repeat(map[string]func(*rapid.T){
			"step": func(t *rapid.T) {
				term, commitIndex := n.term, n.log.commitIndex
				m := &schemav1.RaftMessage{
					Type: schemav1.RaftMessageType(rapid.IntRange(0, 11).Draw(t, "type")), To: 1,
					From: rapid.Uint64Range(2, 4).Draw(t, "from"), Term: small.Draw(t, "term") + 4,
					Index: small.Draw(t, "index"), LogTerm: small.Draw(t, "logTerm"), Commit: small.Draw(t, "commit"),
					Reject: rapid.Bool().Draw(t, "reject"), RejectHint: small.Draw(t, "hint"),
					Context: small.Draw(t, "context"), Force: rapid.Bool().Draw(t, "force"), Offset: small.Draw(t, "offset"),
				}
				// Errors are expected: these random messages may conflict with committed entries.
				_ = n.Step(m)
				if n.term < term || n.log.commitIndex < commitIndex || n.log.appliedIndex > n.log.commitIndex || n.log.commitIndex > n.log.lastIndex() {
					t.Fatalf("term went from %d to %d, commit index from %d to %d", term, n.term, commitIndex, n.log.commitIndex)
				}
				sealed := n.sealed
				if messages := drain(n); sealed && len(messages) > 0 {
					t.Fatalf("the member is sealed but sent %v", messages)
				}
			},
			"tick": func(t *rapid.T) { n.TickBy(rapid.Uint64Range(0, 50).Draw(t, "ticks")) },
			"seal": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "chance") == 0 {
					n.Seal()
				}
			},
		})
	})
}
