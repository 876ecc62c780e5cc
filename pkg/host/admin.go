package host

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"almondrock.example/almondrock/pkg/admin"
	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/config"
	"almondrock.example/almondrock/pkg/control"
	"almondrock.example/almondrock/pkg/keyspace"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/settings"
	"almondrock.example/almondrock/pkg/target"
)

// adminHandler serves the administration API.
func (h *Host) adminHandler() http.Handler {
	return admin.NewHandler(backend{h}, h.metrics.Handler, admin.AccessPolicy{
		RequireCertificate: h.tls != nil,
		Submitters:         settings.SplitList(h.settings.GetSubmitters()),
	})
}

// backend implements admin.Backend.
type backend struct {
	host *Host
}

// Ready implements admin.Backend.
func (b backend) Ready() (ok bool, reasons string) {
	ready := b.host.Ready()
	return ready.OK, ready.String()
}

// Configuration implements admin.Backend.
func (b backend) Configuration() *schemav1.Configuration {
	view := b.host.views.get()
	if view == nil {
		return nil
	}
	return view.view.GetConfiguration()
}

// Submit implements admin.Backend.
func (b backend) Submit(ctx context.Context, submission *schemav1.Submission) (*schemav1.SubmissionOutcome, error) {
	submission.SubmittedUnixMs = time.Now().UnixMilli()
	response := &schemav1.SubmitResponse{}
	request := &schemav1.SubmitRequest{Submission: submission}
	if err := b.host.callControl(ctx, methodSubmit, request, response, response.GetAnswered); err != nil {
		// The leader may have committed it; a resend with the same id tells.
		return nil, apierr.Wrap(&apierr.Refusal{
			Code: apierr.OutcomeUnknown, Ran: apierr.RunUnknown, RetryAfter: time.Second,
			Message: "the control group did not answer; send the same submission id again",
		})
	}
	return response.GetOutcome(), nil
}

// Plan implements admin.Backend.
func (b backend) Plan(ctx context.Context, submission *schemav1.Submission) (*schemav1.Plan, error) {
	view := b.host.views.get()
	base, overlays := config.SubmissionFiles(submission)
	input := config.PlanInput{}
	var current *schemav1.Configuration
	if view != nil {
		current = view.view.GetConfiguration()
		input.Delegations = view.view.GetDelegations()
		input.SlotsByDataCentre = b.slots(ctx)
	}
	return config.PlanFiles(current, base, overlays, input), nil
}

// slots sums the slots of usable targets by data centre.
func (b backend) slots(ctx context.Context) map[string]uint32 {
	slots := map[string]uint32{}
	report, err := b.Status(ctx)
	if err != nil {
		return slots
	}
	for _, dataCentre := range report.GetDataCentres() {
		for _, status := range dataCentre.GetTargets() {
			if status.GetState() == stateReady {
				slots[dataCentre.GetDataCentre()] += status.GetSlots()
			}
		}
	}
	return slots
}

// Explain implements admin.Backend.
func (b backend) Explain(ctx context.Context, service, tenant, key string) (*schemav1.Explanation, error) {
	view := b.host.views.get()
	switch {
	case view == nil || view.snapshot == nil:
		return nil, retryLater("this host has no configuration yet")
	case key == "":
		return nil, apierr.New(apierr.MissingKey, "the query has no key")
	}
	resolution, err := view.snapshot.Resolve(service, tenant, http.MethodGet, "/")
	if err != nil {
		return nil, err
	}
	if home := resolution.HomeRegions; len(home) > 0 && !slices.Contains(home, b.host.settings.GetRegion()) {
		return nil, apierr.New(apierr.WrongRegion, "home regions: %v", home)
	}
	hash := keyspace.Hash(tenant, key)
	explanation := &schemav1.Explanation{
		Service:     service,
		Keyspace:    resolution.Keyspace,
		HomeRegions: resolution.HomeRegions,
		Shard:       keyspace.Shard(hash, resolution.Shards),
		KeyHash:     strconv.FormatUint(hash, 16),
		Revision:    view.snapshot.Revision(),
	}
	b.explainOwner(ctx, view, hash, explanation)
	return explanation, nil
}

// explainOwner fills in the data centre and, asking there if needed, the target.
func (b backend) explainOwner(ctx context.Context, view *compiledView, hash uint64, explanation *schemav1.Explanation) {
	run, ok := control.FindRun(view.delegations[explanation.GetKeyspace()], explanation.GetShard())
	if !ok {
		explanation.Reason = "the shard is not delegated to a data centre: none in its home regions has targets, or the service is shared"
		return
	}
	explanation.DataCentre, explanation.Epoch, explanation.NextDataCentre = run.GetDataCentre(), run.GetEpoch(), run.GetNextDataCentre()
	request := &schemav1.ExplainRequest{Keyspace: explanation.GetKeyspace(), Shard: explanation.GetShard(), KeyHash: hash}
	answer, err := b.host.askDataCentre(ctx, run.GetDataCentre(), request)
	if err != nil {
		explanation.Reason = "data centre " + run.GetDataCentre() + " does not answer; it keeps the shard until it returns or is declared lost"
		return
	}
	explanation.Target, explanation.AttachedHost = answer.GetTarget(), answer.GetAttachedHost()
	explanation.Fence, explanation.Moving, explanation.Hot = answer.GetFence(), answer.GetMoving(), answer.GetHot()
	explanation.Reason = answer.GetReason()
}

// askDataCentre explains an assignment by the table of a host of that data centre.
func (h *Host) askDataCentre(ctx context.Context, dataCentre string, request *schemav1.ExplainRequest) (*schemav1.Explanation, error) {
	if dataCentre == h.settings.GetDataCentre() {
		return h.handleExplain(ctx, request)
	}
	last := retryLater("the data centre has no hosts")
	for _, other := range h.views.get().view.GetHosts() {
		if other.GetDataCentre() != dataCentre {
			continue
		}
		response := &schemav1.Explanation{}
		if last = h.call(ctx, other.GetRpcAddress(), methodExplain, request, response); last == nil {
			return response, nil
		}
	}
	return nil, last
}

// handleExplain answers from this host's table.
func (h *Host) handleExplain(_ context.Context, request *schemav1.ExplainRequest) (*schemav1.Explanation, error) {
	g := h.group.Load()
	if g == nil {
		return nil, retryLater("this host is not yet a member of its data centre group")
	}
	assignment, ok := g.table.Assignment(request.GetKeyspace(), request.GetShard(), request.GetKeyHash())
	if !ok {
		return &schemav1.Explanation{Reason: "the shard has no owner at the moment"}, nil
	}
	explanation := &schemav1.Explanation{
		Target:       assignment.Target,
		AttachedHost: assignment.Host,
		Fence:        target.FormatFence(assignment.Fence),
		Moving:       assignment.Moving,
		Reason:       "the target owns the shard and is attached to the host",
	}
	switch {
	case !h.lease.Valid():
		explanation.Reason = "last known owner: the answering host has no lease, so the assignment may be out of date"
	case assignment.Moving:
		explanation.Reason = "the shard is moving: new requests wait until the old owner has stopped"
	case assignment.Host == "":
		explanation.Reason = "the target owns the shard, but no host is attached to it at the moment"
	}
	return explanation, nil
}
