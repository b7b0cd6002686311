package dispatch

import (
	"context"
	"time"

	"wagtaillift/internal/modules/pause"
)

// initialBackoff is the delay before a call retries an upstream that it already tried; it doubles with each retry. The
// delays of all attempts add up to 750 ms, in which a crashed engine restarts or is dropped from the roster.
const initialBackoff = 50 * time.Millisecond

// backoff returns the delay before the n-th retry, from zero, of an upstream already tried.
func backoff(n int) time.Duration { return initialBackoff << min(n, maxAttempts) }

// waitBeforeRetry waits if the call already tried the upstream. Without the delay, when several engines crashed at once and
// the others were reserved for suspects, a call used up all its attempts on a closed port within 4 ms.
func (pr *progress) waitBeforeRetry(ctx context.Context, tried bool) {
	if !tried {
		return
	}
	pause.For(ctx, backoff(pr.repeats))
	pr.repeats++
}
