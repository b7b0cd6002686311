// Package peer implements remote calls between the VMs of a fleet: one QUIC stream per call, CBOR bodies, mutual TLS.
package peer

import (
	"context"
	"crypto/sha256"
	"io"
	"maps"
	"net"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
	"k8s.io/klog/v2"

	"wagtaillift/internal/modules/cert"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/lazy"
	"wagtaillift/internal/modules/memory"
	"wagtaillift/internal/modules/pause"
)

const (
	alpnProtocol      = "wagtaillift/1"
	idleTimeout       = 3 * time.Second
	keepAliveInterval = time.Second
	dialTimeout       = 2 * time.Second
	unusedTimeout     = 10 * time.Second       // without a call after which a connection is closed
	minRedialInterval = 200 * time.Millisecond // minimum time between a failed dial and the next one to the same address
	maxMessageBytes   = 64 << 20
	callCopies        = 2                // of a large call, while it is read and decoded
	callStallTimeout  = 10 * time.Second // without progress of a large call
	maxStreams        = 4096
	codeCallEnded     = 0 // stream error code: the context of the call ended
	codeRejected      = 1 // error code of streams and connections
)

// ErrUnreachable means that no byte of a call was sent.
const ErrUnreachable = errors.ConstError("the peer could not be reached")

// Handler handles a call from the VM from and returns the encoded answer.
type Handler func(ctx context.Context, from id.VM, body []byte) ([]byte, error)

// call is the message that the caller writes to a stream.
type call struct {
	Method string `cbor:"1,keyasint"`
	Body   []byte `cbor:"2,keyasint"`
}

// answer is the message that the called VM writes to a stream.
type answer struct {
	Error string `cbor:"1,keyasint,omitempty"`
	Body  []byte `cbor:"2,keyasint,omitempty"`
}

// decoder reads messages of other VMs. Text that is not UTF-8, which callers and upstreams may send in a name, is passed on as it is: it
// must not make the rest of its message unreadable.
var decoder = must(cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode())

func must(m cbor.DecMode, err error) cbor.DecMode {
	if err != nil {
		panic(err)
	}
	return m
}

// RemoteError is an error that the called VM returned.
type RemoteError struct {
	Method  string
	Address string
	Message string
}

// Error returns the method, the address and the message.
func (e *RemoteError) Error() string { return e.Method + " at " + e.Address + ": " + e.Message }

// Stats counts the calls made and the message bytes sent and received, for capacity measurements.
type Stats struct {
	SentBytes, ReceivedBytes, Calls atomic.Int64
	Panics                          atomic.Int64 // of handlers
	Dialed, Accepted                atomic.Int64 // connections that this VM opened, and that others opened to it
	methods                         lazy.Map[string, MethodStats]
}

// MethodStats counts the calls of one method and their message bytes, questions and answers together.
type MethodStats struct {
	Calls, CallBytes    atomic.Int64 // made by this VM
	Served, ServedBytes atomic.Int64 // of other VMs
}

// EachMethod calls f for each method that this VM has called or served.
func (s *Stats) EachMethod(f func(method string, m *MethodStats)) { s.methods.Each(f) }

// Transport makes and receives calls.
type Transport struct {
	Stats  Stats
	Memory memory.Budget // of calls of more than memory.SmallBytes from other VMs

	certs    *cert.Store
	quic     *quic.Transport
	listener *quic.Listener
	handlers map[string]Handler
	tunnels  map[string]tunnelHandler

	unused time.Duration // after which an unused connection is closed

	mu          sync.Mutex
	connections map[string]*connection
}

// connection is the state of the connection to one address.
type connection struct {
	mu       sync.Mutex
	conn     *quic.Conn
	lastDial time.Time
	err      error        // result of the last dial
	lastUse  atomic.Int64 // Unix time in nanoseconds, of the end of the latest call or tunnel
	inUse    atomic.Int32 // calls and tunnels
}

