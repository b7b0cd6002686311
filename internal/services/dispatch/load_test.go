package dispatch

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/modules/clock"
)

// Guards against recording what is no load as the load of an upstream, which it would be chosen by.
func TestSpoiledLoads(t *testing.T) {
	for text, taken := range map[string]bool{
		`{"running":3,"queued":0,"pieces":500,"prefill":0}`: true, `{"pieces":500}`: true,
		`null`: false, `[]`: false, `{"pieces":500}x`: false, `{"pieces":1,"pieces":500}`: false, `{"pieces":-9223372036854775808}`: false, `{"pieces":9223372036854775807}`: false,
		`{"pieces":1e3}`: false, `{"pieces":50`: false, `out of memory`: false, `{"error":"out of memory"}`: false,
	} {
		t.Run(text, func(t *testing.T) {
			u := announced(t, "127.0.0.1:9")
			recordLoad(u, http.Header{headerLoad: {`{"pieces":40}`}})
			require.EqualValues(t, 40, u.Stats.Load(clock.SinceBoot()))
			recordLoad(u, http.Header{headerLoad: {text}})
			want := int64(40)
			if taken {
				want = 500
			}
			require.Equal(t, want, u.Stats.Load(clock.SinceBoot()))
		})
	}
}
