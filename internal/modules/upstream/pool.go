package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	poolDial     = 400 * time.Millisecond // another upstream is asked sooner than a lost opening packet is sent again
	poolIdle     = 20 * time.Second       // for upstreams that name no time
	idleMargin   = time.Second            // a connection this close to the upstream's idle timeout is not used again
	probeEvery   = time.Second            // of the kernel, on silent connections
	probeCount   = 2
	inlineBytes  = 8 << 10 // a longer request is written while its answer may already be read
	readerBytes  = 4 << 10
	mostForeign  = 2 // answers to earlier requests that are skipped before the connection is given up
	mostInterims = 4 // 1xx answers
)

// Errors of a Pool that callers tell apart.
const (
	ErrBusy    = errors.ConstError("the upstream has as many connections as this VM may open")
	ErrForeign = errors.ConstError("the answer belongs to another request")
	ErrBarred  = errors.ConstError("the request was held back at its write")
)

// Pool keeps connections to upstreams. Each carries one request at a time, and no request is ever sent twice: a kept
// connection that has ended is found out before the write. The zero value is ready.
type Pool struct {
	Opened atomic.Int64 // connections opened so far

	mu    sync.Mutex
	hosts map[string]*host
}

// host is the connections to one address.
type host struct {
	idle []*link // the latest used last
	open int
}

// link is one connection.
type link struct {
	pool    *Pool
	address string
	conn    net.Conn
	r       *bufio.Reader
	used    time.Time     // when it became idle
	life    time.Duration // how long it may be idle
	dirty   bool          // bytes that belong to no request may follow
	once    sync.Once
}

// Message is one request as it is written.
type Message struct {
	Method string
	Target string // origin form
	Host   string
	Header http.Header
	Body   []byte
	Framed bool // a length is written even where Body is empty

	// Own reports whether an answer belongs to this request; nil takes any.
	Own func(h http.Header) bool
	// Allow is asked right before the write; false holds the request back. Nil allows it.
	Allow func() bool
}

// Reply is the start of an answer. Body is read to its end and Finish called, or Close is.
type Reply struct {
	*http.Response
	link    *link
	stop    func() bool
	written chan error // nil where the request was written before the answer was read
}

// Do sends m to address on one of at most most connections. Sent is false only where no byte was handed to a socket.
// The end of ctx closes the connection.
func (p *Pool) Do(ctx context.Context, address string, most int, m *Message) (r *Reply, sent bool, err error) {
	l, err := p.take(ctx, address, most)
	if err != nil {
		return nil, false, errors.Annotatef(err, "connect to %s", address)
	}
	if m.Allow != nil && !m.Allow() {
		p.put(l)
		return nil, false, ErrBarred
	}
	stop := context.AfterFunc(ctx, l.close)
	r = &Reply{link: l, stop: stop}
	if err := r.write(m); err != nil {
		r.Close()
		return nil, true, errors.Annotatef(cause(ctx, err), "write to %s", address)
	}
	if r.Response, err = l.read(m); err != nil {
		r.Close()
		return nil, true, errors.Annotatef(cause(ctx, err), "read from %s", address)
	}
	return r, true, nil
}

// cause returns why ctx ended where that is what closed the connection.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// write sends m; a long one is sent while the answer is awaited, as upstreams may answer before they have read it.
func (r *Reply) write(m *Message) error {
	data := m.encode()
	if len(data) <= inlineBytes {
		_, err := r.link.conn.Write(data)
		return err
	}
	r.written = make(chan error, 1)
	go func() {
		_, err := r.link.conn.Write(data)
		r.written <- err
	}()
	return nil
}

