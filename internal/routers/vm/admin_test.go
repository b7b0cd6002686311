package vm

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/usage"
	"wagtaillift/internal/services/emulate"
	"wagtaillift/internal/services/load"
)

// admin sends one request to the administration API and decodes the response; one that is not a JSON object is returned
// under "list".
func (f *fleet) admin(v *VM, secret, method, path, body string, head ...string) (int, map[string]any) {
	resp, data := f.sendRequest(method, v.OperatorURL()+"/api/v1/"+path, secret, body, head...)
	var out map[string]any
	if err := json.Unmarshal([]byte(data), &out); err != nil {
		out = map[string]any{"list": data}
	}
	return resp.StatusCode, out
}

func TestAdminAPI(t *testing.T) {
	f := newFleet(t, 2)
	v, admin := f.vms[1], f.secrets["admin"]
	rev := func() string { return fmt.Sprint(f.vms[0].Config().Revision) }
	t.Run("a change needs a base revision", func(t *testing.T) {
		code, _ := f.admin(v, admin, "PUT", "customers/new", "{}")
		require.Equal(t, http.StatusPreconditionRequired, code)
	})
	t.Run("the second change on the same base conflicts", func(t *testing.T) {
		base := rev()
		code, out := f.admin(v, admin, "PUT", "customers/new", `{"title":"New"}`, "If-Match", base, "Request-Id", "r1")
		require.Equal(t, http.StatusOK, code, out)
		code, conflict := f.admin(v, admin, "PUT", "customers/other", "{}", "If-Match", base)
		require.Equal(t, http.StatusConflict, code)
		require.Equal(t, out["revision"], conflict["revision"])
		code, repeated := f.admin(f.vms[0], admin, "PUT", "customers/new", `{"title":"New"}`, "If-Match", base, "Request-Id", "r1")
		require.Equal(t, http.StatusOK, code)
		require.Equal(t, out["revision"], repeated["revision"], "a repeated request gets the first result")
	})
	t.Run("a secret is shown only once and the key works", func(t *testing.T) {
		code, out := f.admin(v, admin, "PUT", "keys/editor", `{"role":"editor"}`, "If-Match", "*")
		require.Equal(t, http.StatusOK, code, out)
		editor := out["secret"].(string)
		code, out = f.admin(v, editor, "GET", "config", "")
		require.Equal(t, http.StatusOK, code)
		raw, _ := json.Marshal(out)
		require.NotContains(t, string(raw), editor)
		code, _ = f.admin(v, editor, "PUT", "keys/boss", `{"role":"admin"}`, "If-Match", "*")
		require.Equal(t, http.StatusForbidden, code)
		code, _ = f.admin(v, editor, "DELETE", "keys/admin", "", "If-Match", "*")
		require.Equal(t, http.StatusForbidden, code)
	})
	t.Run("a caller key is refused", func(t *testing.T) {
		code, _ := f.admin(v, f.secrets["one"], "GET", "config", "")
		require.Equal(t, http.StatusUnauthorized, code)
	})
	t.Run("effective values and their origin", func(t *testing.T) {
		code, _ := f.admin(v, admin, "PUT", "exceptions/slow", `{"customer":"one","field":"weight","value":2,"reason":"paid for"}`, "If-Match", "*")
		require.Equal(t, http.StatusOK, code)
		code, out := f.admin(v, admin, "GET", "effective?customer=one&service=verdict", "")
		require.Equal(t, http.StatusOK, code)
		raw, _ := json.Marshal(out)
		require.Contains(t, string(raw), `"exception":"slow","field":"weight","origin":"exception","reason":"paid for"`)
		require.Contains(t, string(raw), `"actor":"admin"`)
	})
	t.Run("bad input", func(t *testing.T) {
		for path, body := range map[string]string{
			"customers/new":  `{"colour":"red"}`,
			"customers/x":    `{"id":"y"}`,
			"services/s":     `{"kind":"model"}`,
			"keys/k":         `{"role":"caller"}`,
			"exceptions/e":   `{"customer":"one","field":"rate","value":1}`,
			"exceptions/e_2": `{"customer":"one","field":"speed","value":1,"reason":"r"}`,
		} {
			code, out := f.admin(v, admin, "PUT", path, body, "If-Match", "*")
			require.Contains(t, []int{http.StatusBadRequest, http.StatusNotFound}, code, "%s: %v", path, out)
			require.NotEmpty(t, out["error"])
		}
	})
	t.Run("every VM has applied the changes", func(t *testing.T) {
		code, out := f.admin(v, admin, "GET", "force", "")
		require.Equal(t, http.StatusOK, code)
		require.Empty(t, out["pending"])
	})
}

// TestUsageSurvivesVMLoss kills a VM right after its last response. The reported windows must still add up to the requests and
// tokens that callers received.
func TestUsageSurvivesVMLoss(t *testing.T) {
	p := &emulate.Platform{}
	srv := httptest.NewServer(p)
	defer srv.Close()
	options := &fleetOptions{platform: srv.URL, window: time.Second}
	f := options.start(t, 2)
	for i := range 2 {
		f.startEngine(i, emulate.Faults{Truncated: 0.1})
	}
	f.waitForUpstreams(2)
	opt := load.Options{
		Targets: f.callerURLs(), Model: testModel, App: testApp, Deadline: waitTimeout, FirstToken: waitTimeout, TokenGap: waitTimeout,
		Customers: []load.Customer{{Name: "one", Key: f.secrets["one"]}},
	}
	list := load.Burst(context.Background(), opt, 16, 200, 3)
	var want usage.Count
	for _, o := range list {
		require.True(t, o.Correct, o.Code)
		want.Requests++
		want.OutputTokens += uint64(o.Tokens)
	}
	f.killVM(1)
	f.waitUntil("all requests are in the reported windows", func() bool {
		got := p.UsageSum("one", testModel)
		return got.Requests >= want.Requests
	})
	got := p.UsageSum("one", testModel)
	require.Equal(t, want.Requests, got.Requests)
	require.Equal(t, want.OutputTokens, got.OutputTokens)
	require.Zero(t, p.Conflicts)
	require.Zero(t, p.Stale)
}

// TestConcurrentCallsWithOneKeyRunOnce sends concurrent calls with the same idempotency key to both VMs: only one may run.
func TestConcurrentCallsWithOneKeyRunOnce(t *testing.T) {
	f := newFleet(t, 2)
	f.startApp("app1", testApp)
	f.waitForUpstreams(1)
	for k := range 20 {
		var wg sync.WaitGroup
		for i := range 4 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				f.callVM(f.vms[i%2], "POST", "/s/booking/book", f.secrets["one"], fmt.Sprint("part ", k), "Idempotency-Key", fmt.Sprint("race ", k))
			}()
		}
		wg.Wait()
		require.Equal(t, 1, f.runCounter.Runs(fmt.Sprint("part ", k)))
	}
}
