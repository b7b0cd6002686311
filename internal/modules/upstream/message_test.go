package upstream

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A line end in the name of a customer, or in what an upstream had answered, reached the next upstream as a field or request of its own, and
// a customer whose name ends in a space was told to it as another one.
func TestLineEndsAreNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	for name, change := range map[string]func(m *Message){
		"in a value":       func(m *Message) { m.Header.Set("X-Tenant", "a\r\nX-Kv-Hold: 1") },
		"a lone one":       func(m *Message) { m.Header.Set("Last-Event-Id", "1\r2") },
		"a zero byte":      func(m *Message) { m.Header.Set("X-Kv-Source", "h\x00") },
		"spaces around it": func(m *Message) { m.Header.Set("X-Tenant", "a ") },
		"in a name":        func(m *Message) { m.Header["X-A\r\nX-B"] = []string{"1"} },
		"in the target":    func(m *Message) { m.Target = "/a HTTP/1.1\r\n\r\nGET /b" },
		"in the host":      func(m *Message) { m.Host = "h\r\nX-Kv-Hold: 1" },
		"a space in a URL": func(m *Message) { m.Target = "/a b" },
	} {
		t.Run(name, func(t *testing.T) {
			m := &Message{Method: http.MethodPost, Target: "/a", Host: "h", Header: http.Header{"X-Request-Id": {"q"}}}
			require.NoError(t, m.check())
			change(m)
			p := &Pool{Dialer: &Dialer{}}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, sent, err := p.Do(ctx, l.Addr().String(), 0, m)
			require.ErrorContains(t, err, "not valid")
			require.False(t, sent)
			require.Zero(t, p.Opened.Load())
		})
	}
}
