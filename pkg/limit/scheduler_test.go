package limit

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/apierr"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// randomOperations runs random operations on a scheduler. It checks after each that the limits hold (I3) and that no waiter
// is settled twice or lost, which would run a request twice or leave its caller waiting (I6, I7).
type randomOperations struct {
	random    *rand.Rand
	scheduler *scheduler
	now       time.Duration
	waiting   []*waiter
	running   []*waiter
}

func (d *randomOperations) onSettled(w *waiter, err error) {
	d.removeWaiting(w)
	if err == nil {
		Expect(d.now).To(BeNumerically("<", w.deadline))
		d.running = append(d.running, w)
		return
	}
	Expect(apierr.From(err).Ran).To(Equal(apierr.NotRun))
}

// removeWaiting removes w from waiting and fails the test if it wasn't there.
func (d *randomOperations) removeWaiting(w *waiter) {
	GinkgoHelper()
	i := slices.Index(d.waiting, w)
	Expect(i).To(BeNumerically(">=", 0))
	d.waiting = slices.Delete(d.waiting, i, i+1)
}

func (d *randomOperations) step() {
	switch d.random.IntN(8) {
	case 0, 1, 2:
		d.arrive()
	case 3, 4, 5:
		d.finish()
	case 6:
		d.now += time.Duration(d.random.IntN(int(20 * time.Millisecond)))
	case 7:
		if len(d.waiting) > 0 {
			w := d.waiting[d.random.IntN(len(d.waiting))]
			d.removeWaiting(w)
			Expect(d.scheduler.remove(w)).To(BeTrue())
			Expect(d.scheduler.remove(w)).To(BeFalse())
		}
	}
	d.scheduler.advance(d.now)
}

func (d *randomOperations) arrive() {
	w := newWaiter(Ticket{
		Class: schemav1.RequestClass(d.random.IntN(classCount)), Tenant: strconv.Itoa(d.random.IntN(4)),
		Weight: uint32(d.random.IntN(4)), Deadline: time.Duration(1 + d.random.IntN(int(time.Second))),
	}, d.now)
	if d.scheduler.tryStart(d.now, w.class) {
		d.running = append(d.running, w)
		return
	}
	if d.scheduler.enqueue(d.now, w) == nil {
		d.waiting = append(d.waiting, w)
	}
}

func (d *randomOperations) finish() {
	if len(d.running) == 0 {
		return
	}
	i := d.random.IntN(len(d.running))
	w := d.running[i]
	d.running = append(d.running[:i], d.running[i+1:]...)
	result := Success
	if d.random.IntN(50) == 0 {
		result = Result(d.random.IntN(int(Cancelled) + 1))
	}
	latency := time.Duration(1 + d.random.IntN(int(20*time.Millisecond)))
	d.scheduler.finish(d.now, w.class, w.started, Outcome{Result: result, Latency: latency})
}

func (d *randomOperations) checkInvariants(slots, maxQueue int) {
	files := 0
	for _, w := range d.running {
		if w.class == classFile {
			files++
		}
	}
	Expect(d.scheduler.running).To(Equal(len(d.running)))
	Expect(d.scheduler.running).To(BeNumerically("<=", slots))
	Expect(files).To(BeNumerically("<=", max(1, slots-1)))
	Expect(d.scheduler.queued).To(Equal(len(d.waiting)))
	Expect(d.scheduler.queued).To(BeNumerically("<=", maxQueue))
	for _, w := range d.waiting {
		Expect(w.deadline).To(BeNumerically(">", d.now))
	}
}

var _ = DescribeTable("scheduler keeps its limits and settles each waiter exactly once under random operations (I3, I6, I7)",
	func(slots, maxQueue int, seed uint64) {
		d := &randomOperations{random: rand.New(rand.NewPCG(seed, 0)), scheduler: newScheduler(slots, maxQueue, 0)}
		d.scheduler.onSettled = d.onSettled
		for range 5000 {
			d.step()
			d.checkInvariants(slots, maxQueue)
		}
		d.now += time.Minute
		d.scheduler.advance(d.now)
		Expect(d.waiting).To(BeEmpty())
	},
	Entry("one slot", 1, 8, uint64(1)), Entry("two slots", 2, 64, uint64(2)), Entry("three slots", 3, 4, uint64(3)),
)
