package control

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Configuration returns the newest accepted revision, or nil before the first one. Callers must not modify it.
func (s *State) Configuration() *schemav1.Configuration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.configuration()
}

// Revision returns the record of a revision, if it is still kept.
func (s *State) Revision(revision uint64) (*schemav1.RevisionRecord, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, record := range s.revisions {
		if record.GetConfiguration().GetRevision() == revision {
			return record, true
		}
	}
	return nil, false
}

// Outcome returns the outcome of a submission ID, if it is still kept.
func (s *State) Outcome(id string) (*schemav1.SubmissionOutcome, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	outcome, ok := s.outcomeByID[id]
	return outcome, ok
}

// Hosts returns all hosts, ordered by name. All callers get the same slice until the state changes, since polls and steps of the
// leader read it many times per second; callers must not modify it.
func (s *State) Hosts() []*schemav1.Host {
	return s.View().GetHosts()
}

// Host returns the host with the given name.
func (s *State) Host(name string) (*schemav1.Host, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	host, ok := s.hosts[name]
	return host, ok
}

// Group returns the newest generation of a data centre's group.
func (s *State) Group(dataCentre string) (*schemav1.GroupAssignment, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	group, ok := s.groups[dataCentre]
	return group, ok
}

// View returns the control view: the part of the state that data centres need. All callers get the same message until the state
// changes; callers must not modify it.
func (s *State) View() *schemav1.ControlView {
	s.mu.RLock()
	cachedView := s.cachedView
	s.mu.RUnlock()
	if cachedView != nil {
		return cachedView
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cachedView == nil {
		s.cachedView = s.buildView()
	}
	return s.cachedView
}

func (s *State) buildView() *schemav1.ControlView {
	view := &schemav1.ControlView{Index: s.index, Configuration: s.configuration(), Hosts: s.sortedHosts()}
	for _, id := range slices.Sorted(maps.Keys(s.delegations)) {
		view.Delegations = append(view.Delegations, s.delegations[id].toProto(id))
	}
	for _, dataCentre := range s.configuration().GetDataCentres() {
		if dataCentre.GetOut() {
			view.DataCentresOut = append(view.DataCentresOut, dataCentre.GetName())
		}
		if dataCentre.GetLost() {
			view.DataCentresLost = append(view.DataCentresLost, dataCentre.GetName())
		}
	}
	return view
}

func (s *State) sortedHosts() []*schemav1.Host {
	hosts := make([]*schemav1.Host, 0, len(s.hosts))
	for _, name := range slices.Sorted(maps.Keys(s.hosts)) {
		hosts = append(hosts, s.hosts[name])
	}
	return hosts
}

// Snapshot returns the whole state as a serialised ControlSnapshot. Equal states have equal snapshots.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	message := &schemav1.ControlSnapshot{
		Format:    snapshotFormat,
		Index:     s.index,
		Revision:  s.revision(),
		Revisions: s.revisions,
		Outcomes:  s.outcomes,
		Hosts:     s.sortedHosts(),
		Epoch:     s.epoch,
	}
	for _, id := range slices.Sorted(maps.Keys(s.delegations)) {
		message.Delegations = append(message.Delegations, s.delegations[id].toProto(id))
	}
	for _, name := range slices.Sorted(maps.Keys(s.groups)) {
		message.Groups = append(message.Groups, s.groups[name])
	}
	for _, name := range slices.Sorted(maps.Keys(s.removedTenants)) {
		message.RemovedTenants = append(message.RemovedTenants, s.removedTenants[name])
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return nil, &CodecError{Message: "control snapshot", Err: err}
	}
	return data, nil
}

// Restore replaces the state by a snapshot. It returns a SnapshotFormatError for a snapshot in a newer format, and a CodecError
// for a malformed one.
func (s *State) Restore(snapshot []byte) error {
	var message schemav1.ControlSnapshot
	if err := proto.Unmarshal(snapshot, &message); err != nil {
		return &CodecError{Message: "control snapshot", Err: err}
	}
	if message.GetFormat() > snapshotFormat {
		return &SnapshotFormatError{Found: message.GetFormat(), Supported: snapshotFormat}
	}
	restored := NewState()
	restored.index, restored.epoch = message.GetIndex(), message.GetEpoch()
	restored.revisions = message.GetRevisions()
	for _, outcome := range message.GetOutcomes() {
		restored.addOutcome(outcome)
	}
	for _, host := range message.GetHosts() {
		restored.hosts[host.GetName()] = host
	}
	for _, delegation := range message.GetDelegations() {
		restored.delegations[delegation.GetKeyspace()] = delegationFromProto(delegation)
	}
	for _, group := range message.GetGroups() {
		restored.groups[group.GetDataCentre()] = group
	}
	for _, tenant := range message.GetRemovedTenants() {
		restored.removedTenants[tenant.GetTenant()] = tenant
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index, s.epoch, s.revisions, s.outcomes = restored.index, restored.epoch, restored.revisions, restored.outcomes
	s.outcomeByID, s.hosts, s.delegations = restored.outcomeByID, restored.hosts, restored.delegations
	s.groups, s.removedTenants, s.cachedView = restored.groups, restored.removedTenants, nil
	return nil
}
