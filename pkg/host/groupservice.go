package host

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"google.golang.org/protobuf/proto"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/control"
	"almondrock.example/almondrock/pkg/internal/monotonic"
	"almondrock.example/almondrock/pkg/member"
	"almondrock.example/almondrock/pkg/ownership"
	"almondrock.example/almondrock/pkg/replication"
	"almondrock.example/almondrock/pkg/rpc"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/tlsconfig"
)

// registerHandlers registers the handlers of the RPC methods between hosts.
func (h *Host) registerHandlers(server *rpc.Server) {
	rpc.Register(server, member.MethodStep, h.handleStep)
	rpc.Register(server, methodRenew, withClaimCheck(h, func(r *schemav1.RenewRequest) tlsconfig.Identity {
		return tlsconfig.Identity{DataCentre: h.settings.GetDataCentre(), Name: r.GetHost()}
	}, h.handleRenew))
	rpc.Register(server, methodPropose, withClaimCheck(h, claimOwnDataCentre[*schemav1.ProposeRequest](h), h.handlePropose))
	rpc.Register(server, methodAnnounce, withClaimCheck(h, claimOwnDataCentre[*schemav1.AnnounceRequest](h), h.handleAnnounce))
	rpc.Register(server, methodSeal, h.handleSeal)
	rpc.Register(server, methodExplain, h.handleExplain)
	rpc.Register(server, methodStatus, h.handleStatus)
	if h.control == nil {
		return
	}
	h.registerControlHandlers(server)
}

// registerControlHandlers registers the handlers of the control group's RPC methods. A member whose replica has not started
// responds like one that does not know the leader.
func (h *Host) registerControlHandlers(server *rpc.Server) {
	rpc.Register(server, methodBootstrap, withClaimCheck(h, func(r *schemav1.BootstrapRequest) tlsconfig.Identity {
		return tlsconfig.Identity{Name: r.GetName()}
	}, h.control.handleBootstrap))
	rpc.Register(server, methodAddMember, withClaimCheck(h, func(r *schemav1.AddMemberRequest) tlsconfig.Identity {
		return tlsconfig.Identity{Name: r.GetName()}
	}, h.control.handleAddMember))
	rpc.Register(server, methodJoin, withClaimCheck(h, func(r *schemav1.JoinRequest) tlsconfig.Identity {
		return tlsconfig.Identity{DataCentre: r.GetHost().GetDataCentre(), Name: r.GetHost().GetName()}
	}, controlHandler(h, (*control.Service).Join)))
	rpc.Register(server, methodPoll, withClaimCheck(h, func(r *schemav1.PollRequest) tlsconfig.Identity {
		return tlsconfig.Identity{DataCentre: r.GetDataCentre(), Name: r.GetHost()}
	}, controlHandler(h, (*control.Service).Poll)))
	rpc.Register(server, methodSubmit, controlHandler(h, (*control.Service).Submit))
}

// controlHandler returns an RPC handler that calls a method of the control service. Before the replica has started, the
// handler returns an empty response.
func controlHandler[Request, Response any](
	h *Host, method func(*control.Service, context.Context, *Request) (*Response, error),
) func(context.Context, *Request) (*Response, error) {
	return func(ctx context.Context, request *Request) (*Response, error) {
		_, service := h.control.replicaAndService()
		if service == nil {
			return new(Response), nil
		}
		return method(service, ctx, request)
	}
}

// handleStep passes Raft messages to the replica of their group. Messages without a replica here are late and are dropped.
func (h *Host) handleStep(_ context.Context, batch *schemav1.RaftBatch) (*schemav1.RaftBatchResponse, error) {
	var replica *replication.Replica
	if batch.GetGroup() == controlGroup {
		replica, _ = h.control.replicaAndService()
	} else if g := h.group.Load(); g != nil {
		replica = g.replica
	}
	if replica != nil {
		// The replica refuses a batch of another group or generation. The sender learns of the new generation by polling.
		_ = replica.Step(batch)
	}
	return &schemav1.RaftBatchResponse{}, nil
}

func (h *Host) handleRenew(_ context.Context, request *schemav1.RenewRequest) (*schemav1.RenewResponse, error) {
	g := h.group.Load()
	if g == nil {
		return &schemav1.RenewResponse{}, nil
	}
	driver, leads := g.leads()
	if !leads {
		return &schemav1.RenewResponse{LeaderAddress: g.replica.Status().LeaderAddress}, nil
	}
	return driver.Renew(h.clock(), request), nil
}

func (h *Host) handlePropose(ctx context.Context, request *schemav1.ProposeRequest) (*schemav1.ProposeResponse, error) {
	g := h.group.Load()
	if g == nil || g.table.Generation() != request.GetGeneration() {
		return &schemav1.ProposeResponse{}, nil
	}
	result, err := g.propose(ctx, request.GetCommand())
	if err != nil {
		var notLeader *replication.NotLeaderError
		if asError(err, &notLeader) {
			return &schemav1.ProposeResponse{LeaderAddress: notLeader.LeaderAddress}, nil
		}
		return nil, err
	}
	return &schemav1.ProposeResponse{Accepted: true, Result: result}, nil
}

func (h *Host) handleAnnounce(_ context.Context, request *schemav1.AnnounceRequest) (*schemav1.AnnounceResponse, error) {
	g := h.group.Load()
	if g == nil {
		return &schemav1.AnnounceResponse{}, nil
	}
	driver, leads := g.leads()
	if !leads {
		return &schemav1.AnnounceResponse{LeaderAddress: g.replica.Status().LeaderAddress}, nil
	}
	accepted, err := driver.Announce(h.clock(), request.GetAnnouncement())
	return &schemav1.AnnounceResponse{Answered: err == nil, Accepted: accepted}, err
}

