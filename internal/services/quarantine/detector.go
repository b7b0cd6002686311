package quarantine

import (
	"context"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/models/suspect"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/upstream"
	"wagtaillift/internal/services/roster"
)

const (
	probeTimeout   = 300 * time.Millisecond
	watchTime      = 6 * time.Second // longer than an upstream stays listed without heartbeats
	maxWatchedRuns = 1000            // requests watched for one incarnation
)

// incarnation is one run of an upstream's process.
type incarnation struct {
	name   id.Upstream
	number uint64
}

func incarnationOf(u *roster.Upstream) incarnation { return incarnation{u.Name, u.Incarnation} }

// watched holds the requests that ended at one incarnation of an upstream, without an answer that is known to be complete.
type watched struct {
	u    *roster.Upstream
	runs map[Fingerprint]watchedRun
}

// watchedRun is one of these requests.
type watchedRun struct {
	Run
	answered bool          // it has completed unless the upstream crashed
	until    time.Duration // clock.SinceBoot up to which a crash is attributed to it
}

// Detector finds upstreams that crashed while they ran requests, and records these requests as suspects. A request that ended
// because its caller left or its time was over is watched like any other, since the upstream may have crashed before.
type Detector struct {
	Dialer *upstream.Dialer // nil opens TCP connections
	Roster *roster.Roster
	List   *List
	Share  func(suspect.Report) // gives a report to the other VMs; nil keeps it on this VM

	mu      sync.Mutex
	watched map[incarnation]*watched
	probes  map[incarnation]chan struct{} // closed at the end of the probe in progress
}

// Ended records that run ended at u without a complete answer.
func (d *Detector) Ended(now time.Duration, u *roster.Upstream, run Run) {
	d.watch(u, watchedRun{Run: run, until: now + watchTime})
}

// Answered records that the answer to run ended with its connection, and may be incomplete. Unless u turns out to have crashed, run has
// completed.
func (d *Detector) Answered(now time.Duration, u *roster.Upstream, run Run) {
	d.watch(u, watchedRun{Run: run, answered: true, until: now + watchTime})
}

func (d *Detector) watch(u *roster.Upstream, run watchedRun) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.watched == nil {
		d.watched = map[incarnation]*watched{}
	}
	w, ok := d.watched[incarnationOf(u)]
	if !ok {
		w = &watched{u: u, runs: map[Fingerprint]watchedRun{}}
		d.watched[incarnationOf(u)] = w
	}
	old, known := w.runs[run.Print]
	if !known && len(w.runs) >= maxWatchedRuns {
		return
	}
	run.SentAt = max(run.SentAt, old.SentAt)
	run.answered = run.answered && (!known || old.answered)
	w.runs[run.Print] = run
}

// Completed records that u completed run.
func (d *Detector) Completed(now time.Duration, u *roster.Upstream, run Run) {
	r, cleared := d.List.RecordCompletion(now, u.Name, u.Incarnation, run)
	if !cleared {
		return
	}
	klog.InfoS("Suspect completed", "upstream", u.Name, "incarnation", u.Incarnation, "fingerprint", run.Print, "parts", JoinPrints(r.Runs[0].Parts))
	d.share(r)
}

// Probe connects to u. If the connection is refused, the process is gone, and the watched requests are its suspects. The
// returned channel is closed at the end of the probe. A probe in progress is joined.
func (d *Detector) Probe(u *roster.Upstream) <-chan struct{} {
	k := incarnationOf(u)
	d.mu.Lock()
	defer d.mu.Unlock()
	if done, running := d.probes[k]; running {
		return done
	}
	if d.probes == nil {
		d.probes = map[incarnation]chan struct{}{}
	}
	done := make(chan struct{})
	d.probes[k] = done
	go func() {
		if result := d.connect(u); result == probeRefused {
			d.crashed(k, result)
		}
		d.mu.Lock()
		delete(d.probes, k)
		d.mu.Unlock()
		close(done)
	}()
	return done
}

// Results of a check, as in log lines and metrics.
const (
	probeRefused     = "refused"     // the connection was refused: the process is gone
	probeAccepted    = "accepted"    // the upstream accepted a connection
	probeUnreachable = "unreachable" // no answer to the connection attempt
	checkLeft        = "left"        // the upstream had announced its departure
	checkReplaced    = "replaced"    // a later incarnation has its name or address
	checkSilent      = "silent"      // neither heartbeats nor connections, while others of its data centre are heard
	checkReported    = "reported"    // another VM noticed the crash
)

// connect connects to u and opens its circuit if that fails.
func (d *Detector) connect(u *roster.Upstream) string {
	conn, err := d.Dialer.Dial(context.Background(), u.Address, probeTimeout)
	if err == nil {
		conn.Close()
		logCheck(u, probeAccepted)
		return probeAccepted
	}
	u.Stats.OpenCircuit(clock.SinceBoot())
	if errors.Is(err, syscall.ECONNREFUSED) {
		logCheck(u, probeRefused)
		return probeRefused
	}
	logCheck(u, probeUnreachable)
	return probeUnreachable
}

