package inbound

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"wagtaillift/internal/modules/memory"
)

// phase is what a connection does.
type phase int32

const (
	waiting phase = iota // for the first byte of its first request
	head                 // a header has begun
	running              // a handler runs
	body                 // a handler waits for bytes of the body
	kept                 // between two requests
)

// Conn is a client's connection.
type Conn struct {
	net.Conn
	listener *Listener
	phase    atomic.Int32
	progress atomic.Int64 // time.Duration of the latest bytes in either direction
	writing  atomic.Bool
	told     atomic.Int64 // length of the body that is received
	received atomic.Int64 // bytes of the request

	mu     sync.Mutex
	hold   memory.Hold // for the connection and its header
	closed bool
}

func (c *Conn) setPhase(p phase) { c.phase.Store(int32(p)) }

func (c *Conn) touch() { c.progress.Store(int64(sinceStart())) }

// Read implements net.Conn. Bytes of a header take room before they are parsed.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.touch()
	switch phase(c.phase.Load()) {
	case waiting, kept:
		c.received.Store(0)
		c.setPhase(head)
		fallthrough
	case head:
		if !c.takeHead(c.received.Load(), int64(n)) {
			c.listener.refused.Add(1)
			c.Close()
			return 0, errors.WithType(errors.Errorf("no memory for a header from %s", c.RemoteAddr()), memory.ErrNoRoom)
		}
	}
	c.received.Add(int64(n))
	return n, err
}

// takeHead takes room for n bytes of a header of which old have been received. The first ones are in the room of the connection.
func (c *Conn) takeHead(old, n int64) bool {
	large := func(n int64) int64 { return headCopies * min(max(0, n-smallHead), maxHead) }
	n = large(old+n) - large(old)
	if n == 0 {
		return true
	}
	take := func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return !c.closed && c.hold.Take(n)
	}
	return take() || c.listener.table.Reclaim(n) && take()
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (written int, err error) {
	c.touch()
	c.writing.Store(true)
	defer c.writing.Store(false)
	for {
		n, err := c.Conn.Write(p[written:min(len(p), written+writeStep)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
		c.touch()
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	c.mu.Unlock()
	if first {
		c.listener.table.remove(c)
		c.hold.Release()
	}
	return c.Conn.Close()
}

// CloseWrite lets net/http send the end of the last answer before it closes the connection.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// begin marks the begin of a handler.
func (c *Conn) begin(length int64) {
	c.told.Store(length)
	c.touch()
	c.setPhase(running)
}

// end marks the end of a handler.
func (c *Conn) end() {
	c.mu.Lock()
	if n := c.hold.Held() - connBytes; n > 0 && !c.closed {
		c.hold.Give(n)
	}
	c.mu.Unlock()
	c.told.Store(0)
	c.received.Store(0)
	c.touch()
	c.setPhase(kept)
}

// bodyReader marks the times at which a handler waits for the body.
type bodyReader struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader. The deadline ends with the body, since net/http reads on beside the handler.
func (b *bodyReader) Read(p []byte) (int, error) {
	b.conn.touch()
	b.conn.setPhase(body)
	n, err := b.ReadCloser.Read(p)
	b.conn.setPhase(running)
	if errors.Is(err, io.EOF) {
		b.conn.SetReadDeadline(time.Time{})
	}
	return n, err
}

type connKey struct{}

// ConnContext is the function of the same name of an http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Handler returns h for connections of l. A body must arrive within the table's time unless h sets another deadline, also one that h doesn't read.
func (l *Listener) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		c.begin(r.ContentLength)
		defer c.end()
		if r.ContentLength != 0 {
			c.SetReadDeadline(time.Now().Add(l.table.BodyTimeout))
			own := *r // net/http must find its own body in r to let a client read an answer that comes before the end of the body
			own.Body = &bodyReader{r.Body, c}
			r = &own
		}
		h.ServeHTTP(w, r)
	})
}
