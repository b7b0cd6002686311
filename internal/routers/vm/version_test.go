package vm

import (
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/services/call"
	"wagtaillift/internal/services/emulate"
)

// Answers that break off go on only at engines of the software version that began them.
func TestBrokenAnswerKeepsItsVersion(t *testing.T) {
	const (
		calls   = 40
		tokens  = 12
		engines = 4
	)
	f := newFleet(t, 1)
	for i := range engines {
		f.startEngineOfVersion(i, fmt.Sprint("v", i%2), emulate.Faults{Truncated: 0.5})
	}
	f.waitForUpstreams(engines)
	resumed, answered := 0, 0
	fingerprints := regexp.MustCompile(`"system_fingerprint":"(v\d)"`)
	for i := range calls {
		resp, body := f.callVM(f.vms[0], "POST", "/v1/chat/completions", f.secrets["one"], chatBody(fmt.Sprint("question ", i), tokens, true))
		if strings.Contains(body, "[DONE]") {
			answered++
		}
		attempts := f.attemptsOf(resp.Header.Get("Wagtaillift-Request"))
		require.NotEmpty(t, attempts)
		if len(attempts) > 1 {
			resumed++
		}
		for _, n := range fingerprints.FindAllStringSubmatch(body, -1) {
			require.Equal(t, attempts[0].Version, n[1], "tokens of another version")
		}
		for _, a := range attempts {
			require.Equal(t, attempts[0].Version, a.Version, "%+v", attempts)
		}
	}
	require.Positive(t, resumed)
	require.Greater(t, answered, calls/2, "answers that can go on do")
}

// attemptsOf returns the attempts of a finished request.
func (f *fleet) attemptsOf(request string) (list []call.Attempt) {
	f.waitUntil("the request's record", func() bool {
		resp, body := f.sendRequest("GET", f.vms[0].OperatorURL()+"/api/v1/explain/"+request, f.secrets["admin"], "")
		if resp.StatusCode != http.StatusOK {
			return false
		}
		var n struct {
			Attempts []call.Attempt `json:"attempts"`
		}
		require.NoError(f.t, json.Unmarshal([]byte(body), &n))
		list = n.Attempts
		return true
	})
	return list
}
