package forward

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// Text of an upstream that broke off is not passed on as a part of the stream, and does not end it as if it were complete.
func TestTextThatIsNoEvent(t *testing.T) {
	const text = "HTTP/1.1 500 Internal Server Error\r\nX: y\r\n\r\n"
	begin := sendResult{status: 200, stream: true, body: sampleEvents(1, 2), truncated: true}
	for name, c := range map[string]struct {
		steps []sendResult
		want  string
		whole bool
	}{
		"alone in the rest":             {[]sendResult{begin, {status: 200, stream: true, body: text}}, sampleEvents(1, 2), false},
		"at the end of the rest":        {[]sendResult{begin, {status: 200, stream: true, body: sampleEvents(3, 3) + text}}, sampleEvents(1, 3), false},
		"before the rest":               {[]sendResult{begin, {status: 200, stream: true, body: text + sampleEvents(3, 4)}}, sampleEvents(1, 2), false},
		"between events of the rest":    {[]sendResult{begin, {status: 200, stream: true, body: sampleEvents(3, 3) + text + sampleEvents(4, 4)}}, sampleEvents(1, 3), false},
		"blank lines after the rest":    {[]sendResult{begin, {status: 200, stream: true, body: sampleEvents(3, 4) + "\n\n\n"}}, sampleEvents(1, 4), true},
		"a comment in the rest":         {[]sendResult{begin, {status: 200, stream: true, body: ": x\n\n" + sampleEvents(3, 4)}}, sampleEvents(1, 2) + ": x\n\n" + sampleEvents(3, 4), true},
		"after events without a length": {[]sendResult{{status: 200, stream: true, unframed: true, body: sampleEvents(1, 2) + text}, {status: 200, stream: true, body: sampleEvents(3, 4)}}, sampleEvents(1, 4), true},
		"after events with a length":    {[]sendResult{{status: 200, stream: true, body: sampleEvents(1, 2) + text}, {status: 200, stream: true, body: sampleEvents(3, 4)}}, sampleEvents(1, 4), true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, c.steps...)
			out := &fakeSink{}
			err := s.Serve(context.Background(), newCall("/resumable/"), out)
			require.Equal(t, c.want, out.body.String())
			if c.whole {
				require.NoError(t, err)
			} else {
				require.ErrorIs(t, err, ErrTruncated)
			}
		})
	}
}