// handleSeal permanently ends this host's membership in a generation and returns the generation's state, unless it is only asked whether
// it could.
func (h *Host) handleSeal(ctx context.Context, request *schemav1.SealRequest) (*schemav1.SealResponse, error) {
	g := h.group.Load()
	if g == nil || g.table.DataCentre() != request.GetDataCentre() || g.table.Generation() != request.GetGeneration() {
		return &schemav1.SealResponse{}, nil
	}
	if request.GetOnlyAsk() {
		status := g.replica.Status()
		return &schemav1.SealResponse{CouldSeal: true, LastTerm: status.LastTerm, LastIndex: status.LastIndex, Voters: votersOf(status)}, nil
	}
	sealed, err := g.replica.Seal(ctx)
	if err != nil {
		return nil, err
	}
	if len(sealed.Snapshot) == 0 {
		// Nothing has been applied yet, so the generation's state is the one that it started from.
		sealed.Snapshot = g.assignment.GetSealedState()
	}
	state, err := sealed.BuildSnapshot(ownership.NewTable(request.GetDataCentre(), request.GetGeneration()))
	if err != nil {
		return nil, err
	}
	return &schemav1.SealResponse{
		Sealed: true, LastTerm: sealed.LastTerm, LastIndex: sealed.LastIndex, State: state, Voters: votersOf(g.replica.Status()),
	}, nil
}

// votersOf returns the voters in a status.
func votersOf(status replication.Status) []*schemav1.Member {
	var voters []*schemav1.Member
	for _, member := range status.Members {
		if !member.Learner {
			voters = append(voters, &schemav1.Member{Id: member.ID, Address: member.Address})
		}
	}
	return voters
}

// propose commits a command through this host's replica, which must be the leader.
func (g *group) propose(ctx context.Context, command *schemav1.GroupCommand) (*schemav1.GroupResult, error) {
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, err
	}
	resultData, err := g.replica.Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	result := &schemav1.GroupResult{}
	return result, proto.Unmarshal(resultData, result)
}

const (
	// maxProposeAttempts limits how often a proposal is tried while the leader changes. proposeRetryDelay is long enough
	// for one election.
	maxProposeAttempts = 5
	proposeRetryDelay  = 100 * time.Millisecond
)

// proposeToLeader commits a command through the leader of the data centre group. After ErrNoLeader or ErrNoGroup the command
// was not proposed. After any other error it may have been committed.
func (h *Host) proposeToLeader(ctx context.Context, command *schemav1.GroupCommand) (*schemav1.GroupResult, error) {
	for range maxProposeAttempts {
		g := h.group.Load()
		if g == nil {
			return nil, merry.Wrap(ErrNoGroup)
		}
		result, err := h.proposeOnce(ctx, g, command)
		if err == nil && result != nil {
			return result, nil
		}
		if err != nil && !isNotProposed(err) {
			return nil, err
		}
		if !monotonic.Sleep(ctx, proposeRetryDelay) {
			return nil, ctx.Err()
		}
	}
	return nil, merry.Wrap(ErrNoLeader)
}

// proposeOnce proposes the command to the known leader. It returns nil and no error when there is no leader or it has
// changed, and the command was certainly not proposed.
func (h *Host) proposeOnce(ctx context.Context, g *group, command *schemav1.GroupCommand) (*schemav1.GroupResult, error) {
	status := g.replica.Status()
	if status.LeaderID == h.identity {
		return g.propose(ctx, command)
	}
	if status.LeaderAddress == "" {
		return nil, nil
	}
	response := &schemav1.ProposeResponse{}
	request := &schemav1.ProposeRequest{Generation: g.table.Generation(), Command: command}
	if err := h.call(ctx, status.LeaderAddress, methodPropose, request, response); err != nil {
		return nil, err
	}
	if !response.GetAccepted() {
		return nil, nil
	}
	return response.GetResult(), nil
}

// isNotProposed reports whether err means that the command was certainly not proposed.
func isNotProposed(err error) bool {
	var notLeader *replication.NotLeaderError
	var unavailable *rpc.UnavailableError
	return asError(err, &notLeader) || asError(err, &unavailable)
}

// acceptAnnouncement passes a target's announcement to the leader of the data centre group. Its errors are refusals.
func (h *Host) acceptAnnouncement(ctx context.Context, announcement *schemav1.Announcement) error {
	g := h.group.Load()
	if g == nil {
		return retryLater("this host is not yet a member of its data centre group")
	}
	request := &schemav1.AnnounceRequest{Generation: g.table.Generation(), Announcement: announcement}
	var response *schemav1.AnnounceResponse
	var err error
	if status := g.replica.Status(); status.LeaderID == h.identity {
		response, err = h.handleAnnounce(ctx, request)
	} else {
		response = &schemav1.AnnounceResponse{}
		err = h.call(ctx, status.LeaderAddress, methodAnnounce, request, response)
	}
	switch {
	case err != nil || !response.GetAnswered():
		return retryLater("the data centre group has no leader")
	case !response.GetAccepted():
		return apierr.New(apierr.BadRequest, "the announcement is older than one known, or contradicts a live target of the same name")
	}
	return nil
}

// retryLater returns a not-run refusal with Retry-After, for a condition that ends with an election or a join.
func retryLater(message string) error {
	return apierr.Wrap(&apierr.Refusal{Code: apierr.Draining, Ran: apierr.NotRun, Message: message, RetryAfter: time.Second})
}
