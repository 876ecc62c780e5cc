package dispatch

import "time"

// coldTokenLife is how long a host keeps an unused token for a cold target. Tokens that all hosts have saved up could
// otherwise be used within the same second.
const coldTokenLife = time.Second

// coldTokens admits requests to one cold target at this host's part of its rate. Each host starts at a random phase, so that
// the first tokens of many hosts do not fall together.
type coldTokens struct {
	level float64
	at    time.Duration
}

// ready reports whether there is a token. rate is in tokens per second.
func (c *coldTokens) ready(now time.Duration, rate float64, random func() float64) bool {
	c.level += rate * (now - c.at).Seconds()
	c.at = now
	if c.level >= 1+rate*coldTokenLife.Seconds() {
		c.level = random()
	}
	return c.level >= 1
}

// take uses the token.
func (c *coldTokens) take() { c.level = 0 }
