// Package peer carries calls between the VMs of a fleet: one QUIC stream per call, CBOR bodies, mutual TLS.
package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
	"k8s.io/klog/v2"

	"wagtaillift/internal/modules/cert"
	"wagtaillift/internal/modules/id"
)

const (
	protocol     = "wagtaillift/1"
	idleTimeout  = 3 * time.Second
	keepAlive    = time.Second
	dialTimeout  = 2 * time.Second
	dialPause    = 200 * time.Millisecond // least time between two dials of one address
	maxBody      = 64 << 20
	maxStreams   = 4096
	codeFinished = 0
	codeRefused  = 1
)

// ErrUnreached says that no byte of a call was sent.
const ErrUnreached = errors.ConstError("the peer could not be reached")

// Handler answers one call from a VM of the fleet.
type Handler func(ctx context.Context, from id.VM, body []byte) ([]byte, error)

// call is the head of a stream.
type call struct {
	Method string `cbor:"1,keyasint"`
	Body   []byte `cbor:"2,keyasint"`
}

// answer is the end of a stream.
type answer struct {
	Error string `cbor:"1,keyasint,omitempty"`
	Body  []byte `cbor:"2,keyasint,omitempty"`
}

// RemoteError is an error that the called VM answered with.
type RemoteError struct {
	Method  string
	Address string
	Message string
}

// Error returns the method, the peer and the message.
func (e *RemoteError) Error() string { return e.Method + " at " + e.Address + ": " + e.Message }

// Stats counts the bytes of call bodies for the capacity measurements.
type Stats struct {
	Sent, Received, Calls atomic.Int64
}

// Transport listens for and makes calls.
type Transport struct {
	Stats    Stats
	store    *cert.Store
	quic     *quic.Transport
	listener *quic.Listener
	handlers map[string]Handler

	mu    sync.Mutex
	links map[string]*link
}

// link is the connection to one address.
type link struct {
	mu    sync.Mutex
	conn  *quic.Conn
	tried time.Time
	err   error
	heard atomic.Int64 // Unix time in nanoseconds of the last answer
}

// New binds address. Calls are answered once Serve runs.
func New(address string, store *cert.Store) (*Transport, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "resolve peer address %s", address)
	}
	conn, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, errors.Annotatef(err, "listen for peers on %s", address)
	}
	t := &Transport{store: store, handlers: map[string]Handler{}, links: map[string]*link{}}
	t.quic = &quic.Transport{Conn: conn}
	t.listener, err = t.quic.Listen(store.Server(protocol), options())
	if err != nil {
		conn.Close()
		return nil, errors.Annotatef(err, "listen for peers on %s", address)
	}
	return t, nil
}

func options() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:        idleTimeout,
		KeepAlivePeriod:       keepAlive,
		HandshakeIdleTimeout:  dialTimeout,
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: -1,
	}
}

// Address returns the bound address.
func (t *Transport) Address() string { return t.listener.Addr().String() }

// Handle registers f for method. All registrations come before Serve.
func Handle[Q, A any](t *Transport, method string, f func(ctx context.Context, from id.VM, q Q) (A, error)) {
	t.handlers[method] = func(ctx context.Context, from id.VM, body []byte) ([]byte, error) {
		var q Q
		if err := cbor.Unmarshal(body, &q); err != nil {
			return nil, errors.Annotatef(err, "decode %s", method)
		}
		a, err := f(ctx, from, q)
		if err != nil {
			return nil, err
		}
		return cbor.Marshal(a)
	}
}

// Serve answers calls until ctx ends.
func (t *Transport) Serve(ctx context.Context) {
	for {
		conn, err := t.listener.Accept(ctx)
		if err != nil {
			return
		}
		go t.serveConn(ctx, conn)
	}
}

// Close ends all connections and frees the address.
func (t *Transport) Close() {
	t.listener.Close()
	t.quic.Close()
	t.quic.Conn.Close()
}

func (t *Transport) serveConn(ctx context.Context, conn *quic.Conn) {
	from, err := cert.Peer(conn.ConnectionState().TLS)
	if err != nil {
		klog.ErrorS(err, "Peer refused", "address", conn.RemoteAddr())
		conn.CloseWithError(codeRefused, err.Error())
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
	var c call
	if err := t.readBody(s, &c); err != nil {
		s.CancelWrite(codeRefused)
		return
	}
	var a answer
	if h, ok := t.handlers[c.Method]; !ok {
		a.Error = "unknown method " + c.Method
	} else if body, err := h(ctx, from, c.Body); err != nil {
		a.Error = err.Error()
	} else {
		a.Body = body
	}
	t.writeBody(s, a)
}

func (t *Transport) readBody(r io.Reader, v any) error {
	data, err := io.ReadAll(io.LimitReader(r, maxBody+1))
	if err != nil {
		return errors.Annotate(err, "read call")
	}
	if len(data) > maxBody {
		return errors.NotValidf("call of more than %d bytes", maxBody)
	}
	t.Stats.Received.Add(int64(len(data)))
	return errors.Annotate(cbor.Unmarshal(data, v), "decode call")
}

func (t *Transport) writeBody(w io.Writer, v any) error {
	data, err := cbor.Marshal(v)
	if err != nil {
		return errors.Annotate(err, "encode call")
	}
	t.Stats.Sent.Add(int64(len(data)))
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
	if err != nil {
		return a, errors.Annotatef(err, "call %s at %s", method, address)
	}
	return a, errors.Annotatef(cbor.Unmarshal(raw, &a), "decode answer of %s from %s", method, address)
}

func (t *Transport) call(ctx context.Context, address string, c call) ([]byte, error) {
	t.Stats.Calls.Add(1)
	began := time.Now()
	l := t.link(address)
	conn, err := t.connect(ctx, l, address)
	if err != nil {
		return nil, errors.WithType(err, ErrUnreached)
	}
	s, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, errors.WithType(err, ErrUnreached)
	}
	stop := context.AfterFunc(ctx, func() {
		s.CancelRead(codeFinished)
		s.CancelWrite(codeFinished)
	})
	defer stop()
	if err := t.writeBody(s, c); err != nil {
		return nil, err
	}
	s.Close()
	var a answer
	if err := t.readBody(s, &a); err != nil {
		if ctx.Err() == nil {
			return nil, err
		}
		if errors.Is(ctx.Err(), context.DeadlineExceeded) && l.heard.Load() < began.UnixNano() {
			conn.CloseWithError(codeRefused, "no answer") // the peer may have restarted
		}
		return nil, ctx.Err()
	}
	l.heard.Store(time.Now().UnixNano())
	if a.Error != "" {
		return nil, &RemoteError{Method: c.Method, Address: address, Message: a.Error}
	}
	return a.Body, nil
}

func (t *Transport) link(address string) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.links[address]
	if !ok {
		l = &link{}
		t.links[address] = l
	}
	return l
}

// connect returns the open connection to address, dialling where there is none.
func (t *Transport) connect(ctx context.Context, l *link, address string) (*quic.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && l.conn.Context().Err() == nil {
		return l.conn, nil
	}
	if now := time.Now(); l.err != nil && now.Sub(l.tried) < dialPause {
		return nil, l.err
	}
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Annotate(err, "resolve")
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := t.quic.Dial(ctx, udp, t.store.Client(protocol, ""), options())
	l.conn, l.err, l.tried = conn, err, time.Now()
	if err != nil {
		return nil, errors.Annotate(err, "dial")
	}
	return conn, nil
}
