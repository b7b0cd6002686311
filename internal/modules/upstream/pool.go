package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"wagtaillift/internal/modules/clock"
)

const (
	poolDialTimeout   = 400 * time.Millisecond // shorter than the retransmission of a lost SYN, so that another upstream is tried first
	poolIdleTimeout   = 20 * time.Second       // for upstreams that announce no Keep-Alive timeout
	idleMargin        = time.Second            // a connection is not reused this shortly before the upstream's idle timeout
	maxInlineWrite    = 8 << 10                // a longer request is written by its own goroutine while the answer is read
	readBufferSize    = 4 << 10
	maxHeadBytes      = 64 << 10 // of everything before the body of the answer: interim answers, answers to earlier requests, the head
	maxForeignAnswers = 2        // answers to earlier requests that are skipped; one more closes the connection
	maxInterimAnswers = 4        // 1xx responses per request
)

// Errors of a Pool that callers distinguish.
const (
	ErrTooManyConns     = errors.ConstError("the upstream has as many connections as this VM may open")
	ErrMismatchedAnswer = errors.ConstError("the answer belongs to another request")
	ErrNotAllowed       = errors.ConstError("the request was held back at its write")
	errHeadTooLarge     = errors.ConstError("no answer within the limit of its head")
)

// Pool keeps connections to upstreams. Each connection carries one request at a time. The pool never sends a request
// twice: it checks before the write whether the upstream has closed an idle connection. The zero value is ready to use.
type Pool struct {
	Dialer *Dialer
	Opened atomic.Int64 // connections opened so far

	mu    sync.Mutex
	hosts map[string]*hostConns
	rest  commonRest
}

// hostConns holds the connections to one address.
type hostConns struct {
	idle      []*pooledConn // the most recently used last
	openCount int
	rest      restLimit
}

// unused reports whether h holds nothing that is needed further.
func (h *hostConns) unused(now time.Duration) bool {
	return h.openCount == 0 && len(h.idle) == 0 && !h.rest.known(now)
}

// pooledConn is one connection of a Pool.
type pooledConn struct {
	pool        *Pool
	address     string
	conn        net.Conn
	head        *headReader // source of r
	r           *bufio.Reader
	idleSince   time.Time     // time at which it became idle
	idleTimeout time.Duration // longest time that it may stay idle
	dirty       bool          // bytes that belong to no request may still arrive
	carried     carried       // requests that it has carried
	rested      time.Duration // before the present request; zero if it is the first
	process     uint64        // that has confirmed itself; zero if none was asked
	closeOnce   sync.Once
}

// headReader limits the bytes that are read from a connection until the limit is lifted. An upstream in trouble may send a
// head without end.
type headReader struct {
	conn  net.Conn
	limit int // bytes that may still be read; negative is unlimited
}

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if h.limit < 0 {
		return h.conn.Read(p)
	}
	if h.limit == 0 {
		return 0, errHeadTooLarge
	}
	n, err := h.conn.Read(p[:min(len(p), h.limit)])
	h.limit -= n
	return n, err
}

// Reply is an answer whose body has not been read yet. The caller either reads Body to its end and calls Finish, or calls
// Close.
type Reply struct {
	*http.Response
	pooledConn    *pooledConn
	stopAfterFunc func() bool
	writeDone     chan error // receives the result of a concurrent write; nil if the write ended before the answer was read
}

// Do sends m to address, opening at most maxConns connections to it; 0 sets no limit. Sent is false only if no byte was
// handed to a socket. When ctx ends, the connection is closed.
func (p *Pool) Do(ctx context.Context, address string, maxConns int, m *Message) (r *Reply, sent bool, err error) {
	if err := m.check(); err != nil {
		return nil, false, errors.Annotatef(err, "request for %s", address)
	}
	pc, err := p.acquireConfirmed(ctx, address, maxConns, m)
	if err != nil {
		return nil, false, errors.Annotatef(err, "connect to %s", address)
	}
	if m.Allow != nil && !m.Allow() {
		p.release(pc)
		return nil, false, ErrNotAllowed
	}
	pc.carried.add(m.ID)
	stopAfterFunc := context.AfterFunc(ctx, pc.close)
	r = &Reply{pooledConn: pc, stopAfterFunc: stopAfterFunc}
	if err := r.write(m); err != nil {
		p.noteReset(ctx, pc, err)
		r.Close()
		return nil, true, errors.Annotatef(cause(ctx, err), "write to %s", address)
	}
	if r.Response, err = pc.read(m); err != nil {
		p.noteReset(ctx, pc, err)
		r.Close()
		return nil, true, errors.Annotatef(cause(ctx, err), "read from %s on a %s connection", address, pc.age())
	}
	if b, ok := r.Body.(*body); ok && !r.Framed() {
		b.checkClose = r.checkTaken
	}
	return r, true, nil
}

