package limit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/limit"
)

const latency = 10 * time.Millisecond

// rampDriver drives a ramp with a caller that always has another request to send.
type rampDriver struct {
	ramp *limit.Ramp
	now  time.Duration
}

// run offers requests for length. Each takes serviceTime and ends with result. It returns the number of admitted requests.
func (d *rampDriver) run(length, serviceTime time.Duration, result limit.Result) int {
	admitted := 0
	for end := d.now + length; d.now < end; d.now += serviceTime {
		d.ramp.Advance(d.now)
		d.now = d.ramp.NextAdmission(d.now)
		for range d.ramp.Limit() {
			if d.ramp.NextAdmission(d.now) > d.now {
				break
			}
			d.ramp.RecordAdmission(d.now)
			d.ramp.Observe(d.now+serviceTime, d.now, interactive, limit.Outcome{Result: result, Latency: serviceTime})
			admitted++
		}
	}
	return admitted
}

func (d *rampDriver) fail() {
	d.ramp.Observe(d.now, d.now, interactive, limit.Outcome{Result: limit.Failure, Latency: latency})
}

func newRampDriver(slots int) *rampDriver {
	return &rampDriver{ramp: limit.NewRamp(slots, 0)}
}

func newWarmRampDriver() *rampDriver {
	d := newRampDriver(8)
	d.run(15*time.Second, latency, limit.Success)
	Expect(d.ramp.Warm()).To(BeTrue())
	return d
}

var _ = Describe("Ramp", func() {
	It("grows the admitted rate by at most a quarter per second, over at least 10 s (I3)", func() {
		d := newRampDriver(10)
		before := d.run(time.Second, latency, limit.Success)
		Expect(d.ramp.Limit()).To(Equal(1))
		for d.now < 9*time.Second {
			admitted := d.run(time.Second, latency, limit.Success)
			// One request more is the rounding of a second to whole requests.
			Expect(float64(admitted)).To(BeNumerically("<=", 1.25*float64(before)+2))
			Expect(d.ramp.Warm()).To(BeFalse())
			before = admitted
		}
		d.run(2*time.Second, latency, limit.Success)
		Expect(d.ramp.Warm()).To(BeTrue())
		Expect(d.ramp.Limit()).To(Equal(10))
	})

	It("stays cold until the target has sent a response (I3)", func() {
		d := newRampDriver(4)
		d.now = time.Hour
		d.ramp.Advance(d.now)
		Expect(d.ramp.Limit()).To(Equal(1))
	})

	DescribeTable("falls back",
		func(prepare func() *rampDriver, wantLimit int, wantWarmAfter time.Duration) {
			d := prepare()
			Expect(d.ramp.Limit()).To(Equal(wantLimit))
			start := d.now
			for !d.ramp.Warm() && d.now < start+time.Minute {
				d.run(100*time.Millisecond, latency, limit.Success)
			}
			Expect(d.now - start).To(BeNumerically("~", wantWarmAfter, 300*time.Millisecond))
		},
		Entry("to half after one failure of a warm target", func() *rampDriver {
			d := newWarmRampDriver()
			d.fail()
			return d
		}, 4, 3*time.Second),
		Entry("once for failures of requests that ran at the same time", func() *rampDriver {
			d := newWarmRampDriver()
			started := d.now
			for range 8 {
				d.now += time.Millisecond
				d.ramp.Observe(d.now, started, interactive, limit.Outcome{Result: limit.Shed})
			}
			return d
		}, 4, 3*time.Second),
		Entry("to the start after a burst of failures (I3)", func() *rampDriver {
			d := newWarmRampDriver()
			for range 3 {
				d.now += time.Millisecond
				d.fail()
			}
			return d
		}, 1, 10*time.Second),
		Entry("to the start after a failure in cold start (I3)", func() *rampDriver {
			d := newRampDriver(8)
			d.run(8500*time.Millisecond, latency, limit.Success)
			d.fail()
			return d
		}, 1, 10*time.Second),
		Entry("to the start when a warm target becomes slow without a new boot ID (I3)", func() *rampDriver {
			d := newWarmRampDriver()
			d.run(600*time.Millisecond, 60*time.Millisecond, limit.Success)
			return d
		}, 1, 10*time.Second),
		Entry("not at all when responses take less than 4 times the baseline", func() *rampDriver {
			d := newWarmRampDriver()
			d.run(time.Second, 38*time.Millisecond, limit.Success)
			return d
		}, 8, 0*time.Second),
		Entry("not at all for large responses with a normal time to first byte", func() *rampDriver {
			d := newWarmRampDriver()
			for range 20 {
				d.ramp.Observe(d.now, d.now, interactive, limit.Outcome{Latency: time.Second, TimeToFirstByte: latency})
			}
			return d
		}, 8, 0*time.Second),
		Entry("not at all for a single slow response", func() *rampDriver {
			d := newWarmRampDriver()
			d.ramp.Observe(d.now, d.now, interactive, limit.Outcome{Latency: time.Second})
			return d
		}, 8, 0*time.Second),
		Entry("not at all for cancelled requests", func() *rampDriver {
			d := newWarmRampDriver()
			d.run(time.Second, latency, limit.Cancelled)
			return d
		}, 8, 0*time.Second),
	)

	It("ends the cold start of a target that keeps failing one request in a hundred", func() {
		d := newRampDriver(2)
		for second := 0; second < 120 && !d.ramp.Warm(); second++ {
			d.run(time.Second, latency, limit.Success)
			if second%5 == 4 {
				d.fail()
			}
		}
		Expect(d.ramp.Warm()).To(BeTrue())
	})

	It("admits at least a request per second to a slow target in cold start", func() {
		d := newRampDriver(2)
		Expect(d.run(20*time.Second, 3*time.Second, limit.Failure)).To(BeNumerically(">=", 6))
	})
})
