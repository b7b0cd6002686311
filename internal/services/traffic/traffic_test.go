package traffic

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRates(t *testing.T) {
	read := func(lines ...string) Sample {
		s, err := Read(strings.NewReader("go_goroutines 7\n" + strings.Join(lines, "\n") + "\n"))
		require.NoError(t, err)
		return s
	}
	line := func(what, side, n string) string {
		return `wagtaillift_peer_method_` + what + `_total{method="feed",side="` + side + `"} ` + n
	}
	before := []Sample{read(line("calls", "made", "10"), line("bytes", "made", "100")), read(line("calls", "made", "1000"))}
	after := []Sample{read(line("calls", "made", "30"), line("bytes", "made", "500")), read(line("calls", "made", "40"), line("bytes", "made", "400"))}
	require.Equal(t, []Line{{Method: "feed", Side: Made, VMs: 2, Calls: 3, Bytes: 40, BytesPerCall: 40.0 / 3, MostCalls: 4}}, Rates(before, after, 10*time.Second))
	_, err := Read(strings.NewReader("go_goroutines 7\n"))
	require.ErrorContains(t, err, "counters of calls by method")
}
