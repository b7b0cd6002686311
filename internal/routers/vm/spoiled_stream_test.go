package vm

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/services/call"
)

// startSpoilingEngine announces an engine that writes text into each of its streams, after two tokens and before more.
func (f *fleet) startSpoilingEngine(version, text string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	f.stops = append(f.stops, func() { l.Close() })
	require.NoError(f.t, f.vms[0].roster.Announce(clock.SinceBoot(), engine.Announcement{
		Name: "spoiling", Zone: testZone, Address: l.Addr().String(), State: engine.Ready, Role: engine.Both, Model: testModel, Version: version, Incarnation: 7, KVBlocks: 1 << 20,
	}))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go spoil(c, text)
		}
	}()
}

func spoil(c net.Conn, text string) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	request := r.Header.Get("Wagtaillift-Request")
	var body struct{ Resume struct{ Tokens int } }
	if r.Method == http.MethodGet || json.NewDecoder(r.Body).Decode(&body) != nil {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nWagtaillift-Incarnation: 7\r\nContent-Length: 0\r\n\r\n")
		return
	}
	event := func(n int) string {
		return fmt.Sprintf("id: %s/%d\ndata: {\"choices\":[{\"delta\":{\"content\":\"t%d\"}}]}\n\n", request, n, n)
	}
	n := body.Resume.Tokens
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nWagtaillift-Request: %s\r\nContent-Type: text/event-stream\r\n\r\n%s%s%s%s", request, event(n+1), event(n+2), text, event(n+3))
	fmt.Fprintf(c, "event: end\nid: %s/%d\ndata: {\"prompt_tokens\":1,\"completion_tokens\":%d,\"finish_reason\":\"length\"}\n\n", request, n+3, n+3)
}

// An engine writes bytes of no run into its streams. A streaming caller gets the sound tokens and an error, without the mark of a complete answer;
// another caller gets a refusal.
func TestSpoiledStreamsDoNotLookComplete(t *testing.T) {
	for name, text := range map[string]string{
		"text":              "out of memory\n\n",
		"event without ID":  "data: {\"choices\":[{\"delta\":{\"content\":\"foreign\"}}]}\n\n",
		"data that is text": "id: 1/3\ndata: out of memory\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1)
			f.startSpoilingEngine("v1", text)
			resp, body := f.callVM(f.vms[0], "POST", "/v1/chat/completions", f.secrets["one"], chatBody("x", 3, true))
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.True(t, strings.HasPrefix(body, "data: {\"choices\":[{\"delta\":{\"content\":\"t1\"}}]}\n\ndata: {\"choices\":[{\"delta\":{\"content\":\"t2\"}}]}\n\n"), body)
			require.NotContains(t, body, "[DONE]")
			require.NotContains(t, body, "out of memory")
			require.NotContains(t, body, "foreign")
			require.Contains(t, body, "event: error\n")
		})
	}
	t.Run("a caller that takes no stream", func(t *testing.T) {
		f := newFleet(t, 1)
		f.startSpoilingEngine("v1", "out of memory\n\n")
		resp, body := f.callVM(f.vms[0], "POST", "/v1/chat/completions", f.secrets["one"], chatBody("x", 3, false))
		requireRefusal(t, resp, body, http.StatusBadGateway, call.UpstreamFailed, call.RunUnknown)
		for _, a := range f.attemptsOf(resp.Header.Get("Wagtaillift-Request")) {
			require.Contains(t, a.Error, "a line that is no field of an event")
		}
	})
}
