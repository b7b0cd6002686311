package forward

import (
	"fmt"
	"io"
	"strings"
	"testing"
)

// eventReader returns one event with each read.
type eventReader struct {
	n, last int
	text    string
}

func (r *eventReader) Read(p []byte) (int, error) {
	if r.n == r.last {
		return 0, io.EOF
	}
	r.n++
	return copy(p, fmt.Appendf(p[:0], "id: %d\ndata: %s\n\n", r.n, r.text)), nil
}

// discardSink discards the answer.
type discardSink struct{}

func (discardSink) Begin(*Answer) error  { return nil }
func (discardSink) Write(p []byte) error { return nil }

// BenchmarkForwardStream reports the cost of one event of a sound stream.
func BenchmarkForwardStream(b *testing.B) {
	for _, size := range []int{64, 1024} {
		b.Run(fmt.Sprint(size, " bytes"), func(b *testing.B) {
			s := newFixture(&testing.T{})
			c := newCall("/resumable/")
			c.config = s.Config()
			c.route, _ = c.config.FindRoute(c.Host, c.Path)
			u := s.Roster.Snapshot().Services[model][0]
			a := &Answer{Status: 200, Stream: true, Framed: true, Body: &eventReader{last: b.N, text: strings.Repeat("x", size)}, Release: func(bool) {}}
			b.SetBytes(int64(size))
			b.ReportAllocs()
			b.ResetTimer()
			if err := s.forwardStream(c, &selection{u: u}, &progress{}, a, discardSink{}, &silenceTimer{}, c.Start); err != nil {
				b.Fatal(err)
			}
		})
	}
}
