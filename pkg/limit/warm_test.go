package limit_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/limit"
)

// After the loss of an attached host, a warm target at the next host got about a ninth of its rate and one request at a
// time, so that its keys were served again seconds late.
var _ = Describe("a gate for a target that another gate has seen warm", func() {
	It("admits all slots at once, and a new boot goes through cold start (I3)", func() {
		gate := limit.NewGate(limit.Options{Slots: 3, BootID: "b1", Warm: true})
		for range 3 {
			_, err := gate.Acquire(context.Background(), limit.Ticket{Deadline: time.Second})
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(gate.Warm()).To(BeTrue())
		gate.Boot("b2", 3)
		Expect(gate.Warm()).To(BeFalse())
		_, _, allowed := gate.Load()
		Expect(allowed).To(Equal(1))
	})
})
