package vm

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/modules/id"
)

// Guards against acting on the first part of an announcement that goes on as something else or says two things.
func TestSpoiledAnnouncements(t *testing.T) {
	f := newFleet(t, 1)
	const app = `{"name":"app9","zone":"a","address":"127.0.0.1:9","incarnation":1,"state":"ready","service":"booking"`
	announce := func(body string) int {
		resp, _ := f.sendRequest("POST", f.announceURLs()[0]+"/v1/announce", f.secrets["upstream"], body)
		return resp.StatusCode
	}
	for name, body := range map[string]string{
		"text after it":         app + `}out of memory`,
		"two announcements":     app + `}` + app + `}`,
		"address that is twice": app + `,"address":"127.0.0.1:10"}`,
		"half":                  app,
		"list":                  `[` + app + `}]`,
		"null":                  `null`,
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, http.StatusBadRequest, announce(body))
			require.Empty(t, f.vms[0].roster.Snapshot().All)
		})
	}
	require.Equal(t, http.StatusOK, announce(app+"}\n"))
	require.Len(t, f.vms[0].roster.Snapshot().All, 1)
}

// Guards against committing the first part of a change that goes on as something else.
func TestSpoiledChanges(t *testing.T) {
	f := newFleet(t, 1)
	for name, body := range map[string]string{"text after it": `{"title":"New"}x`, "two changes": `{"title":"New"}{"title":"Other"}`, "half": `{"title":"New"`} {
		t.Run(name, func(t *testing.T) {
			code, out := f.admin(f.vms[0], f.secrets["admin"], "PUT", "customers/new", body, "If-Match", "*")
			require.Equal(t, http.StatusBadRequest, code, out)
			require.NotContains(t, f.vms[0].Config().Customers, id.Customer("new"))
		})
	}
	code, out := f.admin(f.vms[0], f.secrets["admin"], "PUT", "customers/new", `{"title":"New"} `, "If-Match", "*")
	require.Equal(t, http.StatusOK, code, out)
}
