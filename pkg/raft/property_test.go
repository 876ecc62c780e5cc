package raft

import (
	"slices"
	"testing"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"

	"pgregory.net/rapid"
)

// A wrong quorum lets a leader commit, or hold a lease, with a minority.
func TestQuorumValue(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		values := rapid.SliceOfN(rapid.Uint64Range(0, 9), 1, 7).Draw(t, "values")
		membership := voters(uint64(len(values)))
		membership.Members = append(membership.Members, &schemav1.Member{Id: 99, Learner: true})
		got := quorumValue(membership, func(id uint64) uint64 { return values[id-1] })
		reached := func(limit uint64) (count int) {
			for _, value := range values {
				if value >= limit {
					count++
				}
			}
			return count
		}
		if 2*reached(got) <= len(values) || 2*reached(got+1) > len(values) {
			t.Fatalf("quorum value of %v is %d", values, got)
		}
	})
}

// Any majority before a change must share a member with any majority after it.
func TestMajoritiesOfAdjacentConfigurationsOverlap(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		before := voters(rapid.Uint64Range(1, 6).Draw(t, "voters"))
		before.Members = append(before.Members, &schemav1.Member{Id: 7, Learner: true})
		after := changed(before, &schemav1.MembershipChange{
			Kind:   schemav1.MembershipChange_Kind(rapid.IntRange(1, 3).Draw(t, "kind")),
			Member: &schemav1.Member{Id: rapid.Uint64Range(1, 8).Draw(t, "member")},
		})
		side := rapid.SliceOfN(rapid.Bool(), 9, 9).Draw(t, "side")
		inOne := quorumOf(before, func(id uint64) bool { return side[id] })
		inOther := quorumOf(after, func(id uint64) bool { return !side[id] })
		if inOne && inOther {
			t.Fatalf("disjoint majorities of %v and %v", before, after)
		}
	})
}

// The log must behave like a plain list, whatever was truncated or compacted before.
func TestLogAgainstList(t *testing.T) {
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
					Index: log.last() + 1, Term: log.lastTerm() + rapid.Uint64Range(0, 2).Draw(t, "term"),
					Data: make([]byte, rapid.IntRange(0, 50).Draw(t, "size")),
				}
				log.entries, model = append(log.entries, entry), append(model, entry)
			},
			"truncate": func(t *rapid.T) {
				index := rapid.Uint64Range(first, log.last()+1).Draw(t, "index")
				log.truncate(index)
				model = model[:index-1]
			},
			"compact": func(t *rapid.T) {
				index := rapid.Uint64Range(first-1, log.last()).Draw(t, "index")
				log.compact(index)
				first = max(first, index+1)
			},
			"": func(t *rapid.T) {
				if log.last() != uint64(len(model)) {
					t.Fatalf("last is %d, not %d", log.last(), len(model))
				}
				for i, entry := range model {
					term, ok := log.term(uint64(i + 1))
					if ok != (uint64(i+1) >= first-1) || (ok && term != entry.GetTerm()) {
						t.Fatalf("term of %d is %d, %v", i+1, term, ok)
					}
				}
				from := rapid.Uint64Range(first, log.last()+1).Draw(t, "from")
				limit := rapid.IntRange(1, 200).Draw(t, "limit")
				got, size := log.between(from, log.last(), limit), 0
				for _, entry := range got {
					size += entrySize(entry)
				}
				if !slices.Equal(got, model[from-1:from-1+uint64(len(got))]) || (len(got) > 1 && size > limit) ||
					(len(got) == 0 && from <= log.last()) {
					t.Fatalf("between %d of limit %d gives %d entries of %d bytes", from, limit, len(got), size)
				}
			},
		})
	})
}

// A follower with any log that can arise must end with the leader's log after a bounded number of messages.
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
		leader := rawNode(t, 1, leaderTerms, 0)
		committed := rapid.IntRange(0, common).Draw(t, "committed")
		follower := rawNode(t, 2, followerTerms, uint64(committed))
		leader.config.MaxAppendBytes = rapid.IntRange(1, 200).Draw(t, "maxAppendBytes")
		leader.term, leader.role = 6, Candidate
		leader.becomeLeader()
		exchanged := 0
		for queue := drain(leader); len(queue) > 0; exchanged++ {
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
		if follower.log.last() != leader.log.last() || follower.log.commit != leader.log.last() {
			t.Fatalf("follower has %d of %d, committed %d", follower.log.last(), leader.log.last(), follower.log.commit)
		}
		for i := bootstrapIndex; uint64(i) <= leader.log.last(); i++ {
			if term, _ := leader.log.term(uint64(i)); !follower.log.matches(uint64(i), term) {
				t.Fatalf("entry %d differs", i)
			}
		}
		// At worst one message per entry, one probe per term, their answers, and the commit index with each.
		if limit := 4*(len(leaderTerms)+1) + 2*5 + 20; exchanged > limit {
			t.Fatalf("%d messages, more than %d", exchanged, limit)
		}
	})
}

func rawNode(t *rapid.T, id uint64, terms []uint64, committed uint64) *Node {
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

// Whatever arrives, a member's term and commit index never go back, and a sealed member says nothing.
func TestAnyMessages(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		n := rawNode(t, 1, []uint64{1, 2, 3}, 0)
		n.TickBy(21)
		small := rapid.Uint64Range(0, 6)
		t.Repeat(map[string]func(*rapid.T){
			"step": func(t *rapid.T) {
				term, commit := n.term, n.log.commit
				m := &schemav1.RaftMessage{
					Type: schemav1.RaftMessageType(rapid.IntRange(0, 11).Draw(t, "type")), To: 1,
					From: rapid.Uint64Range(2, 4).Draw(t, "from"), Term: small.Draw(t, "term") + 4,
					Index: small.Draw(t, "index"), LogTerm: small.Draw(t, "logTerm"), Commit: small.Draw(t, "commit"),
					Reject: rapid.Bool().Draw(t, "reject"), RejectHint: small.Draw(t, "hint"),
					Context: small.Draw(t, "context"), Force: rapid.Bool().Draw(t, "force"), Offset: small.Draw(t, "offset"),
				}
				// An error is fine: nothing keeps these senders from contradicting what is committed.
				_ = n.Step(m)
				if n.term < term || n.log.commit < commit || n.log.applied > n.log.commit || n.log.commit > n.log.last() {
					t.Fatalf("term %d to %d, commit %d to %d", term, n.term, commit, n.log.commit)
				}
				sealed := n.sealed
				if messages := drain(n); sealed && len(messages) > 0 {
					t.Fatalf("sealed, but sent %v", messages)
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
