package entry

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/dispatch"
	"almondrock.example/almondrock/pkg/guard"
	"almondrock.example/almondrock/pkg/internal/monotonic"
	"almondrock.example/almondrock/pkg/metrics"
	"almondrock.example/almondrock/pkg/registrar"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/suspects"
	"almondrock.example/almondrock/pkg/upstream"
)

const (
	// crashCheckDuration is how long after a broken connection a new start of the target shows that it crashed. A target that is restarted
	// at once announces itself within this time.
	crashCheckDuration = 3 * time.Second
	// crashCheckInterval is the pause between two checks, and maxCrashProbes the number of those that probe the target.
	crashCheckInterval = 250 * time.Millisecond
	maxCrashProbes     = 3
	// maxCrashChecks bounds the checks in progress. The loss of a data centre breaks many connections at once, which says nothing
	// about the requests on them.
	maxCrashChecks = 16
	// reportBatchDelay is the time in which observations are collected for one report to the registry. A target that ends breaks all
	// its connections at about the same time.
	reportBatchDelay = 10 * time.Millisecond
	// suspectReportTimeout is how long a registry host may take to commit a report, before another one is asked.
	suspectReportTimeout = 900 * time.Millisecond
	// suspectReportRetryDelay is the pause after a report that failed.
	suspectReportRetryDelay = 50 * time.Millisecond
	// maxSuspectReports bounds the observations that wait for a registry host.
	maxSuspectReports = 256
)

// reasonSuspect is the reason for refusing a request because several targets have ended when they ran it.
const reasonSuspect dispatch.Reason = "crashes-targets"

// suspectTracker observes which requests targets end on, and shares that with the other entry hosts through the registry.
type suspectTracker struct {
	table     *suspects.Table
	isolation suspects.Isolation[*dispatch.Choice]
	// checks has an element for each check in progress.
	checks chan struct{}
	// pendingChanged wakes the sender of reports.
	pendingChanged chan struct{}

	mu      sync.Mutex
	pending *schemav1.SuspectChange
}

func newSuspectTracker() *suspectTracker {
	return &suspectTracker{table: suspects.New(), checks: make(chan struct{}, maxCrashChecks), pendingChanged: make(chan struct{}, 1)}
}

// addPending adds a change to the next report. It returns false if too many changes wait already.
func (t *suspectTracker) addPending(change *schemav1.SuspectChange) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pending == nil {
		t.pending = &schemav1.SuspectChange{}
	}
	if len(t.pending.GetCrashed())+len(t.pending.GetCleared()) >= maxSuspectReports {
		return false
	}
	t.pending.Crashed = append(t.pending.Crashed, change.GetCrashed()...)
	t.pending.Cleared = append(t.pending.Cleared, change.GetCleared()...)
	select {
	case t.pendingChanged <- struct{}{}:
	default:
	}
	return true
}

// takePending removes and returns the changes for the next report, or nil if there are none.
func (t *suspectTracker) takePending() *schemav1.SuspectChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	change := t.pending
	t.pending = nil
	return change
}

// suspicion returns what is known of the request, and for a blocked one the time until it may be sent again.
func (x *exchange) suspicion() (suspects.Verdict, time.Duration) {
	tracker := x.host.suspects
	if tracker.table.IsEmpty() {
		return suspects.Unknown, 0
	}
	return tracker.table.Verdict(x.host.now(), x.fingerprint())
}

// isSuspect reports whether a target has ended that ran such a request. It is then sent to one target only.
func (x *exchange) isSuspect() bool {
	verdict, _ := x.suspicion()
	return verdict != suspects.Unknown
}

// chooseIsolated chooses a target for a request that may end it: if possible one that runs no other such request of this host.
func (x *exchange) chooseIsolated(request *dispatch.Request) (choice *dispatch.Choice, reason dispatch.Reason) {
	tried := request.ExcludedTargets
	x.host.suspects.isolation.Choose(func(occupied []string) (*dispatch.Choice, string, bool) {
		request.ExcludedTargets = append(slices.Clone(tried), occupied...)
		if choice, reason = x.host.dispatcher.Choose(x.host.now(), request); choice == nil && len(occupied) > 0 {
			request.ExcludedTargets = tried
			choice, reason = x.host.dispatcher.Choose(x.host.now(), request)
		}
		if choice == nil {
			return nil, "", false
		}
		return choice, choice.ID, true
	})
	request.ExcludedTargets = tried
	return choice, reason
}

