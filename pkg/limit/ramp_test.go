package limit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/limit"
)

const latency = 10 * time.Millisecond

// drive is a ramp with a caller that always has another request.
type drive struct {
	ramp *limit.Ramp
	now  time.Duration
}

// run offers load for d: each request takes takes and ends with result. It returns the number of admitted requests.
func (d *drive) run(length, takes time.Duration, result limit.Result) int {
	admitted := 0
	for end := d.now + length; d.now < end; d.now += takes {
		d.ramp.Advance(d.now)
		d.now = d.ramp.NextAdmission(d.now)
		for range d.ramp.Limit() {
			if d.ramp.NextAdmission(d.now) > d.now {
				break
			}
			d.ramp.RecordAdmission(d.now)
			d.ramp.Observe(d.now+takes, d.now, interactive, limit.Outcome{Result: result, Latency: takes})
			admitted++
		}
	}
	return admitted
}

func (d *drive) fail() {
	d.ramp.Observe(d.now, d.now, interactive, limit.Outcome{Result: limit.Failure, Latency: latency})
}

func newDrive(slots int) *drive {
	return &drive{ramp: limit.NewRamp(slots, 0)}
}

func warmDrive() *drive {
	d := newDrive(8)
	d.run(15*time.Second, latency, limit.Success)
	Expect(d.ramp.Warm()).To(BeTrue())
	return d
}

var _ = Describe("Ramp", func() {
	It("grows the admitted rate by at most a quarter per second, over at least 10 s (I3)", func() {
		d := newDrive(10)
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

	It("stays cold while the target has not answered anything (I3)", func() {
		d := newDrive(4)
		d.now = time.Hour
		d.ramp.Advance(d.now)
		Expect(d.ramp.Limit()).To(Equal(1))
	})

	DescribeTable("falls back",
		func(prepare func() *drive, wantLimit int, wantWarmAfter time.Duration) {
			d := prepare()
			Expect(d.ramp.Limit()).To(Equal(wantLimit))
			start := d.now
			for !d.ramp.Warm() && d.now < start+time.Minute {
				d.run(100*time.Millisecond, latency, limit.Success)
			}
			Expect(d.now - start).To(BeNumerically("~", wantWarmAfter, 300*time.Millisecond))
		},
		Entry("to half after one failure of a warm target", func() *drive {
			d := warmDrive()
			d.fail()
			return d
		}, 4, 3*time.Second),
		Entry("once for failures of requests that ran at the same time", func() *drive {
			d := warmDrive()
			started := d.now
			for range 8 {
				d.now += time.Millisecond
				d.ramp.Observe(d.now, started, interactive, limit.Outcome{Result: limit.Shed})
			}
			return d
		}, 4, 3*time.Second),
		Entry("to the start after a burst of failures (I3)", func() *drive {
			d := warmDrive()
			for range 3 {
				d.now += time.Millisecond
				d.fail()
			}
			return d
		}, 1, 10*time.Second),
		Entry("to the start after a failure in cold start (I3)", func() *drive {
			d := newDrive(8)
			d.run(8500*time.Millisecond, latency, limit.Success)
			d.fail()
			return d
		}, 1, 10*time.Second),
		Entry("to the start when a warm target turns cold unannounced (I3)", func() *drive {
			d := warmDrive()
			d.run(600*time.Millisecond, 60*time.Millisecond, limit.Success)
			return d
		}, 1, 10*time.Second),
		Entry("not at all when answers take less than 4 times the usual", func() *drive {
			d := warmDrive()
			d.run(time.Second, 38*time.Millisecond, limit.Success)
			return d
		}, 8, 0*time.Second),
		Entry("not at all for large answers that begin as usual", func() *drive {
			d := warmDrive()
			for range 20 {
				d.ramp.Observe(d.now, d.now, interactive, limit.Outcome{Latency: time.Second, TimeToFirstByte: latency})
			}
			return d
		}, 8, 0*time.Second),
		Entry("not at all for a single slow answer", func() *drive {
			d := warmDrive()
			d.ramp.Observe(d.now, d.now, interactive, limit.Outcome{Latency: time.Second})
			return d
		}, 8, 0*time.Second),
		Entry("not at all for cancelled requests", func() *drive {
			d := warmDrive()
			d.run(time.Second, latency, limit.Cancelled)
			return d
		}, 8, 0*time.Second),
	)

	It("ends the cold start of a target that keeps failing one request in a hundred", func() {
		d := newDrive(2)
		for second := 0; second < 120 && !d.ramp.Warm(); second++ {
			d.run(time.Second, latency, limit.Success)
			if second%5 == 4 {
				d.fail()
			}
		}
		Expect(d.ramp.Warm()).To(BeTrue())
	})

	It("admits at least a request per second to a slow target in cold start", func() {
		d := newDrive(2)
		Expect(d.run(20*time.Second, 3*time.Second, limit.Failure)).To(BeNumerically(">=", 6))
	})
})
