package forward

import (
	"time"

	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/services/roster"
)

// farCopy is how much longer a copy between data centres takes.
const farCopy = 2

// holder is an engine that keeps leading parts of a prompt.
type holder struct {
	u      *roster.Upstream
	tokens id.Tokens
}

// holders are the engines that keep most of a prompt, one in each data centre.
type holders map[id.Zone]holder

// holders finds the engines that keep most of c's prompt, from what each keeps. Any role will do.
func (f *Forwarder) holders(c *Call, kept map[id.Upstream]id.Tokens) holders {
	out := holders{}
	now := clock.Boot()
	for _, u := range f.Roster.Snapshot().Services[c.service.ID] {
		if u.Work.Open(now) {
			continue
		}
		if n := kept[u.Name]; n > out[u.Zone].tokens {
			out[u.Zone] = holder{u: u, tokens: n}
		}
	}
	return out
}

// best returns where to copies more of c's prompt from than the cached tokens that it keeps, how much that is and how long it
// takes.
func (h holders) best(c *Call, to *roster.Upstream, cached id.Tokens) (address string, n id.Tokens, took time.Duration) {
	e := c.service.Engine
	if e.Link <= 0 {
		return "", 0, 0
	}
	for zone, x := range h {
		more := x.tokens - cached
		if more <= 0 || x.u.Name == to.Name {
			continue
		}
		t := time.Duration(float64(more) * float64(e.Bytes) / e.Link * float64(time.Second))
		if zone != to.Zone {
			t *= farCopy
		}
		if more > n || more == n && t < took {
			address, n, took = x.u.Address, more, t
		}
	}
	return address, n, took
}
