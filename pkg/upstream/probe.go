package upstream

import (
	"context"
	"errors"
	"syscall"

	"k8s.io/klog/v2"
)

// Reachability is the result of a probe.
type Reachability int

// Results of probes.
const (
	// Reachable: a process accepts connections at the address.
	Reachable Reachability = iota
	// Refused: no process listens at the address.
	Refused
	// Silent: there was no answer, or another error.
	Silent
)

// Probe opens a connection to the address of a target and closes it.
func (c *Client) Probe(ctx context.Context, address string) Reachability {
	ctx, cancel := context.WithTimeout(ctx, c.options.DialTimeout)
	defer cancel()
	cn, err := c.options.Dial(ctx, "tcp", address)
	switch {
	case err == nil:
		c.dials.Add(1)
		if err := cn.Close(); err != nil {
			klog.V(1).InfoS("connection of a probe not closed", "address", address, "err", err)
		}
		return Reachable
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	}
	return Silent
}
