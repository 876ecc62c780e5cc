package replication

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/internal/pauses"
)

// Guards against a leader lease that outlives its time because the clock stops while the machine is suspended.
var _ = It("measures time by a clock that goes on during suspensions by default", func() {
	options := Options{}
	options.setDefaults()
	Expect(options.Clock).To(Equal(pauses.NewClock()))
})
