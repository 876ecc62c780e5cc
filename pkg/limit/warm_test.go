package limit_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/limit"
)

// Guards against a cold start of a warm target after the loss of its attached host: at the next host it got about a ninth
// of its rate and one request at a time, so that its keys were served again seconds late.
var _ = Describe("a gate for a target that is already warm", func() {
	It("admits requests to all slots at once, and starts cold with a new boot ID (I3)", func() {
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
