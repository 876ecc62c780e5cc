package dispatch

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// answer ends the request of a choice with an answer that carries a notice.
func answer(d *Dispatcher, now time.Duration, choice *Choice, notice Notice) NoticeEffect {
	effect := d.RecordNotice(now, choice, notice)
	outcome := OutcomeAnswered
	if notice.Pause > 0 {
		outcome = OutcomeShed
	}
	d.Finish(now, choice, Result{Outcome: outcome, Latency: 100 * ms})
	return effect
}

// reasonAt returns why no target can take a request, or "" if one can.
func reasonAt(d *Dispatcher, now time.Duration, r *Request) Reason {
	choice, reason := d.Choose(now, r)
	if choice != nil {
		d.Finish(now, choice, Result{Outcome: OutcomeCancelled})
	}
	return reason
}

func restarted(t Target) Target {
	t.StartedUnixMs++
	return t
}

var _ = Describe("Pause", func() {
	var d *Dispatcher
	a, b := newTarget("a", "n", "east"), newTarget("b", "n", "east")
	hedge := func() *Request {
		r := lookupRequest()
		r.RequireFreeSlot = true
		return r
	}
	owned := func(owner string) *Request {
		r := lookupRequest()
		r.Owner = owner
		return r
	}
	pause := func(now, length time.Duration) NoticeEffect {
		return answer(d, now, mustChoose(d, now, lookupRequest()), Notice{Pause: length})
	}
	BeforeEach(func() {
		d = newDispatcher("n")
		d.SetTargets(0, []Target{a})
	})

	It("keeps requests, hedges and requests of keys from the target until its end", func() {
		Expect(pause(0, 4*time.Second).PausedFor).To(Equal(4500 * ms))
		for now := time.Duration(0); now < 4500*ms; now += 50 * ms {
			for _, r := range []*Request{lookupRequest(), hedge(), owned("a")} {
				Expect(reasonAt(d, now, r)).To(Equal(ReasonPaused), "at %v", now)
			}
		}
		Expect(reasonAt(d, 4500*ms, lookupRequest())).To(BeEmpty())
	})

	It("outlasts views with and without the target, and ends with its next start", func() {
		pause(0, 4*time.Second)
		d.SetTargets(ms, nil)
		d.SetTargets(2*ms, []Target{a})
		Expect(reasonAt(d, time.Second, lookupRequest())).To(Equal(ReasonPaused))
		d.SetTargets(time.Second, []Target{restarted(a)})
		Expect(reasonAt(d, time.Second, lookupRequest())).To(BeEmpty())
		d.SetTargets(time.Second, []Target{a})
		Expect(reasonAt(d, time.Second, lookupRequest())).To(Equal(ReasonPaused))
	})

	It("holds for the start that asked for it, also if the answer arrives after a view with the next start", func() {
		choice := mustChoose(d, 0, lookupRequest())
		d.SetTargets(0, []Target{restarted(a)})
		answer(d, 0, choice, Notice{Pause: time.Minute, Leaving: true})
		d.SetTargets(0, []Target{restarted(a)})
		Expect(reasonAt(d, 3*time.Second, lookupRequest())).To(BeEmpty())
	})

	It("is not cut short by a later answer that asks for a shorter one", func() {
		first, second := mustChoose(d, 0, lookupRequest()), mustChoose(d, 0, lookupRequest())
		answer(d, 0, first, Notice{Pause: 8 * time.Second})
		Expect(answer(d, 10*ms, second, Notice{Pause: time.Second}).PausedFor).To(BeZero())
		Expect(reasonAt(d, 7*time.Second, lookupRequest())).To(Equal(ReasonPaused))
	})

	It("is refused with the earliest end, if all targets that may run the request pause", func() {
		d.SetTargets(0, []Target{a, b})
		first := mustChoose(d, 0, lookupRequest())
		other := lookupRequest()
		other.ExcludedTargets = []string{first.ID}
		second := mustChoose(d, 0, other)
		answer(d, 0, first, Notice{Pause: 8 * time.Second})
		_, all := d.PauseLeft(0, lookupRequest())
		Expect(all).To(BeFalse(), "one target does not pause")
		answer(d, 0, second, Notice{Pause: 3 * time.Second})
		left, all := d.PauseLeft(time.Second, lookupRequest())
		Expect(all).To(BeTrue())
		Expect(left).To(BeNumerically("~", 2*time.Second+375*ms, ms))
		left, _ = d.PauseLeft(time.Second, owned(first.ID))
		Expect(left).To(BeNumerically(">=", 7*time.Second))
		tried := lookupRequest()
		tried.ExcludedTargets = []string{second.ID}
		Expect(reasonAt(d, time.Second, tried)).To(Equal(ReasonPaused))
		left, _ = d.PauseLeft(time.Second, tried)
		Expect(left).To(BeNumerically("<", 3*time.Second), "a later request may use the target that was tried")
	})

	It("is weighed by peers until their report of it expires, and does not bind them", func() {
		other := newDispatcher("n")
		d.SetTargets(0, []Target{a})
		other.SetTargets(0, []Target{a, b})
		pause(0, 4*time.Second)
		report, changed := d.InFlightReport()
		Expect(changed).To(BeTrue())
		d.AddPauses(0, report)
		report.Entry, report.Start, report.Sequence = "d", 1, 1
		other.ApplyPeerReport(0, report)
		for range 3 {
			Expect(mustChoose(other, 0, lookupRequest()).ID).To(Equal("b"))
		}
		Expect(mustChoose(other, 0, owned("a")).ID).To(Equal("a"))
		other.ExpirePeers(2 * time.Second)
		Expect(other.targets["a"].peerPauses).To(BeZero())
		report = &schemav1.LoadReport{}
		d.AddPauses(5*time.Second, report)
		Expect(report.GetPausing()).To(BeEmpty())
	})

	It("lets the load return in steps, from all hosts that were turned away together", func() {
		const hosts, pauseTime = 20, 4 * time.Second
		random := rand.New(rand.NewPCG(1, 1))
		var dispatchers []*Dispatcher
		for range hosts {
			h := New(Options{DataCentre: "n", Region: "east", Rand: random.Float64})
			h.SetTargets(0, []Target{a})
			answer(h, 0, mustChoose(h, 0, lookupRequest()), Notice{Pause: pauseTime})
			dispatchers = append(dispatchers, h)
		}
		sentBy := func(now time.Duration) int {
			sent := 0
			for _, h := range dispatchers {
				for reasonAt(h, now, lookupRequest()) == "" {
					mustChoose(h, now, lookupRequest())
				}
				sent += h.targets["a"].ownInFlight
			}
			return sent
		}
		full := hosts * (a.Slots + maxQueueAtTarget)
		Expect(sentBy(pauseTime - ms)).To(BeZero())
		Expect(sentBy(pauseTime + 200*ms)).To(BeNumerically("<=", hosts/2))
		Expect(sentBy(pauseTime + maxReturnSpread)).To(And(BeNumerically(">=", hosts), BeNumerically("<", full/2)))
		Expect(sentBy(pauseTime + maxReturnSpread + maxReturnTime)).To(Equal(full))
	})
})

