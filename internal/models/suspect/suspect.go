// Package suspect records which requests, and which parts of their prompts, ran on upstreams that crashed, and decides which of
// them to refuse.
package suspect

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"wagtaillift/internal/modules/id"
)

const (
	maxCrashes      = 16               // crashes kept per request or part; later ones replace the oldest
	maxRecords      = 10000            // requests and parts kept in a table
	singleRetention = 10 * time.Minute // how long one crash is remembered
	repeatRetention = 24 * time.Hour   // how long several crashes are remembered; the longest quarantine that can be set
	minRounds       = 2                // crashes one after the other from which a request is refused
	minCrashes      = 3                // crashes from which a request is refused, although they may have the same time
)

// Fingerprint is a hash that is equal for repeats of one request, or for one part of prompts.
type Fingerprint uint64

// String returns p in hexadecimal, as in log lines.
func (p Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(p)) }

// Millis is a time of the fleet's clock, in milliseconds since the Unix epoch.
type Millis int64

// MillisOf returns t in milliseconds.
func MillisOf(t time.Time) Millis { return Millis(t.UnixMilli()) }

// Add returns the time d after m.
func (m Millis) Add(d time.Duration) Millis { return m + Millis(d.Milliseconds()) }

// Sub returns the duration from o to m.
func (m Millis) Sub(o Millis) time.Duration { return time.Duration(m-o) * time.Millisecond }

// Run is a request that ran on an upstream.
type Run struct {
	Request Fingerprint   `json:"request"`
	Parts   []Fingerprint `json:"parts,omitempty"` // parts of its prompt that other requests may hold, in their order
	Began   Millis        `json:"began"`           // when it was last sent there
}

// Report tells that one incarnation of an upstream crashed while it ran some requests or, if Completed is set, that it
// completed them.
type Report struct {
	Upstream    id.Upstream `json:"upstream"`
	Incarnation uint64      `json:"incarnation"`
	At          Millis      `json:"at"`
	Runs        []Run       `json:"runs"`
	Completed   bool        `json:"completed,omitempty"`
}

// Crash is the crash of one incarnation of an upstream while it ran a request.
type Crash struct {
	Upstream    id.Upstream `json:"upstream"`
	Incarnation uint64      `json:"incarnation"`
	Began       Millis      `json:"began"`
	At          Millis      `json:"at"`
	Request     Fingerprint `json:"request,omitempty"`  // in the record of a part: a request with this part; zero in the record of a request
	Position    int         `json:"position,omitempty"` // of the part in the prompt
}

func (c Crash) same(o Crash) bool { return c.Upstream == o.Upstream && c.Incarnation == o.Incarnation }

// Record holds the crashes of one request, or of all requests with one part, oldest first. It is immutable.
type Record []Crash

// compare orders crashes by time.
func (c Crash) compare(o Crash) int {
	return cmp.Or(cmp.Compare(c.At, o.At), cmp.Compare(c.Began, o.Began), cmp.Compare(c.Upstream, o.Upstream), cmp.Compare(c.Incarnation, o.Incarnation),
		cmp.Compare(c.Request, o.Request), cmp.Compare(c.Position, o.Position))
}

// With returns the record with c added. The crash of one incarnation of an upstream counts once, at the time of the earliest
// report.
func (r Record) With(c Crash) Record {
	next := slices.Clone(r)
	if i := slices.IndexFunc(r, c.same); i >= 0 {
		if r[i].compare(c) <= 0 {
			return r
		}
		next[i] = c
	} else {
		next = append(next, c)
	}
	slices.SortFunc(next, Crash.compare)
	return next[max(0, len(next)-maxCrashes):]
}

// Includes reports whether r has a crash of an incarnation of u.
func (r Record) Includes(u id.Upstream, incarnation uint64) bool {
	return slices.ContainsFunc(r, func(c Crash) bool { return c.Upstream == u && c.Incarnation == incarnation })
}

