package emulate

import (
	"cmp"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"wagtaillift/internal/modules/hash"
	"wagtaillift/internal/modules/id"
)

// share returns the given share of the engines, rounded up, the same ones for one seed.
func (g *Group) share(share float64, seed uint64) []*Engine {
	ranked := append([]*Engine(nil), g.Engines...)
	sortByHash(ranked, seed)
	return ranked[:min(len(ranked), int(math.Ceil(share*float64(len(ranked)))))]
}

// sortByHash sorts engines by the hash of their names with seed.
func sortByHash(list []*Engine, seed uint64) {
	rank := make(map[*Engine]uint64, len(list))
	for _, e := range list {
		rank[e] = hash.Combine(hash.String(e.announcement().Name), seed)
	}
	slices.SortFunc(list, func(a, b *Engine) int { return cmp.Compare(rank[a], rank[b]) })
}

// trouble handles POST /trouble?share=0.3&for=4s&seed=1 with Faults as its body: a share of the engines has these faults for that time, and
// then its own ones again. It answers with the names of the engines.
func (g *Group) trouble(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	share, err := strconv.ParseFloat(q.Get("share"), 64)
	if err != nil || share <= 0 || share > 1 {
		http.Error(w, "share: must be above 0 and at most 1", http.StatusBadRequest)
		return
	}
	length, err := time.ParseDuration(q.Get("for"))
	if err != nil || length <= 0 {
		http.Error(w, "for: must be a duration above 0", http.StatusBadRequest)
		return
	}
	seed, err := strconv.ParseUint(q.Get("seed"), 10, 64)
	if err != nil && q.Get("seed") != "" {
		http.Error(w, "seed: "+err.Error(), http.StatusBadRequest)
		return
	}
	var f Faults
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&f); err != nil {
		http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := f.check(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var names []id.Upstream
	for _, e := range g.share(share, seed) {
		e.faultFor(f, length)
		names = append(names, e.announcement().Name)
	}
	klog.InfoS("Trouble begins", "engines", names, "for", length, "faults", f)
	json.NewEncoder(w).Encode(map[string]any{"engines": names})
}

// faultFor replaces the faults of e for d. Troubles that overlap end with the faults of the first one's begin.
func (e *Engine) faultFor(f Faults, d time.Duration) {
	e.mu.Lock()
	if e.troubles == 0 {
		e.usualFaults = e.faults
	}
	e.troubles++
	e.faults = f
	e.mu.Unlock()
	time.AfterFunc(d, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.troubles--; e.troubles == 0 {
			e.faults = e.usualFaults
		}
	})
}
