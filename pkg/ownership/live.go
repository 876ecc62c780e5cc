package ownership

import (
	"slices"
	"time"
)

// LiveHosts returns the names of the hosts that renew their lease with this leader, in order.
func (d *Driver) LiveHosts(now time.Duration) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for key, h := range d.holders {
		if h.alive(now) {
			names = append(names, key.name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
