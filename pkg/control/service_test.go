package control

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// lostMajority is the log of a leader whose proposals have no outcome.
type lostMajority struct{}

func (lostMajority) Propose(ctx context.Context, _ []byte) ([]byte, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (lostMajority) ReadBarrier(context.Context) error { return nil }

func (lostMajority) Leader() (string, bool) { return "127.0.0.1:1", true }

// A step that waits for a commit for good would keep a control host from noticing that another one leads. A data centre's
// leader stood still in this way in the system tests.
var _ = Describe("a control leader that has lost its majority", func() {
	It("ends its steps", func() {
		now := time.Duration(0)
		service := NewService(Options{
			State: NewState(), ReplicatedLog: lostMajority{}, Clock: func() time.Duration { return now },
		})
		service.proposalTimeout = time.Millisecond
		host := &schemav1.Host{Name: "h", Identity: 1, DataCentre: "a"}
		Expect(service.state.joinHost(host)).To(BeTrue())
		Expect(service.Step(context.Background())).To(Succeed())
		now = groupFormDelay
		Expect(service.Step(context.Background())).To(MatchError(context.DeadlineExceeded))
	})
})
