package vm

import (
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
)

// A service whose name cannot stand in a label as it is had its requests run and not answered: counting them panicked.
func TestRequestsOfServicesWithOddNamesAreCounted(t *testing.T) {
	for name, want := range map[string]string{
		`workshop "west"`: `service="workshop \"west\""`,
		`west\`:           `service="west\\"`,
		"two\nlines":      `service="two\nlines"`,
		`a="b",c{d}`:      `service="a=\"b\",c{d}"`,
		"പണിശാല":          `service="പണിശാല"`,
		"":                `service=""`,
	} {
		t.Run(name, func(t *testing.T) {
			require.NotPanics(t, func() { countRequest(name, "answered") })
			var sb strings.Builder
			metrics.WritePrometheus(&sb, false)
			require.Contains(t, sb.String(), want+`,outcome="answered"} 1`+"\n")
		})
	}
}
