package pipeline

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/service"
	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/memory"
	"wagtaillift/internal/services/call"
)

// unread fails the test if a body is read for which there is no room.
type unread struct {
	io.Reader
	t *testing.T
}

func (u unread) Read(p []byte) (int, error) {
	require.Fail(u.t, "the body was read")
	return u.Reader.Read(p)
}

// Bodies were read whole whatever the VM held, and copied several times.
func TestBodyWithoutRoomIsNotRead(t *testing.T) {
	body := `{"model":"m","messages":[{"role":"user","content":"` + strings.Repeat("x", 1000) + `"}]}`
	size := int64(len(body))
	for name, c := range map[string]struct {
		kind  call.Kind
		limit int64
		held  int64
	}{
		"model call without room for its copies": {call.Chat, modelCopies*size - 1, 0},
		"model call":                             {call.Chat, modelCopies * size, modelCopies * size},
		"plain call without room":                {call.Plain, size - 1, 0},
		"plain call":                             {call.Plain, size, size},
	} {
		t.Run(name, func(t *testing.T) {
			b := &memory.Budget{}
			b.SetLimit(c.limit)
			reader := io.Reader(strings.NewReader(body))
			if c.held == 0 {
				reader = unread{reader, t}
			}
			r := httptest.NewRequest(http.MethodPost, "/", reader)
			r.ContentLength = size
			w := httptest.NewRecorder()
			n := &call.Call{Kind: c.kind, W: w, R: r, Start: time.Now(), Config: &state.Config{Services: map[id.Service]service.Service{
				"m": {ID: "m", Kind: service.Model, AllowAnonymous: true}, "p": {ID: "p", Kind: service.Plain, AllowAnonymous: true},
			}}}
			if c.kind == call.Plain {
				n.Service.ID = "p"
			}
			err := Classify(BodyLimits{Body: 1 << 20, ReadTimeout: time.Second, Memory: b})(context.Background(), n)
			require.Equal(t, c.held, b.Held(memory.Body))
			if c.held > 0 {
				require.NoError(t, err)
			} else {
				var refusal *call.Refusal
				require.True(t, errors.As(err, &refusal), fmt.Sprint(err))
				require.Equal(t, http.StatusServiceUnavailable, refusal.Status)
				require.Equal(t, call.RunNo, refusal.Run)
				require.Positive(t, refusal.RetryAfter)
				require.Equal(t, "close", w.Header().Get("Connection"))
			}
			n.Room.Release()
			require.Zero(t, b.Held(memory.Body))
		})
	}
}
