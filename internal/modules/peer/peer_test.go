package peer

import (
	"context"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"wagtaillift/internal/modules/cert"
	"wagtaillift/internal/modules/id"
)

// vmCert returns a folder with a certificate for vm, issued by the CA in folder ca and valid for an hour from at.
func vmCert(t *testing.T, ca string, vm id.VM, at time.Time) string {
	t.Helper()
	folder := filepath.Join(t.TempDir(), string(vm))
	require.NoError(t, cert.NewVM(ca, folder, vm, "a", at, time.Hour))
	return folder
}

// newCA returns a folder with a new CA for fleet.
func newCA(t *testing.T, fleet string) string {
	t.Helper()
	folder := filepath.Join(t.TempDir(), "ca")
	require.NoError(t, cert.NewCA(folder, fleet, time.Now().Add(-48*time.Hour), 96*time.Hour))
	return folder
}

// listen returns a transport that serves an echo method, and a method for tunnels to any address, with the certificate in folder.
func listen(t *testing.T, folder string) *Transport {
	t.Helper()
	certs, err := cert.Load(folder)
	require.NoError(t, err)
	tr, err := New("127.0.0.1:0", certs)
	require.NoError(t, err)
	Handle(tr, "echo", func(_ context.Context, from id.VM, q string) (string, error) {
		if q == "" {
			return "", errors.NotValidf("empty text")
		}
		return string(from) + ":" + q, nil
	})
	HandleTunnel(tr, "open", func(_ context.Context, _ id.VM, to string) (net.Conn, string) {
		c, err := net.Dial("tcp", to)
		if err != nil {
			return nil, err.Error()
		}
		return c, "opened"
	})
	ctx, cancel := context.WithCancel(context.Background())
	go tr.Serve(ctx)
	t.Cleanup(func() {
		cancel()
		tr.Close()
	})
	return tr
}

func echo(from, to *Transport, text string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return Call[string](ctx, from, to.Address(), "echo", text)
}

func TestCall(t *testing.T) {
	ca := newCA(t, "fleet")
	a, b := listen(t, vmCert(t, ca, "vm1", time.Now())), listen(t, vmCert(t, ca, "vm2", time.Now()))
	got, err := echo(a, b, "hi")
	require.NoError(t, err)
	require.Equal(t, "vm1:hi", got)
	t.Run("handler error includes the address", func(t *testing.T) {
		_, err := echo(a, b, "")
		var remote *RemoteError
		require.ErrorAs(t, err, &remote)
		require.Equal(t, b.Address(), remote.Address)
	})
	t.Run("call from a closed transport", func(t *testing.T) {
		b.Close()
		_, err := echo(b, a, "x")
		require.Error(t, err)
	})
}

// TestInvalidCertificateIsRejected checks both call directions between a valid VM and one with an invalid certificate.
func TestInvalidCertificateIsRejected(t *testing.T) {
	ca := newCA(t, "fleet")
	a := listen(t, vmCert(t, ca, "vm1", time.Now()))
	for name, folder := range map[string]string{
		"another fleet": vmCert(t, newCA(t, "other"), "vm2", time.Now()),
		"expired":       vmCert(t, ca, "vm2", time.Now().Add(-24*time.Hour)),
		"not yet valid": vmCert(t, ca, "vm2", time.Now().Add(24*time.Hour)),
	} {
		t.Run(name, func(t *testing.T) {
			other := listen(t, folder)
			_, err := echo(other, a, "hi")
			require.ErrorContains(t, err, "echo at")
			_, err = echo(a, other, "hi")
			require.ErrorIs(t, err, ErrUnreachable)
		})
	}
}

// TestRenewedCertificateLoads checks that a running transport uses a certificate that replaces an expired one on disk.
func TestRenewedCertificateLoads(t *testing.T) {
	ca := newCA(t, "fleet")
	a := listen(t, vmCert(t, ca, "vm1", time.Now()))
	folder := vmCert(t, ca, "vm2", time.Now().Add(-24*time.Hour))
	b := listen(t, folder)
	_, err := echo(b, a, "hi")
	require.Error(t, err)
	require.NoError(t, cert.NewVM(ca, folder, "vm2", "a", time.Now(), time.Hour))
	time.Sleep(2 * minRedialInterval)
	got, err := echo(b, a, "hi")
	require.NoError(t, err)
	require.Equal(t, "vm2:hi", got)
}

// A call whose caller has gone must not fail the calls of others to the same VM.
func TestCancelledCallDoesNotFailOthers(t *testing.T) {
	ca := newCA(t, "fleet")
	a, b := listen(t, vmCert(t, ca, "vm1", time.Now())), listen(t, vmCert(t, ca, "vm2", time.Now()))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := Call[string](ctx, a, b.Address(), "echo", "gone")
	require.Error(t, err)
	got, err := echo(a, b, "hi")
	require.NoError(t, err)
	require.Equal(t, "vm1:hi", got)
}

// Connections that carried nothing for a while are closed, and not while a call or a tunnel uses them.
func TestUnusedConnectionIsClosed(t *testing.T) {
	ca := newCA(t, "one")
	a, b := listen(t, vmCert(t, ca, "vm1", time.Now())), listen(t, vmCert(t, ca, "vm2", time.Now()))
	echo := func() {
		_, err := Call[string](t.Context(), a, b.Address(), "echo", "x")
		require.NoError(t, err)
	}
	open := func() bool { return a.connection(b.Address()).conn != nil }
	echo()
	a.closeUnused(time.Now().Add(unusedTimeout / 2))
	require.True(t, open())
	tunnel, _, err := OpenTunnel[string](t.Context(), a, b.Address(), "open", b.Address())
	require.NoError(t, err)
	a.closeUnused(time.Now().Add(2 * unusedTimeout))
	require.True(t, open(), "a tunnel uses it")
	tunnel.Close()
	a.closeUnused(time.Now().Add(2 * unusedTimeout))
	require.False(t, open())
	echo()
	require.True(t, open())
}
