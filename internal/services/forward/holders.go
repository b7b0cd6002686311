package forward

import (
	"time"

	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/services/roster"
)

// remoteCopyFactor is how many times longer a copy between data centres takes.
const remoteCopyFactor = 2

// holder is an engine that has a prefix of the prompt cached.
type holder struct {
	u      *roster.Upstream
	tokens id.Tokens
}

// holders has, per data centre, the engine with the longest cached prefix of a prompt.
type holders map[id.Zone]holder

// holders finds the engines with the longest cached prefix of c's prompt. Engines of every role count.
func (f *Forwarder) holders(c *Call, cachedTokens map[id.Upstream]id.Tokens) holders {
	out := holders{}
	now := clock.SinceBoot()
	for _, u := range f.Roster.Snapshot().Services[c.service.ID] {
		if u.Stats.CircuitOpen(now) {
			continue
		}
		if n := cachedTokens[u.Name]; n > out[u.Zone].tokens {
			out[u.Zone] = holder{u: u, tokens: n}
		}
	}
	return out
}

// bestSource returns the address of the engine from which the engine to can copy the most prompt tokens beyond its own
// cached ones, the number of these tokens and the duration of the copy.
func (h holders) bestSource(c *Call, to *roster.Upstream, cached id.Tokens) (address string, n id.Tokens, took time.Duration) {
	e := c.service.Engine
	if e.LinkSpeed <= 0 {
		return "", 0, 0
	}
	for zone, src := range h {
		gain := src.tokens - cached
		if gain <= 0 || src.u.Name == to.Name {
			continue
		}
		t := time.Duration(float64(gain) * float64(e.KVBytesPerToken) / e.LinkSpeed * float64(time.Second))
		if zone != to.Zone {
			t *= remoteCopyFactor
		}
		if gain > n || gain == n && t < took {
			address, n, took = src.u.Address, gain, t
		}
	}
	return address, n, took
}
