package entry

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// nearestRetryInterval is how long a more distant registry host is used before the nearer ones are probed again.
	nearestRetryInterval = 3 * time.Second
	// maxProbes bounds the registry hosts that are probed at the same time.
	maxProbes = 16
)

// registryChoice decides which registry host an entry host follows, and which ones it probes. A registry host that has failed is used again
// only once it has answered a probe, so that no update of the view waits for it, however many are gone or stand still. It makes no calls, and
// times are those of its caller.
type registryChoice struct {
	// addresses has the peer addresses of the registry hosts, the preferred one first.
	addresses []string
	// inUse is the registry host that is followed since chosenAt.
	inUse    string
	chosenAt time.Duration
	// searching is set while the one in use has not answered and all are probed.
	searching bool
	// failedAt has the time of the last failure of each registry host that has not answered since.
	failedAt map[string]time.Duration
	// probes has the registry hosts that are being probed, probedAt when each was probed last, and unanswered those that have not answered
	// their last probe.
	probes     map[string]bool
	probedAt   map[string]time.Duration
	unanswered map[string]bool
	// respondedAt has the time of the last answer of each registry host, to a probe or a call.
	respondedAt map[string]time.Duration
}

func newRegistryChoice() registryChoice {
	return registryChoice{
		failedAt: map[string]time.Duration{}, probes: map[string]bool{}, probedAt: map[string]time.Duration{}, unanswered: map[string]bool{},
		respondedAt: map[string]time.Duration{},
	}
}

// setAddresses takes the registry hosts that are known now, of which there is at least one, the preferred one first.
func (c *registryChoice) setAddresses(now time.Duration, addresses []string) {
	c.addresses = addresses
	for _, times := range []map[string]time.Duration{c.failedAt, c.probedAt, c.respondedAt} {
		maps.DeleteFunc(times, func(address string, _ time.Duration) bool { return !slices.Contains(addresses, address) })
	}
	maps.DeleteFunc(c.unanswered, func(address string, _ bool) bool { return !slices.Contains(addresses, address) })
	if c.inUse == "" {
		c.choose(now, c.best())
	}
}

// choose follows another registry host from now on.
func (c *registryChoice) choose(now time.Duration, address string) {
	c.inUse, c.chosenAt = address, now
}

// best returns the preferred registry host that has not failed, or else the one whose last failure is the longest ago.
func (c *registryChoice) best() string {
	return slices.MinFunc(c.addresses, c.compareFailures)
}

// compareFailures orders registry hosts by their last failures, those without one first.
func (c *registryChoice) compareFailures(a, b string) int {
	return cmp.Compare(c.lastFailure(a), c.lastFailure(b))
}

// lastFailure returns the time of the last failure of a registry host, which is before any other if it has answered since.
func (c *registryChoice) lastFailure(address string) time.Duration {
	if at, ok := c.failedAt[address]; ok {
		return at
	}
	return math.MinInt64
}

// responded records that a registry host has sent an answer.
func (c *registryChoice) responded(now time.Duration, address string) {
	c.respondedAt[address] = now
	delete(c.unanswered, address)
}

// answered records that a registry host has answered a call for the view and is up to date.
func (c *registryChoice) answered(now time.Duration, address string) {
	c.responded(now, address)
	delete(c.failedAt, address)
	if c.searching && address != c.inUse {
		c.choose(now, address)
	}
	c.searching = false
}

// outdated records that a registry host has answered but is not up to date.
func (c *registryChoice) outdated(now time.Duration, address string) {
	c.responded(now, address)
	c.failedAt[address] = now
	if address == c.inUse {
		c.searching = false
		c.choose(now, c.best())
	}
}

// failed records that a call to a registry host has failed, or that it takes too long. The next one is one that has answered lately, if there is
// any, or else the preferred one while the others are probed.
func (c *registryChoice) failed(now time.Duration, address string) {
	c.failedAt[address] = now
	if address != c.inUse {
		return
	}
	c.searching = true
	next := slices.IndexFunc(c.addresses, func(other string) bool {
		_, failed := c.failedAt[other]
		return !failed && c.hasRespondedLately(now, other)
	})
	if next >= 0 {
		c.choose(now, c.addresses[next])
	} else {
		c.choose(now, c.best())
	}
}

// hasRespondedLately reports whether a registry host has sent an answer within nearestRetryInterval.
func (c *registryChoice) hasRespondedLately(now time.Duration, address string) bool {
	at, responded := c.respondedAt[address]
	return responded && now-at < nearestRetryInterval
}

// probeResult is the result of a probe of a registry host.
type probeResult struct {
	address string
	// answered is set if it has answered, and usable if it does not say that it is not up to date.
	answered, usable bool
}

// probed records the result of a probe.
func (c *registryChoice) probed(now time.Duration, result probeResult) {
	address := result.address
	delete(c.probes, address)
	if result.answered {
		c.responded(now, address)
	} else {
		c.unanswered[address] = true
	}
	if !result.usable {
		c.failedAt[address] = now
		return
	}
	delete(c.failedAt, address)
	switch {
	case address == c.inUse:
		// A more distant one, whose answer comes later, is not needed.
		c.searching = false
	case c.searching, now-c.chosenAt >= nearestRetryInterval && slices.Contains(c.nearer(), address):
		c.searching = false
		c.choose(now, address)
	}
}

// nearer returns the registry hosts that are preferred to the one in use.
func (c *registryChoice) nearer() []string {
	if at := slices.Index(c.addresses, c.inUse); at >= 0 {
		return c.addresses[:at]
	}
	return c.addresses
}

// dueProbes returns the registry hosts that are to be probed now, and counts them as being probed: all while the one in use has not answered, and
// the nearer ones from time to time. One that has answered lately is not probed again: where all registry hosts are slow because they
// have much to do, that would add to it.
func (c *registryChoice) dueProbes(now time.Duration) []string {
	candidates := c.nearer()
	if c.searching {
		candidates = c.addresses
	} else if now-c.chosenAt < nearestRetryInterval {
		return nil
	}
	var due []string
	for _, address := range candidates {
		if !c.probes[address] && c.isProbeDue(now, address) {
			due = append(due, address)
		}
	}
	slices.SortStableFunc(due, c.compareFailures)
	due = due[:min(len(due), max(0, maxProbes-len(c.probes)))]
	for _, address := range due {
		c.probes[address], c.probedAt[address] = true, now
	}
	return due
}

// isProbeDue reports whether the last probe and the last answer of a registry host are long enough ago.
func (c *registryChoice) isProbeDue(now time.Duration, address string) bool {
	interval := nearestRetryInterval
	if c.searching {
		interval = watchTimeout
	}
	if at, probed := c.probedAt[address]; probed && now-at < interval {
		return false
	}
	return !c.searching || !c.hasRespondedLately(now, address)
}
