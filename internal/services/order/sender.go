package order

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/models/order"
	"wagtaillift/internal/models/usage"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/jsonfields"
	"wagtaillift/internal/modules/upstream"
)

const (
	headerFence = "Wagtaillift-Fence"
	// tcpUserTimeout is the longest time for which the kernel tries to deliver unacknowledged bytes.
	tcpUserTimeout = time.Second
	maxReplyBytes  = 1 << 20
)

const (
	errNotSent = errors.ConstError("the lease or the time left is too short")
	errRefused = errors.ConstError("the peer refused")
)

// Sender posts each request on its own connection. The kernel must not deliver bytes long after a request has been
// abandoned: it drops unacknowledged bytes after tcpUserTimeout, and closing resets the connection.
type Sender struct {
	client *http.Client
}

// checkedConn calls check before each write.
type checkedConn struct {
	net.Conn
	check func() bool
}

// Write writes p if check returns true and otherwise returns errNotSent.
func (c *checkedConn) Write(p []byte) (int, error) {
	if !c.check() {
		return 0, errNotSent
	}
	return c.Conn.Write(p)
}

type checkKey struct{}

// NewSender returns a sender.
func NewSender() *Sender {
	d := &net.Dialer{Timeout: sendTimeout, Control: upstream.TCPUserTimeout(tcpUserTimeout)}
	t := &http.Transport{
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: maxReplyBytes,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, errors.WithType(err, errNotSent)
			}
			if tcp, ok := c.(*net.TCPConn); ok {
				tcp.SetLinger(0)
			}
			c = upstream.GuardEnd(c)
			check, ok := ctx.Value(checkKey{}).(func() bool)
			if !ok {
				return c, nil
			}
			return &checkedConn{Conn: c, check: check}, nil
		},
	}
	return &Sender{client: &http.Client{Transport: t, Timeout: sendTimeout}}
}

// Post sends body and returns the status and body of the answer. It fails with errNotSent if check returns false at the
// time of writing.
func (s *Sender) Post(ctx context.Context, url string, header http.Header, body []byte, check func() bool) (int, []byte, error) {
	if !check() {
		return 0, nil, errNotSent
	}
	ctx = context.WithValue(ctx, checkKey{}, check)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Annotatef(err, "build request to %s", url)
	}
	r.GetBody = nil
	r.Header = header
	r.Header.Set("Content-Type", "application/json")
	resp, err := upstream.Exchange(s.client, r)
	if err != nil {
		return 0, nil, errors.Annotatef(err, "post to %s", url)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	return resp.StatusCode, bytes.TrimSpace(text), errors.Annotatef(err, "answer of %s", url)
}

// post sends v as JSON with the fencing number fence.
func (s *Sender) post(ctx context.Context, url string, fence id.Fence, v any, check func() bool) error {
	data, err := json.Marshal(v)
	if err != nil {
		return errors.Annotate(err, "encode")
	}
	h := http.Header{}
	h.Set(headerFence, strconv.FormatUint(uint64(fence), 10))
	status, text, err := s.Post(ctx, url, h, data, check)
	if err != nil {
		return err
	}
	if status/100 != 2 {
		return errors.WithType(errors.Errorf("status %d: %s", status, text), errRefused)
	}
	return nil
}

// nativeClient implements Platform and Engines with the built-in protocol.
type nativeClient struct {
	sender *Sender
	url    string
}

// Report implements Platform.
func (c *nativeClient) Report(ctx context.Context, _ id.VM, f id.Fence, r usage.Report, check func() bool) error {
	return c.sender.post(ctx, c.url+"/v1/usage", f, usageReport{Window: r.Window, Fence: f, Lines: r.Lines}, check)
}

// Scale implements Platform. The built-in protocol does not support it.
func (c *nativeClient) Scale(context.Context, id.VM, id.Fence, UpstreamCount, func() bool) error {
	return errors.NotSupportedf("ordering upstreams")
}

// Send implements Engines.
func (c *nativeClient) Send(ctx context.Context, _ id.VM, to engine.Announcement, o order.Order, check func() bool) error {
	return c.sender.order(ctx, to.Address, o, check)
}

// Accepted implements Engines.
func (c *nativeClient) Accepted(ctx context.Context, to engine.Announcement, o order.Order) (bool, error) {
	st, err := c.sender.readState(ctx, to.Address)
	return st.Order == o.ID, err
}

// MarkRefused marks err as a refusal by the peer, which means that the request had no effect.
func MarkRefused(err error) error { return errors.WithType(err, errRefused) }

// Get fetches url and returns the status and body of the answer.
func (s *Sender) Get(ctx context.Context, url string, header http.Header) (int, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, errors.Annotatef(err, "build request to %s", url)
	}
	r.Header = header
	resp, err := upstream.Exchange(s.client, r)
	if err != nil {
		return 0, nil, errors.Annotatef(err, "get %s", url)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	return resp.StatusCode, text, errors.Annotatef(err, "answer of %s", url)
}

// orderMessage is the JSON encoding of an order.
type orderMessage struct {
	ID     id.Index   `json:"id"`
	Kind   order.Kind `json:"kind"`
	Value  string     `json:"value"`
	Fence  id.Fence   `json:"fence"`
	Reason string     `json:"reason,omitempty"`
}

func (s *Sender) order(ctx context.Context, address string, o order.Order, check func() bool) error {
	m := orderMessage{ID: o.ID, Kind: o.Kind, Value: o.Value, Fence: o.Fence, Reason: o.Reason}
	return s.post(ctx, "http://"+address+"/v1/orders", o.Fence, m, check)
}

// engineState is an engine's report of the last order that it accepted.
type engineState struct {
	Order id.Index `json:"order"` // ID of the last accepted order
	Role  string   `json:"role"`
}

func (s *Sender) readState(ctx context.Context, address string) (engineState, error) {
	var st engineState
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/state", nil)
	if err != nil {
		return st, errors.Annotatef(err, "build request to %s", address)
	}
	resp, err := upstream.Exchange(s.client, r)
	if err != nil {
		return st, errors.Annotatef(err, "read state of upstream %s", address)
	}
	defer resp.Body.Close()
	return st, errors.Annotatef(jsonfields.Decode(io.LimitReader(resp.Body, maxReplyBytes), &st), "state of upstream %s", address)
}

// usageReport is the JSON encoding of a usage report.
type usageReport struct {
	Window id.Window    `json:"window"`
	Fence  id.Fence     `json:"fence"`
	Lines  []usage.Line `json:"lines"`
}