// refuseSuspect refuses a request that several targets have ended on, and returns the result for the log.
func (x *exchange) refuseSuspect(after time.Duration) string {
	x.host.requestMetrics.recordSuspect("refused")
	if x.mayHaveRun || x.errorResponse != nil {
		return x.endWithoutTarget(reasonSuspect)
	}
	return x.refuse(reasonSuspect, after)
}

// observeAttempt learns from an attempt whether the request is one that targets end on. It may be called by any goroutine.
func (x *exchange) observeAttempt(ctx context.Context, result *attemptResult) {
	h, choice := x.host, result.choice
	if result.response != nil {
		// Targets that fail may do so before they run the request.
		if result.err == nil && !result.response.notRun && !result.response.isError() && h.suspects.table.Answered(h.now(), x.fingerprint()) {
			h.reportCleared(x.fingerprint())
		}
		return
	}
	var failed *upstream.Error
	if ctx.Err() != nil || x.requestBody.restFailed.Load() || !errors.As(result.err, &failed) || failed.Stage != upstream.Sent || failed.Timeout() {
		return
	}
	now := h.now()
	if sentAt := now - result.latency; sentAt < time.Duration(x.brokeAt.Swap(int64(now))) {
		// Both attempts were in progress at the same time. Targets that end together have another cause than a request.
		return
	}
	target := h.current().targets[choice.ID]
	if target == nil || target.GetStartedUnixMs() == choice.StartedUnixMs && target.GetLife() != schemav1.Life_LIFE_READY {
		// The target has announced its end.
		return
	}
	select {
	case h.suspects.checks <- struct{}{}:
	default:
		klog.InfoS("broken connection not looked into", "request", x.id, "target", choice.ID, "checks", maxCrashChecks)
		return
	}
	fingerprint := x.fingerprint()
	h.tasks.Go(func() {
		defer func() { <-h.suspects.checks }()
		guard.Do("check for a crash", func() {
			if evidence := h.crashEvidence(h.ctx, choice); evidence != "" {
				h.recordCrash(x.id, fingerprint, choice, evidence)
			}
		})
	})
}

// crashEvidence finds out whether a target that has broken a connection has crashed. It returns what shows that, or "".
func (h *Host) crashEvidence(ctx context.Context, choice *dispatch.Choice) string {
	silent := 0
	for check := range int(crashCheckDuration / crashCheckInterval) {
		switch target := h.current().targets[choice.ID]; {
		case target == nil:
			return "unregistered"
		case target.GetStartedUnixMs() != choice.StartedUnixMs:
			return "restarted"
		}
		if check < maxCrashProbes {
			switch h.upstream.Probe(ctx, choice.Address) {
			case upstream.Refused:
				return "refused"
			case upstream.Silent:
				silent++
			case upstream.Reachable:
			}
			if silent == maxCrashProbes {
				return "silent"
			}
		}
		monotonic.Sleep(ctx, crashCheckInterval)
		if ctx.Err() != nil {
			return ""
		}
	}
	return ""
}

// crashID returns the hash that stands for the end of this start of a target.
func crashID(choice *dispatch.Choice) uint64 {
	return xxhash.Sum64String(choice.ID + " " + strconv.FormatInt(choice.StartedUnixMs, 10))
}

// recordCrash records that a target has ended while it ran a request.
func (h *Host) recordCrash(request string, fingerprint suspects.Fingerprint, choice *dispatch.Choice, evidence string) {
	crash := crashID(choice)
	added, blocked := h.suspects.table.AddCrash(h.now(), fingerprint, crash)
	reported := added && h.suspects.addPending(&schemav1.SuspectChange{
		Crashed: []*schemav1.Suspect{{Fingerprint: fingerprint[:], Crashes: []uint64{crash}}},
	})
	klog.InfoS("target ended while it ran a request", "request", request, "fingerprint", fingerprint, "target", choice.ID,
		"started", choice.StartedUnixMs, "evidence", evidence, "reported", reported)
	h.requestMetrics.recordSuspect("crash")
	h.logBlocked(blocked)
}

