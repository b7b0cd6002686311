package dispatch

import (
	"fmt"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/modules/clock"
)

// lateAnswers are answers to an earlier request that arrive where the answer to r1 is due.
var lateAnswers = map[string]string{
	"refusal":            "400 Bad Request",
	"not found":          "404 Not Found",
	"refusal of content": "422 Unprocessable Content",
	"failure":            "503 Service Unavailable",
	"success":            "200 OK",
}

// Guards against taking the refusal of another request for that of a call, and its load and limit for those of the engine now.
func TestLateAnswerIsNotTaken(t *testing.T) {
	for name, status := range lateAnswers {
		t.Run(name, func(t *testing.T) {
			b := newEngines(t, 2, func(k, tokens int, c net.Conn) {
				if k == 0 {
					fmt.Fprintf(c, "HTTP/1.1 %s\r\n%s: r0\r\n%s: 0.5\r\n%s: {\"running\":900}\r\nContent-Length: 0\r\n\r\n", status, headerRequest, headerRate, headerLoad)
					return
				}
				framings["length"](c, restAfter(tokens), "")
			})
			b.requireWhole(t)
			require.Empty(t, b.d.Pace.Limits(clock.SinceBoot()), "the limit of a late answer counts")
		})
	}
}

// The same for an application, on the connection that has carried the earlier request.
func TestLatePlainAnswerIsNotTaken(t *testing.T) {
	for name, status := range lateAnswers {
		t.Run(name, func(t *testing.T) {
			b := newTestFleet(t, []fault{wrongRequestID})
			defer b.close()
			b.apps[0].setAnswers(fmt.Sprintf("HTTP/1.1 %s\r\n%s: r0\r\n%s: 0.5\r\nContent-Length: 0\r\n\r\n", status, headerRequest, headerRate), true)
			a, err := b.send("POST", "name=1", false)
			require.Error(t, err, "%v", a)
			require.Empty(t, b.d.Pace.Limits(clock.SinceBoot()), "the limit of a late answer counts")
		})
	}
}
