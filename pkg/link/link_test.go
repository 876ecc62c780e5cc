package link_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/link"
)

// fakeClock moves only when told and runs due timers in order.
type fakeClock struct {
	mu     sync.Mutex
	now    time.Duration
	timers []*fakeTimer
}

type fakeTimer struct {
	at time.Duration
	f  func()
}

func (c *fakeClock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) AfterFunc(d time.Duration, f func()) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	timer := &fakeTimer{at: c.now + d, f: f}
	c.timers = append(c.timers, timer)
	return func() { c.drop(timer) }
}

func (c *fakeClock) drop(timer *fakeTimer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timers = slices.DeleteFunc(c.timers, func(t *fakeTimer) bool { return t == timer })
}

func (c *fakeClock) waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.timers)
}

func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	c.now += d
	var due []*fakeTimer
	for _, timer := range c.timers {
		if timer.at <= c.now {
			due = append(due, timer)
		}
	}
	c.mu.Unlock()
	for _, timer := range due {
		c.drop(timer)
		timer.f()
	}
}

// The link has 0.8 Mbit/s, which is 100,000 bytes per second; the burst is 64 KiB.
var _ = Describe("Link", func() {
	ctx := context.Background()
	const burst = 64 << 10
	var clock *fakeClock
	var l *link.Link
	BeforeEach(func() {
		clock = &fakeClock{now: time.Hour}
		l = link.New(link.Options{MbitPerSecond: 8, Hosts: 10, Clock: clock})
	})

	open := func(class link.Class, size int64, left time.Duration) *link.Stream {
		GinkgoHelper()
		stream, err := l.OpenStream(link.Out, class, size, left)
		Expect(err).NotTo(HaveOccurred())
		return stream
	}

	// exhaust leaves the bucket a whole burst below zero.
	exhaust := func() { l.CountUnpaced(link.Out, link.Control, 2*burst) }

	// write writes one byte in its own goroutine and returns once it waits: it then has a timer for its tokens and one
	// for its deadline.
	write := func(w io.Writer) chan error {
		GinkgoHelper()
		done := make(chan error, 1)
		go func() {
			_, err := w.Write([]byte("x"))
			done <- err
		}()
		Eventually(clock.waiting).Should(Equal(2))
		return done
	}

	It("passes bytes on unchanged and counts them by direction and class", func() {
		var out bytes.Buffer
		text := strings.Repeat("pattern ", 4000)
		_, err := io.Copy(open(link.File, int64(len(text)), time.Minute).Writer(ctx, &out), strings.NewReader(text))
		Expect(err).NotTo(HaveOccurred())
		Expect(out.String()).To(Equal(text))
		answer, err := l.OpenStream(link.In, link.Interactive, 0, time.Minute)
		Expect(err).NotTo(HaveOccurred())
		got, err := io.ReadAll(answer.Reader(ctx, strings.NewReader(text)))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got)).To(Equal(text))
		l.CountUnpaced(link.Out, link.Control, 100)
		Expect([]uint64{
			l.TotalBytes(link.Out, link.File), l.TotalBytes(link.In, link.Interactive), l.TotalBytes(link.Out, link.Control),
			l.TotalBytes(link.In, link.File),
		}).To(Equal([]uint64{32000, 32000, 100, 0}))
	})

	DescribeTable("refuses before the first byte what can't pass in time (I7)",
		func(class link.Class, size int64, left time.Duration, want bool) {
			open(link.Booking, 100_000+burst, time.Minute)
			_, err := l.OpenStream(link.Out, class, size, left)
			Expect(err == nil).To(Equal(want))
			if err != nil {
				Expect(apierr.From(err)).To(And(HaveField("Code", apierr.Overloaded), HaveField("Ran", apierr.NotRun),
					HaveField("RetryAfter", BeNumerically(">=", time.Second))))
			}
		},
		Entry("behind the same class, in time", link.Booking, int64(100_000), 2200*time.Millisecond, true),
		Entry("behind the same class, too late", link.Booking, int64(100_000), 1900*time.Millisecond, false),
		Entry("lower class, too late", link.File, int64(0), 900*time.Millisecond, false),
		Entry("higher class passes", link.Interactive, int64(burst), time.Millisecond, true),
		Entry("no time left", link.Interactive, int64(0), time.Duration(0), false),
	)

	It("gives room back when a stream is closed early", func() {
		stream := open(link.File, 10_000_000, time.Hour)
		_, err := l.OpenStream(link.Out, link.File, 0, time.Second)
		Expect(err).To(HaveOccurred())
		Expect(l.Backlog(link.Out)).To(BeEquivalentTo(10_000_000))
		stream.Close()
		Expect(l.Backlog(link.Out)).To(BeZero())
		open(link.File, 0, time.Second)
	})

	DescribeTable("tells the truth about a write that waits past its deadline (I7)",
		func(before int, want apierr.RunStatus) {
			writer := open(link.Interactive, 0, 10*time.Millisecond).Writer(ctx, io.Discard)
			_, err := writer.Write(make([]byte, before))
			Expect(err).NotTo(HaveOccurred())
			exhaust()
			done := write(writer)
			clock.advance(10 * time.Millisecond)
			Expect(apierr.From(<-done)).To(And(HaveField("Code", apierr.DeadlineExceeded), HaveField("Ran", want)))
		},
		Entry("before the first byte", 0, apierr.NotRun),
		Entry("after the first byte", 1, apierr.RunUnknown),
	)

	It("stops waiting when the request is cancelled", func() {
		exhaust()
		cancelable, cancel := context.WithCancel(ctx)
		done := write(open(link.Interactive, 0, time.Minute).Writer(cancelable, io.Discard))
		cancel()
		err := <-done
		Expect(errors.Is(err, context.Canceled)).To(BeTrue())
		Expect(apierr.From(err)).To(HaveField("Ran", apierr.NotRun))
		Expect(clock.waiting()).To(BeZero())
	})

	DescribeTable("lets a waiting stream pass",
		func(change func()) {
			exhaust()
			done := write(open(link.Interactive, 0, time.Minute).Writer(ctx, io.Discard))
			Consistently(done, "20ms").ShouldNot(Receive())
			change()
			Expect(<-done).NotTo(HaveOccurred())
		},
		Entry("when its tokens are there", func() { clock.advance(time.Second) }),
		Entry("when the share grows", func() {
			l.SetHosts(1)
			clock.advance(100 * time.Millisecond)
		}),
	)
})
