package vm

import (
	"context"
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"wagtaillift/internal/modules/peer"
)

// No message of another VM ends the process or stops its work: each method gets bodies of wrong types, with missing fields and
// with extreme numbers.
func TestMalformedPeerMessages(t *testing.T) {
	f := newFleet(t, 2)
	to, from := f.vms[0], f.vms[1].transport
	extreme := map[any]any{}
	for _, n := range []any{int64(math.MinInt64), uint64(math.MaxUint64), -1, "x", nil, []any{nil}, map[any]any{1: nil}, []any{[]any{map[any]any{}}}, true, 1e300} {
		for k := range 12 {
			extreme[k] = n
		}
		for _, name := range []string{"List", "list", "VM", "Node", "Tokens", "Wait", "After", "Index", "Loads", "Members", "Runs", "Parts", "Upstream", "At"} {
			extreme[name] = n
		}
		for _, body := range []any{n, extreme, []any{extreme}, map[any]any{1: []any{extreme}, "list": []any{extreme}, "List": []any{extreme}, "Runs": []any{extreme}}} {
			raw, err := cbor.Marshal(body)
			require.NoError(t, err)
			for _, method := range to.transport.Methods() {
				ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
				peer.Call[cbor.RawMessage](ctx, from, to.PeerAddress(), method, cbor.RawMessage(raw))
				cancel()
			}
		}
	}
	require.Zero(t, to.transport.Stats.Panics.Load())
	resp, _ := f.callVM(to, http.MethodGet, "/v1/models", f.secrets["one"], "")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	f.waitUntil("the VMs are in touch", func() bool {
		return f.vms[1].authority.LeaseEnd() > 0 && to.authority.Config().Revision == f.vms[1].authority.Config().Revision
	})
}
