package control

import (
	"cmp"
	"slices"
	"time"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Delays and limits of the leader's decisions.
const (
	// groupFormDelay is how long the first host of a data centre waits for others before it forms a group alone.
	groupFormDelay = 2 * time.Second
	// groupFormSize is the number of hosts from which on a group is formed without waiting for others.
	groupFormSize = 3
	// maxVoters limits the voters of a data centre group. Five voters survive the loss of two; more would make each commit slower.
	maxVoters = 5
	// pollTimeout is the age up to which the last poll of a host shows that the host is alive.
	pollTimeout = 2 * time.Second
	// capacityTimeout is the age up to which the last capacity report of a data centre is used for delegation. After it the
	// data centre counts as unreachable.
	capacityTimeout = 10 * time.Second
	// hostRemovalDelay is how long a host may be missing from the live hosts that its own group reports before it is removed.
	hostRemovalDelay = 10 * time.Minute
	// firstDelegationWait limits how long the first delegation of a service waits for data centres without reported capacity.
	firstDelegationWait = 3 * time.Second
	// lostDataCentreDelay is the time between the declaration of a data centre as lost and the delegation of its shards to others.
	// It lets the leases in the lost data centre expire.
	lostDataCentreDelay = time.Second
)

// dataCentreReport holds the last poll of the leader of a data centre group; capacity is in slots by service.
type dataCentreReport struct {
	receivedAt time.Duration
	capacity   map[string]uint32
}

// hostReport holds the last poll of a host.
type hostReport struct {
	receivedAt time.Duration
	identity   uint64
	hasLeader  bool
}

// Driver runs on the leader of the control group and decides which commands to propose. It holds only soft state, which a new
// leader collects again from polls. It is not safe for concurrent use.
type Driver struct {
	state       *State
	leaderSince time.Duration
	// groupPendingSince is when each data centre without a group was first seen.
	groupPendingSince map[string]time.Duration
	dataCentreReports map[string]dataCentreReport
	hostReports       map[string]hostReport
	// missingSince is since when each host has been missing from the live hosts that its own group reports.
	missingSince map[string]time.Duration
	// lostSince is when each data centre was first seen as declared lost.
	lostSince map[string]time.Duration
	// capacitySince is when each service first had capacity in any data centre.
	capacitySince map[string]time.Duration
	generations   map[string]observedGeneration
}

// observedGeneration is the present generation of a data centre group, with the time when this leader first saw it.
type observedGeneration struct {
	number uint64
	seenAt time.Duration
}

// NewDriver returns the driver of a host that became leader at time now.
func NewDriver(state *State, now time.Duration) *Driver {
	return &Driver{
		state:             state,
		leaderSince:       now,
		groupPendingSince: map[string]time.Duration{},
		dataCentreReports: map[string]dataCentreReport{},
		hostReports:       map[string]hostReport{},
		missingSince:      map[string]time.Duration{},
		lostSince:         map[string]time.Duration{},
		capacitySince:     map[string]time.Duration{},
		generations:       map[string]observedGeneration{},
	}
}

// RecordPoll records a poll that was received at time now. A poll of the leader of a data centre group also reports the
// capacity of the data centre and its live hosts.
func (d *Driver) RecordPoll(now time.Duration, poll *schemav1.PollRequest) {
	d.hostReports[poll.GetHost()] = hostReport{receivedAt: now, identity: poll.GetIdentity(), hasLeader: poll.GetHasLeader()}
	if !poll.GetLeadsGroup() {
		return
	}
	d.dataCentreReports[poll.GetDataCentre()] = dataCentreReport{receivedAt: now, capacity: poll.GetCapacity()}
	live := map[string]bool{}
	for _, host := range poll.GetLiveHosts() {
		live[host] = true
	}
	for _, host := range d.state.Hosts() {
		if host.GetDataCentre() != poll.GetDataCentre() {
			continue
		}
		if live[host.GetName()] {
			delete(d.missingSince, host.GetName())
		} else if _, ok := d.missingSince[host.GetName()]; !ok {
			d.missingSince[host.GetName()] = now
		}
	}
}

// Step returns the commands that the leader should propose now.
func (d *Driver) Step(now time.Duration) []*schemav1.ControlCommand {
	var commands []*schemav1.ControlCommand
	commands = append(commands, d.firstGenerationCommands(now)...)
	commands = append(commands, d.hostRemovalCommands(now)...)
	commands = append(commands, d.delegationCommands(now)...)
	return commands
}

// firstGenerationCommands returns the commands that form the first generation of groups in data centres without one.
func (d *Driver) firstGenerationCommands(now time.Duration) []*schemav1.ControlCommand {
	byDataCentre := map[string][]*schemav1.Host{}
	for _, host := range d.state.Hosts() {
		byDataCentre[host.GetDataCentre()] = append(byDataCentre[host.GetDataCentre()], host)
	}
	var commands []*schemav1.ControlCommand
	for dataCentre, hosts := range byDataCentre {
		if _, ok := d.state.Group(dataCentre); ok {
			continue
		}
		since, ok := d.groupPendingSince[dataCentre]
		if !ok {
			since = now
			d.groupPendingSince[dataCentre] = now
		}
		if len(hosts) < groupFormSize && now-since < groupFormDelay {
			continue
		}
		commands = append(commands, formGroupCommand(&schemav1.GroupAssignment{
			DataCentre: dataCentre, Generation: 1, Voters: SelectVoters(hosts),
		}))
	}
	return commands
}

// VoterCount returns the number of voters of a group with the given number of hosts: as many as possible up to five, and an odd
// number if there are more than two hosts, since an even number of voters survives no more losses than the odd number below it.
func VoterCount(hosts int) int {
	count := min(hosts, maxVoters)
	if count > 2 && count%2 == 0 {
		count--
	}
	return count
}

// SelectVoters returns the first voters of a group: VoterCount of the hosts, in order of their names.
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

// hostRemovalCommands returns the commands that remove hosts which have been missing for hostRemovalDelay. If a whole data
// centre is cut off, it does not poll, and none of its hosts is removed.
func (d *Driver) hostRemovalCommands(now time.Duration) []*schemav1.ControlCommand {
	var commands []*schemav1.ControlCommand
	for name, since := range d.missingSince {
		host, ok := d.state.Host(name)
		if !ok {
			delete(d.missingSince, name)
			continue
		}
		if now-since < hostRemovalDelay || now-d.dataCentreReports[host.GetDataCentre()].receivedAt > pollTimeout {
			continue
		}
		commands = append(commands, &schemav1.ControlCommand{Command: &schemav1.ControlCommand_Remove{
			Remove: &schemav1.RemoveHost{Name: name, Identity: host.GetIdentity()},
		}})
	}
	return commands
}

// formGroupCommand returns the command that starts a generation of a data centre group.
func formGroupCommand(group *schemav1.GroupAssignment) *schemav1.ControlCommand {
	return &schemav1.ControlCommand{Command: &schemav1.ControlCommand_FormGroup{FormGroup: &schemav1.FormGroup{Group: group}}}
}
