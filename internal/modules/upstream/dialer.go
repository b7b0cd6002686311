package upstream

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"k8s.io/klog/v2"
)

const (
	keepAliveInterval = time.Second // of TCP keep-alive probes
	keepAliveProbes   = 2
	tcpUserTimeout    = 2 * time.Second // the kernel closes a connection whose bytes stay unacknowledged this long
)

// relayDelay is how long a direct connection attempt may take before another VM is asked to connect as well. A connection inside a
// region is open within a few milliseconds.
const relayDelay = 50 * time.Millisecond

// Dialer opens connections to upstreams, through another VM if this one does not reach them. Both ways race, with a delay for the second
// one (Happy Eyeballs, RFC 8305). The zero value and nil open direct TCP connections only.
type Dialer struct {
	// Direct opens a connection without the help of another VM. Nil opens a TCP connection.
	Direct func(ctx context.Context, address string) (net.Conn, error)
	// Relay opens a connection through another VM. Nil if there is none.
	Relay func(ctx context.Context, address string) (net.Conn, error)

	cutOff atomic.Bool
}

// dialed is the result of one of the two ways to connect.
type dialed struct {
	conn    net.Conn
	err     error
	relayed bool
}

// CutOff reports whether the last connection came about through another VM because the direct way failed.
func (d *Dialer) CutOff() bool { return d.cutOff.Load() }

// Dial opens a connection to address within timeout. The error is a refusal only if both ways were refused.
func (d *Dialer) Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if d == nil || d.Relay == nil {
		return d.DialDirect(ctx, address)
	}
	return d.race(ctx, address)
}

// race returns the first connection that one of the ways opens. The relayed way starts after a delay, or when the direct one fails.
func (d *Dialer) race(ctx context.Context, address string) (net.Conn, error) {
	results := make(chan dialed, 2)
	start := func(relayed bool, open func(context.Context, string) (net.Conn, error)) {
		go func() {
			conn, err := open(ctx, address)
			results <- dialed{conn, err, relayed}
		}()
	}
	start(false, d.DialDirect)
	first, ended := awaitDirect(results, d.delay())
	if ended && first.err == nil {
		return d.finish(first, address)
	}
	start(true, d.Relay)
	if !ended {
		first = <-results
	}
	if first.err == nil {
		go closeLate(results)
		return d.finish(first, address)
	}
	second := <-results
	if second.err == nil {
		return d.finish(second, address)
	}
	if first.relayed {
		first, second = second, first
	}
	return nil, combine(first.err, second.err)
}

// awaitDirect waits for the result of the direct way for at most delay.
func awaitDirect(results <-chan dialed, delay time.Duration) (r dialed, ended bool) {
	timeout := time.NewTimer(delay)
	defer timeout.Stop()
	select {
	case r = <-results:
		return r, true
	case <-timeout.C:
		return r, false
	}
}

// delay returns how long the relayed way waits for the direct one.
func (d *Dialer) delay() time.Duration {
	if d.CutOff() {
		return 0
	}
	return relayDelay
}

// finish returns the result of a dial, and keeps whether the direct way works.
func (d *Dialer) finish(r dialed, address string) (net.Conn, error) {
	if r.err == nil && d.cutOff.Swap(r.relayed) != r.relayed {
		logChange(r, address)
	}
	return r.conn, r.err
}

func logChange(r dialed, address string) {
	if r.relayed {
		klog.InfoS("Upstream reached only through another VM", "address", address)
	} else {
		klog.InfoS("Upstream reached directly again", "address", address)
	}
}

// DialDirect opens a connection without the help of another VM, and counts the result.
func (d *Dialer) DialDirect(ctx context.Context, address string) (net.Conn, error) {
	dial := dialTCP
	if d != nil && d.Direct != nil {
		dial = d.Direct
	}
	conn, err := dial(ctx, address)
	metrics.GetOrCreateCounter(`wagtaillift_upstream_dials_total{result="` + dialResult(err) + `"}`).Inc()
	return conn, err
}

// closeLate closes the connection that comes about after another one was chosen.
func closeLate(results <-chan dialed) {
	if r := <-results; r.err == nil {
		r.conn.Close()
	}
}

// errNotReached hides a refusal of the direct way that other VMs did not confirm: the refusal may come from the network.
const errNotReached = errors.ConstError("the upstream was not reached")

// combine returns the error of a dial of which both ways failed.
func combine(direct, relayed error) error {
	unconfirmed := errors.Is(direct, syscall.ECONNREFUSED) && !errors.Is(relayed, syscall.ECONNREFUSED)
	if unconfirmed && !errors.Is(relayed, ErrNoRelay) {
		return errors.WithType(errors.Annotate(relayed, "refused directly"), errNotReached)
	}
	return direct
}

// ErrNoRelay means that no other VM could be asked to connect.
const ErrNoRelay = errors.ConstError("there is no other VM to connect through")

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
