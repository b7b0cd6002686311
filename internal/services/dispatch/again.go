package dispatch

import (
	"context"
	"time"

	"wagtaillift/internal/modules/pause"
)

// againFirst is the pause before an upstream is asked a second time by one call; each further one is twice as long. All
// of a call's attempts then span most of a second, in which an engine that crashed is back or dropped from the roster.
const againFirst = 50 * time.Millisecond

// againPause returns the pause before the n-th time, from zero, that a call asks an upstream again.
func againPause(n int) time.Duration { return againFirst << min(n, maxAttempts) }

// waitAgain waits where the upstream was tried before. It answers the crash of several engines at once: while the others
// are kept free of neighbours, a call that asked a closed port without a pause had no attempt left after 4 ms.
func (pr *progress) waitAgain(ctx context.Context, tried bool) {
	if !tried {
		return
	}
	pause.For(ctx, againPause(pr.again))
	pr.again++
}
