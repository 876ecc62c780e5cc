package slots

import (
	"cmp"
	"slices"
	"time"
)

// maxRank is the least urgent rank. With 10 ranks, the tenth of the slots that each rank keeps is never more than there is.
const maxRank = 9

// order is the order of waiting requests of one rank.
type order int

const (
	// newestFirst serves requests that can meet their objective newest first, then the others newest first.
	newestFirst order = iota
	// byArrival serves in order of arrival.
	byArrival
	// byArrivalInTime serves requests that can meet their objective in order of arrival, then the others.
	byArrivalInTime
	// bySlack serves the request first whose objective is the first to become impossible, then the others newest first.
	bySlack
)

// phase is the state of an ask.
type phase int

const (
	waiting phase = iota
	granted
	finished
)

// request is an ask with its state.
type request struct {
	id                  AskID
	phase               phase
	rank                int
	excluded            []uint32
	duration, roundTrip time.Duration
	// weight is the part of a slot that the request takes.
	weight float64
	// deadlineAt is the deadline. lastForObjective and lastForDeadline are the last times for a turn that lead to a response in time.
	objectiveAt, deadlineAt           time.Duration
	lastForObjective, lastForDeadline time.Duration
	// waitUntil is the time after which the request doesn't wait for a free slot any longer.
	waitUntil time.Duration
	onlyFree  bool
	// late is set once the objective can't be met.
	late bool
	// target, its process, the slowdown that it reported, expected and expiresAt are those of the turn.
	target              *target
	process             int
	grantedSlowdown     float64
	expected, expiresAt time.Duration
	// queued is the expected time at the target, with the wait in its queue, relative to that in a free slot.
	queued float64
	// decision is the decision that was made, repeated if the ask is.
	decision Decision
	// released is set when a finished ask needs no further answer.
	released bool
}

// rankQueue has the waiting requests of one rank, each list in order of arrival.
type rankQueue struct {
	inTime, late []*request
	// credit is the time in slots that the rank is owed because more urgent ranks were preferred.
	credit time.Duration
}

func (q *rankQueue) len() int { return len(q.inTime) + len(q.late) }

// each calls visit with the waiting requests in the order in which they get turns, until it returns false.
func (q *rankQueue) each(o order, visit func(*request) bool) {
	for i := range q.inTime {
		if o == newestFirst {
			i = len(q.inTime) - 1 - i
		}
		if !visit(q.inTime[i]) {
			return
		}
	}
	for i := range q.late {
		if o != byArrival && o != byArrivalInTime {
			i = len(q.late) - 1 - i
		}
		if !visit(q.late[i]) {
			return
		}
	}
}

func (q *rankQueue) add(o order, r *request) {
	if r.late && o != byArrival {
		q.late = append(q.late, r)
		return
	}
	at := len(q.inTime)
	if o == bySlack {
		at, _ = slices.BinarySearchFunc(q.inTime, r, func(a, b *request) int { return cmp.Compare(a.lastForObjective, b.lastForObjective) })
	}
	q.inTime = slices.Insert(q.inTime, at, r)
}

func (q *rankQueue) remove(r *request) {
	if at := slices.Index(q.inTime, r); at >= 0 {
		q.inTime = slices.Delete(q.inTime, at, at+1)
	} else if at := slices.Index(q.late, r); at >= 0 {
		q.late = slices.Delete(q.late, at, at+1)
	}
	if q.len() == 0 {
		q.credit = 0
	}
}
