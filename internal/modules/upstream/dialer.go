package upstream

import (
	"context"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
)

const (
	keepAliveInterval = time.Second // of TCP keep-alive probes
	keepAliveProbes   = 2
	tcpUserTimeout    = 2 * time.Second // the kernel closes a connection whose bytes stay unacknowledged this long
)

// Dialer opens connections to upstreams. The zero value and nil open TCP connections.
type Dialer struct {
	// Direct opens a connection without the help of another VM. Nil opens a TCP connection.
	Direct func(ctx context.Context, address string) (net.Conn, error)
}

// Dial opens a connection to address within timeout.
func (d *Dialer) Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return d.direct(ctx, address)
}

// direct opens a connection without the help of another VM, and counts the result.
func (d *Dialer) direct(ctx context.Context, address string) (net.Conn, error) {
	dial := dialTCP
	if d != nil && d.Direct != nil {
		dial = d.Direct
	}
	conn, err := dial(ctx, address)
	metrics.GetOrCreateCounter(`wagtaillift_upstream_dials_total{result="` + dialResult(err) + `"}`).Inc()
	return conn, err
}

// dialTCP opens a TCP connection that ends soon after the upstream falls silent.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	n := &net.Dialer{Control: TCPUserTimeout(tcpUserTimeout), KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
	}}
	return n.DialContext(ctx, "tcp", address)
}

// dialResult returns the result of a dial, as in metrics.
func dialResult(err error) string {
	switch {
	case err == nil:
		return "connected"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded), errors.Is(err, syscall.ETIMEDOUT):
		return "timeout"
	case errors.Is(err, context.Canceled):
		return "cancelled"
	}
	return "failed"
}
