package replication

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestReplication(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "replication")
}

var _ = It("elects a leader and replicates among three members", func() {
	s := newSim(1, 3, faults{}, Options{})
	Expect(s.runUntil(time.Second, func() bool { return s.leader() != nil })).To(BeTrue())
	for range 10 {
		s.propose(s.leader())
	}
	s.run(100 * time.Millisecond)
	s.checker.checkAcknowledged(s)
	Expect(s.checker.violations).To(BeEmpty())
	Expect(s.checker.acknowledged).To(HaveLen(10))
	for _, node := range s.nodes {
		Expect(node.stateMachine.records).To(HaveLen(10))
	}
})
