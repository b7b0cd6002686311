package dispatch

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// spoiledAnswers are answers of an application to r-1, the whole of which is "done", and what of them may reach the caller.
var spoiledAnswers = map[string]struct {
	answer string
	body   string // empty if the call must fail
}{
	"shorter than its length":     {"Content-Length: 5\r\n\r\ndone", ""},
	"longer than its length":      {"Content-Length: 4\r\n\r\ndone out of memory", "done"},
	"a second answer":             {"Content-Length: 4\r\n\r\ndoneHTTP/1.1 200 OK\r\nWagtaillift-Request: r-0\r\nContent-Length: 5\r\n\r\nagain", "done"},
	"chunks without their end":    {"Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n", ""},
	"half a chunk":                {"Transfer-Encoding: chunked\r\n\r\n5\r\ndone", ""},
	"text in place of a chunk":    {"Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\nout of memory\r\n0\r\n\r\n", ""},
	"bytes after the last chunk":  {"Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\nout of memory", "done"},
	"two lengths":                 {"Content-Length: 4\r\nContent-Length: 5\r\n\r\ndone", ""},
	"a length that is none":       {"Content-Length: 4x\r\n\r\ndone", ""},
	"a line of the head is none":  {"out of memory\r\nContent-Length: 4\r\n\r\ndone", ""},
	"an ID that comes twice":      {"Wagtaillift-Request: r-1\r\nContent-Length: 4\r\n\r\ndone", "done"},
	"cut inside the head":         {"Content-Le", ""},
	"cut before the head is over": {"Content-Length: 4\r\n", ""},
}

// Bytes of an answer that breaks off do not reach the caller, nor do those after its end. A call that may not be repeated fails then; one
// that may be is answered by another application.
func TestSpoiledPlainAnswers(t *testing.T) {
	for name, c := range spoiledAnswers {
		t.Run(name, func(t *testing.T) {
			head := "HTTP/1.1 200 OK\r\nWagtaillift-Request: r-1\r\n"
			b := newTestFleet(t, []fault{wrongRequestID})
			defer b.close()
			b.apps[0].setAnswers(head+c.answer, c.body != "")
			a, err := b.send("POST", "name=1", false)
			if c.body == "" {
				require.Error(t, err)
			} else {
				require.NoError(t, err)
				require.Equal(t, c.body, string(a.Body))
				require.True(t, a.Whole)
				b.apps[0].setAnswers(head+"Content-Length: 4\r\n\r\nnext", true)
				// The client may send the next request before it has seen the bytes. Then the request fails.
				if a, err = b.send("POST", "name=1", false); err == nil {
					require.Equal(t, "next", string(a.Body))
				}
			}
			repeatable := newTestFleet(t, []fault{wrongRequestID, healthy})
			defer repeatable.close()
			repeatable.apps[0].setAnswers(head+c.answer, false)
			a, err = repeatable.d.RunPlain(context.Background(), repeatable.newRetryableCall())
			require.NoError(t, err)
			require.Contains(t, []string{"done", "done r-1"}, string(a.Body))
		})
	}
}
