package upstream

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Callers choose the ids of their requests, so that two may choose the same. A server that sends a second copy of the first answer when
// the second request arrives must not have it taken for the second's.
func TestSecondAnswerWithTheSameID(t *testing.T) {
	s := startUpstream(t, func(s *testUpstream, _ int64, c net.Conn, r *bufio.Reader) {
		before := ""
		for {
			body, ok := s.readRequest(r)
			if !ok {
				return
			}
			own := answer("1", "answer to "+body)
			c.Write([]byte(before + own))
			before = own
		}
	})
	p := &Pool{Dialer: &Dialer{}}
	for _, body := range []string{"one", "two", "three"} { // with two connections at most
		m := message("1", body)
		m.ID = "1"
		got, _, err := exchange(t, p, s.address(), m)
		require.NoError(t, err)
		require.Equal(t, "answer to "+body, got)
	}
	require.Len(t, s.requestLines(), 3)
	t.Run("an answer to a request with an id is not taken for one without", func(t *testing.T) {
		m := message("", "four")
		m.Header, m.IsOwnAnswer = nil, func(h http.Header) bool { return h.Get("X-Id") == "" }
		_, _, err := exchange(t, p, s.address(), m)
		require.Error(t, err)
	})
}
