package registrar

import (
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/internal/pauses"
	"almondrock.example/almondrock/pkg/raft"
)

// suspendedClock is the default clock of replicas on a machine that was suspended for some time, which its timers do not notice.
type suspendedClock struct {
	clockwork.Clock
	suspended *atomic.Int64
}

func (c suspendedClock) Now() time.Time { return c.Clock.Now().Add(time.Duration(c.suspended.Load())) }

func (c suspendedClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

var _ = Describe("Leader lease", func() {
	// Guards against a leader that grants keys after its machine was suspended, although another leader has moved them meanwhile (OWNER).
	It("does not outlive a suspension of the machine", func() {
		suspended := atomic.Int64{}
		p := &partition{clock: suspendedClock{pauses.NewClock(), &suspended}}
		hosts := startGroup(p)
		var leader *Registrar
		Eventually(func() bool {
			for _, r := range hosts {
				if replica := r.currentReplica(); replica != nil && replica.Status().Role == raft.Leader && r.HoldsLeaderLease() {
					leader = r
				}
			}
			return leader != nil
		}, "10s").Should(BeTrue())
		p.address.Store(&leader.options.PeerAddress)
		suspended.Store(int64(5 * time.Second))
		Expect(leader.HoldsLeaderLease()).To(BeFalse())
		Consistently(leader.HoldsLeaderLease, "500ms", "10ms").Should(BeFalse())
	})
})