// begin counts a call or tunnel on pc until done is called.
func (pc *connection) begin() (done func()) {
	pc.inUse.Add(1)
	return func() {
		pc.lastUse.Store(time.Now().UnixNano())
		pc.inUse.Add(-1)
	}
}

// New returns a transport that listens on address. It handles incoming calls once Serve runs.
func New(address string, certs *cert.Store) (*Transport, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "resolve peer address %s", address)
	}
	conn, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, errors.Annotatef(err, "listen for peers on %s", address)
	}
	t := &Transport{certs: certs, unused: unusedTimeout, handlers: map[string]Handler{}, tunnels: map[string]tunnelHandler{}, connections: map[string]*connection{}}
	secret, err := certs.Secret()
	if err != nil {
		conn.Close()
		return nil, errors.Annotate(err, "derive the reset key")
	}
	// With the same key after a restart, peers learn at once that their connections are gone (RFC 9000, section 10.3).
	resetKey := quic.StatelessResetKey(sha256.Sum256(append([]byte("reset "+address+" "), secret...)))
	t.quic = &quic.Transport{Conn: conn, StatelessResetKey: &resetKey}
	t.listener, err = t.quic.Listen(certs.ServerConfig(alpnProtocol), quicConfig())
	if err != nil {
		conn.Close()
		return nil, errors.Annotatef(err, "listen for peers on %s", address)
	}
	return t, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:        idleTimeout,
		KeepAlivePeriod:       keepAliveInterval,
		HandshakeIdleTimeout:  dialTimeout,
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: -1,
	}
}

// Address returns the address that the transport listens on.
func (t *Transport) Address() string { return t.listener.Addr().String() }

// Handle registers f as the handler of method. It must not be called after Serve.
func Handle[Q, A any](t *Transport, method string, f func(ctx context.Context, from id.VM, q Q) (A, error)) {
	t.handlers[method] = func(ctx context.Context, from id.VM, body []byte) ([]byte, error) {
		var q Q
		if err := decoder.Unmarshal(body, &q); err != nil {
			return nil, errors.Annotatef(err, "decode %s", method)
		}
		a, err := f(ctx, from, q)
		if err != nil {
			return nil, err
		}
		return cbor.Marshal(a)
	}
}

// Methods returns the names of the registered methods.
func (t *Transport) Methods() []string { return slices.Sorted(maps.Keys(t.handlers)) }

// Serve accepts connections and handles their calls until ctx ends.
func (t *Transport) Serve(ctx context.Context) {
	go pause.Every(ctx, t.unused/unusedChecks, func() { t.closeUnused(time.Now()) })
	for {
		conn, err := t.listener.Accept(ctx)
		if err != nil {
			return
		}
		t.Stats.Accepted.Add(1)
		go t.serveConn(ctx, conn)
	}
}

// unusedChecks is how often connections are looked through within unusedTimeout.
const unusedChecks = 5

// closeUnused closes the connections to other VMs that carried nothing lately. Their keep-alives would cost each VM as much as there are
// others that it once called, and the fleet the square.
func (t *Transport) closeUnused(now time.Time) {
	t.mu.Lock()
	list := slices.Collect(maps.Values(t.connections))
	t.mu.Unlock()
	for _, pc := range list {
		pc.mu.Lock()
		if pc.conn != nil && pc.inUse.Load() == 0 && now.UnixNano()-pc.lastUse.Load() >= int64(t.unused) {
			pc.conn.CloseWithError(codeCallEnded, "unused")
			pc.conn = nil
		}
		pc.mu.Unlock()
	}
}

// Close closes all connections and the socket.
func (t *Transport) Close() {
	t.listener.Close()
	t.quic.Close()
	t.quic.Conn.Close()
}

