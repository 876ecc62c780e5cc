package control

import (
	"cmp"
	"slices"
	"time"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Timing of the leader's decisions.
const (
	// groupFormDelay is how long the first host of a data centre waits for others before it forms a group alone.
	groupFormDelay = 2 * time.Second
	// groupFormSize is the number of hosts that form a group at once.
	groupFormSize = 3
	// maxVoters bounds the voters of a data centre group; more would slow each commit without surviving more.
	maxVoters = 5
	// pollFresh is how recent a poll must be to count as a sign of life.
	pollFresh = 2 * time.Second
	// capacityFresh is how long the reported capacity of a silent data centre still guides delegation.
	capacityFresh = 10 * time.Second
	// hostForgetDelay is how long a host may be missing, by its own group's word, before it is removed.
	hostForgetDelay = 10 * time.Minute
	// gatherCapacity bounds the wait for data centres without reported capacity before shards are first delegated.
	gatherCapacity = 3 * time.Second
	// lostDelay lets leases of a data centre that was declared lost run out before its shards change hands.
	lostDelay = time.Second
)

// dataCentreReport is the latest poll of the leader of a data centre group.
type dataCentreReport struct {
	at       time.Duration
	capacity map[string]uint32
}

// hostReport is the latest sign of life of a host.
type hostReport struct {
	at        time.Duration
	identity  uint64
	hasLeader bool
}

// Driver decides on the leader of the control group what to propose next. It holds only soft state, which a new
// leader collects again from polls. It is not safe for concurrent use.
type Driver struct {
	state       *State
	leaderSince time.Duration
	firstSeen   map[string]time.Duration
	reports     map[string]dataCentreReport
	hosts       map[string]hostReport
	missing     map[string]time.Duration
	lostSince   map[string]time.Duration
	// offered is when a service first had capacity anywhere.
	offered     map[string]time.Duration
	generations map[string]generationSeen
}

// generationSeen is when this leader first saw the present generation of a data centre group.
type generationSeen struct {
	number uint64
	at     time.Duration
}

// NewDriver returns the driver of a host that became leader at now.
func NewDriver(state *State, now time.Duration) *Driver {
	return &Driver{
		state:       state,
		leaderSince: now,
		firstSeen:   map[string]time.Duration{},
		reports:     map[string]dataCentreReport{},
		hosts:       map[string]hostReport{},
		missing:     map[string]time.Duration{},
		lostSince:   map[string]time.Duration{},
		offered:     map[string]time.Duration{},
		generations: map[string]generationSeen{},
	}
}

// RecordPoll records a poll.
func (d *Driver) RecordPoll(now time.Duration, poll *schemav1.PollRequest) {
	d.hosts[poll.GetHost()] = hostReport{at: now, identity: poll.GetIdentity(), hasLeader: poll.GetHasLeader()}
	if !poll.GetLeadsGroup() {
		return
	}
	d.reports[poll.GetDataCentre()] = dataCentreReport{at: now, capacity: poll.GetCapacity()}
	live := map[string]bool{}
	for _, host := range poll.GetLiveHosts() {
		live[host] = true
	}
	for _, host := range d.state.Hosts() {
		if host.GetDataCentre() != poll.GetDataCentre() {
			continue
		}
		if live[host.GetName()] {
			delete(d.missing, host.GetName())
		} else if _, ok := d.missing[host.GetName()]; !ok {
			d.missing[host.GetName()] = now
		}
	}
}

// Step returns the commands to propose now.
func (d *Driver) Step(now time.Duration) []*schemav1.ControlCommand {
	var commands []*schemav1.ControlCommand
	commands = append(commands, d.firstGenerations(now)...)
	commands = append(commands, d.forgottenHosts(now)...)
	commands = append(commands, d.delegations(now)...)
	return commands
}

// firstGenerations forms the groups of data centres that have none.
func (d *Driver) firstGenerations(now time.Duration) []*schemav1.ControlCommand {
	byDataCentre := map[string][]*schemav1.Host{}
	for _, host := range d.state.Hosts() {
		byDataCentre[host.GetDataCentre()] = append(byDataCentre[host.GetDataCentre()], host)
	}
	var commands []*schemav1.ControlCommand
	for dataCentre, hosts := range byDataCentre {
		if _, ok := d.state.Group(dataCentre); ok {
			continue
		}
		since, ok := d.firstSeen[dataCentre]
		if !ok {
			since = now
			d.firstSeen[dataCentre] = now
		}
		if len(hosts) < groupFormSize && now-since < groupFormDelay {
			continue
		}
		commands = append(commands, formGroup(&schemav1.GroupAssignment{
			DataCentre: dataCentre, Generation: 1, Voters: SelectVoters(hosts),
		}))
	}
	return commands
}

// VoterCount is the number of voters of a group of hosts: as many as possible up to five, and an odd number when there
// is a choice, since an even number of voters survives no more losses.
func VoterCount(hosts int) int {
	wanted := min(hosts, maxVoters)
	if wanted > 2 && wanted%2 == 0 {
		wanted--
	}
	return wanted
}

// SelectVoters picks the first voters of a group among hosts, in name order.
func SelectVoters(hosts []*schemav1.Host) []*schemav1.Member {
	hosts = slices.Clone(hosts)
	slices.SortFunc(hosts, func(a, b *schemav1.Host) int { return cmp.Compare(a.GetName(), b.GetName()) })
	count := VoterCount(len(hosts))
	members := make([]*schemav1.Member, 0, count)
	for _, host := range hosts[:count] {
		members = append(members, &schemav1.Member{Id: host.GetIdentity(), Address: host.GetRpcAddress()})
	}
	return members
}

// forgottenHosts removes hosts that their own group has missed for long. A data centre that is cut off does not
// poll, so its hosts are not missed.
func (d *Driver) forgottenHosts(now time.Duration) []*schemav1.ControlCommand {
	var commands []*schemav1.ControlCommand
	for name, since := range d.missing {
		host, ok := d.state.Host(name)
		if !ok {
			delete(d.missing, name)
			continue
		}
		if now-since < hostForgetDelay || now-d.reports[host.GetDataCentre()].at > pollFresh {
			continue
		}
		commands = append(commands, &schemav1.ControlCommand{Command: &schemav1.ControlCommand_Remove{
			Remove: &schemav1.RemoveHost{Name: name, Identity: host.GetIdentity()},
		}})
	}
	return commands
}

func formGroup(group *schemav1.GroupAssignment) *schemav1.ControlCommand {
	return &schemav1.ControlCommand{Command: &schemav1.ControlCommand_FormGroup{FormGroup: &schemav1.FormGroup{Group: group}}}
}
