package vm

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// cutKind is how a cut between a VM and all upstreams behaves.
type cutKind string

const (
	connected    cutKind = ""
	cutHangs     cutKind = "connections hang, new ones too"
	cutResets    cutKind = "connections are reset, new ones hang"
	cutRefuses   cutKind = "connections are reset, new ones are refused"
	cutKeepsOpen cutKind = "connections live on, new ones are refused"
)

// silenceLimit is the time after which the kernel ends a connection to a silent peer, by TCP_USER_TIMEOUT.
const silenceLimit = 2 * time.Second

// link is the network between one VM and all upstreams.
type link struct {
	mu    sync.Mutex
	kind  cutKind
	conns map[*linkConn]bool
}

// linkConn is one connection over a link.
type linkConn struct {
	*net.TCPConn
	link *link
	hung chan struct{} // closed once the connection hangs
}

// dial is an upstream.Dialer.Direct.
func (l *link) dial(ctx context.Context, address string) (net.Conn, error) {
	l.mu.Lock()
	kind := l.kind
	l.mu.Unlock()
	switch kind {
	case cutHangs, cutResets:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	case cutRefuses, cutKeepsOpen:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn := &linkConn{TCPConn: c.(*net.TCPConn), link: l, hung: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = map[*linkConn]bool{}
	}
	l.conns[conn] = true
	return conn, nil
}

// cut begins a cut; connected ends it.
func (l *link) cut(kind cutKind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kind = kind
	for c := range l.conns {
		switch kind {
		case cutHangs:
			close(c.hung)
			time.AfterFunc(silenceLimit, func() { c.TCPConn.Close() })
		case cutResets, cutRefuses:
			c.SetLinger(0)
			c.TCPConn.Close()
		case connected, cutKeepsOpen:
			continue
		}
		delete(l.conns, c)
	}
}

// Read implements net.Conn.
func (c *linkConn) Read(p []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(p)
		select {
		case <-c.hung:
			if err == nil {
				continue // the bytes are lost
			}
			return 0, os.NewSyscallError("read", syscall.ETIMEDOUT)
		default:
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *linkConn) Write(p []byte) (int, error) {
	select {
	case <-c.hung:
		return len(p), nil
	default:
		return c.TCPConn.Write(p)
	}
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.link.mu.Lock()
	delete(c.link.conns, c)
	c.link.mu.Unlock()
	return c.TCPConn.Close()
}
