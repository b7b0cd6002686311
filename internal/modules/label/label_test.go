package label

import (
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtaillift/internal/modules/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m, 1000) }

// Any name is a valid label value, and two names never share one, but for the line ends that they hold.
func TestQuote(t *testing.T) {
	unescape := strings.NewReplacer(`\\`, `\`, `\"`, `"`, `\n`, "\n")
	name := rapid.StringOf(rapid.OneOf(rapid.SampledFrom([]rune("\\\"\n\r{},= a")), rapid.Rune()))
	rapid.Check(t, func(t *rapid.T) {
		v := name.Draw(t, "name")
		q := Quote(v)
		require.NoError(t, metrics.ValidateMetric(`m{a=`+q+`,b=`+q+`}`))
		require.Equal(t, strings.ReplaceAll(v, "\r", "\n"), unescape.Replace(q[1:len(q)-1]))
	})
}