// reportCleared reports that a suspect request has been answered.
func (h *Host) reportCleared(fingerprint suspects.Fingerprint) {
	reported := h.suspects.addPending(&schemav1.SuspectChange{Cleared: [][]byte{fingerprint[:]}})
	klog.InfoS("suspect request answered", "fingerprint", fingerprint, "reported", reported)
	h.requestMetrics.recordSuspect("cleared")
}

// setSuspects takes the suspects of a new view. changed is set if they may differ from those of the last one.
func (h *Host) setSuspects(version uint64, known map[string]*schemav1.Suspect, changed bool) {
	if !changed {
		h.suspects.table.SetVersion(version)
		return
	}
	replicated := make([]suspects.Suspect, 0, len(known))
	for fingerprint, s := range known {
		next := suspects.Suspect{Crashes: s.GetCrashes()}
		copy(next.Fingerprint[:], fingerprint)
		replicated = append(replicated, next)
	}
	blocked, cleared := h.suspects.table.SetReplicated(h.now(), version, replicated)
	h.logBlocked(blocked)
	for _, fingerprint := range cleared {
		h.reportCleared(fingerprint)
	}
}

// logBlocked logs and counts the requests that are refused from now on.
func (h *Host) logBlocked(blocked []suspects.Fingerprint) {
	for _, fingerprint := range blocked {
		_, left := h.suspects.table.Verdict(h.now(), fingerprint)
		klog.InfoS("requests refused because targets end on them", "fingerprint", fingerprint, "for", left)
		h.requestMetrics.recordSuspect("blocked")
	}
}

// reportSuspects sends what this host has observed of suspects to the registry until ctx ends. A report that fails is sent again, to
// another registry host.
func (h *Host) reportSuspects(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-h.suspects.pendingChanged:
		case <-time.After(crashCheckDuration):
		case <-ctx.Done():
			return
		}
		h.suspects.table.Expire(h.now())
		monotonic.Sleep(ctx, reportBatchDelay)
		if change := h.suspects.takePending(); change != nil {
			h.sendSuspectReport(ctx, change)
		}
	}
}

// sendSuspectReport sends a report until a registry host confirms it, for at most suspects.LocalLifetime.
func (h *Host) sendSuspectReport(ctx context.Context, change *schemav1.SuspectChange) {
	ctx, cancel := context.WithTimeout(ctx, suspects.LocalLifetime)
	defer cancel()
	for tries := 0; ctx.Err() == nil; tries++ {
		address := h.reportAddress(tries)
		version, err := h.callReportSuspects(ctx, address, change)
		if err != nil {
			klog.InfoS("suspects not reported", "registry", address, "crashed", len(change.GetCrashed()), "cleared", len(change.GetCleared()), "err", err)
			monotonic.Sleep(ctx, suspectReportRetryDelay)
			continue
		}
		for _, s := range change.GetCrashed() {
			for _, crash := range s.GetCrashes() {
				h.suspects.table.Confirm(suspects.Fingerprint(s.GetFingerprint()), crash, version)
			}
		}
		return
	}
}

// reportAddress returns the registry host for a try of a report: by turns the one that last answered, and each of the others, which may be
// gone.
func (h *Host) reportAddress(tries int) string {
	if answered := h.registryAddress.Load(); answered != nil && tries%2 == 0 {
		return *answered
	}
	addresses := h.registryAddresses()
	return addresses[(tries/2)%len(addresses)]
}

// callReportSuspects sends a report to a registry host and returns the first version of the registry that has it.
func (h *Host) callReportSuspects(ctx context.Context, address string, change *schemav1.SuspectChange) (version uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, suspectReportTimeout)
	defer cancel()
	answer := &schemav1.SuspectReportAnswer{}
	err = h.registryClient.Call(ctx, address, registrar.MethodReportSuspects, &schemav1.SuspectReport{Change: change}, answer)
	return answer.GetVersion(), err
}

// recordSuspect counts a decision on a suspect.
func (m *requestMetrics) recordSuspect(result string) {
	m.scope.Tagged(map[string]string{metrics.TagResult: result}).Counter(metrics.Suspects).Inc(1)
}
