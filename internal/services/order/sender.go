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
	"wagtaillift/internal/modules/upstream"
)

const (
	headerFence = "Wagtaillift-Fence"
	// lingerBound is the longest the kernel keeps trying to deliver bytes of a closed connection.
	lingerBound = 1500 * time.Millisecond
	maxReply    = 1 << 20
)

const (
	errNotSent = errors.ConstError("the lease or the time left is too short")
	errRefused = errors.ConstError("the peer refused")
)

// Sender writes orders on connections of their own, which the kernel may not keep delivering on after they are given
// up: unacknowledged bytes are dropped after lingerBound and closing resets the connection.
type Sender struct {
	client *http.Client
}

// guarded asks for leave right before each write.
type guarded struct {
	net.Conn
	check func() bool
}

// Write writes p where the check still holds.
func (g *guarded) Write(p []byte) (int, error) {
	if !g.check() {
		return 0, errNotSent
	}
	return g.Conn.Write(p)
}

type checkKey struct{}

// NewSender returns a sender.
func NewSender() *Sender {
	d := &net.Dialer{Timeout: sendTimeout, Control: upstream.GiveUpAfter(lingerBound)}
	t := &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, errors.WithType(err, errNotSent)
			}
			if tcp, ok := c.(*net.TCPConn); ok {
				tcp.SetLinger(0)
			}
			check, ok := ctx.Value(checkKey{}).(func() bool)
			if !ok {
				return c, nil
			}
			return &guarded{Conn: c, check: check}, nil
		},
	}
	return &Sender{client: &http.Client{Transport: t, Timeout: sendTimeout}}
}

// Post sends body with header fields where check holds at the moment of writing, and returns the answer's status.
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
	resp, err := s.client.Do(r)
	if err != nil {
		return 0, nil, errors.Annotatef(err, "post to %s", url)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	return resp.StatusCode, bytes.TrimSpace(text), errors.Annotatef(err, "answer of %s", url)
}

// post sends v as JSON under fence.
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

// web speaks this project's own protocol to a platform.
type web struct {
	sender *Sender
	url    string
}

// Report implements Platform.
func (w *web) Report(ctx context.Context, _ id.VM, f id.Fence, r usage.Report, check func() bool) error {
	return w.sender.post(ctx, w.url+"/v1/usage", f, report{Window: r.Window, Fence: f, Lines: r.Lines}, check)
}

// Scale implements Platform. This project's own protocol orders no upstreams.
func (w *web) Scale(context.Context, id.VM, id.Fence, Number, func() bool) error {
	return errors.NotSupportedf("ordering upstreams")
}

// Send implements Engines.
func (w *web) Send(ctx context.Context, _ id.VM, to engine.Announcement, o order.Order, check func() bool) error {
	return w.sender.order(ctx, to.Address, o, check)
}

// Taken implements Engines.
func (w *web) Taken(ctx context.Context, to engine.Announcement, o order.Order) (bool, error) {
	st, err := w.sender.readBack(ctx, to.Address)
	return st.Order == o.ID, err
}

// Refused marks err as a peer's refusal: what was sent has no effect.
func Refused(err error) error { return errors.WithType(err, errRefused) }

// Get reads url.
func (s *Sender) Get(ctx context.Context, url string, header http.Header) (int, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, errors.Annotatef(err, "build request to %s", url)
	}
	r.Header = header
	resp, err := s.client.Do(r)
	if err != nil {
		return 0, nil, errors.Annotatef(err, "get %s", url)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	return resp.StatusCode, text, errors.Annotatef(err, "answer of %s", url)
}

// message is the JSON form of an order.
type message struct {
	ID     id.Index   `json:"id"`
	Kind   order.Kind `json:"kind"`
	Value  string     `json:"value"`
	Fence  id.Fence   `json:"fence"`
	Reason string     `json:"reason,omitempty"`
}

func (s *Sender) order(ctx context.Context, address string, o order.Order, check func() bool) error {
	m := message{ID: o.ID, Kind: o.Kind, Value: o.Value, Fence: o.Fence, Reason: o.Reason}
	return s.post(ctx, "http://"+address+"/v1/orders", o.Fence, m, check)
}

// engineState is what an engine tells about the orders it took.
type engineState struct {
	Order id.Index `json:"order"` // the last one taken
	Role  string   `json:"role"`
}

func (s *Sender) readBack(ctx context.Context, address string) (engineState, error) {
	var st engineState
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/state", nil)
	if err != nil {
		return st, errors.Annotatef(err, "build request to %s", address)
	}
	resp, err := s.client.Do(r)
	if err != nil {
		return st, errors.Annotatef(err, "read state of upstream %s", address)
	}
	defer resp.Body.Close()
	return st, errors.Annotatef(json.NewDecoder(io.LimitReader(resp.Body, maxReply)).Decode(&st), "state of upstream %s", address)
}

// report is the JSON form of a usage report.
type report struct {
	Window id.Window    `json:"window"`
	Fence  id.Fence     `json:"fence"`
	Lines  []usage.Line `json:"lines"`
}
