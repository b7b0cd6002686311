package vm

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/services/emulate"
)

// An engine that the fleet hears no more goes on with what runs on it: the answer arrives whole, from one attempt.
func TestSilentEngineKeepsItsStream(t *testing.T) {
	const tokens = 4000 // longer than an engine stays listed without heartbeats
	f := newFleet(t, 1)
	e := f.startEngine(0, emulate.Faults{})
	f.waitForUpstreams(1)
	type answer struct {
		resp *http.Response
		body string
	}
	got := make(chan answer, 1)
	go func() {
		resp, body := f.callVM(f.vms[0], "POST", "/v1/chat/completions", f.secrets["one"], chatBody("how long", tokens, true))
		got <- answer{resp, body}
	}()
	f.waitUntil("the stream runs", func() bool { return f.vms[0].runningRequests() > 0 })
	e.StopAnnouncing()
	other := f.startEngine(1, emulate.Faults{})
	f.waitUntil("the engine is listed no more", func() bool {
		list := f.vms[0].roster.Snapshot().All
		return len(list) == 1 && list[0].Address == other.Address()
	})
	require.Positive(t, f.vms[0].runningRequests(), "the stream ended before")
	a := <-got
	require.Contains(t, a.body, "[DONE]")
	require.Equal(t, tokens, strings.Count(a.body, `"content"`))
	require.Len(t, f.attemptsOf(a.resp.Header.Get("Wagtaillift-Request")), 1)
}
