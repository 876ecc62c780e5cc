package ownership

import (
	"slices"
	"time"
)

// LiveHosts returns the sorted names of the hosts that hold a lease from this leader.
func (d *Driver) LiveHosts(now time.Duration) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for key, h := range d.holders {
		if h.holdsLease(now) {
			names = append(names, key.name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