func logCheck(u *roster.Upstream, result string) {
	metrics.GetOrCreateCounter(`wagtaillift_crash_checks_total{result="` + result + `"}`).Inc()
	klog.InfoS("Crash check", "upstream", u.Name, "incarnation", u.Incarnation, "address", u.Address, "result", result)
}

// Confirm records that an incarnation of the upstream n is known to have crashed.
func (d *Detector) Confirm(n id.Upstream, number uint64) {
	d.crashed(incarnation{n, number}, checkReported)
}

// crashed records the watched requests of an incarnation as suspects. When it returns they are recorded, also by another call that found
// the same crash.
func (d *Detector) crashed(k incarnation, reason string) {
	w, r, ok := d.recordWatched(k)
	if !ok {
		return
	}
	klog.InfoS("Upstream crashed", "upstream", k.name, "incarnation", k.number, "address", w.u.Address, "reason", reason,
		"requests", len(r.Runs), "crashes", d.List.Describe(r), "parts", d.List.DescribeParts(r))
	d.share(r)
}

// recordWatched records the watched requests of k as suspects, and watches them no more. It returns false if there are none.
func (d *Detector) recordWatched(k incarnation) (w *watched, r suspect.Report, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w, ok = d.watched[k]
	if !ok {
		return nil, r, false
	}
	delete(d.watched, k)
	var runs []Run
	for _, run := range w.runs {
		runs = append(runs, run.Run)
	}
	return w, d.List.RecordCrash(clock.SinceBoot(), k.name, k.number, runs), true
}

func (d *Detector) share(r suspect.Report) {
	if d.Share != nil {
		d.Share(r)
	}
}

// Check looks for crashes that no connection of this VM has shown. It is called every CheckInterval.
func (d *Detector) Check(now time.Duration) {
	for _, w := range d.expire(now) {
		k := incarnationOf(w.u)
		switch result := judge(d.view(w.u)); result {
		case checkReplaced, checkReported:
			logCheck(w.u, result)
			d.crashed(k, result)
		case checkLeft:
			logCheck(w.u, result)
			d.forget(k)
		case checkSilent:
			go func() {
				if d.connect(w.u) == probeAccepted {
					d.forget(k) // only its heartbeats are lost
					return
				}
				d.crashed(k, result)
			}()
		}
	}
}

// CheckInterval is the time between two calls of Check.
const CheckInterval = 500 * time.Millisecond

// expire forgets the requests whose time to be watched has passed, records those that were answered as completed, and returns the
// incarnations that are watched further.
func (d *Detector) expire(now time.Duration) []*watched {
	d.mu.Lock()
	completed := map[*roster.Upstream][]Run{}
	for k, w := range d.watched {
		maps.DeleteFunc(w.runs, func(_ Fingerprint, run watchedRun) bool {
			if now >= run.until && run.answered {
				completed[w.u] = append(completed[w.u], run.Run)
			}
			return now >= run.until
		})
		if len(w.runs) == 0 {
			delete(d.watched, k)
		}
	}
	list := slices.Collect(maps.Values(d.watched))
	d.mu.Unlock()
	for u, runs := range completed {
		for _, run := range runs {
			d.Completed(now, u, run)
		}
	}
	return list
}

func (d *Detector) forget(k incarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.watched, k)
}

// view is what the roster tells of an incarnation.
type view struct {
	leaving   bool // it has announced its departure
	reported  bool // the replicated log has a report of its crash
	replaced  bool // a later incarnation has its name or address
	listed    bool // its heartbeats arrive
	zoneHeard bool // heartbeats of other upstreams in its data centre arrive
}

func (d *Detector) view(u *roster.Upstream) view {
	v := view{leaving: d.Roster.Leaving(u.Name, u.Incarnation), reported: d.List.CrashCommitted(u.Name, u.Incarnation)}
	for _, o := range d.Roster.Snapshot().All {
		switch {
		case o.Name == u.Name && o.Incarnation == u.Incarnation:
			v.listed = true
		case o.Name == u.Name || o.Address == u.Address:
			v.replaced = v.replaced || o.Incarnation > u.Incarnation
		case o.Zone == u.Zone:
			v.zoneHeard = true
		}
	}
	return v
}

// judge returns the result of a check; it is empty while nothing can be told. Without heartbeats of a whole data centre, the
// network is a likelier cause than the crash of each upstream there.
func judge(v view) string {
	switch {
	case v.leaving:
		return checkLeft
	case v.reported:
		return checkReported
	case v.replaced:
		return checkReplaced
	case !v.listed && v.zoneHeard:
		return checkSilent
	}
	return ""
}
