package limit

import (
	"time"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// serviceTimeSmoothing is the divisor of a new sample in the moving average of service times. A weight of 1/8 follows a
// change within about ten responses and still averages out single slow ones.
const serviceTimeSmoothing = 8

// serviceTimes holds the mean service time of each class, an exponentially weighted moving average. Zero means unknown.
type serviceTimes [classCount]time.Duration

func (s *serviceTimes) mean(class schemav1.RequestClass) time.Duration {
	return s[class]
}

// observe updates the mean with the latency of one request. A cancelled or failed request shows only that the service time
// is at least its latency, so it counts only if it raises the mean. A shed request was not run and never counts.
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
	s[class] = mean + (outcome.Latency-mean)/serviceTimeSmoothing
}
