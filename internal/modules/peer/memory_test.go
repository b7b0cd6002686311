package peer

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"wagtaillift/internal/modules/memory"
)

// A call was read up to 64 MB whatever others held, and one that stalled stayed for as long as its connection.
func TestLargeCallsTakeRoom(t *testing.T) {
	const limit = 8 << 20
	ca := newCA(t, "fleet")
	a, b := listen(t, vmCert(t, ca, "vm1", time.Now())), listen(t, vmCert(t, ca, "vm2", time.Now()))
	b.Memory.SetLimit(limit)
	requireNothingHeld := func() {
		require.Eventually(t, func() bool { return b.Memory.Held(memory.Document) == 0 }, 5*time.Second, time.Millisecond)
	}
	large := strings.Repeat("x", 1<<20)
	_, err := echo(a, b, large)
	require.NoError(t, err)
	requireNothingHeld()
	_, err = echo(a, b, strings.Repeat("x", limit))
	require.Error(t, err)
	require.Positive(t, b.Memory.Rejected(memory.Document))
	requireNothingHeld()

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	pc := a.connection(b.Address())
	for range 8 { // stop short of their end
		_, s, err := a.openStream(ctx, pc, b.Address())
		require.NoError(t, err)
		body, err := cbor.Marshal(large)
		require.NoError(t, err)
		message, err := cbor.Marshal(call{Method: "echo", Body: body})
		require.NoError(t, err)
		go s.Write(message[:len(message)-1])
	}
	require.Eventually(t, func() bool { return b.Memory.Rejected(memory.Document) > 1 }, 5*time.Second, time.Millisecond)
	require.LessOrEqual(t, b.Memory.Held(memory.Document), int64(limit))
	_, err = echo(a, b, "small")
	require.NoError(t, err)
}
