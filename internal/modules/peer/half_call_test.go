package peer

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"wagtaillift/internal/modules/id"
)

// A call of a peer, such as a list, that breaks off at any byte or goes on as something else does not reach its handler.
func TestHalfCallsAreNotHandled(t *testing.T) {
	ca := newCA(t, "fleet")
	from, to := listen(t, vmCert(t, ca, "vm1", time.Now())), listen(t, vmCert(t, ca, "vm2", time.Now()))
	handled := make(chan []string, 100)
	Handle(to, "list", func(_ context.Context, _ id.VM, list []string) (struct{}, error) {
		handled <- list
		return struct{}{}, nil
	})
	body, err := cbor.Marshal([]string{"engine-1", "engine-2"})
	require.NoError(t, err)
	message, err := cbor.Marshal(call{Method: "list", Body: body})
	require.NoError(t, err)
	send := func(data []byte) {
		_, s, err := from.openStream(t.Context(), from.connection(to.Address()), to.Address())
		require.NoError(t, err)
		_, err = s.Write(data)
		require.NoError(t, err)
		s.Close()
		s.SetReadDeadline(time.Now().Add(10 * time.Second))
		s.Read(make([]byte, 1))
	}
	for n := range message {
		send(message[:n])
	}
	for _, odd := range [][]byte{append(bytes.Clone(body), 0), append(bytes.Clone(body), body...), body[:len(body)-1]} {
		message, err := cbor.Marshal(call{Method: "list", Body: odd})
		require.NoError(t, err)
		send(message)
	}
	require.Empty(t, handled)
	_, err = Call[struct{}](t.Context(), from, to.Address(), "list", []string{"engine-1", "engine-2"})
	require.NoError(t, err)
	require.Equal(t, []string{"engine-1", "engine-2"}, <-handled)
}
