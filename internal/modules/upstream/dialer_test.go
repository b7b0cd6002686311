package upstream

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

var errRefused = &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}

// way is one of the two ways to connect, and counts its connections.
type way struct {
	err    error
	hangs  bool
	dials  int
	opened []net.Conn
}

func (w *way) dial(ctx context.Context, _ string) (net.Conn, error) {
	w.dials++
	if w.hangs {
		<-ctx.Done()
		return nil, os.ErrDeadlineExceeded
	}
	if w.err != nil {
		return nil, w.err
	}
	near, far := net.Pipe()
	w.opened = append(w.opened, near)
	go far.Close()
	return near, nil
}

// A VM connects through another one if it does not reach the upstream itself, and only then.
func TestDialFallsBackToAnotherVM(t *testing.T) {
	const timeout = 300 * time.Millisecond
	lost := errors.New("no VM reached it")
	for name, c := range map[string]struct {
		direct, relay way
		relayed       bool
		refused       bool // the error is a refusal; only if neither way connects
	}{
		"reached directly":                        {direct: way{}, relay: way{err: lost}},
		"hangs":                                   {direct: way{hangs: true}, relay: way{}, relayed: true},
		"refused by the network":                  {direct: way{err: errRefused}, relay: way{}, relayed: true},
		"refused everywhere":                      {direct: way{err: errRefused}, relay: way{err: errRefused}, refused: true},
		"refused, and not confirmed":              {direct: way{err: errRefused}, relay: way{err: lost}},
		"refused, and other VMs hang":             {direct: way{err: errRefused}, relay: way{hangs: true}},
		"refused, and there is no other VM":       {direct: way{err: errRefused}, relay: way{err: ErrNoRelay}, refused: true},
		"hangs, and other VMs are refused":        {direct: way{hangs: true}, relay: way{err: errRefused}},
		"hangs, and other VMs do not reach it":    {direct: way{hangs: true}, relay: way{err: lost}},
		"hangs, and connections of other VMs too": {direct: way{hangs: true}, relay: way{hangs: true}},
	} {
		t.Run(name, func(t *testing.T) {
			d := &Dialer{Direct: c.direct.dial, Relay: c.relay.dial}
			conn, err := d.Dial(context.Background(), "address", timeout)
			if c.direct.err == nil && !c.direct.hangs {
				require.NoError(t, err)
				require.Equal(t, c.direct.opened[0], conn)
				require.Zero(t, c.relay.dials)
				require.False(t, d.CutOff())
				return
			}
			if c.relayed {
				require.NoError(t, err)
				require.Equal(t, c.relay.opened[0], conn)
				require.True(t, d.CutOff())
				return
			}
			require.Error(t, err)
			require.Equal(t, c.refused, errors.Is(err, syscall.ECONNREFUSED), "%v", err)
		})
	}
}

// Once a VM knows that it is cut off, the other VMs are asked without a delay, until the direct way works again.
func TestDialKnowsThatItIsCutOff(t *testing.T) {
	direct, relay := way{hangs: true}, way{}
	d := &Dialer{Direct: direct.dial, Relay: relay.dial}
	require.Equal(t, relayDelay, d.delay())
	_, err := d.Dial(context.Background(), "address", time.Second)
	require.NoError(t, err)
	require.Zero(t, d.delay())
	d.finish(dialed{}, "address")
	require.Equal(t, relayDelay, d.delay())
}