// After returns the crashes later than t.
func (r Record) After(t Millis) Record {
	i := slices.IndexFunc(r, func(c Crash) bool { return c.At > t })
	if i < 0 {
		return nil
	}
	return r[i:]
}

// rounds returns the largest number of crashes of which each run began after the one before. Upstreams that crash at the
// same time for another reason, while each runs a copy of one frequent request, count once.
func (r Record) rounds() int {
	n := 0
	var last Millis
	for _, c := range r {
		if n == 0 || c.Began >= last {
			n, last = n+1, c.At
		}
	}
	return n
}

// Hold tells how long requests are refused after their last crash.
type Hold struct {
	Short time.Duration // while the crashes may be a coincidence
	Long  time.Duration // after one more crash
}

// RefusedUntil returns the time until which the request of r is refused; ok is false if it is not refused at all.
func (r Record) RefusedUntil(h Hold) (until Millis, ok bool) {
	n := r.rounds()
	if n < minRounds && len(r) < minCrashes {
		return 0, false
	}
	d := h.Short
	if n >= minRounds && len(r) >= minCrashes {
		d = h.Long
	}
	return r[len(r)-1].At.Add(d), true
}

// expired reports whether r has no effect any more at now.
func (r Record) expired(now Millis) bool {
	retention := singleRetention
	if len(r) > 1 {
		retention = repeatRetention
	}
	return len(r) == 0 || now.Sub(r[len(r)-1].At) > retention
}

// Table holds the records of all suspects. Equal reports in equal order give equal tables.
type Table map[Fingerprint]Record

// Apply adds a report and removes what has expired at its time. It reports whether t changed.
func (t Table) Apply(r Report) bool {
	changed := t.prune(r.At)
	for _, run := range r.Runs {
		if r.Completed {
			changed = t.clear(run, r.At) || changed
		} else {
			changed = t.add(run, r) || changed
		}
	}
	return changed
}

// add adds the crash of r to the records of a run.
func (t Table) add(run Run, r Report) bool {
	c := Crash{Upstream: r.Upstream, Incarnation: r.Incarnation, Began: run.Began, At: r.At}
	changed := t.set(run.Request, t[run.Request].With(c))
	c.Request = run.Request
	for i, part := range run.Parts {
		c.Position = i
		changed = t.set(part, t[part].With(c)) || changed
	}
	return changed
}

// clear removes the crashes that a run which completed at the given time shows to have another cause. A request is cleared up to
// its completion, a part only up to the send, since it may be new that the part crashes upstreams.
func (t Table) clear(run Run, at Millis) bool {
	changed := t.set(run.Request, t[run.Request].After(at))
	for _, part := range run.Parts {
		changed = t.set(part, t[part].After(run.Began)) || changed
	}
	return changed
}

// set replaces a record and reports whether it changed.
func (t Table) set(p Fingerprint, next Record) bool {
	if slices.Equal(next, t[p]) {
		return false
	}
	if len(next) == 0 {
		delete(t, p)
	} else {
		t[p] = next
	}
	return true
}

// prune removes expired records and, from maxRecords on, the oldest ones with a single crash. It reports whether t changed.
func (t Table) prune(now Millis) bool {
	before := len(t)
	for p, r := range t {
		if r.expired(now) {
			delete(t, p)
		}
	}
	if len(t) >= maxRecords {
		t.dropOldest(len(t) - maxRecords/2)
	}
	return len(t) != before
}

// dropOldest removes n records, those with fewer crashes first and older ones before newer ones.
func (t Table) dropOldest(n int) {
	list := make([]Fingerprint, 0, len(t))
	for p := range t {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b Fingerprint) int {
		x, y := t[a], t[b]
		return cmp.Or(cmp.Compare(len(x), len(y)), cmp.Compare(x[len(x)-1].At, y[len(y)-1].At), cmp.Compare(a, b))
	})
	for _, p := range list[:n] {
		delete(t, p)
	}
}
