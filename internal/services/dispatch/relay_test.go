package dispatch

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/modules/id"
)

// recordingSink records the chunks and the end event that a caller would receive.
type recordingSink struct {
	chunks []string
	end    *StreamEnd
	fail   error
}

func (s *recordingSink) Chunk(data []byte) error {
	s.chunks = append(s.chunks, string(data))
	return s.fail
}

func (s *recordingSink) End(f StreamEnd) error {
	s.end = &f
	return s.fail
}

func tokenEvent(rid string, n int) string {
	return fmt.Sprintf("id: %s/%d\ndata: {\"choices\":[{\"delta\":{\"content\":\" t%d\"}}]}\n\n", rid, n, n)
}

func endEvent(rid string, n int) string {
	return fmt.Sprintf("event: end\nid: %s/%d\ndata: {\"prompt_tokens\":1,\"completion_tokens\":%d,\"finish_reason\":\"stop\"}\n\n", rid, n, n)
}

func runRelay(body string, pr *progress) (*recordingSink, error) {
	s := &recordingSink{}
	err := relay(strings.NewReader(body), "r1", s, pr, &latencyTracker{}, newSilenceTimer(func(bool) bool { return true }))
	return s, err
}

func TestRelay(t *testing.T) {
	for name, c := range map[string]struct {
		body   string
		before id.Tokens
		tokens id.Tokens
		err    error
	}{
		"complete":               {body: tokenEvent("r1", 1) + tokenEvent("r1", 2) + endEvent("r1", 2), tokens: 2},
		"truncated":              {body: tokenEvent("r1", 1), tokens: 1, err: errTruncated},
		"truncated inside event": {body: tokenEvent("r1", 1) + "id: r1/2\ndata: {", tokens: 1, err: errTruncated},
		"other request":          {body: tokenEvent("r1", 1) + tokenEvent("r2", 2), tokens: 1, err: errWrongRequest},
		"end of other request":   {body: tokenEvent("r1", 1) + endEvent("r2", 1), tokens: 1, err: errWrongRequest},
		"missing token":          {body: tokenEvent("r1", 1) + tokenEvent("r1", 3), tokens: 1, err: errTokenOrder},
		"end with wrong count":   {body: tokenEvent("r1", 1) + endEvent("r1", 2), tokens: 1, err: errTokenOrder},
		"repeated token":         {body: tokenEvent("r1", 1) + tokenEvent("r1", 1) + tokenEvent("r1", 2) + endEvent("r1", 2), tokens: 1, err: errTokenOrder},
		"resumed":                {body: tokenEvent("r1", 4) + endEvent("r1", 4), before: 3, tokens: 4},
		"no id":                  {body: "data: {}\n\n" + endEvent("r1", 0), tokens: 0, err: errMissingID},
		"comment":                {body: ": hello\n\n" + tokenEvent("r1", 1) + endEvent("r1", 1), tokens: 1},
	} {
		t.Run(name, func(t *testing.T) {
			pr := &progress{tokens: c.before}
			s, err := runRelay(c.body, pr)
			require.ErrorIs(t, err, c.err)
			require.Equal(t, c.tokens, pr.tokens)
			require.Equal(t, c.err == nil, s.end != nil, "the end event must arrive exactly with a complete response")
		})
	}
}

// A failed write to the caller must not be attributed to the engine.
func TestCallerWriteErrorIsDistinct(t *testing.T) {
	s := &recordingSink{fail: errors.New("gone")}
	err := relay(strings.NewReader(tokenEvent("r1", 1)), "r1", s, &progress{}, &latencyTracker{}, newSilenceTimer(func(bool) bool { return true }))
	var writeErr callerError
	require.ErrorAs(t, err, &writeErr)
}

type discardSink struct{}

func (discardSink) Chunk([]byte) error  { return nil }
func (discardSink) End(StreamEnd) error { return nil }

// BenchmarkRelayChunk measures the relay of one token event.
func BenchmarkRelayChunk(b *testing.B) {
	const per = 1000
	var body bytes.Buffer
	for i := 1; i <= per; i++ {
		body.WriteString(tokenEvent("r1", i))
	}
	body.WriteString(endEvent("r1", per))
	b.ReportAllocs()
	for b.Loop() {
		pr := &progress{}
		if err := relay(bytes.NewReader(body.Bytes()), "r1", discardSink{}, pr, &latencyTracker{}, newSilenceTimer(func(bool) bool { return true })); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*per), "ns/chunk")
}
