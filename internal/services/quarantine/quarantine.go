// Package quarantine detects requests that crash the engines they run on, and refuses them.
//
// When an engine crashes, every request that ran on it becomes a suspect. A run that completes clears the request. Every VM
// learns of crashes by messages of the VMs that noticed them and, in case these are lost or the VM starts later, from the
// replicated log.
package quarantine

import (
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"wagtaillift/internal/models/suspect"
	"wagtaillift/internal/modules/hash"
	"wagtaillift/internal/modules/id"
)

// Fingerprint is a hash of a request's customer, service and body.
type Fingerprint = suspect.Fingerprint

const reservationTTL = 2 * time.Minute // lifetime of a reservation that is not released

// NewFingerprint returns the fingerprint of a request. For a plain call, s or body also includes the path.
func NewFingerprint(c id.Customer, s id.Service, body []byte) Fingerprint {
	return Fingerprint(hash.Combine(hash.Combine(hash.String(c), hash.String(s)), hash.Bytes(body)))
}

// NewPartFingerprint returns the fingerprint of a part of a prompt. It is the same in every request that holds the part.
func NewPartFingerprint(part string) Fingerprint {
	return Fingerprint(hash.Combine(hash.String("prompt part"), hash.String(part)))
}

// JoinPrints returns the fingerprints as one word of a log line.
func JoinPrints(list []Fingerprint) string {
	words := make([]string, len(list))
	for i, p := range list {
		words[i] = p.String()
	}
	return strings.Join(words, ",")
}

// List holds the suspects, the refused requests and the reservations of engines. The zero value is an empty list.
type List struct {
	// VM is the name of this VM, which decides when its short holds end.
	VM id.VM
	// FleetTime returns the fleet's time at now. Nil takes now as the time since the Unix epoch.
	FleetTime func(now time.Duration) time.Time
	// Committed returns the suspects in the replicated log; nil if there is none.
	Committed func() suspect.Table

	mu           sync.Mutex
	reported     suspect.Table                  // by this VM and in messages from others
	cleared      map[Fingerprint]suspect.Millis // when a suspect last ran to completion
	reservations map[id.Upstream]reservation    // by engine
}

// reservation is the exclusive use of an engine by one suspect. It expires because the VM that made it may crash.
type reservation struct {
	print Fingerprint   // fingerprint of the suspect
	until time.Duration // clock.SinceBoot at which the reservation expires
}

// millis returns the fleet's time at now.
func (l *List) millis(now time.Duration) suspect.Millis {
	if l.FleetTime == nil {
		return suspect.MillisOf(time.Unix(0, int64(now)))
	}
	return suspect.MillisOf(l.FleetTime(now))
}

// RecordCrash records that one incarnation of u crashed, and returns the report for the other VMs. Runs holds the time at
// which each request was sent to it.
func (l *List) RecordCrash(now time.Duration, u id.Upstream, incarnation uint64, runs map[Fingerprint]time.Duration) suspect.Report {
	r := suspect.Report{Upstream: u, Incarnation: incarnation, At: l.millis(now)}
	for p, began := range runs {
		r.Runs = append(r.Runs, suspect.Run{Request: p, Began: l.millis(began)})
	}
	l.Apply(r)
	return r
}

// RecordCompletion records that u ran p to its end. If p was a suspect, it returns the report for the other VMs.
func (l *List) RecordCompletion(now time.Duration, u id.Upstream, incarnation uint64, p Fingerprint) (r suspect.Report, cleared bool) {
	if len(l.Crashes(p)) == 0 {
		return r, false
	}
	at := l.millis(now)
	r = suspect.Report{Upstream: u, Incarnation: incarnation, At: at, Runs: []suspect.Run{{Request: p, Began: at}}, Completed: true}
	l.Apply(r)
	return r, true
}

// Apply adds the report of a VM. A report that comes twice has no further effect.
func (l *List) Apply(r suspect.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reported == nil {
		l.reported, l.cleared = suspect.Table{}, map[Fingerprint]suspect.Millis{}
	}
	l.reported.Apply(r)
	if !r.Completed {
		return
	}
	for _, run := range r.Runs {
		l.cleared[run.Request] = max(l.cleared[run.Request], r.At)
	}
	l.pruneCleared()
}

// pruneCleared removes times of completion that no crash precedes any more.
func (l *List) pruneCleared() {
	const maxCleared = 1000
	if len(l.cleared) < maxCleared {
		return
	}
	committed := l.committed()
	maps.DeleteFunc(l.cleared, func(p Fingerprint, _ suspect.Millis) bool { return len(committed[p]) == 0 })
}

func (l *List) committed() suspect.Table {
	if l.Committed == nil {
		return nil
	}
	return l.Committed()
}

// Crashes returns the crashes of p since it last ran to completion.
func (l *List) Crashes(p Fingerprint) suspect.Record {
	committed := l.committed()[p]
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.reported[p]
	for _, c := range committed {
		r = r.With(c)
	}
	if t, ok := l.cleared[p]; ok {
		r = r.After(t)
	}
	return r
}

// Describe returns the fingerprints of a report with the number of crashes of each, for a log line. It stops after a few.
func (l *List) Describe(r suspect.Report) []string {
	const maxPrints = 16
	var list []string
	for _, run := range r.Runs[:min(len(r.Runs), maxPrints)] {
		list = append(list, fmt.Sprintf("%s:%d", run.Request, len(l.Crashes(run.Request))))
	}
	return list
}

// Len returns the number of suspects that this VM knows.
func (l *List) Len() int {
	committed := l.committed()
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(committed)
	for p := range l.reported {
		if len(committed[p]) == 0 {
			n++
		}
	}
	return n
}

// Refused returns how much longer p is refused, and whether it is refused at all.
func (l *List) Refused(now time.Duration, p Fingerprint, h suspect.Hold) (time.Duration, bool) {
	if h.Short < h.Long {
		h.Short = l.stagger(h.Short, p)
	}
	until, ok := l.Crashes(p).RefusedUntil(h)
	left := until.Sub(l.millis(now))
	if !ok || left <= 0 {
		return 0, false
	}
	return left, true
}

// stagger lengthens a hold by up to its own length, differently on each VM. When the holds of a request that was sent to many
// VMs at once end, one VM shows whether it crashes another upstream before the others let it through.
func (l *List) stagger(hold time.Duration, p Fingerprint) time.Duration {
	const parts = 1024
	return hold + hold*time.Duration(hash.Combine(hash.String(l.VM), uint64(p))%parts)/parts
}

// IsSuspect reports whether p ran on an engine that crashed.
func (l *List) IsSuspect(p Fingerprint) bool { return len(l.Crashes(p)) > 0 }

// Reserve reserves u for the suspect p. It returns false if u is reserved for another suspect.
func (l *List) Reserve(now time.Duration, u id.Upstream, p Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reservations == nil {
		l.reservations = map[id.Upstream]reservation{}
	}
	if h, found := l.reservations[u]; found && h.print != p && now < h.until {
		return false
	}
	l.reservations[u] = reservation{print: p, until: now + reservationTTL}
	return true
}

// Release releases the reservation of u for the suspect p.
func (l *List) Release(u id.Upstream, p Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reservations[u].print == p {
		delete(l.reservations, u)
	}
}

// IsReserved reports whether u is reserved for a suspect at now.
func (l *List) IsReserved(now time.Duration, u id.Upstream) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, found := l.reservations[u]
	return found && now < h.until
}
