package ownership_test

import (
	"time"

	"almondrock.example/almondrock/pkg/lease"
	"almondrock.example/almondrock/pkg/ownership"
)

// lostTail is the number of entries at most that are lost with a majority of the group.
const lostTail = 4

// nextGeneration plays the loss of a majority: the group is sealed, the end of its log is lost, and after one host lease
// the next generation starts from the rest.
func nextGeneration(s *sim) {
	if s.sealed {
		return
	}
	s.sealed = true
	s.driver = nil
	s.after(time.Duration(float64(lease.HostLeaseDuration)*(1+2*lease.MaxClockRateError)), func() {
		table := ownership.NewTable(dataCentre, s.generation)
		if s.snapshot != nil {
			if err := table.Restore(s.snapshot); err != nil {
				panic(err)
			}
		}
		kept := max(len(s.log)-s.rng.IntN(lostTail+1), min(len(s.log), 1))
		for i, command := range s.log[:kept] {
			table.Apply(uint64(i+1), command) //nolint:gosec // never negative
		}
		snapshot, err := table.Snapshot()
		if err != nil {
			panic(err)
		}
		s.snapshot, s.log, s.sealed = snapshot, nil, false
		s.generation++
		s.commit(encode(setView(s.view)))
		s.leader.pausedUntil = max(s.leader.pausedUntil, s.now+2*electionTimeout)
		s.electAt = s.now
	})
}
