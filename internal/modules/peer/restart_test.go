package peer

import (
	"context"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/require"

	"wagtaillift/internal/modules/cert"
	"wagtaillift/internal/modules/id"
)

// A peer that is too busy to answer in time keeps its connections: a handshake costs it more than the answer.
func TestBusyPeerKeepsItsConnections(t *testing.T) {
	ca := newCA(t, "fleet")
	a, b := listen(t, vmCert(t, ca, "vm1", time.Now())), listen(t, vmCert(t, ca, "vm2", time.Now()))
	busy := make(chan struct{})
	b.handlers["busy"] = func(ctx context.Context, _ id.VM, _ []byte) ([]byte, error) {
		select {
		case <-busy:
		case <-ctx.Done():
		}
		return nil, nil
	}
	_, err := echo(a, b, "first")
	require.NoError(t, err)
	for range 5 {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		_, err := Call[string](ctx, a, b.Address(), "busy", "")
		cancel()
		require.ErrorIs(t, err, context.DeadlineExceeded)
	}
	close(busy)
	_, err = echo(a, b, "last")
	require.NoError(t, err)
	require.EqualValues(t, 1, a.Stats.Dialed.Load())
}

// A peer that lost power and is back says itself that it does not know the connections from before.
func TestRestartedPeerResetsConnections(t *testing.T) {
	ca := newCA(t, "fleet")
	ephemeral := func(vm id.VM) *cert.Store {
		s, err := cert.NewEphemeral(vm, "a", time.Now())
		require.NoError(t, err)
		return s
	}
	loaded := func(vm id.VM) func() *cert.Store {
		folder := vmCert(t, ca, vm, time.Now())
		return func() *cert.Store {
			s, err := cert.Load(folder)
			require.NoError(t, err)
			return s
		}
	}
	for name, certs := range map[string][2]func() *cert.Store{
		"certificates of the fleet": {loaded("vm1"), loaded("vm2")},
		"ephemeral":                 {func() *cert.Store { return ephemeral("vm1") }, func() *cert.Store { return ephemeral("vm2") }},
	} {
		t.Run(name, func(t *testing.T) {
			start := func(address string, s *cert.Store) *Transport {
				tr, err := New(address, s)
				require.NoError(t, err)
				Handle(tr, "echo", func(_ context.Context, _ id.VM, q string) (string, error) { return q, nil })
				go tr.Serve(t.Context())
				t.Cleanup(tr.Close)
				return tr
			}
			probe := start("127.0.0.1:0", certs[1]())
			address := probe.Address()
			probe.Close()
			a, b := start("127.0.0.1:0", certs[0]()), start(address, certs[1]())
			_, err := echo(a, b, "before")
			require.NoError(t, err)
			b.quic.Conn.Close() // without a word to the peers
			b = start(address, certs[1]())
			_, err = echo(a, b, "after")
			var reset *quic.StatelessResetError
			require.ErrorAs(t, err, &reset)
			_, err = echo(a, b, "again")
			require.NoError(t, err)
		})
	}
}
