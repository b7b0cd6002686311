package vm

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/services/call"
	"wagtaillift/internal/services/emulate"
)

// conversation returns the JSON body of a chat call with several messages.
func conversation(texts ...string) string {
	var messages []map[string]string
	for _, text := range texts {
		messages = append(messages, map[string]string{"role": "user", "content": text})
	}
	data, _ := json.Marshal(map[string]any{"model": testModel, "max_tokens": 40, "messages": messages})
	return string(data)
}

// Calls that share one message, and nothing else, crash every engine that answers them.
func TestCallsWithCrashingMessageAreQuarantined(t *testing.T) {
	const (
		calls      = 12
		maxCrashes = 5 + 3 // the crashes that show the cause, and a few calls that are on their way meanwhile
	)
	f := newFleet(t, 2)
	for i := range 4 {
		f.startEngine(i, emulate.Faults{Crash: "poison"})
	}
	f.waitForUpstreams(4)
	send := func(i int, texts ...string) (*http.Response, string) {
		return f.callVM(f.vms[i%2], "POST", "/v1/chat/completions", f.secrets["one"], conversation(texts...))
	}
	f.waitForUpstreams(4)
	for i := range calls {
		own := fmt.Sprint("question ", i)
		send(i, "instructions", "poison", own)
		f.waitUntil("a sound call that shares the first message", func() bool {
			resp, _ := send(i, "instructions", "document", own)
			return resp.StatusCode == http.StatusOK
		})
	}
	crashes := int64(0)
	for _, e := range f.engines {
		crashes += e.Stats().Crashes
	}
	require.LessOrEqual(t, crashes, int64(maxCrashes))
	for i := range 2 {
		resp, body := send(i, "other instructions", "poison", fmt.Sprint("last question ", i))
		requireRefusal(t, resp, body, http.StatusUnprocessableEntity, call.Quarantined, call.RunNo)
	}
}
