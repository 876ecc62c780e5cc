package control

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// leaderlessDelay is how long a data centre group must be without a leader before its next generation is prepared.
// Elections take at most a few hundred milliseconds, so a longer time means that the majority is gone.
const leaderlessDelay = 1500 * time.Millisecond

// Sealer asks one member of a data centre group to stop taking part in a generation for good.
type Sealer interface {
	Seal(ctx context.Context, address string, request *schemav1.SealRequest) (*schemav1.SealResponse, error)
}

// LeaderlessGroups returns the groups whose live hosts report that they have no leader. A generation has the whole delay
// for its first election: hosts learn of it only by polling, and a next one would seal it before it can elect.
func (d *Driver) LeaderlessGroups(now time.Duration) []*schemav1.GroupAssignment {
	var groups []*schemav1.GroupAssignment
	for _, dataCentre := range d.state.DataCentresWithGroups() {
		group, _ := d.state.Group(dataCentre)
		if !d.hadTimeToElect(now, group) {
			continue
		}
		report, reported := d.reports[dataCentre]
		if reported && now-report.at < leaderlessDelay {
			continue
		}
		live := d.LiveHosts(now, dataCentre)
		if len(live) > 0 && !d.anyHasLeader(live) {
			groups = append(groups, group)
		}
	}
	return groups
}

// hadTimeToElect reports whether a generation is old enough to have a leader. Without this wait the polls from before
// it started would end each generation before its members have learned of it. The wait starts at the first call.
func (d *Driver) hadTimeToElect(now time.Duration, group *schemav1.GroupAssignment) bool {
	seen, ok := d.generations[group.GetDataCentre()]
	if !ok || seen.number != group.GetGeneration() {
		d.generations[group.GetDataCentre()] = generationSeen{number: group.GetGeneration(), at: now}
		return false
	}
	return now-seen.at >= leaderlessDelay
}

// LiveHosts returns the hosts of a data centre that polled lately under their present identity.
func (d *Driver) LiveHosts(now time.Duration, dataCentre string) []*schemav1.Host {
	var live []*schemav1.Host
	for _, host := range d.state.Hosts() {
		report, ok := d.hosts[host.GetName()]
		if ok && host.GetDataCentre() == dataCentre && now-report.at < pollFresh && report.identity == host.GetIdentity() {
			live = append(live, host)
		}
	}
	return live
}

func (d *Driver) anyHasLeader(hosts []*schemav1.Host) bool {
	return slices.ContainsFunc(hosts, func(host *schemav1.Host) bool { return d.hosts[host.GetName()].hasLeader })
}

// DataCentresWithGroups lists data centres in name order.
func (s *State) DataCentresWithGroups() []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	names := make([]string, 0, len(s.groups))
	for name := range s.groups {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// PrepareNextGeneration seals the members of group that can be reached and returns the assignment of the next generation, or
// nil when the old generation might still commit.
func PrepareNextGeneration(ctx context.Context, sealer Sealer, group *schemav1.GroupAssignment, hosts, live []*schemav1.Host) *schemav1.GroupAssignment {
	responses := sealAll(ctx, sealer, group, live)
	best := mostAdvanced(responses)
	voters := group.GetVoters()
	if best != nil && len(best.GetVoters()) > 0 {
		voters = best.GetVoters()
	}
	if canStillCommit(voters, sealedOrGone(voters, responses, hosts)) {
		return nil
	}
	state := group.GetSealedState()
	if best != nil {
		state = best.GetState()
	}
	return &schemav1.GroupAssignment{
		DataCentre:  group.GetDataCentre(),
		Generation:  group.GetGeneration() + 1,
		Voters:      SelectVoters(live),
		SealedState: state,
	}
}

func sealAll(ctx context.Context, sealer Sealer, group *schemav1.GroupAssignment, live []*schemav1.Host) map[uint64]*schemav1.SealResponse {
	var mu sync.Mutex
	var wait sync.WaitGroup
	responses := map[uint64]*schemav1.SealResponse{}
	request := &schemav1.SealRequest{DataCentre: group.GetDataCentre(), Generation: group.GetGeneration()}
	for _, host := range live {
		wait.Go(func() {
			response, err := sealer.Seal(ctx, host.GetRpcAddress(), request)
			if err != nil || !response.GetSealed() {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			responses[host.GetIdentity()] = response
		})
	}
	wait.Wait()
	return responses
}

// mostAdvanced returns the response with the highest last term, then index: a committed entry is in the log of a
// majority, and the sealed members meet every majority.
func mostAdvanced(responses map[uint64]*schemav1.SealResponse) *schemav1.SealResponse {
	var best *schemav1.SealResponse
	for _, response := range responses {
		if best == nil || cmp.Or(
			cmp.Compare(response.GetLastTerm(), best.GetLastTerm()),
			cmp.Compare(response.GetLastIndex(), best.GetLastIndex())) > 0 {
			best = response
		}
	}
	return best
}

// sealedOrGone returns the voters that sealed, or whose process is gone: every voter was a known host once, and its
// identity disappears only when the host joins again under a new one, perhaps at another address, or is removed.
func sealedOrGone(voters []*schemav1.Member, responses map[uint64]*schemav1.SealResponse, hosts []*schemav1.Host) map[uint64]bool {
	stopped := map[uint64]bool{}
	present := map[uint64]bool{}
	for _, host := range hosts {
		present[host.GetIdentity()] = true
	}
	for _, voter := range voters {
		if _, sealed := responses[voter.GetId()]; sealed || !present[voter.GetId()] {
			stopped[voter.GetId()] = true
		}
	}
	return stopped
}

// canStillCommit reports whether the voters that did not stop could commit an entry. A leader among them may have
// appended the removal of one voter that no stopped member has seen, so the majority of one voter fewer counts,
// except in a group of two, where no voter is ever removed.
func canStillCommit(voters []*schemav1.Member, stopped map[uint64]bool) bool {
	remaining := len(voters) - len(stopped)
	size := len(voters)
	if size > 2 {
		size--
	}
	return remaining >= size/2+1
}
