package host

import (
	"time"

	"almondrock.example/almondrock/pkg/control"
	"almondrock.example/almondrock/pkg/ownership"
	"almondrock.example/almondrock/pkg/proxy"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// directory implements proxy.Directory.
type directory struct {
	host *Host
}

// Config implements proxy.Directory.
func (d directory) Config() proxy.Resolver {
	view := d.host.views.get()
	if view == nil || view.snapshot == nil {
		return nil
	}
	return view.snapshot
}

// Delegation implements proxy.Directory.
func (d directory) Delegation(keyspace string, shard uint32) (dataCentre string, epoch uint64, ok bool) {
	view := d.host.views.get()
	if view == nil {
		return "", 0, false
	}
	run, ok := control.FindRun(view.delegations[keyspace], shard)
	if !ok {
		return "", 0, false
	}
	return run.GetDataCentre(), run.GetEpoch(), true
}

// Assignment implements proxy.Directory.
func (d directory) Assignment(keyspace string, shard uint32, keyHash uint64) (ownership.Assignment, bool) {
	g := d.host.group.Load()
	if g == nil {
		return ownership.Assignment{}, false
	}
	return g.table.Assignment(keyspace, shard, keyHash)
}

// Targets implements proxy.Directory.
func (d directory) Targets(service string) []*schemav1.TargetRecord {
	g := d.host.group.Load()
	if g == nil {
		return nil
	}
	return g.table.TargetsOf(service)
}

// Target implements proxy.Directory.
func (d directory) Target(name string) (*schemav1.TargetRecord, bool) {
	g := d.host.group.Load()
	if g == nil {
		return nil, false
	}
	return g.table.Target(name)
}

// HostAddress implements proxy.Directory.
func (d directory) HostAddress(name string) (string, bool) {
	view := d.host.views.get()
	if view == nil {
		return "", false
	}
	host, ok := view.hosts[name]
	return host.GetDataAddress(), ok
}

// HostAddressesIn implements proxy.Directory.
func (d directory) HostAddressesIn(dataCentre string) []string {
	view := d.host.views.get()
	if view == nil {
		return nil
	}
	return view.addresses[dataCentre]
}

// Lease implements proxy.Directory.
func (d directory) Lease() time.Duration { return d.host.lease.Remaining() }

// Self implements proxy.Directory.
func (d directory) Self() proxy.HostInfo {
	return proxy.HostInfo{
		Host:       d.host.settings.GetName(),
		DataCentre: d.host.settings.GetDataCentre(),
		Region:     d.host.settings.GetRegion(),
		Identity:   d.host.identity,
	}
}

// Draining implements proxy.Directory.
func (d directory) Draining() bool { return d.host.draining.Load() }
