package balance

import "time"

// Result is how a request to a chosen target ended.
type Result int

// Results.
const (
	Success Result = iota
	// Failure is a lost connection, a timeout, a response that reports an error of the target, or a refusal by its gate.
	Failure
	// Cancelled is a request that was cancelled, for example because its hedge was answered first.
	Cancelled
)

// Outcome is the result and the latency of a request, which the chooser learns from.
type Outcome struct {
	Result Result
	// Latency is the time to the response; the time since the choice when 0.
	Latency time.Duration
}

// Avoidance of slow targets. Slowness is latency divided by the baseline latency of the same kind of request.
const (
	// avoidRatio is the slowness above which a target is avoided. Of exponentially distributed service times, one in 55
	// is over 4 times the mean, so few healthy targets are avoided.
	avoidRatio = 4
	// minProbePause is the first pause before an avoided target gets a request again (a probe); it doubles up to
	// maxProbePause while probes are slow. A probe is a caller's request, so probes must be rare.
	minProbePause = time.Second
	maxProbePause = 8 * time.Second
	// slownessSmoothing and baselineSmoothing are the divisors of a new sample in a target's slowness and in the baseline
	// latency: a new sample has a weight of 1/4 and 1/64.
	slownessSmoothing = 4
	baselineSmoothing = 64
	// slownessHalfTime is the time after which the excess of a target's slowness over 1 counts half. Without it, a target
	// that has become slower than all others would lose every draw and never get a request again.
	slownessHalfTime = 2 * time.Second
)

// Reported load.
const (
	// loadExpiry is the age from which a report no longer counts; targets send three announcements in this time.
	loadExpiry = 3 * time.Second
	// loadWeight bounds the effect of a report: full load raises the score by half.
	loadWeight = 0.5
)

// targetStats holds what this host has observed of a target.
type targetStats struct {
	target   Target
	inFlight int
	// oldest and newest are the ends of the list of open requests, in order of their start.
	oldest, newest *Choice
	slowness       float64
	slownessAt     time.Duration
	// isSlow is set while the target is avoided because of a slow response or a failure. probeAt is the time from which it
	// may get a probe.
	isSlow     bool
	probeAt    time.Duration
	probePause time.Duration
	// probe is the open request that was sent although the target is avoided.
	probe  *Choice
	load   float64
	loadAt time.Duration
}

func newTargetStats() *targetStats {
	return &targetStats{slowness: 1}
}

// score estimates the latency of one more request, in units of the baseline latency. Lower is better.
func (s *targetStats) score(now time.Duration) float64 {
	slots := float64(max(s.target.Slots, 1))
	score := (float64(s.inFlight) + 1) / slots * s.decayedSlowness(now)
	if s.loadAt > 0 && now-s.loadAt < loadExpiry {
		score *= 1 + loadWeight*s.load
	}
	return score
}

// decayedSlowness returns the slowness, which approaches 1 while there are no new samples.
func (s *targetStats) decayedSlowness(now time.Duration) float64 {
	age := float64(now-s.slownessAt) / float64(slownessHalfTime)
	return 1 + (s.slowness-1)/(1+age)
}

// isAvoided reports whether the target is avoided: it is marked as slow, or its oldest open request has taken too long. The
// latter detects a stalled target before it responds.
func (s *targetStats) isAvoided(now time.Duration, baselines *[RequestKindCount]time.Duration) bool {
	if s.isSlow {
		return true
	}
	if s.oldest == nil {
		return false
	}
	expected := baselines[s.oldest.kind]
	return expected > 0 && now-s.oldest.started > avoidRatio*expected
}

// probeDue reports whether an avoided target should get one request to find out whether it is still slow. There is no
// probe while a request is open, because its response will show that.
func (s *targetStats) probeDue(now time.Duration) bool {
	return s.isSlow && s.inFlight == 0 && now >= s.probeAt
}

func (s *targetStats) begin(now time.Duration, choice *Choice) {
	s.inFlight++
	choice.prev = s.newest
	if s.newest != nil {
		s.newest.next = choice
	} else {
		s.oldest = choice
	}
	s.newest = choice
	if s.isSlow && s.probe == nil {
		s.probe = choice
		s.probeAt = now + s.probePause
	}
}

func (s *targetStats) end(now time.Duration, choice *Choice, outcome Outcome, baselines *[RequestKindCount]time.Duration) {
	s.inFlight--
	s.unlink(choice)
	latency := outcome.Latency
	if latency <= 0 {
		latency = now - choice.started
	}
	expected := baselines[choice.kind]
	switch outcome.Result {
	case Failure:
		s.startAvoiding(now, choice)
	case Cancelled:
		if expected > 0 && latency > avoidRatio*expected {
			s.startAvoiding(now, choice)
		}
	default:
		s.recordResponse(now, choice, latency, &baselines[choice.kind])
	}
	if s.probe == choice {
		s.probe = nil
	}
}

// recordResponse updates the slowness and the baseline with the latency of a complete response.
func (s *targetStats) recordResponse(now time.Duration, choice *Choice, latency time.Duration, baseline *time.Duration) {
	if *baseline == 0 {
		*baseline = max(latency, 1)
	}
	ratio := float64(latency) / float64(*baseline)
	s.slowness = s.decayedSlowness(now)
	s.slowness += (ratio - s.slowness) / slownessSmoothing
	s.slownessAt = now
	// A slow response counts as at most avoidRatio baselines, so that a few slow targets don't shift the baseline.
	*baseline += (min(latency, avoidRatio**baseline) - *baseline) / baselineSmoothing
	if ratio > avoidRatio {
		s.startAvoiding(now, choice)
		return
	}
	if s.isSlow {
		s.slowness = min(s.slowness, ratio)
	}
	s.isSlow, s.probePause = false, 0
}

// startAvoiding marks the target as slow and starts the pause before the next probe. The pause grows only after a slow
// probe, because the requests that were open when the target became slow all show the same fault.
func (s *targetStats) startAvoiding(now time.Duration, choice *Choice) {
	if s.isSlow && choice != s.probe {
		return
	}
	s.probePause = min(max(2*s.probePause, minProbePause), maxProbePause)
	s.isSlow, s.probeAt = true, now+s.probePause
}

// unlink removes choice from the list of open requests.
func (s *targetStats) unlink(choice *Choice) {
	if choice.prev != nil {
		choice.prev.next = choice.next
	} else {
		s.oldest = choice.next
	}
	if choice.next != nil {
		choice.next.prev = choice.prev
	} else {
		s.newest = choice.prev
	}
	choice.prev, choice.next = nil, nil
}
