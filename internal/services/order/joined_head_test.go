package order

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against taking a refusal for a success because the peer broke off inside the head of another answer before it.
func TestRefusalBehindHalfAHead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				io.WriteString(c, "HTTP/1.1 200 OK\r\nDate: Sat, 05HTTP/1.1 409 Conflict\r\nContent-Length: 3\r\n\r\nold")
			}
			c.Close()
		}
	}()
	s, url := NewSender(), "http://"+l.Addr().String()+"/"
	status, _, err := s.Post(context.Background(), url, http.Header{}, []byte("{}"), func() bool { return true })
	require.Error(t, err, "status %d", status)
	status, _, err = s.Get(context.Background(), url, http.Header{})
	require.Error(t, err, "status %d", status)
}
