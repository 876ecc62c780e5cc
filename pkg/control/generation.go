package control

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// leaderlessDelay is how long a data centre group must be without a leader before its next generation is prepared. Elections
// take at most a few hundred milliseconds, so a longer time without leader means that the majority is lost.
const leaderlessDelay = 1500 * time.Millisecond

// Sealer seals a member of a data centre group, or asks whether it could: a sealed member never takes part in the generation again.
// The response contains the state of a sealed member.
type Sealer interface {
	Seal(ctx context.Context, address string, request *schemav1.SealRequest) (*schemav1.SealResponse, error)
}

// LeaderlessGroups returns the groups whose live hosts all report that they have no leader. A new generation has the whole
// leaderlessDelay for its first election: hosts learn of a generation only by polling, so without the delay the next one would
// seal it before it could elect a leader.
func (d *Driver) LeaderlessGroups(now time.Duration) []*schemav1.GroupAssignment {
	var groups []*schemav1.GroupAssignment
	for _, dataCentre := range d.state.DataCentresWithGroups() {
		group, _ := d.state.Group(dataCentre)
		if !d.hadTimeToElect(now, group) {
			continue
		}
		report, reported := d.dataCentreReports[dataCentre]
		if reported && now-report.receivedAt < leaderlessDelay {
			continue
		}
		live := d.LiveHosts(now, dataCentre)
		if len(live) > 0 && !d.anyHasLeader(live) {
			groups = append(groups, group)
		}
	}
	return groups
}

// hadTimeToElect reports whether a generation is old enough to have a leader. Without this check, polls from before its start
// would end each generation before its members have learned of it. The time is counted from the first call for the generation.
func (d *Driver) hadTimeToElect(now time.Duration, group *schemav1.GroupAssignment) bool {
	seen, ok := d.generations[group.GetDataCentre()]
	if !ok || seen.number != group.GetGeneration() {
		d.generations[group.GetDataCentre()] = observedGeneration{number: group.GetGeneration(), seenAt: now}
		return false
	}
	return now-seen.seenAt >= leaderlessDelay
}

// LiveHosts returns the hosts of a data centre that polled within pollTimeout under their present identity.
func (d *Driver) LiveHosts(now time.Duration, dataCentre string) []*schemav1.Host {
	var live []*schemav1.Host
	for _, host := range d.state.Hosts() {
		report, ok := d.hostReports[host.GetName()]
		if ok && host.GetDataCentre() == dataCentre && now-report.receivedAt < pollTimeout && report.identity == host.GetIdentity() {
			live = append(live, host)
		}
	}
	return live
}

// anyHasLeader reports whether any of the hosts reported a leader in its last poll.
func (d *Driver) anyHasLeader(hosts []*schemav1.Host) bool {
	return slices.ContainsFunc(hosts, func(host *schemav1.Host) bool { return d.hostReports[host.GetName()].hasLeader })
}

// DataCentresWithGroups returns the sorted names of the data centres that have a group.
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

// PrepareNextGeneration seals those members of group that run on live hosts and can be reached. It returns the assignment of
// the next generation, or nil if the old generation can still commit. No member is sealed if the others could commit without
// those that can be reached, because a sealed member is of no use to its group any more. The next generation starts from the
// most advanced sealed state or, if no member could be sealed, from the state that the old one started from. hosts are all
// known hosts.
func PrepareNextGeneration(ctx context.Context, sealer Sealer, group *schemav1.GroupAssignment, hosts, live []*schemav1.Host) *schemav1.GroupAssignment {
	if goesOn(group, callAll(ctx, sealer, group, live, true), hosts) {
		return nil
	}
	responses := callAll(ctx, sealer, group, live, false)
	if goesOn(group, responses, hosts) {
		return nil
	}
	best := mostAdvanced(responses)
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

// goesOn reports whether the generation can still commit without the members that have responded.
func goesOn(group *schemav1.GroupAssignment, responses map[uint64]*schemav1.SealResponse, hosts []*schemav1.Host) bool {
	voters := group.GetVoters()
	if best := mostAdvanced(responses); len(best.GetVoters()) > 0 {
		voters = best.GetVoters()
	}
	return canStillCommit(voters, stoppedVoters(voters, responses, hosts))
}

// callAll asks all live hosts at the same time to seal the present generation, or with onlyAsk whether they could, and returns the
// responses of those that did or could by identity.
func callAll(ctx context.Context, sealer Sealer, group *schemav1.GroupAssignment, live []*schemav1.Host, onlyAsk bool) map[uint64]*schemav1.SealResponse {
	var mu sync.Mutex
	var wait sync.WaitGroup
	responses := map[uint64]*schemav1.SealResponse{}
	request := &schemav1.SealRequest{DataCentre: group.GetDataCentre(), Generation: group.GetGeneration(), OnlyAsk: onlyAsk}
	for _, host := range live {
		wait.Go(func() {
			response, err := sealer.Seal(ctx, host.GetRpcAddress(), request)
			if err != nil || !response.GetSealed() && (!onlyAsk || !response.GetCouldSeal()) {
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

// mostAdvanced returns the response with the highest last term and, among those, the highest last index. It contains all
// committed entries, because each of them is in the logs of a majority, and every majority includes a sealed member.
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

// stoppedVoters returns the voters that are sealed or whose process is gone. Every voter was once a known host, and its identity
// disappears only when the host joins again with a new identity, possibly at another address, or is removed.
func stoppedVoters(voters []*schemav1.Member, responses map[uint64]*schemav1.SealResponse, hosts []*schemav1.Host) map[uint64]bool {
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

// canStillCommit reports whether the voters that have not stopped could commit an entry. A leader among them may have appended
// the removal of one voter without any stopped member having seen it, so a majority of one voter fewer is enough. In a group
// of two no voter is ever removed.
func canStillCommit(voters []*schemav1.Member, stopped map[uint64]bool) bool {
	remaining := len(voters) - len(stopped)
	size := len(voters)
	if size > 2 {
		size--
	}
	return remaining >= size/2+1
}
