package registrar

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/guard"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

var _ = Describe("Registrations", func() {
	var proposals, committed atomic.Int64
	var failure error
	var tasks sync.WaitGroup
	newRegistrations := func(delay time.Duration) *registrations {
		proposals.Store(0)
		committed.Store(0)
		failure = nil
		return &registrations{
			start: func(f func()) { tasks.Go(f) },
			propose: func(c *schemav1.RegistryCommand) error {
				proposals.Add(1)
				time.Sleep(delay)
				committed.Add(int64(len(c.GetRegistrations())))
				if c.GetRegistration() != nil {
					committed.Add(1)
				}
				return failure
			},
		}
	}
	AfterEach(func() { tasks.Wait() })

	// Guards against a start at which commits take longer than targets wait for an answer, so that they announce themselves again and again
	// (sweep at 300 hosts: 3,000 targets start within a second).
	It("commit the announcements of 750 targets at one host in few batches", func() {
		r := newRegistrations(10 * time.Millisecond)
		var targets sync.WaitGroup
		for i := range 750 {
			targets.Go(func() {
				defer GinkgoRecover()
				Expect(r.commit(context.Background(), &schemav1.Registration{Id: fmt.Sprint(i)})).To(Succeed())
			})
		}
		targets.Wait()
		Expect(committed.Load()).To(BeEquivalentTo(750))
		Expect(proposals.Load()).To(BeNumerically("<", 75))
	})

	It("commit a single announcement at once, also after earlier ones", func() {
		r := newRegistrations(0)
		for i := range 3 {
			Expect(r.commit(context.Background(), &schemav1.Registration{Id: fmt.Sprint(i)})).To(Succeed())
			Expect(proposals.Load()).To(BeEquivalentTo(i + 1))
		}
	})

	// Guards against an acknowledged announcement that is not committed.
	It("fail when their batch fails, and when the caller does not wait any longer", func() {
		r := newRegistrations(20 * time.Millisecond)
		failure = ErrNoLeader
		Expect(r.commit(context.Background(), &schemav1.Registration{Id: "1"})).To(MatchError(ErrNoLeader))
		r.propose = func(*schemav1.RegistryCommand) error { panic("unexpected") }
		var panicked *guard.PanicError
		Expect(errors.As(r.commit(context.Background(), &schemav1.Registration{Id: "1"}), &panicked)).To(BeTrue())
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(r.commit(ctx, &schemav1.Registration{Id: "2"})).To(MatchError(context.Canceled))
	})
})
