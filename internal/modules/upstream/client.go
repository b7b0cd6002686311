// Package upstream is the HTTP client towards engines and applications. It knows, for each request, whether any byte
// of it reached a socket.
package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	dialTimeout     = time.Second
	idleConnTimeout = 30 * time.Second
	idlePerHost     = 64
	userTimeout     = 2 * time.Second // the kernel gives unacknowledged bytes up after this
	headerLimit     = 64 << 10
)

// Client sends requests to upstreams.
type Client struct {
	http *http.Client
}

// conn counts what is written, so that an error can be told from one before the first byte.
type conn struct {
	net.Conn
	written atomic.Int64
}

// Write counts the attempt before it is made: a failed write may have sent part.
func (c *conn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// New returns a client. It follows no redirects, uses no proxy and asks for no compression.
func New() *Client {
	d := &net.Dialer{Timeout: dialTimeout, Control: GiveUpAfter(userTimeout)}
	t := &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c}, nil
		},
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: headerLimit,
	}
	return &Client{http: &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// GiveUpAfter returns a dialer's control that bounds how long the kernel keeps bytes that are not acknowledged.
func GiveUpAfter(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var err error
		cerr := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if cerr != nil {
			return cerr
		}
		return err
	}
}

// Do sends r. Sent is false only where no byte of r was handed to a socket.
func (c *Client) Do(r *http.Request) (resp *http.Response, sent bool, err error) {
	var used atomic.Pointer[conn]
	var before atomic.Int64
	var unknown atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		cc, ok := info.Conn.(*conn)
		if !ok {
			unknown.Store(true)
			return
		}
		if old := used.Load(); old != nil && old.written.Load() > before.Load() {
			unknown.Store(true) // an earlier connection had taken bytes of this request
		}
		before.Store(cc.written.Load())
		used.Store(cc)
	}}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	resp, err = c.http.Do(r)
	if err == nil {
		return resp, true, nil
	}
	cc := used.Load()
	sent = unknown.Load() || cc != nil && cc.written.Load() > before.Load()
	return nil, sent, err
}

// CloseIdle closes the idle connections.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }
