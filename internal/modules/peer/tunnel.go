package peer

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
	"github.com/quic-go/quic-go"

	"wagtaillift/internal/modules/id"
)

const (
	codeTunnelClosed = 2 // stream error code: one end of a tunnel closed it
	codeTunnelBroken = 3 // stream error code: the connection behind a tunnel broke
)

// tunnelHandler opens the connection behind a tunnel and returns the encoded answer to the VM that asked for it. Without a connection
// there is no tunnel.
type tunnelHandler func(ctx context.Context, from id.VM, body []byte) (net.Conn, []byte, error)

// HandleTunnel registers f as the handler of a method whose stream, after the call and its answer, carries the bytes of the connection
// that f returns. It must not be called after Serve.
func HandleTunnel[Q, A any](t *Transport, method string, f func(ctx context.Context, from id.VM, q Q) (net.Conn, A)) {
	t.tunnels[method] = func(ctx context.Context, from id.VM, body []byte) (net.Conn, []byte, error) {
		var q Q
		if err := decoder.Unmarshal(body, &q); err != nil {
			return nil, nil, errors.Annotatef(err, "decode %s", method)
		}
		conn, a := f(ctx, from, q)
		data, err := cbor.Marshal(a)
		return conn, data, err
	}
}

// serveTunnel opens a connection and relays its bytes to and from s until one end closes it.
func (t *Transport) serveTunnel(ctx context.Context, from id.VM, s *quic.Stream, open tunnelHandler, body []byte) {
	conn, data, err := open(ctx, from, body)
	a := answer{Body: data}
	if err != nil {
		a.Error = err.Error()
	}
	if err := t.writeMessage(s, a); err != nil || conn == nil {
		if conn != nil {
			conn.Close()
		}
		return
	}
	go func() {
		io.Copy(conn, s)
		conn.Close() // the other VM has closed its end
	}()
	_, err = io.Copy(s, conn)
	conn.Close()
	s.CancelRead(codeTunnelClosed)
	if err != nil {
		s.CancelWrite(codeTunnelBroken) // so that it is not taken for the end of an answer
	}
}

// OpenTunnel calls method at address and returns its answer. If the called VM opened a connection, conn carries its bytes. Conn must be
// closed in either case.
func OpenTunnel[A, Q any](ctx context.Context, t *Transport, address, method string, q Q) (conn net.Conn, a A, err error) {
	body, err := cbor.Marshal(q)
	if err != nil {
		return nil, a, errors.Annotatef(err, "encode %s", method)
	}
	tn, raw, err := t.openTunnel(ctx, address, call{Method: method, Body: body})
	if err != nil {
		return nil, a, errors.Annotatef(err, "call %s at %s", method, address)
	}
	if err := decoder.Unmarshal(raw, &a); err != nil {
		tn.Close()
		return nil, a, errors.Annotatef(err, "decode answer of %s from %s", method, address)
	}
	return tn, a, nil
}

func (t *Transport) openTunnel(ctx context.Context, address string, c call) (*tunnel, []byte, error) {
	t.Stats.Calls.Add(1)
	pc := t.connection(address)
	done := pc.begin()
	conn, s, err := t.openStream(ctx, pc, address)
	if err != nil {
		done()
		return nil, nil, errors.WithType(err, ErrUnreachable)
	}
	tn := &tunnel{Stream: s, conn: conn, done: sync.OnceFunc(done)}
	stop := context.AfterFunc(ctx, func() { tn.Close() })
	defer stop()
	if err := t.writeMessage(s, c); err != nil {
		tn.Close()
		return nil, nil, err
	}
	var a answer
	rest, err := t.readFirst(s, &a)
	if err == nil && a.Error != "" {
		err = &RemoteError{Method: c.Method, Address: address, Message: a.Error}
	}
	if err != nil {
		tn.Close()
		return nil, nil, err
	}
	tn.r = io.MultiReader(rest, s)
	return tn, a.Body, nil
}

// readFirst decodes the first message on r and returns the bytes that were read beyond it.
func (t *Transport) readFirst(r io.Reader, v any) (rest io.Reader, err error) {
	d := decoder.NewDecoder(io.LimitReader(r, maxMessageBytes))
	if err := d.Decode(v); err != nil {
		return nil, errors.Annotate(err, "decode call")
	}
	t.Stats.ReceivedBytes.Add(int64(d.NumBytesRead()))
	return d.Buffered(), nil
}

// tunnel is a connection through another VM.
type tunnel struct {
	*quic.Stream
	conn *quic.Conn
	r    io.Reader
	done func()
}

// Read implements net.Conn.
func (n *tunnel) Read(p []byte) (int, error) { return n.r.Read(p) }

// Close implements net.Conn. Bytes that the other VM has not received yet may be lost.
func (n *tunnel) Close() error {
	n.CancelRead(codeTunnelClosed)
	n.CancelWrite(codeTunnelClosed)
	n.done()
	return nil
}

// LocalAddr implements net.Conn.
func (n *tunnel) LocalAddr() net.Addr { return n.conn.LocalAddr() }

// RemoteAddr implements net.Conn. It is the address of the other VM.
func (n *tunnel) RemoteAddr() net.Addr { return n.conn.RemoteAddr() }
