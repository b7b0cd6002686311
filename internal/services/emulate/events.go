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
	maxKeptEvents = 4096
	eventLossRate = 0.05 // fraction of the events that are never published
)

// CacheEvent reports that a block of a prompt was cached or evicted. A gap in the sequence numbers means lost events.
type CacheEvent struct {
	Seq    uint64    `json:"seq"`
	Block  uint64    `json:"block"`
	Cached bool      `json:"kept"`
	at     time.Time // when it happened
}

// eventLog keeps the latest cache events. Readers get them with a delay, and some of them never.
type eventLog struct {
	rng  *rand.Rand
	seq  uint64
	list []CacheEvent
}

// add numbers and stores an event, or loses it at random.
func (e *eventLog) add(now time.Time, block uint64, cached bool) {
	e.seq++
	if e.rng.Float64() < eventLossRate {
		return
	}
	e.list = append(e.list, CacheEvent{Seq: e.seq, Block: block, Cached: cached, at: now})
	if len(e.list) > 2*maxKeptEvents {
		e.list = append([]CacheEvent(nil), e.list[len(e.list)-maxKeptEvents:]...)
	}
}

// after returns the events with a higher number than seq that happened before at.
func (e *eventLog) after(seq uint64, at time.Time) []CacheEvent {
	out := []CacheEvent{}
	for _, x := range e.list {
		if x.Seq > seq && x.at.Before(at) {
			out = append(out, x)
		}
	}
	return out
}

// serveEvents answers GET /v1/events?after=N with the events after number N that are older than Options.Lag.
func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	seq, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	list := e.eventLog.after(seq, time.Now().Add(-e.opt.Lag))
	e.mu.Unlock()
	json.NewEncoder(w).Encode(list)
}

// Reclaim emulates a provider that reclaims a cheap engine at short notice: the engine announces that it is leaving and
// crashes after notice, even if requests are running. It restarts after restartAfter, or never if that is zero. Reclaim
// returns false if the engine is not cheap or not ready.
func (e *Engine) Reclaim(notice, restartAfter time.Duration) bool {
	e.mu.Lock()
	if !e.announced.Cheap || e.announced.State != engine.Ready {
		e.mu.Unlock()
		return false
	}
	e.setState(engine.Leaving)
	e.opt.Restart = restartAfter
	ctx := e.ctx
	e.mu.Unlock()
	time.AfterFunc(notice, func() {
		if ctx.Err() == nil {
			e.Crash(ctx)
		}
	})
	return true
}

// Group holds the engines of one process, so that they can be controlled together.
type Group struct{ Engines []*Engine }

// ServeHTTP implements http.Handler. POST /reclaim?zone=Z&notice=2s&back=10s reclaims the cheap engines of a zone,
// POST /trouble gives a share of the engines faults for a time, and GET /stats returns the sums of the engines' statistics.
func (g *Group) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST /reclaim":
		g.reclaim(w, r)
	case "POST /trouble":
		g.trouble(w, r)
	case "GET /stats":
		json.NewEncoder(w).Encode(g.stats())
	default:
		http.NotFound(w, r)
	}
}

// reclaim handles POST /reclaim and answers with the number of engines that it reclaims.
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

// GroupStats holds the sums of the statistics of the cheap engines and of the others.
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
