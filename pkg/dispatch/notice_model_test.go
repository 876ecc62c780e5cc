package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	modelHosts, modelTargets = 3, 4
	modelSteps               = 1500
	modelDrainTime           = 700 * ms
)

// noticeModel runs dispatchers of several hosts against targets that leave, pause and restart, on a simulated clock. Views and load reports
// are late, missing, or tell again what is outdated. It keeps its own record of what each host was told, and checks each choice against it.
type noticeModel struct {
	random  *rand.Rand
	now     time.Duration
	hosts   []*modelHost
	targets []*modelNoticeTarget
	// choices counts the choices of requests, leavingChoices those of targets that leave.
	choices, leavingChoices, pausedRefusals, leavingRefusals, returns int
	violations                                                        []string
}

type modelNoticeTarget struct {
	Target
	leaving bool
	// pausedUntil is the time until which the target turns requests away.
	pausedUntil time.Duration
}

type modelHost struct {
	dispatcher *Dispatcher
	name       string
	sequence   uint64
	// view has the targets that the host knows.
	view []Target
	// told has what the targets said to this host.
	told map[targetStart]*modelTold
	// open has the requests in flight.
	open []*Choice
}

// modelTold is what one start of a target said to one host.
type modelTold struct {
	leaving   bool
	leavingAt time.Duration
	// pauses has the ends of the pauses that it asked for.
	pauses []time.Duration
}

func newNoticeModel(seed uint64) *noticeModel {
	m := &noticeModel{random: rand.New(rand.NewPCG(seed, 7))}
	for i := range modelTargets {
		m.targets = append(m.targets, &modelNoticeTarget{Target: newTarget(fmt.Sprint("t", i), "n", "east")})
	}
	for i := range modelHosts {
		h := &modelHost{name: fmt.Sprint("h", i), told: map[targetStart]*modelTold{}}
		h.dispatcher = New(Options{DataCentre: "n", Region: "east", Rand: m.random.Float64, DrainTime: modelDrainTime})
		h.dispatcher.SetEntryHosts(modelHosts, modelHosts, i)
		m.hosts = append(m.hosts, h)
		m.deliverView(h)
	}
	return m
}

func (m *noticeModel) violate(format string, args ...any) {
	m.violations = append(m.violations, fmt.Sprintf("%v: ", m.now)+fmt.Sprintf(format, args...))
}

// chance returns true with a probability in percent.
func (m *noticeModel) chance(percent int) bool { return m.random.IntN(100) < percent }

func (m *noticeModel) upTo(limit time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(limit)))
}

// step advances the time and lets one thing happen.
func (m *noticeModel) step() {
	m.now += m.upTo(60 * ms)
	h := m.hosts[m.random.IntN(modelHosts)]
	t := m.targets[m.random.IntN(modelTargets)]
	switch n := m.random.IntN(100); {
	case n < 50:
		m.request(h)
	case n < 85:
		m.finish(h)
	case n < 87:
		t.leaving = true
	case n < 89:
		t.pausedUntil = m.now + m.upTo(4*time.Second)
	case n < 91:
		t.StartedUnixMs++
		t.leaving, t.pausedUntil, t.Draining = false, 0, false
	case n < 93:
		t.Draining = t.leaving && m.chance(30)
	case n < 97:
		m.deliverView(h)
	default:
		m.deliverReport(h)
	}
}

// deliverView gives a host the current view, or first one without some targets. What the host does not get it misses.
func (m *noticeModel) deliverView(h *modelHost) {
	if m.chance(20) {
		h.dispatcher.SetTargets(m.now, nil)
	}
	h.view = nil
	for _, t := range m.targets {
		if !m.chance(5) {
			h.view = append(h.view, t.Target)
		}
	}
	h.dispatcher.SetTargets(m.now, h.view)
}

func (m *noticeModel) deliverReport(from *modelHost) {
	report, _ := from.dispatcher.InFlightReport()
	from.dispatcher.AddPauses(m.now, report)
	from.sequence++
	report.Entry, report.Start, report.Sequence = from.name, 1, from.sequence
	for _, to := range m.hosts {
		if to != from && m.chance(70) {
			to.dispatcher.ApplyPeerReport(m.now, report)
		}
		to.dispatcher.ExpirePeers(m.now)
	}
}

// request lets a host choose a target for a request, and at times a second one for a hedge or after a failure.
func (m *noticeModel) request(h *modelHost) {
	r := lookupRequest()
	if m.chance(20) {
		r.Owner = m.targets[m.random.IntN(modelTargets)].ID
	}
	first := m.choose(h, r)
	if first == nil || r.Owner != "" || !m.chance(40) {
		return
	}
	second := lookupRequest()
	second.ExcludedTargets = []string{first.ID}
	second.RequireFreeSlot = m.chance(50)
	m.choose(h, second)
}

