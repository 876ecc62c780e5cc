package control

import (
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"almondrock.example/almondrock/pkg/keyspace"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// snapshotFormat is the version of ControlSnapshot. It increases when older releases cannot read a snapshot any more.
const snapshotFormat = 1

// Numbers of the last revisions and submission outcomes that the control group keeps.
const (
	maxRevisions = 16
	maxOutcomes  = 4096
)

// tenantRehomeDelayMs is how long a removed tenant may not return with other home regions, in milliseconds. If it returned
// earlier, its keys could have two owners while some hosts still use the old revision.
const tenantRehomeDelayMs = 60_000

// State is the replicated state machine of the control group. Apply must be called in log order. All methods are safe for
// concurrent use.
type State struct {
	mu             sync.RWMutex
	index          uint64
	epoch          uint64
	revisions      []*schemav1.RevisionRecord
	outcomes       []*schemav1.SubmissionOutcome
	outcomeByID    map[string]*schemav1.SubmissionOutcome
	hosts          map[string]*schemav1.Host
	delegations    map[string]*keyspaceDelegation
	groups         map[string]*schemav1.GroupAssignment
	removedTenants map[string]*schemav1.RemovedTenant
	cachedView     *schemav1.ControlView
}

// NewState returns an empty state at revision 0.
func NewState() *State {
	return &State{
		outcomeByID:    map[string]*schemav1.SubmissionOutcome{},
		hosts:          map[string]*schemav1.Host{},
		delegations:    map[string]*keyspaceDelegation{},
		groups:         map[string]*schemav1.GroupAssignment{},
		removedTenants: map[string]*schemav1.RemovedTenant{},
	}
}

// Apply applies a serialised ControlCommand and returns a serialised ControlResult. All members ignore a malformed command, so
// their states stay equal.
func (s *State) Apply(index uint64, command []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := &schemav1.ControlResult{}
	var decoded schemav1.ControlCommand
	if err := proto.Unmarshal(command, &decoded); err == nil {
		result = s.apply(&decoded)
	}
	if result.GetApplied() {
		s.index = index
		s.cachedView = nil
	}
	// Marshalling a result that was built here does not fail.
	encoded, _ := proto.Marshal(result)
	return encoded
}

func (s *State) apply(command *schemav1.ControlCommand) *schemav1.ControlResult {
	switch c := command.GetCommand().(type) {
	case *schemav1.ControlCommand_Join:
		return &schemav1.ControlResult{Applied: s.joinHost(c.Join.GetHost())}
	case *schemav1.ControlCommand_Remove:
		return &schemav1.ControlResult{Applied: s.removeHost(c.Remove)}
	case *schemav1.ControlCommand_Submit:
		return s.submit(c.Submit)
	case *schemav1.ControlCommand_FormGroup:
		return &schemav1.ControlResult{Applied: s.formGroup(c.FormGroup.GetGroup())}
	case *schemav1.ControlCommand_Release:
		return &schemav1.ControlResult{Applied: s.release(c.Release)}
	case *schemav1.ControlCommand_Redelegate:
		return &schemav1.ControlResult{Applied: s.redelegate(c.Redelegate)}
	}
	return &schemav1.ControlResult{}
}

// joinHost records a host process. It ignores a late join of a process that started before the known one.
func (s *State) joinHost(host *schemav1.Host) bool {
	known, ok := s.hosts[host.GetName()]
	if ok && (proto.Equal(known, host) || host.GetStartedUnixMs() < known.GetStartedUnixMs()) {
		return false
	}
	s.hosts[host.GetName()] = proto.CloneOf(host)
	return true
}

func (s *State) removeHost(command *schemav1.RemoveHost) bool {
	known, ok := s.hosts[command.GetName()]
	if !ok || known.GetIdentity() != command.GetIdentity() {
		return false
	}
	delete(s.hosts, command.GetName())
	return true
}

// submit decides the outcome of a submission, which never changes afterwards. The proposer checked the submission against
// revision based_on, so the check is valid only if that revision is still the newest.
func (s *State) submit(command *schemav1.CommitSubmission) *schemav1.ControlResult {
	submission := command.GetSubmission()
	if first, ok := s.outcomeByID[submission.GetId()]; ok {
		return &schemav1.ControlResult{Outcome: first}
	}
	outcome := &schemav1.SubmissionOutcome{Id: submission.GetId(), Revision: s.revision()}
	problems := slices.Concat(command.GetProblems(), s.rehomeProblems(command), s.shardCountProblems(command))
	switch {
	case submission.GetBasedOn() != s.revision():
		outcome.Verdict = schemav1.SubmissionOutcome_VERDICT_CONFLICT
		outcome.WinnerId, outcome.WinnerOperator = s.winnerAfter(submission.GetBasedOn())
	case len(problems) > 0:
		outcome.Verdict = schemav1.SubmissionOutcome_VERDICT_REFUSED
		outcome.Problems = problems
	default:
		outcome.Verdict = schemav1.SubmissionOutcome_VERDICT_ACCEPTED
		outcome.Revision++
		s.acceptRevision(command, outcome.GetRevision())
	}
	s.addOutcome(outcome)
	return &schemav1.ControlResult{Applied: true, Outcome: outcome}
}

// winnerAfter returns the ID and operator of the submission that became the revision after basedOn, or empty strings if that
// revision is no longer kept.
func (s *State) winnerAfter(basedOn uint64) (id, operator string) {
	for _, record := range s.revisions {
		if record.GetConfiguration().GetRevision() == basedOn+1 {
			return record.GetSubmission().GetId(), record.GetSubmission().GetOperator()
		}
	}
	return "", ""
}

// acceptRevision adds the configuration of an accepted submission as a new revision, and drops the oldest one if there are too
// many.
func (s *State) acceptRevision(command *schemav1.CommitSubmission, revision uint64) {
	configuration := proto.CloneOf(command.GetConfiguration())
	configuration.Revision = revision
	s.recordRemovedTenants(configuration, command.GetSubmission().GetSubmittedUnixMs())
	s.revisions = append(s.revisions, &schemav1.RevisionRecord{
		Configuration: configuration,
		Submission:    proto.CloneOf(command.GetSubmission()),
	})
	if len(s.revisions) > maxRevisions {
		s.revisions = slices.Delete(s.revisions, 0, len(s.revisions)-maxRevisions)
	}
}

// addOutcome keeps an outcome for repeated submissions, and drops the oldest ones if there are too many.
func (s *State) addOutcome(outcome *schemav1.SubmissionOutcome) {
	s.outcomes = append(s.outcomes, outcome)
	s.outcomeByID[outcome.GetId()] = outcome
	for len(s.outcomes) > maxOutcomes {
		delete(s.outcomeByID, s.outcomes[0].GetId())
		s.outcomes = s.outcomes[1:]
	}
}

// recordRemovedTenants records the tenants that next no longer contains, and drops those that were removed long enough ago.
func (s *State) recordRemovedTenants(next *schemav1.Configuration, nowUnixMs int64) {
	present := map[string]bool{}
	for _, tenant := range next.GetTenants() {
		present[tenant.GetName()] = true
	}
	for _, tenant := range s.configuration().GetTenants() {
		if !present[tenant.GetName()] {
			s.removedTenants[tenant.GetName()] = &schemav1.RemovedTenant{
				Tenant: tenant.GetName(), HomeRegions: tenant.GetHomeRegions(), RemovedUnixMs: nowUnixMs,
			}
		}
	}
	for name, removed := range s.removedTenants {
		if nowUnixMs-removed.GetRemovedUnixMs() > tenantRehomeDelayMs {
			delete(s.removedTenants, name)
		}
	}
}

// rehomeProblems returns a problem for each tenant that returns with other home regions too soon after its removal.
func (s *State) rehomeProblems(command *schemav1.CommitSubmission) []*schemav1.Problem {
	var problems []*schemav1.Problem
	now := command.GetSubmission().GetSubmittedUnixMs()
	for _, tenant := range command.GetConfiguration().GetTenants() {
		removed, ok := s.removedTenants[tenant.GetName()]
		if !ok || now-removed.GetRemovedUnixMs() > tenantRehomeDelayMs ||
			keyspace.ID("", removed.GetHomeRegions()) == keyspace.ID("", tenant.GetHomeRegions()) {
			continue
		}
		problems = append(problems, &schemav1.Problem{
			File:       command.GetSubmission().GetBase().GetName(),
			Rule:       "tenant-rehomed-too-soon",
			Message:    "tenant " + tenant.GetName() + " was removed less than 60 s ago with other home regions",
			Suggestion: "submit the same file again 60 s after the removal",
		})
	}
	return problems
}

// shardCountProblems returns a problem for each keyspace that has been delegated and would change its number of shards. While
// both revisions are in use, the old and the new shard of a key could have different owners.
func (s *State) shardCountProblems(command *schemav1.CommitSubmission) []*schemav1.Problem {
	var problems []*schemav1.Problem
	for _, configured := range exclusiveKeyspaces(command.GetConfiguration()) {
		delegation, ok := s.delegations[configured.ID]
		if !ok || len(delegation.shards) == int(configured.Shards) {
			continue
		}
		problems = append(problems, &schemav1.Problem{
			File:       command.GetSubmission().GetBase().GetName(),
			Rule:       "shards-changed",
			Message:    "service " + configured.Service + " has keys in use under another number of shards",
			Suggestion: "keep the number of shards, or add a service with another name",
		})
	}
	return problems
}

// formGroup starts the next generation of a data centre group. Each generation number is accepted exactly once, in order.
func (s *State) formGroup(group *schemav1.GroupAssignment) bool {
	if group.GetGeneration() != s.groups[group.GetDataCentre()].GetGeneration()+1 || len(group.GetVoters()) == 0 {
		return false
	}
	s.groups[group.GetDataCentre()] = proto.CloneOf(group)
	return true
}

// release completes the moves of shards that their old data centre has stopped serving.
func (s *State) release(command *schemav1.ReleaseDelegations) bool {
	changed := false
	for _, shards := range command.GetRanges() {
		s.forEachShard(shards, func(entry *shardDelegation) {
			if entry.dataCentre != command.GetDataCentre() || entry.nextDataCentre == "" || entry.epoch != shards.GetEpoch() {
				return
			}
			s.epoch++
			*entry = shardDelegation{dataCentre: entry.nextDataCentre, epoch: s.epoch}
			changed = true
		})
	}
	return changed
}

// redelegate delegates shards without a data centre to the next one immediately, and starts a move of the others. Shards of a
// data centre that the configuration declares lost are also delegated immediately, since that data centre cannot release them.
func (s *State) redelegate(command *schemav1.Redelegate) bool {
	nextDataCentre := command.GetNextDataCentre()
	lost := s.isDataCentreLost(command.GetDataCentre())
	changed := false
	for _, shards := range command.GetRanges() {
		s.ensureKeyspace(shards.GetKeyspace())
		s.forEachShard(shards, func(entry *shardDelegation) {
			if entry.dataCentre != command.GetDataCentre() || entry.epoch != shards.GetEpoch() || entry.dataCentre == nextDataCentre {
				return
			}
			changed = true
			if entry.dataCentre == "" || lost {
				s.epoch++
				*entry = shardDelegation{dataCentre: nextDataCentre, epoch: s.epoch}
				return
			}
			entry.nextDataCentre = nextDataCentre
		})
	}
	return changed
}

// ensureKeyspace creates the delegation of a keyspace of the current configuration if there is none yet.
func (s *State) ensureKeyspace(id string) {
	if _, ok := s.delegations[id]; ok {
		return
	}
	for _, configured := range exclusiveKeyspaces(s.configuration()) {
		if configured.ID == id {
			s.delegations[id] = newKeyspaceDelegation(configured.Service, configured.HomeRegions, configured.Shards)
		}
	}
}

// forEachShard calls visit for each existing shard of a range.
func (s *State) forEachShard(shards *schemav1.ShardRange, visit func(*shardDelegation)) {
	delegation, ok := s.delegations[shards.GetKeyspace()]
	if !ok {
		return
	}
	for shard := shards.GetFirstShard(); shard < shards.GetFirstShard()+shards.GetCount() && int(shard) < len(delegation.shards); shard++ {
		visit(&delegation.shards[shard])
	}
}

// isDataCentreLost reports whether the current configuration declares the data centre lost.
func (s *State) isDataCentreLost(dataCentre string) bool {
	for _, dc := range s.configuration().GetDataCentres() {
		if dc.GetName() == dataCentre {
			return dc.GetLost()
		}
	}
	return false
}

func (s *State) revision() uint64 {
	return s.configuration().GetRevision()
}

// configuration returns the newest revision, or nil before the first one.
func (s *State) configuration() *schemav1.Configuration {
	if len(s.revisions) == 0 {
		return nil
	}
	return s.revisions[len(s.revisions)-1].GetConfiguration()
}
