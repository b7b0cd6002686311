package upstream

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// errEarlyEnd means that an answer whose end is not marked ended before the upstream had taken the whole request. A write that fails takes
// the error that the kernel keeps for the connection, so that after a reset a read may meet a clean end; and the connection of a process
// that ends is closed cleanly if all that had arrived was read.
const errEarlyEnd = errors.ConstError("the upstream closed the connection before it took the request")

// guardedConn is a connection whose end is an error unless the peer has taken all that was written.
type guardedConn struct {
	net.Conn
	mu     sync.Mutex // held during a write
	failed bool       // a write has failed
}

// GuardEnd returns c with reads that fail, in place of io.EOF, unless the peer has acknowledged all that was written.
func GuardEnd(c net.Conn) net.Conn { return &guardedConn{Conn: c} }

// Read implements net.Conn.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.end()
	}
	return n, err
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.failed = c.failed || err != nil
	return n, err
}

// past is a deadline that ends what waits.
var past = time.Unix(1, 0)

// end returns io.EOF if the peer has acknowledged all that was written.
func (c *guardedConn) end() error {
	c.SetWriteDeadline(past)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed || unacknowledged(c.Conn) > 0 {
		return errEarlyEnd
	}
	return io.EOF
}

// unacknowledged returns the number of bytes in c's send buffer; zero if it is not known.
func unacknowledged(c net.Conn) (n int) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) {
		if v, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			n = v
		}
	})
	return n
}
