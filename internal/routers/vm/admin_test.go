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

// admin sends one request to the administration API and decodes the answer.
func (f *fleet) admin(v *VM, secret, method, path, body string, head ...string) (int, map[string]any) {
	resp, data := f.exchange(method, v.OperatorURL()+"/api/v1/"+path, secret, body, head...)
	var out map[string]any
	if err := json.Unmarshal([]byte(data), &out); err != nil {
		out = map[string]any{"list": data}
	}
	return resp.StatusCode, out
}

func TestAdministration(t *testing.T) {
	f := newFleet(t, 2)
	v, admin := f.vms[1], f.secrets["admin"]
	rev := func() string { return fmt.Sprint(f.vms[0].Config().Revision) }
	t.Run("a change needs a base", func(t *testing.T) {
		code, _ := f.admin(v, admin, "PUT", "customers/new", "{}")
		require.Equal(t, http.StatusPreconditionRequired, code)
	})
	t.Run("of two changes on one base one wins", func(t *testing.T) {
		base := rev()
		code, out := f.admin(v, admin, "PUT", "customers/new", `{"title":"New"}`, "If-Match", base, "Request-Id", "r1")
		require.Equal(t, http.StatusOK, code, out)
		code, lost := f.admin(v, admin, "PUT", "customers/other", "{}", "If-Match", base)
		require.Equal(t, http.StatusConflict, code)
		require.Equal(t, out["revision"], lost["revision"])
		code, again := f.admin(f.vms[0], admin, "PUT", "customers/new", `{"title":"New"}`, "If-Match", base, "Request-Id", "r1")
		require.Equal(t, http.StatusOK, code)
		require.Equal(t, out["revision"], again["revision"], "a resend gets its first answer")
	})
	t.Run("a key is shown once and works", func(t *testing.T) {
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
	t.Run("a caller's key is no operator's", func(t *testing.T) {
		code, _ := f.admin(v, f.secrets["one"], "GET", "config", "")
		require.Equal(t, http.StatusUnauthorized, code)
	})
	t.Run("what is in force and why", func(t *testing.T) {
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
	t.Run("all VMs have it", func(t *testing.T) {
		code, out := f.admin(v, admin, "GET", "force", "")
		require.Equal(t, http.StatusOK, code)
		require.Empty(t, out["pending"])
	})
}

// TestUsageAddsUp kills a VM right after its last answer: the windows still add up to what callers received.
func TestUsageAddsUp(t *testing.T) {
	p := &emulate.Platform{}
	srv := httptest.NewServer(p)
	defer srv.Close()
	f := &fleetOptions{platform: srv.URL, window: time.Second}
	fl := f.start(t, 2)
	for i := range 2 {
		fl.engine(i, emulate.Faults{Cut: 0.1})
	}
	fl.ready(2)
	opt := load.Options{
		Targets: fl.targets(), Model: testModel, App: testApp, Deadline: waitLimit, First: waitLimit, Gap: waitLimit,
		Customers: []load.Customer{{Name: "one", Key: fl.secrets["one"]}},
	}
	list := load.Burst(context.Background(), opt, 16, 200, 3)
	var want usage.Count
	for _, o := range list {
		require.True(t, o.Whole, o.Code)
		want.Requests++
		want.Output += uint64(o.Tokens)
	}
	fl.kill(1)
	fl.until("the windows add up", func() bool {
		got := p.Sum("one", testModel)
		return got.Requests >= want.Requests
	})
	got := p.Sum("one", testModel)
	require.Equal(t, want.Requests, got.Requests)
	require.Equal(t, want.Output, got.Output)
	require.Zero(t, p.Conflicts)
	require.Zero(t, p.Stale)
}

// TestFollowersShareOneClaim races the same booking at both VMs.
func TestFollowersShareOneClaim(t *testing.T) {
	f := newFleet(t, 2)
	f.app("app1", testApp)
	f.ready(1)
	for k := range 20 {
		var wg sync.WaitGroup
		for i := range 4 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				f.do(f.vms[i%2], "POST", "/s/booking/book", f.secrets["one"], fmt.Sprint("part ", k), "Idempotency-Key", fmt.Sprint("race ", k))
			}()
		}
		wg.Wait()
		require.Equal(t, 1, f.ledger.Runs(fmt.Sprint("part ", k)))
	}
}
