package emulate

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"wagtaillift/internal/models/engine"
)

const (
	eventsKept = 4096
	eventLost  = 0.05 // part of the events that are never published
)

// CacheEvent says that a block of a prompt was cached or dropped. Numbers that are missing are gaps.
type CacheEvent struct {
	Seq   uint64    `json:"seq"`
	Block uint64    `json:"block"`
	Kept  bool      `json:"kept"`
	at    time.Time // when it happened
}

// events is a ring of cache events, published late and with gaps.
type events struct {
	rnd  *rand.Rand
	seq  uint64
	list []CacheEvent
}

// add numbers an event; some are lost before they are published.
func (e *events) add(now time.Time, block uint64, kept bool) {
	e.seq++
	if e.rnd.Float64() < eventLost {
		return
	}
	e.list = append(e.list, CacheEvent{Seq: e.seq, Block: block, Kept: kept, at: now})
	if len(e.list) > 2*eventsKept {
		e.list = append([]CacheEvent(nil), e.list[len(e.list)-eventsKept:]...)
	}
}

// after returns the events past seq that happened before at.
func (e *events) after(seq uint64, at time.Time) []CacheEvent {
	out := []CacheEvent{}
	for _, x := range e.list {
		if x.Seq > seq && x.at.Before(at) {
			out = append(out, x)
		}
	}
	return out
}

// publish answers GET /v1/events?after=N.
func (e *Engine) publish(w http.ResponseWriter, r *http.Request) {
	seq, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	list := e.events.after(seq, time.Now().Add(-e.opt.Lag))
	e.mu.Unlock()
	json.NewEncoder(w).Encode(list)
}

// Reclaim takes a cheap engine away after notice, as a provider does: it announces that it leaves, and then it is gone,
// whatever runs. It comes back after back; zero stays away.
func (e *Engine) Reclaim(notice, back time.Duration) bool {
	e.mu.Lock()
	if !e.ann.Cheap || e.ann.State != engine.Ready {
		e.mu.Unlock()
		return false
	}
	e.setState(engine.Leaving)
	e.opt.Restart = back
	ctx := e.ctx
	e.mu.Unlock()
	time.AfterFunc(notice, func() {
		if ctx.Err() == nil {
			e.Crash(ctx)
		}
	})
	return true
}

// Group is the engines of one process, for steering them together.
type Group struct{ Engines []*Engine }

// ServeHTTP implements http.Handler: POST /reclaim?zone=Z&notice=2s&back=10s reclaims the cheap engines of a zone,
// GET /stats adds up what the engines have done.
func (g *Group) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST /reclaim":
		g.reclaim(w, r)
	case "GET /stats":
		json.NewEncoder(w).Encode(g.stats())
	default:
		http.NotFound(w, r)
	}
}

func (g *Group) reclaim(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	notice, err := time.ParseDuration(q.Get("notice"))
	if err != nil {
		http.Error(w, "notice: "+err.Error(), http.StatusBadRequest)
		return
	}
	back, err := time.ParseDuration(q.Get("back"))
	if err != nil {
		http.Error(w, "back: "+err.Error(), http.StatusBadRequest)
		return
	}
	n := 0
	for _, e := range g.Engines {
		if string(e.announcement().Zone) == q.Get("zone") && e.Reclaim(notice, back) {
			n++
		}
	}
	json.NewEncoder(w).Encode(map[string]int{"reclaimed": n})
}

// GroupStats are the sums over cheap and other engines.
type GroupStats struct {
	Cheap Stats `json:"cheap"`
	Other Stats `json:"other"`
}

func (g *Group) stats() GroupStats {
	var out GroupStats
	for _, e := range g.Engines {
		s := e.Stats()
		to := &out.Other
		if e.announcement().Cheap {
			to = &out.Cheap
		}
		to.Requests += s.Requests
		to.Generated += s.Generated
		to.Prefilled += s.Prefilled
		to.Cached += s.Cached
		to.Cancelled += s.Cancelled
		to.Crashes += s.Crashes
		to.Changes += s.Changes
		to.Conflicts += s.Conflicts
	}
	return out
}
