package order

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/models/order"
)

// Guards against taking an order for accepted by the first part of a report that goes on as something else or breaks off.
func TestSpoiledStateOfAnEngine(t *testing.T) {
	const sound = `{"order":7,"role":"both"}`
	for name, c := range map[string]struct {
		body     string
		length   int
		accepted bool
	}{
		"sound":                   {sound + "\n", len(sound) + 1, true},
		"another order":           {`{"order":6}`, 11, false},
		"text after it":           {sound + "x", len(sound) + 1, false},
		"two reports":             {sound + `{"order":6}`, len(sound) + 11, false},
		"order that comes twice":  {`{"order":6,"order":7}`, 21, false},
		"shorter than its length": {sound, len(sound) + 1, false},
		"half":                    {sound[:10], 10, false},
	} {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", fmt.Sprint(c.length))
				w.Write([]byte(c.body))
			}))
			defer srv.Close()
			n := &nativeClient{sender: NewSender()}
			accepted, err := n.Accepted(context.Background(), engine.Announcement{Address: strings.TrimPrefix(srv.URL, "http://")}, order.Order{ID: 7})
			require.Equal(t, c.accepted, accepted && err == nil, "%v", err)
		})
	}
}
