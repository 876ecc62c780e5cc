package host

import (
	"context"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/control"
	"almondrock.example/almondrock/pkg/member"
	"almondrock.example/almondrock/pkg/raft"
	"almondrock.example/almondrock/pkg/replication"
	"almondrock.example/almondrock/pkg/rpc"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/settings"
	"almondrock.example/almondrock/pkg/wal"
)

const (
	// bootstrapRetryInterval is the pause between queries of the other seeds.
	bootstrapRetryInterval = 200 * time.Millisecond
	// controlStepInterval is the interval of the control leader's decisions.
	controlStepInterval = 100 * time.Millisecond
	// sealTimeout limits one call to a member that is to be sealed.
	sealTimeout = 500 * time.Millisecond
)

// controlMember is this host's membership in the control group.
type controlMember struct {
	host  *Host
	seeds []settings.Member
	state *control.State
	log   *wal.Log
	// identity is stored on disk with the log.
	identity uint64
	// emptyLog is set when the data directory held no log at the start.
	emptyLog bool

	mu      sync.Mutex
	replica *replication.Replica
	service *control.Service
}

// openControl opens the data directory. The replica starts later, when the group's members are known.
func openControl(h *Host, seeds []settings.Member) (*controlMember, error) {
	log, err := wal.Open(filepath.Join(h.settings.GetDataDir(), "control"), wal.Options{})
	if err != nil {
		return nil, err
	}
	state, err := log.Load()
	if err != nil {
		return nil, err
	}
	identity, err := log.Identity()
	if err != nil {
		return nil, err
	}
	emptyLog := member.IsEmpty(replication.PersistentState(state))
	return &controlMember{host: h, seeds: seeds, state: control.NewState(), log: log, identity: identity, emptyLog: emptyLog}, nil
}

// run starts the replica and runs the leader's decisions while this host leads the control group.
func (c *controlMember) run(ctx context.Context) error {
	initial, err := c.initialMembers(ctx)
	if err != nil {
		return err
	}
	replica, err := replication.New(replication.Options{
		ID:             c.identity,
		Address:        c.host.addresses.rpc,
		Group:          controlGroup,
		InitialMembers: initial,
		Storage:        member.NewStorage(ctx, c.log, nil),
		Transport:      c.host.transport,
		StateMachine:   c.state,
	})
	if err != nil {
		return err
	}
	service := control.NewService(control.Options{
		State:           c.state,
		ReplicatedLog:   &controlLog{replica: replica},
		SubmissionCheck: c.host.options.SubmissionCheck,
		Sealer:          &sealer{client: c.host.client},
		Clock:           c.host.clock,
	})
	c.mu.Lock()
	c.replica, c.service = replica, service
	c.mu.Unlock()
	defer replica.Stop()
	ticker := time.NewTicker(controlStepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-replica.Done():
			return replica.Err()
		case <-ticker.C:
			c.step(ctx)
		}
	}
}

func (c *controlMember) step(ctx context.Context) {
	if err := c.service.Step(ctx); err != nil {
		klog.V(2).InfoS("control step failed", "host", c.host.settings.GetName(), "err", err)
	}
	status := c.replica.Status()
	if status.Role != raft.Leader {
		return
	}
	c.submitInitial(ctx)
	if change := nextControlChange(status); change != nil {
		if err := change(ctx, c.replica); err != nil {
			klog.V(2).InfoS("member change of the control group failed", "err", err)
		}
	}
}

// nextControlChange returns the next change of members, or nil. It promotes a learner that has caught up, and then removes
// the voter that the learner replaces: the one with the same address, whose disk was lost.
func nextControlChange(status replication.Status) memberChange {
	for _, member := range status.Members {
		if member.Learner && member.CaughtUp {
			return func(ctx context.Context, r *replication.Replica) error { return r.Promote(ctx, member.ID) }
		}
	}
	for i, member := range status.Members {
		for j, other := range status.Members {
			replaced := i != j && member.Address == other.Address && !member.Learner && !other.Learner
			if replaced && member.SinceLastResponse > other.SinceLastResponse && member.SinceLastResponse > time.Second {
				return func(ctx context.Context, r *replication.Replica) error { return r.Remove(ctx, member.ID) }
			}
		}
	}
	return nil
}

// initialMembers returns the members with which a new control group starts, or nil when the log or the running group
// provides them. A host with a log needs no initial members. A host with an empty log may start the group only when all other
// seeds have empty logs too, or when the running group already has this identity as a member. Otherwise its disk was replaced,
// and it must join as a learner, because the votes stored on the old disk are lost.
func (c *controlMember) initialMembers(ctx context.Context) ([]*schemav1.Member, error) {
	if !c.emptyLog {
		return nil, nil
	}
	for {
		members, exists, complete := c.querySeeds(ctx)
		switch {
		case exists && slices.ContainsFunc(members, func(m *schemav1.Member) bool { return m.GetId() == c.identity }):
			// The log of the running group contains its members, which may have changed since the first start.
			return nil, nil
		case exists:
			if c.requestMembership(ctx) {
				return nil, nil
			}
		case complete:
			return members, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(bootstrapRetryInterval):
		}
	}
}

