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

// disorder runs random operations on a core and checks after each that limits hold (I3) and that no waiter is settled
// twice or lost, which would run a request twice or leave its caller waiting (I6, I7).
type disorder struct {
	random  *rand.Rand
	core    *core
	now     time.Duration
	open    []*waiter
	running []*waiter
}

func (d *disorder) settled(w *waiter, err error) {
	d.close(w)
	if err == nil {
		Expect(d.now).To(BeNumerically("<", w.deadline))
		d.running = append(d.running, w)
		return
	}
	Expect(apierr.From(err).Ran).To(Equal(apierr.NotRun))
}

// close notes that w left the queue, where it must have been.
func (d *disorder) close(w *waiter) {
	GinkgoHelper()
	i := slices.Index(d.open, w)
	Expect(i).To(BeNumerically(">=", 0))
	d.open = slices.Delete(d.open, i, i+1)
}

func (d *disorder) step() {
	switch d.random.IntN(8) {
	case 0, 1, 2:
		d.arrive()
	case 3, 4, 5:
		d.finish()
	case 6:
		d.now += time.Duration(d.random.IntN(int(20 * time.Millisecond)))
	case 7:
		if len(d.open) > 0 {
			w := d.open[d.random.IntN(len(d.open))]
			d.close(w)
			Expect(d.core.remove(w)).To(BeTrue())
			Expect(d.core.remove(w)).To(BeFalse())
		}
	}
	d.core.advance(d.now)
}

func (d *disorder) arrive() {
	w := newWaiter(Ticket{
		Class: schemav1.RequestClass(d.random.IntN(classCount)), Tenant: strconv.Itoa(d.random.IntN(4)),
		Weight: uint32(d.random.IntN(4)), Deadline: time.Duration(1 + d.random.IntN(int(time.Second))),
	}, d.now)
	if d.core.startNow(d.now, w.class) {
		d.running = append(d.running, w)
		return
	}
	if d.core.enqueue(d.now, w) == nil {
		d.open = append(d.open, w)
	}
}

func (d *disorder) finish() {
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
	d.core.finish(d.now, w.class, w.started, Outcome{Result: result, Latency: latency})
}

func (d *disorder) check(slots, maxQueue int) {
	files := 0
	for _, w := range d.running {
		if w.class == classFile {
			files++
		}
	}
	Expect(d.core.running).To(Equal(len(d.running)))
	Expect(d.core.running).To(BeNumerically("<=", slots))
	Expect(files).To(BeNumerically("<=", max(1, slots-1)))
	Expect(d.core.queued).To(Equal(len(d.open)))
	Expect(d.core.queued).To(BeNumerically("<=", maxQueue))
	for _, w := range d.open {
		Expect(w.deadline).To(BeNumerically(">", d.now))
	}
}

var _ = DescribeTable("core keeps its limits and settles each waiter once, whatever happens (I3, I6, I7)",
	func(slots, maxQueue int, seed uint64) {
		d := &disorder{random: rand.New(rand.NewPCG(seed, 0)), core: newCore(slots, maxQueue, 0)}
		d.core.settled = d.settled
		for range 5000 {
			d.step()
			d.check(slots, maxQueue)
		}
		d.now += time.Minute
		d.core.advance(d.now)
		Expect(d.open).To(BeEmpty())
	},
	Entry("one slot", 1, 8, uint64(1)), Entry("two slots", 2, 64, uint64(2)), Entry("three slots", 3, 4, uint64(3)),
)
