// Package announce implements the HTTP API for upstreams: announcements, which also serve as heartbeats.
package announce

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/models/key"
	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/jsonfields"
	"wagtaillift/internal/services/pipeline"
	"wagtaillift/internal/services/roster"
)

// HeartbeatInterval is the time between two announcements of an upstream.
const HeartbeatInterval = 500 * time.Millisecond

const maxBodySize = 64 << 10

// Handler receives announcements and passes them to the roster.
type Handler struct {
	Config func() *state.Config
	Guard  pipeline.Guard
	Roster *roster.Roster
	VM     id.VM
}

// Reply is the response to an announcement.
type Reply struct {
	VM       id.VM  `json:"vm"`
	Interval string `json:"every"` // time until the next announcement
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.URL.Path != "/v1/announce" {
		http.Error(w, "announcements are POST /v1/announce", http.StatusNotFound)
		return
	}
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	apiKey, valid := pipeline.VerifyKey(h.Config(), h.Guard, secret, time.Now())
	if !ok || !valid || apiKey.Role != key.Upstream {
		http.Error(w, "announcing needs the fleet's upstream credential", http.StatusUnauthorized)
		return
	}
	var announcement engine.Announcement
	if err := jsonfields.Decode(http.MaxBytesReader(w, r.Body, maxBodySize), &announcement); err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := h.Roster.Announce(clock.SinceBoot(), announcement); err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(Reply{VM: h.VM, Interval: HeartbeatInterval.String()})
}