// cause returns the error of ctx if it has ended, since that closes the connection, and err otherwise.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// write sends m. A request longer than maxInlineWrite is sent in the background, because an upstream may answer before it
// has read the whole request; its body is written from where it lies, and m no longer refers to it.
func (r *Reply) write(m *Message) error {
	head, rest := m.encode()
	conn := r.pooledConn.conn
	if len(head) <= maxInlineWrite && len(rest) == 0 {
		_, err := conn.Write(head)
		return err
	}
	done := func(bool) {}
	if m.KeepBody != nil {
		done = m.KeepBody()
	}
	m.Body = nil
	r.writeDone = make(chan error, 1)
	go func() {
		err := writeParts(conn, head, rest)
		done(err == nil)
		r.writeDone <- err
	}()
	return nil
}

func writeParts(conn net.Conn, head, rest []byte) error {
	if _, err := conn.Write(head); err != nil || len(rest) == 0 {
		return err
	}
	_, err := conn.Write(rest)
	return err
}

// read returns the answer to m. It skips 1xx responses and late answers to earlier requests.
func (pc *pooledConn) read(m *Message) (*http.Response, error) {
	req := &http.Request{Method: m.Method}
	pc.head.limit = maxHeadBytes
	interims, foreign := 0, 0
	for {
		resp, err := http.ReadResponse(pc.r, req)
		if err != nil {
			return nil, err
		}
		if err := checkHead(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode/100 == 1 {
			if interims++; interims > maxInterimAnswers {
				return nil, errManyInterims
			}
			continue
		}
		if m.IsOwnAnswer == nil || m.IsOwnAnswer(resp.Header) {
			pc.head.limit = -1
			resp.Body = newBody(resp)
			return resp, nil
		}
		pc.dirty = true
		if foreign++; foreign > maxForeignAnswers || resp.ContentLength < 0 || resp.ContentLength > maxHeadBytes || resp.Close {
			return nil, ErrMismatchedAnswer
		}
		if _, err := pc.r.Discard(int(resp.ContentLength)); err != nil {
			return nil, err
		}
	}
}

// Finish ends a reply. The connection goes back to the pool if the body was read to its end and the connection can be
// reused. The rest of a body is not read, because it may have no end.
func (r *Reply) Finish() {
	if !r.stopAfterFunc() || !r.reusable() {
		r.pooledConn.close()
		return
	}
	r.pooledConn.idleTimeout = keepAliveTimeout(r.Header)
	r.pooledConn.pool.release(r.pooledConn)
}

// Framed reports whether the end of the body is marked by its length or its last chunk.
func (r *Reply) Framed() bool { return framed(r.Response) }

// checkTaken returns an error unless the upstream had taken the whole request when it closed the connection.
func (r *Reply) checkTaken() error {
	if r.writeDone != nil {
		r.pooledConn.conn.SetWriteDeadline(past)
		err := <-r.writeDone
		r.writeDone <- err
		if err != nil {
			return errors.WithType(err, errEarlyEnd)
		}
	}
	if unacknowledged(r.pooledConn.conn) > 0 {
		return errEarlyEnd
	}
	return nil
}

// Connection tells in logs whether the answer came on a new connection, a kept one, or one through another VM.
func (r *Reply) Connection() string {
	if _, direct := r.pooledConn.conn.(syscall.Conn); !direct {
		return "relayed"
	}
	return r.pooledConn.age()
}

// reusable reports whether the connection can carry another request: the upstream does not close it, no extra bytes
// have arrived on it, and the request was written completely.
func (r *Reply) reusable() bool {
	if b, ok := r.Body.(*body); !ok || !b.ended {
		return false
	}
	if _, ok := r.pooledConn.conn.(syscall.Conn); !ok {
		return false // a connection through another VM
	}
	if r.Response.Close || r.pooledConn.dirty || r.pooledConn.r.Buffered() > 0 {
		return false
	}
	if r.writeDone == nil {
		return true
	}
	select {
	case err := <-r.writeDone:
		return err == nil
	default:
		return false // the rest of the request is still being written
	}
}

// Close discards the answer and closes its connection.
func (r *Reply) Close() {
	r.stopAfterFunc()
	r.pooledConn.close()
}

// keepAliveTimeout returns how long a connection may stay idle: the timeout in the upstream's Keep-Alive header less
// idleMargin, and poolIdleTimeout at most.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if n, err := strconv.Atoi(v); ok && err == nil {
			return max(1, min(poolIdleTimeout, time.Duration(n)*time.Second-idleMargin))
		}
	}
	return poolIdleTimeout
}

