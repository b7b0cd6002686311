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

// sink collects what a caller would get.
type sink struct {
	chunks []string
	end    *Final
	fail   error
}

func (s *sink) Chunk(data []byte) error {
	s.chunks = append(s.chunks, string(data))
	return s.fail
}

func (s *sink) End(f Final) error {
	s.end = &f
	return s.fail
}

func token(rid string, n int) string {
	return fmt.Sprintf("id: %s/%d\ndata: {\"choices\":[{\"delta\":{\"content\":\" t%d\"}}]}\n\n", rid, n, n)
}

func endMark(rid string, n int) string {
	return fmt.Sprintf("event: end\nid: %s/%d\ndata: {\"prompt_tokens\":1,\"completion_tokens\":%d,\"finish_reason\":\"stop\"}\n\n", rid, n, n)
}

func run(body string, pr *progress) (*sink, error) {
	s := &sink{}
	err := relay(strings.NewReader(body), "r1", s, pr, &pace{}, func() {})
	return s, err
}

func TestRelay(t *testing.T) {
	for name, c := range map[string]struct {
		body   string
		before id.Tokens
		tokens id.Tokens
		err    error
	}{
		"whole":            {body: token("r1", 1) + token("r1", 2) + endMark("r1", 2), tokens: 2},
		"cut":              {body: token("r1", 1), tokens: 1, err: errCut},
		"cut inside event": {body: token("r1", 1) + "id: r1/2\ndata: {", tokens: 1, err: errCut},
		"foreign":          {body: token("r1", 1) + token("r2", 2), tokens: 1, err: errForeign},
		"foreign end":      {body: token("r1", 1) + endMark("r2", 1), tokens: 1, err: errForeign},
		"gap":              {body: token("r1", 1) + token("r1", 3), tokens: 1, err: errOrder},
		"short end":        {body: token("r1", 1) + endMark("r1", 2), tokens: 1, err: errOrder},
		"doubled":          {body: token("r1", 1) + token("r1", 1) + token("r1", 2) + endMark("r1", 2), tokens: 2},
		"resumed":          {body: token("r1", 4) + endMark("r1", 4), before: 3, tokens: 4},
		"no id":            {body: "data: {}\n\n" + endMark("r1", 0), tokens: 0},
		"comment":          {body: ": hello\n\n" + token("r1", 1) + endMark("r1", 1), tokens: 1},
	} {
		t.Run(name, func(t *testing.T) {
			pr := &progress{tokens: c.before}
			s, err := run(c.body, pr)
			require.ErrorIs(t, err, c.err)
			require.Equal(t, c.tokens, pr.tokens)
			require.Equal(t, c.err == nil, s.end != nil, "an end without a whole answer")
		})
	}
}

func TestCallerErrorIsNotTheEngines(t *testing.T) {
	s := &sink{fail: errors.New("gone")}
	err := relay(strings.NewReader(token("r1", 1)), "r1", s, &progress{}, &pace{}, func() {})
	var gone callerError
	require.ErrorAs(t, err, &gone)
}

func FuzzRelay(f *testing.F) {
	f.Add(token("r1", 1) + token("r1", 2) + endMark("r1", 2))
	f.Add("event: end\nid: r1/0\ndata: {}\n\n")
	f.Fuzz(func(t *testing.T, body string) {
		pr := &progress{}
		s, err := run(body, pr)
		require.Len(t, s.chunks, int(pr.tokens))
		if err == nil {
			require.NotNil(t, s.end)
			require.Equal(t, pr.tokens, s.end.Output)
		}
	})
}

type discard struct{}

func (discard) Chunk([]byte) error { return nil }
func (discard) End(Final) error    { return nil }

// BenchmarkRelayChunk measures the relay of one token event.
func BenchmarkRelayChunk(b *testing.B) {
	const per = 1000
	var body bytes.Buffer
	for i := 1; i <= per; i++ {
		body.WriteString(token("r1", i))
	}
	body.WriteString(endMark("r1", per))
	b.ReportAllocs()
	for b.Loop() {
		pr := &progress{}
		if err := relay(bytes.NewReader(body.Bytes()), "r1", discard{}, pr, &pace{}, func() {}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*per), "ns/chunk")
}
