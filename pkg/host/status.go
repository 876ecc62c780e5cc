package host

import (
	"context"
	"sync"
	"time"

	"almondrock.example/almondrock/pkg/raft"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// statusTimeout limits the wait for a host that does not respond.
const statusTimeout = 500 * time.Millisecond

// States of targets in status reports.
const (
	stateReady    = "ready"
	stateDraining = "draining"
	stateLost     = "lost"
)

// Status implements admin.Backend. It queries all hosts of the deployment concurrently.
func (b backend) Status(ctx context.Context) (*schemav1.StatusReport, error) {
	h := b.host
	report := &schemav1.StatusReport{AnsweredBy: h.settings.GetName(), Revision: h.views.revision(), InForceEverywhere: true}
	view := h.views.get()
	if view == nil {
		own, err := h.handleStatus(ctx, nil)
		if err != nil {
			return nil, err
		}
		report.Hosts, report.InForceEverywhere = []*schemav1.HostStatus{own.GetStatus()}, false
		return report, nil
	}
	hosts := view.view.GetHosts()
	responses := h.collectStatus(ctx, hosts)
	dataCentreReports := map[string]*schemav1.DataCentreReport{}
	for i, host := range hosts {
		status := responses[i].GetStatus()
		if status == nil {
			status = &schemav1.HostStatus{
				Host: host.GetName(), DataCentre: host.GetDataCentre(), Region: host.GetRegion(), Unreachable: true,
			}
		}
		if responses[i].GetReport() != nil {
			dataCentreReports[host.GetDataCentre()] = responses[i].GetReport()
		}
		report.InForceEverywhere = report.InForceEverywhere && status.GetRevision() == report.GetRevision()
		report.Hosts = append(report.Hosts, status)
	}
	for _, dataCentre := range view.view.GetConfiguration().GetDataCentres() {
		report.DataCentres = append(report.DataCentres, dataCentreStatus(dataCentre, report.GetHosts(), dataCentreReports[dataCentre.GetName()]))
	}
	return report, nil
}

// collectStatus returns one response per host, nil for those that do not respond.
func (h *Host) collectStatus(ctx context.Context, hosts []*schemav1.Host) []*schemav1.HostStatusResponse {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	responses := make([]*schemav1.HostStatusResponse, len(hosts))
	var wait sync.WaitGroup
	for i, host := range hosts {
		wait.Go(func() {
			response := &schemav1.HostStatusResponse{}
			err := h.client.Call(ctx, host.GetRpcAddress(), methodStatus, &schemav1.HostStatusRequest{}, response)
			if err == nil && response.GetStatus().GetHost() == host.GetName() {
				responses[i] = response
			}
		})
	}
	wait.Wait()
	return responses
}

func dataCentreStatus(dataCentre *schemav1.DataCentre, hosts []*schemav1.HostStatus, report *schemav1.DataCentreReport) *schemav1.DataCentreStatus {
	status := &schemav1.DataCentreStatus{
		DataCentre:         dataCentre.GetName(),
		Region:             dataCentre.GetRegion(),
		Out:                dataCentre.GetOut(),
		Lost:               dataCentre.GetLost(),
		Shards:             report.GetShards(),
		ShardsWithoutOwner: report.GetShardsWithoutOwner(),
		Targets:            report.GetTargets(),
	}
	for _, host := range hosts {
		if host.GetDataCentre() != dataCentre.GetName() {
			continue
		}
		status.Hosts++
		if host.GetUnreachable() {
			status.HostsUnreachable++
		}
		if host.GetGroupLeader() {
			status.GroupLeader = host.GetHost()
		}
		status.Generation = max(status.GetGeneration(), host.GetGeneration())
	}
	status.CutOff = status.GetHosts() > 0 && status.GetHosts() == status.GetHostsUnreachable()
	return status
}

// handleStatus returns this host's status. The leader of the data centre group adds a report of its ownership table.
func (h *Host) handleStatus(_ context.Context, _ *schemav1.HostStatusRequest) (*schemav1.HostStatusResponse, error) {
	ready := h.Ready()
	status := &schemav1.HostStatus{
		Host:          h.settings.GetName(),
		Identity:      h.identity,
		DataCentre:    h.settings.GetDataCentre(),
		Region:        h.settings.GetRegion(),
		Revision:      h.views.revision(),
		Ready:         ready.OK,
		Reasons:       ready.Reasons,
		ControlMember: h.control != nil,
		Draining:      h.draining.Load(),
		LeaseMs:       max(0, h.lease.Remaining().Milliseconds()),
	}
	if replica, _ := h.control.replicaAndService(); replica != nil {
		status.ControlLeader = replica.Status().Role == raft.Leader
	}
	response := &schemav1.HostStatusResponse{Status: status}
	g := h.group.Load()
	if g == nil {
		return response, nil
	}
	status.Generation = g.table.Generation()
	status.AttachedTargets = uint32(len(g.table.TargetsAttachedTo(h.settings.GetName()))) //nolint:gosec // a few thousand at most
	if _, leads := g.leads(); leads {
		status.GroupLeader = true
		status.SilentMs = h.sinceControlContact().Milliseconds()
		response.Report = g.report()
	}
	return response, nil
}

// report summarises the ownership table of the data centre.
func (g *group) report() *schemav1.DataCentreReport {
	report := &schemav1.DataCentreReport{}
	shardCounts := map[string]uint32{}
	usable := map[string]bool{}
	for _, record := range g.table.Targets() {
		usable[record.GetAnnouncement().GetTarget()] = !record.GetLost() && record.GetAttachedHost() != ""
	}
	served := uint32(0)
	for _, shard := range g.table.Shards() {
		shardCounts[shard.GetTarget()]++
		if !shard.GetHot() && usable[shard.GetTarget()] {
			served++
		}
	}
	for _, delegation := range g.table.ControlView().GetDelegations() {
		for _, run := range delegation.GetRuns() {
			if run.GetDataCentre() == g.table.DataCentre() {
				report.Shards += run.GetCount()
			}
		}
	}
	report.ShardsWithoutOwner = report.GetShards() - min(served, report.GetShards())
	for _, record := range g.table.Targets() {
		report.Targets = append(report.Targets, targetStatus(record, g.table.DataCentre(), shardCounts))
	}
	return report
}

func targetStatus(record *schemav1.TargetRecord, dataCentre string, shardCounts map[string]uint32) *schemav1.TargetStatus {
	announcement := record.GetAnnouncement()
	status := &schemav1.TargetStatus{
		Target:       announcement.GetTarget(),
		Service:      announcement.GetService(),
		DataCentre:   dataCentre,
		Address:      announcement.GetAddress(),
		AttachedHost: record.GetAttachedHost(),
		State:        stateReady,
		Slots:        announcement.GetSlots(),
		Shards:       shardCounts[announcement.GetTarget()],
	}
	switch {
	case record.GetLost():
		status.State = stateLost
	case announcement.GetDraining():
		status.State = stateDraining
	}
	return status
}
