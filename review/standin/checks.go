package main

import (
	"fmt"
	"sort"
	"time"
)

// keyStep is the distance of the keys that checkOwners looks at.
const keyStep = 32

// maxBothHold is how long two back ends may hold the same keys (RULES.md, OWNER).
const maxBothHold = 500 * time.Millisecond

// hold is a time in which a process of a back end held a key.
type hold struct {
	server   string
	pid      int
	fence    uint64
	from, to time.Time
}

// checkOwners checks that two back ends that are up never hold the same keys for more than maxBothHold, and reports each process with which
// another one shared keys.
func (r *run) checkOwners() (broken bool) {
	events := r.sortedEvents()
	end := time.Now()
	killed := map[int]time.Time{}
	for _, e := range events {
		if e.Kind == "killed" {
			killed[e.PID] = e.At
		}
	}
	type shared struct {
		a, b             hold
		first, last      int
		from, to         time.Time
		requestsA, runsB []string
	}
	found := map[string]*shared{}
	grants := 0
	for key := 0; key < keyCount; key += keyStep {
		current := map[int]*hold{}
		var holds []*hold
		for _, e := range events {
			if key < e.From || key > e.To {
				continue
			}
			switch {
			case e.Kind == "grant" && e.Text == "200":
				grants++
				until := e.At.Add(time.Duration(e.HoldMs) * time.Millisecond)
				if h := current[e.PID]; h != nil && !h.to.Before(e.At) {
					h.to, h.fence = until, e.Fence
					continue
				}
				h := &hold{server: e.Server, pid: e.PID, fence: e.Fence, from: e.At, to: until}
				current[e.PID] = h
				holds = append(holds, h)
			case e.Kind == "release":
				if h := current[e.PID]; h != nil && h.to.After(e.At) && h.fence <= e.Fence {
					h.to = e.At
				}
			}
		}
		for _, h := range holds {
			if at, ok := killed[h.pid]; ok && at.Before(h.to) {
				h.to = at
			}
			if end.Before(h.to) {
				h.to = end
			}
		}
		sort.Slice(holds, func(i, j int) bool { return holds[i].from.Before(holds[j].from) })
		for i, a := range holds {
			for _, b := range holds[i+1:] {
				from, to := b.from, a.to
				if b.to.Before(to) {
					to = b.to
				}
				if a.pid == b.pid || to.Sub(from) <= maxBothHold {
					continue
				}
				id := fmt.Sprintf("%d %d", a.pid, b.pid)
				if found[id] == nil {
					found[id] = &shared{a: *a, b: *b, first: key, from: from, to: to}
				}
				found[id].last = key
			}
		}
	}
	for _, s := range found {
		broken = true
		r.note("OWNER broken: %s (process %d, fence %d) and %s (process %d, fence %d) both hold keys between %d and %d from %s to %s, %v",
			s.a.server, s.a.pid, s.a.fence, s.b.server, s.b.pid, s.b.fence, s.first, s.last, r.seconds(s.from), r.seconds(s.to),
			s.to.Sub(s.from).Round(time.Millisecond))
		for _, e := range events {
			if e.Kind == "run" && (e.PID == s.a.pid || e.PID == s.b.pid) && e.Key >= s.first && e.Key <= s.last && !e.At.Before(s.from) && e.At.Before(s.to) {
				r.note("    in that time %s (process %d) begins request %s on key %d at %s", e.Server, e.PID, e.Request, e.Key, r.seconds(e.At))
			}
		}
	}
	r.note("%d grants of looked-at keys, %d processes of back ends killed, %d requests", grants, len(killed), r.requests.Load())
	return broken
}

// checkNotRun checks that no request reaches some back ends in a period.
func (r *run) checkNotRun(from, to time.Time, why string, concerns func(server string) bool) (broken bool) {
	count, others := 0, 0
	for _, e := range r.sortedEvents() {
		if e.Kind != "run" || e.At.Before(from) || e.At.After(to) {
			continue
		}
		if !concerns(e.Server) {
			others++
			continue
		}
		if count++; count <= 5 {
			r.note("EVAC broken: request %s reaches %s at %s, although %s", e.Request, e.Server, r.seconds(e.At), why)
		}
	}
	r.note("from %s to %s, %d requests ran where none may, %d elsewhere", r.seconds(from), r.seconds(to), count, others)
	return count > 0
}
