package dispatch

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against taking a comment for the first token: an engine in trouble that sends comments in time would count as fast.
func TestCommentIsNoFirstToken(t *testing.T) {
	for name, c := range map[string]struct {
		before string
		first  bool
	}{
		"comment":     {": wait\n\n", false},
		"blank lines": {"\n\n", false},
		"token":       {tokenEvent("r1", 1), true},
	} {
		t.Run(name, func(t *testing.T) {
			p := &latencyTracker{start: time.Now()}
			relay(strings.NewReader(c.before), "r1", discardSink{}, &progress{}, p, newSilenceTimer(func(bool) bool { return true }))
			require.Equal(t, c.first, !p.firstTokenAt.IsZero())
		})
	}
}
