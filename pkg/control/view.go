package control

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Configuration returns the newest accepted revision, or nil before the first. It must not be changed.
func (s *State) Configuration() *schemav1.Configuration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.configuration()
}

// Revision returns the remembered record of a revision.
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

// Outcome returns the first answer to a submission id, if it is still remembered.
func (s *State) Outcome(id string) (*schemav1.SubmissionOutcome, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	outcome, ok := s.outcomeByID[id]
	return outcome, ok
}

// Hosts returns all hosts by name order. The slice is shared by all callers until the state changes, since polls and
// steps of the leader read it many times a second; it must not be changed.
func (s *State) Hosts() []*schemav1.Host {
	return s.View().GetHosts()
}

// Host returns the host called name.
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

// View returns what data centres need to know. The same message is returned until the state changes; it must not be
// changed.
func (s *State) View() *schemav1.ControlView {
	s.mu.RLock()
	view := s.view
	s.mu.RUnlock()
	if view != nil {
		return view
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view == nil {
		s.view = s.buildView()
	}
	return s.view
}

func (s *State) buildView() *schemav1.ControlView {
	view := &schemav1.ControlView{Index: s.index, Configuration: s.configuration(), Hosts: s.sortedHosts()}
	for _, id := range slices.Sorted(maps.Keys(s.delegations)) {
		view.Delegations = append(view.Delegations, s.delegations[id].message(id))
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

// Snapshot writes the whole state.
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
		message.Delegations = append(message.Delegations, s.delegations[id].message(id))
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

// Restore replaces the state by a snapshot. A snapshot of a newer format is refused.
func (s *State) Restore(snapshot []byte) error {
	var message schemav1.ControlSnapshot
	if err := proto.Unmarshal(snapshot, &message); err != nil {
		return &CodecError{Message: "control snapshot", Err: err}
	}
	if message.GetFormat() > snapshotFormat {
		return &SnapshotFormatError{Found: message.GetFormat(), Supported: snapshotFormat}
	}
	fresh := NewState()
	fresh.index, fresh.epoch = message.GetIndex(), message.GetEpoch()
	fresh.revisions = message.GetRevisions()
	for _, outcome := range message.GetOutcomes() {
		fresh.remember(outcome)
	}
	for _, host := range message.GetHosts() {
		fresh.hosts[host.GetName()] = host
	}
	for _, delegation := range message.GetDelegations() {
		fresh.delegations[delegation.GetKeyspace()] = delegationFrom(delegation)
	}
	for _, group := range message.GetGroups() {
		fresh.groups[group.GetDataCentre()] = group
	}
	for _, tenant := range message.GetRemovedTenants() {
		fresh.removedTenants[tenant.GetTenant()] = tenant
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index, s.epoch, s.revisions, s.outcomes = fresh.index, fresh.epoch, fresh.revisions, fresh.outcomes
	s.outcomeByID, s.hosts, s.delegations = fresh.outcomeByID, fresh.hosts, fresh.delegations
	s.groups, s.removedTenants, s.view = fresh.groups, fresh.removedTenants, nil
	return nil
}