// choose makes a choice and checks it.
func (m *noticeModel) choose(h *modelHost, r *Request) *Choice {
	unused := m.unusedTarget(h, r)
	choice, reason := h.dispatcher.Choose(m.now, r)
	if choice == nil {
		m.checkRefusal(h, r, reason, unused)
		return nil
	}
	m.choices++
	h.open = append(h.open, choice)
	told := h.told[choice.start()]
	if told == nil {
		return choice
	}
	if told.leaving {
		m.leavingChoices++
		if m.now >= told.leavingAt+modelDrainTime {
			m.violate("%s sent a request to %s, which left %v ago", h.name, choice.ID, m.now-told.leavingAt)
		}
		if unused != "" || r.RequireFreeSlot {
			m.violate("%s sent a request to %s, which leaves, with %q unused and hedge %v", h.name, choice.ID, unused, r.RequireFreeSlot)
		}
	}
	for _, end := range told.pauses {
		if m.now < end {
			m.violate("%s sent a request to %s, which pauses for %v", h.name, choice.ID, end-m.now)
		} else {
			m.returns++
		}
	}
	return choice
}

// unusedTarget returns a target that may run the request, has told the host nothing and has no requests in flight, or "".
func (m *noticeModel) unusedTarget(h *modelHost, r *Request) string {
	for _, t := range h.view {
		known := h.dispatcher.targets[t.ID]
		if m.mayRun(t, r) && h.told[t.start()] == nil && known.ownInFlight == 0 && known.peerInFlight == 0 && !slices.Contains(r.ExcludedTargets, t.ID) {
			return t.ID
		}
	}
	return ""
}

func (m *noticeModel) mayRun(t Target, r *Request) bool {
	return !t.Draining && (r.Owner == "" || r.Owner == t.ID)
}

// checkRefusal checks the reason why no target was chosen, and the time after which the caller is told to return.
func (m *noticeModel) checkRefusal(h *modelHost, r *Request, reason Reason, unused string) {
	if unused != "" {
		m.violate("%s refused a request as %s with %s unused", h.name, reason, unused)
	}
	left, all := h.dispatcher.PauseLeft(m.now, r)
	earliest, pausing, others := time.Duration(0), 0, 0
	for _, t := range h.view {
		told := h.told[t.start()]
		if !m.mayRun(t, r) || (told != nil && told.leaving && m.now >= told.leavingAt+modelDrainTime) {
			continue
		}
		end := time.Duration(0)
		if told != nil {
			for _, pause := range told.pauses {
				end = max(end, pause)
			}
		}
		if end+maxReturnSpread <= m.now {
			others++
			continue
		}
		pausing++
		if earliest == 0 || end < earliest {
			earliest = end
		}
	}
	switch reason {
	case ReasonPaused:
		m.pausedRefusals++
		if pausing == 0 {
			m.violate("%s refused a request as paused though no target pauses", h.name)
		}
	case ReasonLeaving:
		m.leavingRefusals++
	}
	if all && (others > 0 || m.now+left < earliest || m.now+left > earliest+maxReturnSpread) {
		m.violate("%s tells callers to return after %v, but the first pause ends in %v, and %d targets do not pause", h.name, left, earliest-m.now, others)
	}
}

// finish ends a request in flight with the answer of the target, or with a failure.
func (m *noticeModel) finish(h *modelHost) {
	if len(h.open) == 0 {
		return
	}
	at := m.random.IntN(len(h.open))
	choice := h.open[at]
	h.open = slices.Delete(h.open, at, at+1)
	index := slices.IndexFunc(m.targets, func(t *modelNoticeTarget) bool { return t.start() == choice.start() })
	if m.chance(5) {
		h.dispatcher.Finish(m.now, choice, Result{Outcome: OutcomeFailed, Latency: 100 * ms})
		h.dispatcher.DispatchWaiting(m.now)
		return
	}
	// An answer that an earlier start sent before its end arrives late.
	notice := Notice{Leaving: true, Pause: time.Second}
	if index >= 0 {
		target := m.targets[index]
		notice = Notice{Leaving: target.leaving}
		if m.now < target.pausedUntil && m.chance(80) {
			notice.Pause = max(ms, m.upTo(target.pausedUntil-m.now))
		}
	}
	if notice != (Notice{}) {
		told := h.told[choice.start()]
		if told == nil {
			told = &modelTold{}
			h.told[choice.start()] = told
		}
		if notice.Leaving && !told.leaving {
			told.leaving, told.leavingAt = true, m.now
		}
		if notice.Pause > 0 {
			told.pauses = append(told.pauses, m.now+notice.Pause)
		}
	}
	answer(h.dispatcher, m.now, choice, notice)
}

var _ = Describe("Notices of targets", func() {
	for seed := range uint64(40) {
		It(fmt.Sprintf("hold over restarts, lost views and late answers (seed %d)", seed), func() {
			m := newNoticeModel(seed)
			for range modelSteps {
				m.step()
			}
			Expect(m.violations).To(BeEmpty())
			Expect(m.choices).To(BeNumerically(">", 100))
			Expect(m.pausedRefusals).To(BeNumerically(">", 0))
			Expect(m.leavingRefusals).To(BeNumerically(">", 0))
			Expect(m.leavingChoices).To(BeNumerically(">", 0))
			Expect(m.returns).To(BeNumerically(">", 0))
		})
	}
})
