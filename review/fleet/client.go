package fleet

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Results of a request whose channel ended, as in the texts that Client's methods return.
const (
	ClosedUnanswered = "closed without an answer"
	ClosedInAnswer   = "closed in the answer"
)

// Client sends requests with the key "key1" to an entry VM. Its methods return how a request ended: the status and the text of
// the answer, or what happened to the channel.
type Client struct {
	Address   string
	TimeoutMS int // time budget of a request
}

// Send sends a request on a channel of its own.
func (c Client) Send(path, id, body string) string {
	conn, err := net.DialTimeout("tcp", c.Address, time.Second)
	if err != nil {
		return "no channel: " + err.Error()
	}
	defer conn.Close()
	return c.exchange(conn, bufio.NewReader(conn), path, id, body)
}

// SendOnKept opens a channel, has a request to firstPath answered on it, and sends another one on the kept channel. Begin is
// called before the second one.
func (c Client) SendOnKept(firstPath, path, id, body string, begin func()) string {
	conn, err := net.DialTimeout("tcp", c.Address, time.Second)
	if err != nil {
		return "no channel: " + err.Error()
	}
	defer conn.Close()
	r := bufio.NewReader(conn)
	if end := c.exchange(conn, r, firstPath, "first-"+id, ""); !strings.HasPrefix(end, "200") {
		return "not sent, as the request before it ended so: " + end
	}
	begin()
	return c.exchange(conn, r, path, id, body)
}

func (c Client) exchange(conn net.Conn, r *bufio.Reader, path, id, body string) string {
	conn.SetDeadline(time.Now().Add(time.Duration(c.TimeoutMS)*time.Millisecond + time.Second))
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token key1\r\nContent-Length: %d\r\n\r\n%s",
		path, id, c.TimeoutMS, len(body), body)
	if err != nil {
		return "not sent whole: " + err.Error()
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return ClosedUnanswered + ": " + err.Error()
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return ClosedInAnswer + ": " + err.Error()
	}
	return fmt.Sprintf("%d %.60s", resp.StatusCode, text)
}
