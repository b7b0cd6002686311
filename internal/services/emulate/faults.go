package emulate

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"
)

// Faults holds the probability of each fault per request, the prompt text that crashes the engine, and the limit that it names.
type Faults struct {
	Truncated float64 `json:"cut"`   // the stream is truncated: it ends without its end event
	Late      float64 `json:"late"`  // the answer starts after lateDelay
	WrongID   float64 `json:"cross"` // the answer carries the ID of another request
	Reset     float64 `json:"reset"` // the connection is reset before the answer
	Again     float64 `json:"again"` // a second copy of the answer's head and a token follow, late, on the same connection
	Fail      float64 `json:"fail"`  // the answer is a failure, status 500
	Hang      float64 `json:"hang"`  // the request is read and never answered
	Drip      float64 `json:"drip"`  // after its first token the stream has comments only
	Crash     string  `json:"crash"` // a prompt that contains this text crashes the engine; empty for none
	Limit     float64 `json:"limit"` // requests a second that the engine names as its limit; 0 names none
}

// check returns an error that names a probability which is none.
func (f *Faults) check() error {
	for name, v := range map[string]float64{
		"cut": f.Truncated, "late": f.Late, "cross": f.WrongID, "reset": f.Reset, "again": f.Again, "fail": f.Fail, "hang": f.Hang, "drip": f.Drip,
	} {
		if v < 0 || v > 1 {
			return errors.NotValidf("faults: %s of %g (from 0 to 1)", name, v)
		}
	}
	if f.Limit < 0 {
		return errors.NotValidf("faults: limit of %g (0 or more)", f.Limit)
	}
	return nil
}

const (
	lateDelay    = 300 * time.Millisecond // delay of a late answer
	againDelay   = 20 * time.Millisecond  // between the end of an answer and its second copy
	dripInterval = time.Second            // between two comments of a stalled stream
)

// faultDraw holds the randomly selected faults of one request.
type faultDraw struct {
	truncate, late, wrongID, reset, again, fail, hang, drip, crash bool

	truncateAt int      // number of tokens after which a truncated answer ends
	conn       net.Conn // of the request, for what follows its answer
}

// drawFaults selects the faults of a request by the probabilities of the engine's Faults.
func (e *Engine) drawFaults(prompt string, maxTokens int) faultDraw {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.faults
	happens := func(probability float64) bool { return e.rng.Float64() < probability }
	return faultDraw{
		truncate: happens(f.Truncated), late: happens(f.Late), wrongID: happens(f.WrongID), reset: happens(f.Reset),
		truncateAt: 1 + e.rng.IntN(max(1, maxTokens)), again: happens(f.Again), fail: happens(f.Fail), hang: happens(f.Hang),
		drip: happens(f.Drip), crash: f.Crash != "" && strings.Contains(prompt, f.Crash),
	}
}

// begin carries out the faults that come before an answer. It returns false if there is no other answer.
func (d *faultDraw) begin(w http.ResponseWriter, r *http.Request) bool {
	d.conn, _ = r.Context().Value(connKey{}).(net.Conn)
	switch {
	case d.reset:
		panic(http.ErrAbortHandler)
	case d.hang:
		<-r.Context().Done()
		return false
	case d.fail:
		w.Header().Set(headerRequest, r.Header.Get(headerRequest))
		http.Error(w, "the engine failed", http.StatusInternalServerError)
		return false
	case d.late:
		time.Sleep(lateDelay)
	}
	return true
}

// end carries out the faults that come after the answer to a request.
func (d *faultDraw) end(request string) {
	if !d.again || d.conn == nil {
		return
	}
	body := fmt.Sprintf("id: %s/1\ndata: {\"choices\":[{\"index\":0,\"text\":\" again\"}]}\n\n", request)
	copied := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", headerRequest, request, len(body), body)
	time.AfterFunc(againDelay, func() {
		if _, err := io.WriteString(d.conn, copied); err != nil {
			klog.V(2).InfoS("Second copy of an answer not sent", "request", request, "err", err)
		}
	})
}

// dripComments sends comments in place of the further tokens of s until the caller leaves.
func dripComments(ctx context.Context, w io.Writer, f http.Flusher, s *sequence) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.callerGone:
			return
		case <-time.After(dripInterval):
		}
		if _, err := io.WriteString(w, ": wait\n\n"); err != nil {
			return
		}
		f.Flush()
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}