// querySeeds queries the other seeds. members are those of the running group if exists is set, otherwise the seeds that
// responded. complete is set when the group exists or all seeds responded.
func (c *controlMember) querySeeds(ctx context.Context) (members []*schemav1.Member, exists, complete bool) {
	complete = true
	for _, s := range c.seeds {
		if s.Name == c.host.settings.GetName() {
			members = append(members, &schemav1.Member{Id: c.identity, Address: s.Address})
			continue
		}
		response := &schemav1.BootstrapResponse{}
		request := &schemav1.BootstrapRequest{Name: c.host.settings.GetName(), Identity: c.identity}
		if err := c.host.call(ctx, s.Address, methodBootstrap, request, response); err != nil {
			complete = false
			continue
		}
		if response.GetExists() {
			return response.GetMembers(), true, true
		}
		members = append(members, &schemav1.Member{Id: response.GetIdentity(), Address: s.Address})
	}
	return members, false, complete
}

// requestMembership asks each other seed in turn to add this host as a learner, and reports whether the leader has done so.
func (c *controlMember) requestMembership(ctx context.Context) bool {
	request := &schemav1.AddMemberRequest{
		Name:   c.host.settings.GetName(),
		Member: &schemav1.Member{Id: c.identity, Address: c.host.addresses.rpc},
	}
	for _, s := range c.seeds {
		response := &schemav1.AddMemberResponse{}
		if s.Name != c.host.settings.GetName() && c.host.call(ctx, s.Address, methodAddMember, request, response) == nil && response.GetAnswered() {
			return true
		}
	}
	return false
}

// handleBootstrap returns this member's identity and, once its replica has started, the members of the group.
func (c *controlMember) handleBootstrap(_ context.Context, _ *schemav1.BootstrapRequest) (*schemav1.BootstrapResponse, error) {
	response := &schemav1.BootstrapResponse{Identity: c.identity}
	replica, _ := c.replicaAndService()
	switch {
	case replica != nil:
		response.Exists = true
		for _, member := range replica.Status().Members {
			response.Members = append(response.Members, &schemav1.Member{Id: member.ID, Address: member.Address, Learner: member.Learner})
		}
	case !c.emptyLog:
		return nil, merry.Wrap(ErrNoLeader)
	}
	return response, nil
}

// handleAddMember adds a seed whose disk was replaced as a learner.
func (c *controlMember) handleAddMember(ctx context.Context, request *schemav1.AddMemberRequest) (*schemav1.AddMemberResponse, error) {
	replica, _ := c.replicaAndService()
	if replica == nil {
		return nil, merry.Wrap(ErrNoLeader)
	}
	if status := replica.Status(); status.Role != raft.Leader {
		return &schemav1.AddMemberResponse{LeaderAddress: status.LeaderAddress}, nil
	}
	named := slices.ContainsFunc(c.seeds, func(s settings.Member) bool {
		return s.Name == request.GetName() && s.Address == request.GetMember().GetAddress()
	})
	if !named {
		return &schemav1.AddMemberResponse{}, nil
	}
	member := request.GetMember()
	known := slices.ContainsFunc(replica.Status().Members, func(m replication.MemberStatus) bool { return m.ID == member.GetId() })
	if !known {
		if err := replica.AddLearner(ctx, member.GetId(), member.GetAddress()); err != nil {
			return nil, err
		}
	}
	return &schemav1.AddMemberResponse{Answered: true}, nil
}

// close closes the data directory. It does nothing on a nil receiver.
func (c *controlMember) close() {
	if c != nil {
		c.log.Close()
	}
}

func (c *controlMember) replicaAndService() (*replication.Replica, *control.Service) {
	if c == nil {
		return nil, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replica, c.service
}

// submitInitial submits the initial configuration while no revision exists.
func (c *controlMember) submitInitial(ctx context.Context) {
	initial := c.host.options.InitialSubmission
	if initial == nil || c.state.Configuration() != nil {
		return
	}
	response, err := c.service.Submit(ctx, &schemav1.SubmitRequest{Submission: initial})
	if err != nil {
		return
	}
	for _, problem := range response.GetOutcome().GetProblems() {
		klog.ErrorS(nil, "initial configuration refused", "file", problem.GetFile(), "line", problem.GetLine(),
			"rule", problem.GetRule(), "problem", problem.GetMessage())
	}
}

// controlLog implements control.ReplicatedLog with a replica.
type controlLog struct {
	replica *replication.Replica
}

// Propose implements control.ReplicatedLog.
func (l *controlLog) Propose(ctx context.Context, command []byte) ([]byte, error) {
	return l.replica.Propose(ctx, command)
}

// ReadBarrier implements control.ReplicatedLog.
func (l *controlLog) ReadBarrier(ctx context.Context) error { return l.replica.ReadBarrier(ctx) }

// Leader implements control.ReplicatedLog.
func (l *controlLog) Leader() (string, bool) {
	status := l.replica.Status()
	return status.LeaderAddress, status.Role == raft.Leader
}

// sealer implements control.Sealer with calls to members of data centre groups.
type sealer struct {
	client rpc.Client
}

// Seal implements control.Sealer.
func (s *sealer) Seal(ctx context.Context, address string, request *schemav1.SealRequest) (*schemav1.SealResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, sealTimeout)
	defer cancel()
	response := &schemav1.SealResponse{}
	return response, s.client.Call(ctx, address, methodSeal, request, response)
}
