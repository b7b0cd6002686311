// Package inbound accepts the connections of clients, as many as the memory and the descriptors of a VM allow. If there are too many, those
// that have waited longest for their clients are closed in favour of new ones.
package inbound

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/modules/memory"
	"wagtaillift/internal/modules/pause"
)

const (
	connBytes     = 16 << 10 // buffers, goroutine and small header of a connection
	smallHead     = 2 << 10  // bytes of a header that are part of connBytes
	maxHead       = 1 << 20  // more than the largest allowed header
	headCopies    = 2        // of a header, while it is parsed
	writeStep     = 64 << 10 // bytes of an answer after which its progress is noted
	receiveBuffer = 16 << 10 // of the kernel; it holds what has arrived and was not read, which counts as the VM's memory
	spareDivisor  = 8        // limit/spareDivisor connections are for those that come while others are being closed
	sweepInterval = time.Second
)

var start = time.Now()

func sinceStart() time.Duration { return time.Since(start) }

// Table holds the open connections of all addresses of a VM. The fields must be set before the first call.
type Table struct {
	Memory       *memory.Budget
	Patience     Patience
	BodyTimeout  time.Duration // for a body to arrive
	WriteTimeout time.Duration // without progress of an answer after which its connection is closed

	mu        sync.Mutex
	conns     map[*Conn]struct{}
	searchAt  time.Duration // before which there is nothing to close in favour of others
	listeners []*Listener
}

// Listener accepts the connections of one address.
type Listener struct {
	net.Listener
	name  string
	limit int                  // of open connections; zero is none
	idle  func() time.Duration // after which a connection between two requests is closed; zero is never
	table *Table

	searchAt time.Duration // like that of the table, under its lock

	open                            atomic.Int64
	refused, stalled, idled, unread atomic.Int64 // connections closed, by reason
}

// Listen listens on address. At most limit connections are open unless it is zero, and idle returns how long they may be kept without a request.
func (t *Table) Listen(name, address string, limit int, idle func() time.Duration) (*Listener, error) {
	cfg := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		controlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		if controlErr != nil {
			return controlErr
		}
		return errors.Annotate(err, "set the receive buffer")
	}}
	l, err := cfg.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "listen for %s on %s", name, address)
	}
	listener := &Listener{Listener: l, name: name, limit: limit, idle: idle, table: t}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listeners = append(t.listeners, listener)
	return listener, nil
}

// Accept implements net.Listener. Connections for which there is no room are closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(conn); c != nil {
			return c, nil
		}
		l.refused.Add(1)
		conn.Close()
	}
}

// admit returns the connection for conn, or nil if there is no room for it.
func (l *Listener) admit(conn net.Conn) *Conn {
	t := l.table
	open := int(l.open.Load()) + 1
	if l.limit > 0 && open > l.limit-l.limit/spareDivisor {
		t.closeStalled(sinceStart(), l, 1)
		if open > l.limit {
			return nil
		}
	}
	c := &Conn{Conn: conn, listener: l, hold: memory.Hold{Budget: t.Memory, Use: memory.Connection}}
	if !c.hold.Take(connBytes) && !(t.Reclaim(connBytes) && c.hold.Take(connBytes)) {
		return nil
	}
	c.touch()
	l.open.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns == nil {
		t.conns = map[*Conn]struct{}{}
	}
	t.conns[c] = struct{}{}
	return c
}

func (t *Table) remove(c *Conn) {
	c.listener.open.Add(-1)
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

// Reclaim closes stalled connections that hold so many bytes, or all of them, and reports whether there were any.
func (t *Table) Reclaim(bytes int64) bool { return t.closeStalled(sinceStart(), nil, bytes) }

// closeStalled closes stalled connections of l, or of all addresses, that hold so many bytes.
func (t *Table) closeStalled(now time.Duration, l *Listener, bytes int64) bool {
	t.mu.Lock()
	searchAt := &t.searchAt
	if l != nil {
		searchAt = &l.searchAt
	}
	if now < *searchAt {
		t.mu.Unlock()
		return false
	}
	var list []candidate
	for c := range t.conns {
		if l == nil || c.listener == l {
			if x, ok := c.candidate(); ok {
				list = append(list, x)
			}
		}
	}
	chosen, next := chooseStalled(now, t.Patience, list, bytes)
	*searchAt = next
	t.mu.Unlock()
	for _, x := range chosen {
		x.conn.listener.stalled.Add(1)
		x.conn.Close()
	}
	return len(chosen) > 0
}

// Run closes connections that are idle, or whose clients don't read their answers, until ctx ends.
func (t *Table) Run(ctx context.Context) {
	var logged int64
	pause.Every(ctx, sweepInterval, func() {
		t.sweep(sinceStart())
		if n := t.closedEarly(); n != logged {
			klog.InfoS("Connections of clients closed or refused", "count", n-logged)
			logged = n
		}
	})
}

func (t *Table) closedEarly() (n int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.listeners {
		n += l.refused.Load() + l.stalled.Load() + l.unread.Load()
	}
	return n
}

// sweep closes the connections that are overdue at now.
func (t *Table) sweep(now time.Duration) {
	t.mu.Lock()
	var idled, unread []*Conn
	for c := range t.conns {
		waited := now - time.Duration(c.progress.Load())
		switch idle := c.listener.idle(); {
		case c.writing.Load() && waited >= t.WriteTimeout:
			unread = append(unread, c)
		case phase(c.phase.Load()) == kept && !c.writing.Load() && idle > 0 && waited >= idle:
			idled = append(idled, c)
		}
	}
	t.mu.Unlock()
	for _, c := range idled {
		c.listener.idled.Add(1)
		c.Close()
	}
	for _, c := range unread {
		c.listener.unread.Add(1)
		c.Close()
	}
}

// WriteMetrics writes the open connections of each address, and those closed by reason.
func (t *Table) WriteMetrics(w io.Writer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.listeners {
		fmt.Fprintf(w, "wagtaillift_connections{address=%q} %d\n", l.name, l.open.Load())
		fmt.Fprintf(w, "wagtaillift_connections_limit{address=%q} %d\n", l.name, l.limit)
		for _, x := range []struct {
			reason string
			n      *atomic.Int64
		}{{"refused", &l.refused}, {"stalled", &l.stalled}, {"idle", &l.idled}, {"unread", &l.unread}} {
			fmt.Fprintf(w, "wagtaillift_connections_closed_total{address=%q,reason=%q} %d\n", l.name, x.reason, x.n.Load())
		}
	}
}
