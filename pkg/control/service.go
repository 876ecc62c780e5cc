package control

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"almondrock.example/almondrock/pkg/lease"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// ReplicatedLog is the replicated log of the control group, as the service needs it.
type ReplicatedLog interface {
	// Propose commits a command and returns the state machine's result.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// ReadBarrier returns when the state shows everything that was committed before the call.
	ReadBarrier(ctx context.Context) error
	// Leader returns the address of the leader, empty when unknown, and whether this host is it.
	Leader() (address string, self bool)
}

// SubmissionCheck merges and checks the files of a submission against the configuration in force.
type SubmissionCheck func(current *schemav1.Configuration, submission *schemav1.Submission) (*schemav1.Configuration, []*schemav1.Problem)

// Service answers the calls of hosts and operators. Only the leader answers; other members return its address.
type Service struct {
	state  *State
	log    ReplicatedLog
	check  SubmissionCheck
	sealer Sealer
	clock  lease.Clock
	// proposalTimeout bounds the wait for a commit. Without a majority a proposal has no outcome, and the leader's steps
	// must go on, so that they see the end of the leadership.
	proposalTimeout time.Duration

	mu     sync.Mutex
	driver *Driver
}

// proposalTimeout is longer than any commit with a majority, and short against the time in which revisions must be in
// force.
const proposalTimeout = time.Second

// Options of a Service. All fields are required.
type Options struct {
	State           *State
	ReplicatedLog   ReplicatedLog
	SubmissionCheck SubmissionCheck
	Sealer          Sealer
	Clock           lease.Clock
}

// NewService returns a service; Step must be called regularly to make the leader decide.
func NewService(options Options) *Service {
	return &Service{
		state:  options.State,
		log:    options.ReplicatedLog,
		check:  options.SubmissionCheck,
		sealer: options.Sealer,
		clock:  options.Clock,

		proposalTimeout: proposalTimeout,
	}
}

// Join records a host and returns the assignment of its group, if it has one.
func (s *Service) Join(ctx context.Context, request *schemav1.JoinRequest) (*schemav1.JoinResponse, error) {
	leader, self := s.log.Leader()
	if !self {
		return &schemav1.JoinResponse{LeaderAddress: leader}, nil
	}
	command := &schemav1.ControlCommand{Command: &schemav1.ControlCommand_Join{Join: &schemav1.JoinHost{Host: request.GetHost()}}}
	if known, ok := s.state.Host(request.GetHost().GetName()); !ok || !proto.Equal(known, request.GetHost()) {
		if _, err := s.propose(ctx, command); err != nil {
			return nil, err
		}
	}
	known, ok := s.state.Host(request.GetHost().GetName())
	group, _ := s.state.Group(request.GetHost().GetDataCentre())
	return &schemav1.JoinResponse{
		Accepted: ok && known.GetIdentity() == request.GetHost().GetIdentity(),
		Group:    group,
		Hosts:    s.state.Hosts(),
	}, nil
}

// Poll records what a data centre reports and returns what changed.
func (s *Service) Poll(ctx context.Context, request *schemav1.PollRequest) (*schemav1.PollResponse, error) {
	leader, self := s.log.Leader()
	if !self {
		return &schemav1.PollResponse{LeaderAddress: leader}, nil
	}
	if known, ok := s.state.Host(request.GetHost()); ok && known.GetIdentity() == request.GetIdentity() {
		s.observe(request)
	}
	if len(request.GetReleased()) > 0 && request.GetLeadsGroup() {
		release := &schemav1.ReleaseDelegations{DataCentre: request.GetDataCentre(), Ranges: request.GetReleased()}
		if _, err := s.propose(ctx, &schemav1.ControlCommand{Command: &schemav1.ControlCommand_Release{Release: release}}); err != nil {
			return nil, err
		}
	}
	response := &schemav1.PollResponse{Answered: true}
	if view := s.state.View(); view.GetIndex() > request.GetKnownIndex() {
		response.View = view
	}
	if group, ok := s.state.Group(request.GetDataCentre()); ok && group.GetGeneration() > request.GetGeneration() {
		response.Group = group
	}
	return response, nil
}

func (s *Service) observe(request *schemav1.PollRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.driver != nil {
		s.driver.RecordPoll(s.clock(), request)
	}
}

// Submit checks a submission against the revision in force and commits the outcome. A resend of the same submission
// id gets the first outcome.
func (s *Service) Submit(ctx context.Context, request *schemav1.SubmitRequest) (*schemav1.SubmitResponse, error) {
	leader, self := s.log.Leader()
	if !self {
		return &schemav1.SubmitResponse{LeaderAddress: leader}, nil
	}
	if err := s.log.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	submission := request.GetSubmission()
	if outcome, ok := s.state.Outcome(submission.GetId()); ok {
		return &schemav1.SubmitResponse{Answered: true, Outcome: outcome}, nil
	}
	configuration, problems := s.check(s.state.Configuration(), submission)
	command := &schemav1.ControlCommand{Command: &schemav1.ControlCommand_Submit{Submit: &schemav1.CommitSubmission{
		Submission: submission, Configuration: configuration, Problems: problems,
	}}}
	result, err := s.propose(ctx, command)
	if err != nil {
		return nil, err
	}
	return &schemav1.SubmitResponse{Answered: true, Outcome: result.GetOutcome()}, nil
}

func (s *Service) propose(ctx context.Context, command *schemav1.ControlCommand) (*schemav1.ControlResult, error) {
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, &CodecError{Message: "control command", Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, s.proposalTimeout)
	defer cancel()
	out, err := s.log.Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	var result schemav1.ControlResult
	if err := proto.Unmarshal(out, &result); err != nil {
		return nil, &CodecError{Message: "control result", Err: err}
	}
	return &result, nil
}

// Step lets the leader decide once. Other members forget their soft state.
func (s *Service) Step(ctx context.Context) error {
	if _, self := s.log.Leader(); !self {
		s.mu.Lock()
		s.driver = nil
		s.mu.Unlock()
		return nil
	}
	for _, command := range s.decide() {
		if _, err := s.propose(ctx, command); err != nil {
			return err
		}
	}
	return s.stepGenerations(ctx)
}

func (s *Service) decide() []*schemav1.ControlCommand {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	if s.driver == nil {
		s.driver = NewDriver(s.state, now)
	}
	return s.driver.Step(now)
}

// stepGenerations prepares the next generation of groups that lost their majority.
func (s *Service) stepGenerations(ctx context.Context) error {
	type candidate struct {
		group *schemav1.GroupAssignment
		live  []*schemav1.Host
	}
	s.mu.Lock()
	now := s.clock()
	var candidates []candidate
	for _, group := range s.driver.LeaderlessGroups(now) {
		candidates = append(candidates, candidate{group, s.driver.LiveHosts(now, group.GetDataCentre())})
	}
	s.mu.Unlock()
	for _, c := range candidates {
		sealContext, cancel := context.WithTimeout(ctx, time.Second)
		next := PrepareNextGeneration(sealContext, s.sealer, c.group, s.state.Hosts(), c.live)
		cancel()
		if next == nil {
			continue
		}
		if _, err := s.propose(ctx, formGroup(next)); err != nil {
			return err
		}
	}
	return nil
}