var _ = Describe("Short pause", func() {
	// Guards against targets that are left idle for seconds because they were full for a moment.
	It("lets the load return within twice its length", func() {
		d := newDispatcher("n")
		a := newTarget("a", "n", "east")
		d.SetTargets(0, []Target{a})
		answer(d, 0, mustChoose(d, 0, lookupRequest()), Notice{Pause: 100 * ms})
		Expect(reasonAt(d, 99*ms, lookupRequest())).To(Equal(ReasonPaused))
		for range a.Slots + maxQueueAtTarget {
			mustChoose(d, 250*ms, lookupRequest())
		}
	})
})

var _ = Describe("Leaving target", func() {
	var d *Dispatcher
	a, b := newTarget("a", "n", "east"), newTarget("b", "n", "east")
	BeforeEach(func() {
		d = newDispatcher("n")
		d.SetTargets(0, []Target{a})
		Expect(answer(d, 0, mustChoose(d, 0, lookupRequest()), Notice{Leaving: true}).Leaving).To(BeTrue())
	})

	It("is the last choice at once, and gets nothing once its drain time is over", func() {
		far := newTarget("far", "w", "west")
		d.SetTargets(0, []Target{a, far})
		Expect(mustChoose(d, 0, lookupRequest()).ID).To(Equal("far"), "worse in every other respect")
		excluded := lookupRequest()
		excluded.ExcludedTargets = []string{"far"}
		Expect(reasonAt(d, 2*time.Second-ms, excluded)).To(BeEmpty())
		Expect(reasonAt(d, 2*time.Second, excluded)).To(Equal(ReasonLeaving))
		excluded.RequireFreeSlot = true
		Expect(reasonAt(d, 0, excluded)).To(Equal(ReasonLeaving), "a hedge")
	})

	It("does not gain time by saying it again", func() {
		choice := mustChoose(d, time.Second, lookupRequest())
		Expect(answer(d, time.Second, choice, Notice{Leaving: true}).Leaving).To(BeFalse())
		Expect(reasonAt(d, 2*time.Second, lookupRequest())).To(Equal(ReasonLeaving))
	})

	It("stays out of use whatever views follow, until its next start", func() {
		for _, targets := range [][]Target{{a}, nil, {b}, {a}, {restarted(a)}, {a}} {
			d.SetTargets(3*time.Second, targets)
		}
		Expect(reasonAt(d, time.Hour, lookupRequest())).To(Equal(ReasonLeaving))
		d.SetTargets(time.Hour, []Target{restarted(a)})
		Expect(reasonAt(d, time.Hour, lookupRequest())).To(BeEmpty())
	})

	It("keeps its drain time as set", func() {
		d = New(Options{DataCentre: "n", Region: "east", DrainTime: 700 * ms})
		d.SetTargets(0, []Target{a})
		answer(d, 0, mustChoose(d, 0, lookupRequest()), Notice{Leaving: true})
		Expect(reasonAt(d, 699*ms, lookupRequest())).To(BeEmpty())
		Expect(reasonAt(d, 700*ms, lookupRequest())).To(Equal(ReasonLeaving))
	})

	It("is listed until the view shows it as draining", func() {
		Expect(d.LeavingTargets()).To(ConsistOf(a))
		draining := a
		draining.Draining = true
		d.SetTargets(0, []Target{draining})
		Expect(d.LeavingTargets()).To(BeEmpty())
		d.SetTargets(0, []Target{restarted(a)})
		Expect(d.LeavingTargets()).To(BeEmpty())
	})

	It("harms no other target", func() {
		d.SetTargets(0, []Target{a, b})
		for now := time.Duration(0); now < 5*time.Second; now += 100 * ms {
			Expect(mustChoose(d, now, lookupRequest()).ID).To(Equal("b"))
			d.Finish(now, &Choice{Target: b, target: d.targets["b"], base: ms, slowdown: 1}, Result{Outcome: OutcomeCancelled})
		}
	})

	It("is forgotten only among thousands of others", func() {
		for i := range 2 * maxNotices {
			t := newTarget(fmt.Sprint(i), "n", "east")
			d.SetTargets(time.Duration(i), []Target{t})
			answer(d, time.Duration(i), mustChoose(d, time.Duration(i), lookupRequest()), Notice{Leaving: true})
		}
		Expect(len(d.notices)).To(BeNumerically("<=", maxNotices))
		Expect(d.notices).To(HaveKey(newTarget(fmt.Sprint(2*maxNotices-1), "n", "east").start()))
	})
})
