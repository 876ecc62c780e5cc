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
	// bootstrapRetry is the pause between rounds of asking the other first members.
	bootstrapRetry = 200 * time.Millisecond
	// controlStep is the interval of the control leader's decisions.
	controlStep = 100 * time.Millisecond
	// sealTimeout bounds one call to a member that is to be sealed.
	sealTimeout = 500 * time.Millisecond
)

// controlMember is this host's membership in the control group.
type controlMember struct {
	host  *Host
	seeds []settings.Member
	state *control.State
	log   *wal.Log
	// identity is kept on the disk with the log.
	identity uint64
	// fresh is set while the data folder holds no log.
	fresh bool

	mu      sync.Mutex
	replica *replication.Replica
	service *control.Service
}

// openControl opens the data folder. The replica starts later, when the group's members are known.
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
	fresh := member.IsEmpty(replication.PersistentState(state))
	return &controlMember{host: h, seeds: seeds, state: control.NewState(), log: log, identity: identity, fresh: fresh}, nil
}

// run starts the replica and decides while this host leads.
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
		Storage:        member.Storage{Log: c.log},
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
	ticker := time.NewTicker(controlStep)
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
	c.submitFirst(ctx)
	if change := nextControlChange(status); change != nil {
		if err := change(ctx, c.replica); err != nil {
			klog.V(2).InfoS("control member change refused", "err", err)
		}
	}
}

// nextControlChange promotes a learner that has caught up, and then removes the voter that it replaces: the one with
// the same address, whose disk is gone.
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

// initialMembers finds out how to start. A folder with a log needs nothing. A fresh one may take part in the first
// start only when every other first member is fresh too, or already counts this very identity among the members;
// otherwise its disk was replaced, and it must join as a learner, because votes of the old disk are forgotten.
func (c *controlMember) initialMembers(ctx context.Context) ([]*schemav1.Member, error) {
	if !c.fresh {
		return nil, nil
	}
	for {
		members, exists, complete := c.askSeeds(ctx)
		switch {
		case exists && slices.ContainsFunc(members, func(m *schemav1.Member) bool { return m.GetId() == c.identity }):
			// The running group gives its members with the log; they may have changed since the first start.
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
		case <-time.After(bootstrapRetry):
		}
	}
}

// askSeeds asks the other first members. members are those of the running group if it exists, else the fresh ones.
func (c *controlMember) askSeeds(ctx context.Context) (members []*schemav1.Member, exists, complete bool) {
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

// requestMembership asks the leader, by way of any first member, to add this host as a learner.
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

// bootstrap answers another first member.
func (c *controlMember) bootstrap(_ context.Context, _ *schemav1.BootstrapRequest) (*schemav1.BootstrapResponse, error) {
	response := &schemav1.BootstrapResponse{Identity: c.identity}
	replica, _ := c.parts()
	switch {
	case replica != nil:
		response.Exists = true
		for _, member := range replica.Status().Members {
			response.Members = append(response.Members, &schemav1.Member{Id: member.ID, Address: member.Address, Learner: member.Learner})
		}
	case !c.fresh:
		return nil, merry.Wrap(ErrNoLeader)
	}
	return response, nil
}

// addMember adds a first member whose disk was replaced.
func (c *controlMember) addMember(ctx context.Context, request *schemav1.AddMemberRequest) (*schemav1.AddMemberResponse, error) {
	replica, _ := c.parts()
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

// close releases the data folder.
func (c *controlMember) close() {
	if c != nil {
		c.log.Close()
	}
}

func (c *controlMember) parts() (*replication.Replica, *control.Service) {
	if c == nil {
		return nil, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replica, c.service
}

// submitFirst submits the files named in the settings while no revision exists.
func (c *controlMember) submitFirst(ctx context.Context) {
	first := c.host.options.InitialSubmission
	if first == nil || c.state.Configuration() != nil {
		return
	}
	response, err := c.service.Submit(ctx, &schemav1.SubmitRequest{Submission: first})
	if err != nil {
		return
	}
	for _, problem := range response.GetOutcome().GetProblems() {
		klog.ErrorS(nil, "first configuration refused", "file", problem.GetFile(), "line", problem.GetLine(),
			"rule", problem.GetRule(), "problem", problem.GetMessage())
	}
}

// controlLog adapts a replica to what the control service needs.
type controlLog struct {
	replica *replication.Replica
}

// Propose implements control.Log.
func (l *controlLog) Propose(ctx context.Context, command []byte) ([]byte, error) {
	return l.replica.Propose(ctx, command)
}

// ReadBarrier implements control.Log.
func (l *controlLog) ReadBarrier(ctx context.Context) error { return l.replica.ReadBarrier(ctx) }

// Leader implements control.Log.
func (l *controlLog) Leader() (string, bool) {
	status := l.replica.Status()
	return status.LeaderAddress, status.Role == raft.Leader
}

// sealer asks members of data centre groups to stop.
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
