package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// tunnelTo opens a tunnel from one VM through another one to a connection whose far end is returned.
func tunnelTo(t *testing.T) (near net.Conn, far *net.TCPConn) {
	near, far, _ = tunnelThrough(t)
	return near, far
}

// tunnelThrough returns the other VM as well.
func tunnelThrough(t *testing.T) (near net.Conn, far *net.TCPConn, through *Transport) {
	ca := newCA(t, "fleet")
	from, to := listen(t, vmCert(t, ca, "vm1", time.Now())), listen(t, vmCert(t, ca, "vm2", time.Now()))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	near, a, err := OpenTunnel[string](context.Background(), from, to.Address(), "open", l.Addr().String())
	require.NoError(t, err)
	require.Equal(t, "opened", a)
	c, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { near.Close(); c.Close() })
	near.SetDeadline(time.Now().Add(10 * time.Second))
	c.SetDeadline(time.Now().Add(10 * time.Second))
	return near, c.(*net.TCPConn), to
}

// The loss of the VM in between, in the middle of an answer that nothing but its close would end, is no end.
func TestTunnelThroughALostVM(t *testing.T) {
	for name, lose := range map[string]func(through *Transport){
		"it ends":                      func(through *Transport) { through.Close() },
		"it ends and sends no word":    func(through *Transport) { through.quic.Conn.Close() },
		"it ends without its listener": func(through *Transport) { through.quic.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			near, far, through := tunnelThrough(t)
			_, err := far.Write([]byte("half an answer"))
			require.NoError(t, err)
			got := make([]byte, len("half an answer"))
			_, err = io.ReadFull(near, got)
			require.NoError(t, err)
			near.SetDeadline(time.Now().Add(time.Minute))
			lose(through)
			rest, err := io.ReadAll(near)
			require.Error(t, err)
			require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
			require.Empty(t, rest)
		})
	}
}

func TestTunnel(t *testing.T) {
	t.Run("bytes pass in both directions", func(t *testing.T) {
		near, far := tunnelTo(t)
		sent := bytes.Repeat([]byte("0123456789"), 100_000)
		go near.Write(sent)
		got := make([]byte, len(sent))
		_, err := io.ReadFull(far, got)
		require.NoError(t, err)
		require.Equal(t, sent, got)
		go far.Write(sent)
		_, err = io.ReadFull(near, got)
		require.NoError(t, err)
		require.Equal(t, sent, got)
	})
	t.Run("the end of the connection is an end", func(t *testing.T) {
		near, far := tunnelTo(t)
		far.Write([]byte("last"))
		far.Close()
		got, err := io.ReadAll(near)
		require.NoError(t, err)
		require.Equal(t, "last", string(got))
	})
	t.Run("a reset connection is an error, not an end", func(t *testing.T) {
		near, far := tunnelTo(t)
		far.SetLinger(0)
		far.Close()
		_, err := io.ReadAll(near)
		require.Error(t, err)
	})
	t.Run("closing closes the connection", func(t *testing.T) {
		near, far := tunnelTo(t)
		near.Write([]byte("request"))
		_, err := io.ReadFull(far, make([]byte, len("request")))
		require.NoError(t, err)
		near.Close()
		_, err = far.Read(make([]byte, 1))
		require.Error(t, err)
		var timeout net.Error
		require.False(t, errors.As(err, &timeout) && timeout.Timeout())
	})
}
