// Package announce is the HTTP face towards upstreams: announcements and heartbeats.
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
	"wagtaillift/internal/services/pipeline"
	"wagtaillift/internal/services/roster"
)

// HeartbeatEvery is how often an upstream announces itself.
const HeartbeatEvery = 500 * time.Millisecond

const maxBody = 64 << 10

// Handler takes announcements.
type Handler struct {
	Config func() *state.Config
	Guard  pipeline.Guard
	Roster *roster.Roster
	VM     id.VM
}

// Reply answers an announcement.
type Reply struct {
	VM    id.VM  `json:"vm"`
	Every string `json:"every"` // time until the next announcement
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.URL.Path != "/v1/announce" {
		http.Error(w, "announcements are POST /v1/announce", http.StatusNotFound)
		return
	}
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	k, known := pipeline.Verify(h.Config(), h.Guard, secret, time.Now())
	if !ok || !known || k.Role != key.Upstream {
		http.Error(w, "announcing needs the fleet's upstream credential", http.StatusUnauthorized)
		return
	}
	var a engine.Announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	if err := dec.Decode(&a); err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := h.Roster.Announce(clock.Boot(), a); err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(Reply{VM: h.VM, Every: HeartbeatEvery.String()})
}
