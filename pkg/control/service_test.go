package control

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// stalledLog is the replicated log of a leader without a majority: proposals never get a result.
type stalledLog struct{}

func (stalledLog) Propose(ctx context.Context, _ []byte) ([]byte, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (stalledLog) ReadBarrier(context.Context) error { return nil }

func (stalledLog) Leader() (string, bool) { return "127.0.0.1:1", true }

// A step that waits for a commit without limit would keep a control host from noticing that another host is the leader. In the
// system tests, the leader of a data centre group hung in this way.
var _ = Describe("a control leader that has lost its majority", func() {
	It("ends its steps with an error", func() {
		now := time.Duration(0)
		service := NewService(Options{
			State: NewState(), ReplicatedLog: stalledLog{}, Clock: func() time.Duration { return now },
		})
		service.proposalTimeout = time.Millisecond
		host := &schemav1.Host{Name: "h", Identity: 1, DataCentre: "a"}
		Expect(service.state.joinHost(host)).To(BeTrue())
		Expect(service.Step(context.Background())).To(Succeed())
		now = groupFormDelay
		Expect(service.Step(context.Background())).To(MatchError(context.DeadlineExceeded))
	})
})