func (t *Transport) serveConn(ctx context.Context, conn *quic.Conn) {
	from, err := cert.PeerVM(conn.ConnectionState().TLS)
	if err != nil {
		klog.ErrorS(err, "Rejected a peer connection", "address", conn.RemoteAddr())
		conn.CloseWithError(codeRejected, err.Error())
		return
	}
	for {
		s, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go t.serveStream(conn.Context(), from, s)
	}
}

func (t *Transport) serveStream(ctx context.Context, from id.VM, s *quic.Stream) {
	defer s.Close()
	r := callReader{s: s, hold: memory.Hold{Budget: &t.Memory, Use: memory.Document, Customer: id.Customer(from)}}
	defer r.hold.Release()
	var c call
	if _, err := t.readFirst(&r, &c); err != nil {
		klog.V(1).InfoS("Unreadable call of a peer", "peer", from, "err", err)
		s.CancelRead(codeRejected)
		s.CancelWrite(codeRejected)
		return
	}
	s.SetReadDeadline(time.Time{})
	if open, ok := t.tunnels[c.Method]; ok {
		t.serveTunnel(ctx, from, s, open, c.Body)
		return
	}
	io.Copy(io.Discard, s) // up to the end of the stream, so that its resources are released
	var a answer
	h, ok := t.handlers[c.Method]
	if !ok {
		t.writeMessage(s, answer{Error: "unknown method " + c.Method})
		return
	}
	if body, err := t.handle(ctx, from, h, c); err != nil {
		a.Error = err.Error()
	} else {
		a.Body = body
	}
	n := t.Stats.methods.Get(c.Method)
	n.Served.Add(1)
	n.ServedBytes.Add(int64(len(c.Body) + len(a.Body)))
	if err := t.writeMessage(s, a); err != nil {
		klog.V(1).InfoS("Failed to answer a peer", "peer", from, "method", c.Method, "err", err)
	}
}

// callReader reads a call. A large one takes room as its bytes come, and must not stall.
type callReader struct {
	s    *quic.Stream
	hold memory.Hold
	n    int64 // bytes read
}

// Read implements io.Reader.
func (r *callReader) Read(p []byte) (int, error) {
	if r.n > memory.SmallBytes {
		r.s.SetReadDeadline(time.Now().Add(callStallTimeout))
	}
	n, err := r.s.Read(p)
	r.n += int64(n)
	if room := callCopies*r.n - r.hold.Held(); r.n > memory.SmallBytes && !r.hold.Take(room) {
		return 0, errors.Annotatef(memory.ErrNoRoom, "after %d bytes", r.n)
	}
	return n, err
}

// handle runs a handler. A panic, which a message that nobody foresaw may cause, ends the call and not the process.
func (t *Transport) handle(ctx context.Context, from id.VM, h Handler, c call) (body []byte, err error) {
	defer func() {
		if p := recover(); p != nil {
			t.Stats.Panics.Add(1)
			err = errors.Errorf("the handler of %s failed: %v", c.Method, p)
			klog.ErrorS(err, "Handler panicked", "peer", from, "method", c.Method, "bytes", len(c.Body), "stack", string(debug.Stack()))
		}
	}()
	return h(ctx, from, c.Body)
}

func (t *Transport) readMessage(r io.Reader, v any) error {
	data, err := io.ReadAll(io.LimitReader(r, maxMessageBytes+1))
	if err != nil {
		return errors.Annotate(err, "read call")
	}
	if len(data) > maxMessageBytes {
		return errors.NotValidf("call of more than %d bytes", maxMessageBytes)
	}
	t.Stats.ReceivedBytes.Add(int64(len(data)))
	return errors.Annotate(decoder.Unmarshal(data, v), "decode call")
}

func (t *Transport) writeMessage(w io.Writer, v any) error {
	data, err := cbor.Marshal(v)
	if err != nil {
		return errors.Annotate(err, "encode call")
	}
	t.Stats.SentBytes.Add(int64(len(data)))
	_, err = w.Write(data)
	return errors.Annotate(err, "write call")
}