// acquire returns a usable idle connection to address that has not carried a request with this id, or opens a new one.
func (p *Pool) acquire(ctx context.Context, address string, maxConns int, id string) (*pooledConn, error) {
	for {
		pc, limit, full := p.popOrReserve(address, maxConns, id)
		if full {
			return nil, ErrTooManyConns
		}
		if pc == nil {
			return p.dial(ctx, address)
		}
		pc.rested = time.Since(pc.idleSince)
		if pc.usable(time.Now()) && !pc.carried.has(id) && (limit == 0 || pc.rested < limit) {
			return pc, nil
		}
		pc.close()
	}
}

// noteReset records that the upstream closed a kept connection in place of an answer.
func (p *Pool) noteReset(ctx context.Context, pc *pooledConn, err error) {
	closed := errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	if pc.rested == 0 || ctx.Err() != nil || !closed {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.SinceBoot()
	p.rest.resetBy(now, pc.rested, pc.address)
	if h, ok := p.hosts[pc.address]; ok {
		h.rest.reset(now, pc.rested)
	}
}

// popOrReserve removes and returns the most recently used idle connection that has not carried id. If there is none, it counts a new one
// that the caller has to open, or, with maxConns open, returns an idle one to be closed for it. Full reports that maxConns are in use. A
// connection that rested for limit must not be used, unless limit is zero.
func (p *Pool) popOrReserve(address string, maxConns int, id string) (pc *pooledConn, limit time.Duration, full bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hosts == nil {
		p.hosts = map[string]*hostConns{}
	}
	h, ok := p.hosts[address]
	if !ok {
		h = &hostConns{}
		p.hosts[address] = h
	}
	now := clock.SinceBoot()
	limit = shorter(h.rest.limit(now, restStrikes), p.rest.limit(now, commonStrikes))
	atLimit := maxConns > 0 && h.openCount >= maxConns
	for i := len(h.idle) - 1; i >= 0; i-- {
		if pc = h.idle[i]; !pc.carried.has(id) || atLimit && i == 0 {
			h.idle = slices.Delete(h.idle, i, i+1)
			return pc, limit, false
		}
	}
	if atLimit {
		return nil, 0, true
	}
	h.openCount++
	return nil, 0, false
}

// dial opens the connection to address that popOrReserve has counted.
func (p *Pool) dial(ctx context.Context, address string) (*pooledConn, error) {
	c, err := p.Dialer.Dial(ctx, address, poolDialTimeout)
	if err != nil {
		p.removeConn(address)
		return nil, err
	}
	p.Opened.Add(1)
	head := &headReader{conn: c}
	return &pooledConn{
		pool: p, address: address, conn: c, idleTimeout: poolIdleTimeout, head: head, r: bufio.NewReaderSize(head, readBufferSize),
	}, nil
}

// age tells in errors whether the connection had carried a request before.
func (pc *pooledConn) age() string {
	if pc.idleSince.IsZero() {
		return "new"
	}
	return "kept"
}

// release returns pc to the idle connections.
func (p *Pool) release(pc *pooledConn) {
	pc.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[pc.address]
	h.idle = append(h.idle, pc)
}

// removeConn removes a closed connection from the count of its address.
func (p *Pool) removeConn(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	h.openCount--
	if h.unused(clock.SinceBoot()) {
		delete(p.hosts, address)
	}
}

// CloseStale closes the idle connections whose idle timeout has passed at now, those on which the upstream has sent bytes that
// belong to no request or a close, and those to addresses for which wanted returns false.
func (p *Pool) CloseStale(now time.Time, wanted func(address string) bool) {
	var expired []*pooledConn
	p.mu.Lock()
	for address, h := range p.hosts {
		var kept []*pooledConn
		for _, pc := range h.idle {
			if wanted(address) && pc.usable(now) {
				kept = append(kept, pc)
			} else {
				expired = append(expired, pc)
			}
		}
		h.idle = kept
		if h.unused(clock.SinceBoot()) {
			delete(p.hosts, address)
		}
	}
	p.mu.Unlock()
	for _, pc := range expired {
		pc.close()
	}
}

// close closes the connection and removes it from the count; only the first call has an effect.
func (pc *pooledConn) close() {
	pc.closeOnce.Do(func() {
		pc.conn.Close()
		pc.pool.removeConn(pc.address)
	})
}

// usable reports whether an idle connection can carry a request: its idle timeout has not passed, and neither data nor a
// close by the upstream has arrived on it.
func (pc *pooledConn) usable(now time.Time) bool {
	if now.Sub(pc.idleSince) >= pc.idleTimeout || pc.r.Buffered() > 0 {
		return false
	}
	sc, ok := pc.conn.(syscall.Conn)
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
