// Package upstream is the HTTP client for engines and applications. For each request it reports whether any byte of it
// was handed to a socket.
package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	dialTimeout            = time.Second
	idleConnTimeout        = 30 * time.Second
	maxIdlePerHost         = 64
	maxResponseHeaderBytes = 64 << 10
	writtenTimeout         = 500 * time.Millisecond // until the write of a request that an upstream has received returns
)

// Client sends requests to upstreams.
type Client struct {
	http  *http.Client
	probe *http.Client // opens a connection for each request
}

// countingConn counts the bytes written, so that an error after the first byte can be distinguished from one before it.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write counts the bytes before it writes them: a failed write may have sent some of them.
func (c *countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// New returns a client that opens connections with d, follows no redirects, uses no proxy and requests no compression.
func New(d *Dialer) *Client {
	t := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			c, err := d.Dial(ctx, address, dialTimeout)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: GuardEnd(c)}, nil
		},
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	single := t.Clone()
	single.DisableKeepAlives = true
	return &Client{http: newHTTPClient(t), probe: newHTTPClient(single)}
}

func newHTTPClient(t *http.Transport) *http.Client {
	return &http.Client{Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// Probe sends r on a connection of its own, so that its answer cannot be taken for a late answer to an earlier request.
func (c *Client) Probe(r *http.Request) (*http.Response, error) { return Exchange(c.probe, r) }

// TCPUserTimeout returns a net.Dialer.Control function that sets TCP_USER_TIMEOUT, which limits how long sent bytes may
// remain unacknowledged.
func TCPUserTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
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

// Do sends r. Sent is false only if no byte of r was handed to a socket.
func (c *Client) Do(r *http.Request) (resp *http.Response, sent bool, err error) {
	var current atomic.Pointer[countingConn]
	var writtenBefore atomic.Int64 // bytes written to the current connection before this request
	var maybeSent atomic.Bool      // whether bytes may have been written that the count of the current connection doesn't include
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		cc, ok := info.Conn.(*countingConn)
		if !ok {
			maybeSent.Store(true)
			return
		}
		if old := current.Load(); old != nil && old.written.Load() > writtenBefore.Load() {
			maybeSent.Store(true) // bytes of this request were written to an earlier connection
		}
		writtenBefore.Store(cc.written.Load())
		current.Store(cc)
	}}
	var written chan error // receives the result of writing a request with a body
	if r.Body != nil && r.Body != http.NoBody {
		written = make(chan error, 1)
		trace.WroteRequest = func(info httptrace.WroteRequestInfo) {
			select {
			case written <- info.Err:
			default:
			}
		}
	}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	resp, err = Exchange(c.http, r)
	if err == nil {
		if b, ok := resp.Body.(*body); ok && written != nil && !framed(resp) {
			b.checkClose = func() error { return awaitWritten(written) }
		}
		return resp, true, nil
	}
	cc := current.Load()
	sent = maybeSent.Load() || cc != nil && cc.written.Load() > writtenBefore.Load()
	return nil, sent, err
}

// awaitWritten returns an error unless written receives the result of a complete write soon.
func awaitWritten(written <-chan error) error {
	select {
	case err := <-written:
		if err != nil {
			return errors.WithType(err, errEarlyEnd)
		}
		return nil
	case <-time.After(writtenTimeout):
		return errEarlyEnd
	}
}

// CloseIdle closes the idle connections.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }
