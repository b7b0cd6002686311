package dispatch

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/services/roster"
)

// An engine that sends a comment now and then but no token has stalled.
func TestStalledStreamEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		body, w := io.Pipe()
		context.AfterFunc(ctx, func() { body.CloseWithError(ctx.Err()) })
		var writer sync.WaitGroup
		defer func() { // the clock stands still once the test function has returned
			cancel()
			writer.Wait()
		}()
		writer.Go(func() {
			io.WriteString(w, tokenEvent("r1", 1))
			for ctx.Err() == nil {
				time.Sleep(time.Second)
				io.WriteString(w, ": wait\n\n")
			}
		})
		start := time.Now()
		silence := newSilenceTimer(func(bool) bool {
			cancel()
			return true
		})
		require.Error(t, relay(body, "r1", &recordingSink{}, &progress{}, &latencyTracker{}, silence))
		require.Less(t, time.Since(start), time.Minute)
	})
}

// A silent engine is left only if another one may go on with the stream.
func TestSilentEngineIsKeptWithoutAnother(t *testing.T) {
	u := func(name, version string) *roster.Upstream {
		return &roster.Upstream{Announcement: engine.Announcement{Name: id.Upstream(name), Version: version}, Stats: &roster.Stats{}}
	}
	present := u("e1", "v1")
	for name, c := range map[string]struct {
		list  []*roster.Upstream
		begun bool
		want  bool
	}{
		"alone":                            {[]*roster.Upstream{present}, false, false},
		"another":                          {[]*roster.Upstream{present, u("e2", "v1")}, true, true},
		"another version before the begin": {[]*roster.Upstream{present, u("e2", "v2")}, false, true},
		"another version after it":         {[]*roster.Upstream{present, u("e2", "v2")}, true, false},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, otherLeft(c.list, present, nil, c.begun)) })
	}
}
