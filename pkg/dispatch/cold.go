package dispatch

import "time"

// coldTokenLifetime is how long a host keeps an unused token for a cold target. Without this limit, all hosts could use tokens that
// they saved up within the same second.
const coldTokenLifetime = time.Second

// coldTokens limits the requests to one cold target to this host's share of the target's rate. Each host starts with a random fraction
// of a token, so that the first tokens of many hosts do not become available at the same time.
type coldTokens struct {
	level     float64
	updatedAt time.Duration
}

// ready reports whether a token is available. rate is in tokens per second.
func (c *coldTokens) ready(now time.Duration, rate float64, random func() float64) bool {
	c.level += rate * (now - c.updatedAt).Seconds()
	c.updatedAt = now
	if c.level >= 1+rate*coldTokenLifetime.Seconds() {
		c.level = random()
	}
	return c.level >= 1
}

// readySaved is like ready, but keeps an unused token. It is for a few hosts only, which may all use theirs in the same second.
func (c *coldTokens) readySaved(now time.Duration, rate float64) bool {
	c.level = min(1, c.level+rate*(now-c.updatedAt).Seconds())
	c.updatedAt = now
	return c.level >= 1
}

// take uses up the token.
func (c *coldTokens) take() { c.level = 0 }
