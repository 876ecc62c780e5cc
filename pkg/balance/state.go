package balance

import "time"

// Result tells how a request to a chosen target ended.
type Result int

// Results.
const (
	Success Result = iota
	// Failure is a lost connection, a time-out, an answer that blames the target, or a refusal by its gate.
	Failure
	// Cancelled is a request that was given up, for example because its hedge was answered first.
	Cancelled
)

// Outcome is what the chooser learns from a request.
type Outcome struct {
	Result Result
	// Latency is the time to the answer; measured from the choice when 0.
	Latency time.Duration
}

// Avoidance of slow targets. Slowness is latency divided by the usual latency of the same kind of request.
const (
	// avoidRatio is the slowness from which a target is avoided. Of exponentially distributed service times, one in 55
	// is over 4 times the mean, so few good targets are avoided.
	avoidRatio = 4
	// firstProbe is the pause before an avoided target gets a request again; it doubles up to lastProbe while probes are
	// slow. A probe is a caller's request, so probes must be rare.
	firstProbe = time.Second
	lastProbe  = 8 * time.Second
	// slownessShare and usualShare are the weights of a new sample in a target's slowness and in the usual latency.
	slownessShare = 4
	usualShare    = 64
	// slownessFade is the time after which an old slowness counts half. Without it, a target that lost every draw once
	// would never be asked again.
	slownessFade = 2 * time.Second
)

// Reported load.
const (
	// loadExpiry is the age at which a report no longer counts; it is three announcements.
	loadExpiry = 3 * time.Second
	// loadWeight bounds what a report can do: full load counts like half a request more per request in flight.
	loadWeight = 0.5
)

// state is what this host knows about a target.
type state struct {
	target   Target
	inFlight int
	// oldest and newest are the ends of the list of open requests, in order of their start.
	oldest, newest *Choice
	slowness       float64
	slownessAt     time.Duration
	// slow is set while the target is avoided for its last answer; probeAt is when it may be asked again.
	slow    bool
	probeAt time.Duration
	pause   time.Duration
	// probe is the open request that was sent in spite of the avoidance.
	probe  *Choice
	load   float64
	loadAt time.Duration
}

func newState() *state {
	return &state{slowness: 1}
}

// score is the expected time of one more request, in units of the usual latency.
func (s *state) score(now time.Duration) float64 {
	slots := float64(max(s.target.Slots, 1))
	score := (float64(s.inFlight) + 1) / slots * s.fadedSlowness(now)
	if s.loadAt > 0 && now-s.loadAt < loadExpiry {
		score *= 1 + loadWeight*s.load
	}
	return score
}

func (s *state) fadedSlowness(now time.Duration) float64 {
	age := float64(now-s.slownessAt) / float64(slownessFade)
	return 1 + (s.slowness-1)/(1+age)
}

// avoided reports whether the target is slow: its last answer was, or its oldest open request has waited for too long.
// The latter detects a stalled target before it answers.
func (s *state) avoided(now time.Duration, usual *[RequestKindCount]time.Duration) bool {
	if s.slow {
		return true
	}
	if s.oldest == nil {
		return false
	}
	expected := usual[s.oldest.kind]
	return expected > 0 && now-s.oldest.started > avoidRatio*expected
}

// probeDue reports whether an avoided target should get one request to find out whether it is still slow. There is no
// probe while a request is open: its answer will tell.
func (s *state) probeDue(now time.Duration) bool {
	return s.slow && s.inFlight == 0 && now >= s.probeAt
}

func (s *state) begin(now time.Duration, choice *Choice) {
	s.inFlight++
	choice.prev = s.newest
	if s.newest != nil {
		s.newest.next = choice
	} else {
		s.oldest = choice
	}
	s.newest = choice
	if s.slow && s.probe == nil {
		s.probe = choice
		s.probeAt = now + s.pause
	}
}

func (s *state) end(now time.Duration, choice *Choice, outcome Outcome, usual *[RequestKindCount]time.Duration) {
	s.inFlight--
	s.unlink(choice)
	latency := outcome.Latency
	if latency <= 0 {
		latency = now - choice.started
	}
	expected := usual[choice.kind]
	switch outcome.Result {
	case Failure:
		s.avoid(now, choice)
	case Cancelled:
		if expected > 0 && latency > avoidRatio*expected {
			s.avoid(now, choice)
		}
	default:
		s.answered(now, choice, latency, &usual[choice.kind])
	}
	if s.probe == choice {
		s.probe = nil
	}
}

// answered takes in the latency of a complete answer.
func (s *state) answered(now time.Duration, choice *Choice, latency time.Duration, usual *time.Duration) {
	if *usual == 0 {
		*usual = max(latency, 1)
	}
	ratio := float64(latency) / float64(*usual)
	s.slowness = s.fadedSlowness(now)
	s.slowness += (ratio - s.slowness) / slownessShare
	s.slownessAt = now
	// A slow answer counts at most avoidRatio, so that a few slow targets don't shift what is usual.
	*usual += (min(latency, avoidRatio**usual) - *usual) / usualShare
	if ratio > avoidRatio {
		s.avoid(now, choice)
		return
	}
	if s.slow {
		s.slowness = min(s.slowness, ratio)
	}
	s.slow, s.pause = false, 0
}

// avoid starts the pause before the next probe. It grows only after a slow probe: requests that were open when the
// target became slow all tell of the same fault.
func (s *state) avoid(now time.Duration, choice *Choice) {
	if s.slow && choice != s.probe {
		return
	}
	s.pause = min(max(2*s.pause, firstProbe), lastProbe)
	s.slow, s.probeAt = true, now+s.pause
}

func (s *state) unlink(choice *Choice) {
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
