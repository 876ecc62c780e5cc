package limit

import (
	"time"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// serviceTimeShare is the weight of a new sample in the service time. An eighth follows a change within about ten
// answers and still averages out single slow ones.
const serviceTimeShare = 8

// serviceTimes is the mean service time of each class, as an exponentially weighted average. Zero means not known yet.
type serviceTimes [classCount]time.Duration

func (s *serviceTimes) of(class schemav1.RequestClass) time.Duration {
	return s[class]
}

// observe takes in the latency of one answer. A request that was cancelled or lost tells only that the service time is
// at least its latency, so it counts when it raises the mean. A shed request tells nothing.
func (s *serviceTimes) observe(class schemav1.RequestClass, outcome Outcome) {
	mean := s[class]
	if outcome.Latency <= 0 || outcome.Result == Shed {
		return
	}
	if outcome.Result != Success && outcome.Latency <= mean {
		return
	}
	if mean == 0 {
		s[class] = outcome.Latency
		return
	}
	s[class] = mean + (outcome.Latency-mean)/serviceTimeShare
}