// Call sends q to method at address and decodes the answer.
func Call[A, Q any](ctx context.Context, t *Transport, address, method string, q Q) (A, error) {
	var a A
	body, err := cbor.Marshal(q)
	if err != nil {
		return a, errors.Annotatef(err, "encode %s", method)
	}
	raw, err := t.call(ctx, address, call{Method: method, Body: body})
	n := t.Stats.methods.Get(method)
	n.Calls.Add(1)
	n.CallBytes.Add(int64(len(body) + len(raw)))
	if err != nil {
		return a, errors.Annotatef(err, "call %s at %s", method, address)
	}
	return a, errors.Annotatef(decoder.Unmarshal(raw, &a), "decode answer of %s from %s", method, address)
}

func (t *Transport) call(ctx context.Context, address string, c call) ([]byte, error) {
	t.Stats.Calls.Add(1)
	pc := t.connection(address)
	defer pc.begin()()
	conn, s, err := t.openStream(ctx, pc, address)
	if err != nil {
		return nil, errors.WithType(err, ErrUnreachable)
	}
	received := conn.ConnectionStats().PacketsReceived
	stop := context.AfterFunc(ctx, func() {
		s.CancelRead(codeCallEnded)
		s.CancelWrite(codeCallEnded)
	})
	defer stop()
	if err := t.writeMessage(s, c); err != nil {
		return nil, err
	}
	s.Close()
	var a answer
	if err := t.readMessage(s, &a); err != nil {
		if ctx.Err() == nil {
			return nil, err
		}
		if errors.Is(ctx.Err(), context.DeadlineExceeded) && conn.ConnectionStats().PacketsReceived == received {
			// Nothing arrived since the call started, not even an acknowledgement: a busy peer still sends these.
			conn.CloseWithError(codeRejected, "no answer")
		}
		return nil, ctx.Err()
	}
	if a.Error != "" {
		return nil, &RemoteError{Method: c.Method, Address: address, Message: a.Error}
	}
	return a.Body, nil
}

// openStream opens a stream to address. A connection that has ended is replaced once: it refuses streams a moment before its context ends.
func (t *Transport) openStream(ctx context.Context, pc *connection, address string) (*quic.Conn, *quic.Stream, error) {
	for first := true; ; first = false {
		conn, err := t.connect(ctx, pc, address)
		if err != nil {
			return nil, nil, err
		}
		s, err := conn.OpenStreamSync(ctx)
		if err == nil {
			return conn, s, nil
		}
		if !first || ctx.Err() != nil {
			return nil, nil, err
		}
		pc.drop(conn)
	}
}

// drop forgets conn if it is still the open connection.
func (pc *connection) drop(conn *quic.Conn) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.conn == conn {
		pc.conn = nil
	}
}

// connection returns the state of the connection to address, which it creates if needed.
func (t *Transport) connection(address string) *connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	pc, ok := t.connections[address]
	if !ok {
		pc = &connection{}
		t.connections[address] = pc
	}
	return pc
}

// connect returns the open connection to address, or dials if there is none.
func (t *Transport) connect(ctx context.Context, pc *connection, address string) (*quic.Conn, error) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.conn != nil && pc.conn.Context().Err() == nil {
		return pc.conn, nil
	}
	if now := time.Now(); pc.err != nil && now.Sub(pc.lastDial) < minRedialInterval {
		return nil, pc.err
	}
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Annotate(err, "resolve")
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := t.quic.Dial(dialCtx, udp, t.certs.ClientConfig(alpnProtocol, ""), quicConfig())
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return nil, errors.Annotate(err, "dial") // tells nothing about the peer
	}
	pc.conn, pc.err, pc.lastDial = conn, err, time.Now()
	if err != nil {
		return nil, errors.Annotate(err, "dial")
	}
	t.Stats.Dialed.Add(1)
	return conn, nil
}