func (m *Message) encode() []byte {
	b := make([]byte, 0, 512+len(m.Body))
	b = append(b, m.Method...)
	b = append(b, ' ')
	b = append(b, m.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, m.Host...)
	b = append(b, "\r\n"...)
	for k, list := range m.Header {
		for _, v := range list {
			b = append(b, k...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if m.Framed || len(m.Body) > 0 {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(m.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, m.Body...)
}

// read returns the answer to m, past interim answers and late ones to earlier requests.
func (l *link) read(m *Message) (*http.Response, error) {
	req := &http.Request{Method: m.Method}
	interims, foreign := 0, 0
	for {
		resp, err := http.ReadResponse(l.r, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode/100 == 1 {
			if interims++; interims > mostInterims {
				return nil, errors.New("too many interim answers")
			}
			continue
		}
		if m.Own == nil || m.Own(resp.Header) {
			return resp, nil
		}
		l.dirty = true
		if foreign++; foreign > mostForeign || resp.ContentLength < 0 || resp.Close {
			return nil, ErrForeign
		}
		if _, err := l.r.Discard(int(resp.ContentLength)); err != nil {
			return nil, err
		}
	}
}

// Finish ends a reply whose body was read to its end. The connection is kept where it is in order.
func (r *Reply) Finish() {
	r.Body.Close()
	if !r.stop() || !r.reusable() {
		r.link.close()
		return
	}
	r.link.life = idleLife(r.Header)
	r.link.pool.put(r.link)
}

func (r *Reply) reusable() bool {
	if r.Response.Close || r.link.dirty || r.link.r.Buffered() > 0 {
		return false
	}
	if r.written == nil {
		return true
	}
	select {
	case err := <-r.written:
		return err == nil
	default:
		return false // the upstream still awaits the rest of the request
	}
}

// Close gives the answer up and closes its connection.
func (r *Reply) Close() {
	r.stop()
	r.link.close()
}

// idleLife reads how long the upstream keeps an idle connection.
func idleLife(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if n, err := strconv.Atoi(v); ok && err == nil {
			return max(1, min(poolIdle, time.Duration(n)*time.Second-idleMargin))
		}
	}
	return poolIdle
}

// take returns an idle connection to address, or opens one.
func (p *Pool) take(ctx context.Context, address string, most int) (*link, error) {
	for {
		l, full := p.reserve(address, most)
		if full {
			return nil, ErrBusy
		}
		if l == nil {
			return p.dial(ctx, address)
		}
		if l.fresh(time.Now()) {
			return l, nil
		}
		l.close()
	}
}

// reserve returns the connection used last, or counts one that the caller is to open.
func (p *Pool) reserve(address string, most int) (l *link, full bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hosts == nil {
		p.hosts = map[string]*host{}
	}
	h, ok := p.hosts[address]
	if !ok {
		h = &host{}
		p.hosts[address] = h
	}
	if n := len(h.idle); n > 0 {
		l, h.idle = h.idle[n-1], h.idle[:n-1]
		return l, false
	}
	if most > 0 && h.open >= most {
		return nil, true
	}
	h.open++
	return nil, false
}

func (p *Pool) dial(ctx context.Context, address string) (*link, error) {
	d := &net.Dialer{Timeout: poolDial, Control: GiveUpAfter(userTimeout), KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeEvery, Interval: probeEvery, Count: probeCount,
	}}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		p.forget(address)
		return nil, err
	}
	p.Opened.Add(1)
	return &link{pool: p, address: address, conn: c, life: poolIdle, r: bufio.NewReaderSize(c, readerBytes)}, nil
}

// put keeps l for the next request.
func (p *Pool) put(l *link) {
	l.used = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[l.address]
	h.idle = append(h.idle, l)
}

// forget takes a closed connection out of the count.
func (p *Pool) forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	h.open--
	if h.open == 0 && len(h.idle) == 0 {
		delete(p.hosts, address)
	}
}

// Trim closes the connections whose time is over at now, and those to addresses that are not wanted any more.
func (p *Pool) Trim(now time.Time, wanted func(address string) bool) {
	var ended []*link
	p.mu.Lock()
	for address, h := range p.hosts {
		var kept []*link
		for _, l := range h.idle {
			if now.Sub(l.used) < l.life && wanted(address) {
				kept = append(kept, l)
			} else {
				ended = append(ended, l)
			}
		}
		h.idle = kept
	}
	p.mu.Unlock()
	for _, l := range ended {
		l.close()
	}
}

func (l *link) close() {
	l.once.Do(func() {
		l.conn.Close()
		l.pool.forget(l.address)
	})
}

// fresh reports whether an idle connection can carry a request: its time is not over, and neither bytes nor an end have
// arrived on it.
func (l *link) fresh(now time.Time) bool {
	if now.Sub(l.used) >= l.life || l.r.Buffered() > 0 {
		return false
	}
	sc, ok := l.conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, rerr := unix.Read(int(fd), b[:])
		quiet = rerr == unix.EAGAIN || rerr == unix.EINTR
		return true
	})
	return err == nil && quiet
}
