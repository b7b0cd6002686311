package vm

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A planned stop closes no connection on which a caller may just be sending: what comes while the VM is still in rotation is answered, and the
// answer says that the connection ends.
func TestStopAnswersOnIdleConnections(t *testing.T) {
	f := newFleet(t, 1)
	v := f.vms[0]
	v.cfg.Shutdown.RefuseDelay = 300 * time.Millisecond
	conn, err := net.Dial("tcp", v.listeners[endpointCaller].Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	r := bufio.NewReader(conn)
	ask := func() *http.Response {
		_, err := io.WriteString(conn, "GET /nowhere HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		return resp
	}
	require.False(t, ask().Close)
	go f.stops[0]()
	f.waitUntil("the VM stops", v.unhealthy.Load)
	time.Sleep(20 * time.Millisecond)
	resp := ask()
	require.Equal(t, http.StatusNotFound, resp.StatusCode)
	require.True(t, resp.Close)
}
