// Package tunnel opens connections to upstreams through other VMs, for a VM that is cut off from the upstreams itself. The bytes of the
// connection are relayed unread, so that routing, limits and retries stay with the VM that has the caller.
package tunnel

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/peer"
	"wagtaillift/internal/modules/upstream"
)

const (
	methodConnect  = "connect"
	connectTimeout = 150 * time.Millisecond // of the VM that connects; a reachable upstream accepts within milliseconds
	stagger        = 40 * time.Millisecond  // after which the next VM is asked as well
	maxOpen        = 512                    // connections that a VM relays for others at a time
	refusalsNeeded = 2                      // VMs that must be refused before the upstream counts as refusing connections
)

// result is the outcome of an attempt to connect for another VM.
type result string

const (
	connected result = "connected"
	refused   result = "refused"   // the upstream refused the connection
	failed    result = "failed"    // the upstream was not reached
	cutOff    result = "cutoff"    // the VM that was asked is cut off itself
	declined  result = "declined"  // it relays too many connections, or is stopping
	unknown   result = "unknown"   // it knows no upstream at the address
	noAnswer  result = "no answer" // the VM did not answer
)

// errFailed means that no VM that was asked has connected.
const errFailed = errors.ConstError("no other VM reached the upstream")

// reply is the answer to a VM that asks for a connection.
type reply struct {
	Result result `cbor:"1,keyasint"`
}

// Service opens connections through other VMs, and for them. Its exported fields must be set before Register.
type Service struct {
	VM        id.VM
	Zone      id.Zone
	Transport *peer.Transport
	Dialer    *upstream.Dialer
	Members   func() map[id.VM]state.Member
	Entry     func(state.Member) bool   // reports whether a member sends requests to the same upstreams as this VM
	Known     func(address string) bool // reports whether an upstream has the address; no other address is connected to
	Stopping  func() bool

	open    atomic.Int64 // connections that are relayed for other VMs
	helpers helpers
}

// Register registers the peer method.
func (s *Service) Register() {
	peer.HandleTunnel(s.Transport, methodConnect, func(ctx context.Context, from id.VM, address string) (net.Conn, reply) {
		conn, r := s.connect(ctx, address)
		metrics.GetOrCreateCounter(`wagtaillift_relayed_connections_total{result="` + string(r) + `"}`).Inc()
		if r != connected {
			klog.V(1).InfoS("Connection for another VM failed", "from", from, "address", address, "result", r)
		}
		return conn, reply{Result: r}
	})
}

// Relaying returns the number of connections that are relayed for other VMs.
func (s *Service) Relaying() int64 { return s.open.Load() }

// connect opens a direct connection for another VM.
func (s *Service) connect(ctx context.Context, address string) (net.Conn, result) {
	if s.Stopping() || s.open.Load() >= maxOpen {
		return nil, declined
	}
	if !s.Known(address) {
		return nil, unknown
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := s.Dialer.DialDirect(ctx, address)
	switch {
	case err == nil:
		s.open.Add(1)
		return &countedConn{Conn: upstream.GuardEnd(conn), open: &s.open}, connected
	case s.Dialer.CutOff():
		return nil, cutOff
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, refused
	}
	return nil, failed
}

// countedConn is a connection that is counted until it is closed.
type countedConn struct {
	net.Conn
	open   *atomic.Int64
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	if !c.closed.Swap(true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}

// opened is the answer of one VM that was asked for a connection.
type opened struct {
	vm     id.VM
	conn   net.Conn
	result result
}

// Open opens a connection to address through another VM. It asks one VM after the other, the next one after a failure or stagger, and
// returns the first connection. The error is a refusal if several VMs were refused and none was not.
func (s *Service) Open(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	members := s.Members()
	list := s.helpers.order(clock.SinceBoot(), members, s.VM, s.Zone, address, s.Entry)
	if len(list) == 0 {
		return nil, upstream.ErrNoRelay
	}
	n := &search{answers: make(chan opened, len(list))}
	n.ask = func(vm id.VM) opened { return s.ask(ctx, members[vm], address) }
	defer func() { go n.closeLate() }()
	return s.search(ctx, n, list, address)
}

// search asks the VMs of list until one of them has connected to address.
func (s *Service) search(ctx context.Context, n *search, list []id.VM, address string) (net.Conn, error) {
	next := time.NewTimer(0)
	defer next.Stop()
	asked := 0
	for {
		select {
		case <-ctx.Done():
			return nil, errors.Annotatef(ctx.Err(), "connect to %s through other VMs", address)
		case <-next.C:
		case a := <-n.answers:
			n.pending--
			s.record(a)
			if a.result == connected {
				return a.conn, nil
			}
			if a.result == refused {
				n.refusals++
			}
		}
		if asked < len(list) {
			n.start(list[asked])
			asked++
			next.Reset(stagger)
		} else if n.pending == 0 {
			return nil, failure(address, len(list), n.refusals)
		}
	}
}

// search is the state of an attempt to connect through other VMs.
type search struct {
	ask      func(id.VM) opened
	answers  chan opened
	pending  int // VMs that have not answered yet
	refusals int
}

// start asks vm.
func (n *search) start(vm id.VM) {
	n.pending++
	go func() { n.answers <- n.ask(vm) }()
}

// closeLate closes the connections that come about after the end of the search.
func (n *search) closeLate() {
	for range n.pending {
		if a := <-n.answers; a.conn != nil {
			a.conn.Close()
		}
	}
}

// failure returns the error after all of the VMs that were asked have failed.
func failure(address string, asked, refusals int) error {
	if refusals >= min(asked, refusalsNeeded) {
		return errors.Annotatef(syscall.ECONNREFUSED, "connect to %s through %d other VMs", address, asked)
	}
	return errors.Annotatef(errFailed, "connect to %s through %d other VMs", address, asked)
}

// record keeps the result for the choice of the VM that is asked next.
func (s *Service) record(a opened) {
	if a.result != refused {
		s.helpers.record(clock.SinceBoot(), a.vm, a.result == connected)
	}
	metrics.GetOrCreateCounter(`wagtaillift_tunnels_total{result="` + string(a.result) + `"}`).Inc()
}

// ask asks one VM for a connection.
func (s *Service) ask(ctx context.Context, m state.Member, address string) opened {
	conn, r, err := peer.OpenTunnel[reply](ctx, s.Transport, m.Peer, methodConnect, address)
	if err != nil {
		if ctx.Err() == nil {
			klog.InfoS("Connection through another VM failed", "peer", m.VM, "address", address, "err", err)
		}
		return opened{vm: m.VM, result: noAnswer}
	}
	if r.Result != connected {
		conn.Close()
		conn = nil
	}
	return opened{vm: m.VM, conn: conn, result: r.Result}
}
