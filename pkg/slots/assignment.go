package slots

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"almondrock.example/almondrock/pkg/dispatch"
)

const (
	// groupSize is the usual number of targets of a group.
	groupSize = 8
	// minEntryHosts is the number of entry hosts from which on services are scheduled.
	minEntryHosts = 30
	// maxSlotsPerHost is the number of slots of a service for each entry host from which on hosts that decide independently seldom collide.
	maxSlotsPerHost = 4
	// maxSlots bounds the slots that a target may announce.
	maxSlots = 1024
)

// Scheduled reports whether a service is scheduled: it is not partitioned by key, and in a deployment of many entry hosts its targets have so
// few slots that hosts which decide independently collide. slots has the slots of the targets of the service.
func Scheduled(partitioned bool, entryHosts int, slots []int) bool {
	if partitioned || entryHosts < minEntryHosts || len(slots) == 0 {
		return false
	}
	sum := 0
	for _, n := range slots {
		sum += normalSlots(n)
	}
	return sum/maxSlotsPerHost < entryHosts
}

// normalSlots returns the number of slots that an announced number stands for.
func normalSlots(announced int) int { return min(max(announced, 1), maxSlots) }

// Node is an entry host or a target and its data centre. Name identifies an entry host, or is the ID of a target.
type Node struct{ Name, DataCentre string }

// Assignment is a group of targets of a service in one data centre and the entry host that schedules it.
type Assignment struct {
	// ID identifies the group in messages. It stays the same while targets join and leave.
	ID         uint32
	DataCentre string
	Index      int
	// Targets has the IDs of the targets.
	Targets []string
	// Host is the name of the entry host.
	Host string
}

// Assign divides the targets of a service in each data centre into groups and assigns each group to an entry host of the same data centre.
// It depends only on the sets of targets and hosts. Targets of data centres without entry hosts are in no group. hosts has only the entry
// hosts that take part.
func Assign(service string, targets, hosts []Node) []Assignment {
	targets = sortedNodes(targets, func(a, b Node) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre),
			cmp.Compare(dispatch.TargetHash(a.Name), dispatch.TargetHash(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	hosts = sortedNodes(hosts, func(a, b Node) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Name, b.Name))
	})
	var assignments []Assignment
	for len(targets) > 0 {
		dataCentre := targets[0].DataCentre
		n := countOf(targets, dataCentre)
		groups := max(1, int(math.Round(float64(n)/groupSize)))
		for i := range groups {
			name := service + " " + dataCentre + " " + strconv.Itoa(i)
			host, ok := assignHost(name, dataCentre, hosts)
			if !ok {
				break
			}
			a := Assignment{ID: uint32(xxhash.Sum64String(name)), DataCentre: dataCentre, Index: i, Host: host}
			for _, t := range targets[i*n/groups : (i+1)*n/groups] {
				a.Targets = append(a.Targets, t.Name)
			}
			assignments = append(assignments, a)
		}
		targets = targets[n:]
	}
	return assignments
}

// sortedNodes returns a sorted copy without duplicates.
func sortedNodes(nodes []Node, compare func(a, b Node) int) []Node {
	nodes = slices.Clone(nodes)
	slices.SortFunc(nodes, compare)
	return slices.Compact(nodes)
}

// countOf returns the number of leading nodes in a data centre.
func countOf(nodes []Node, dataCentre string) int {
	n := slices.IndexFunc(nodes, func(node Node) bool { return node.DataCentre != dataCentre })
	if n < 0 {
		return len(nodes)
	}
	return n
}

// assignHost returns the host of a group by rendezvous hashing: a group keeps its host while others join and leave.
func assignHost(group, dataCentre string, hosts []Node) (best string, ok bool) {
	var bestWeight uint64
	for _, host := range hosts {
		if host.DataCentre != dataCentre {
			continue
		}
		if weight := xxhash.Sum64String(host.Name + " " + group); !ok || weight > bestWeight {
			best, bestWeight, ok = host.Name, weight, true
		}
	}
	return best, ok
}
