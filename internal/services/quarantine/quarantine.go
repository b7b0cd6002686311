// Package quarantine detects requests that crash the engines they run on, and refuses them.
//
// When an engine crashes, every request that ran on it becomes a suspect, and so does every part of its prompt that other requests
// may hold. A run that completes clears the request and its parts. Every VM
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
	"wagtaillift/internal/modules/rcu"
)

// Fingerprint is a hash of a request's customer, service and body, or of a part of its prompt.
type Fingerprint = suspect.Fingerprint

// Request identifies a request and what it shares with others.
type Request struct {
	Print Fingerprint
	Parts []Fingerprint // parts of its prompt that other requests may hold, in their order
}

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
	// CommittedCulprits returns the culprits among them; nil if there is none.
	CommittedCulprits func() suspect.Culprits

	culprits     rcu.Value[suspect.Culprits] // among the reported suspects
	mu           sync.Mutex
	reported     suspect.Table                  // by this VM and in messages from others
	cleared      map[Fingerprint]suspect.Millis // up to when crashes under a suspect had another cause
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

// Run is a request that was sent to an upstream.
type Run struct {
	Request
	SentAt time.Duration // clock.SinceBoot
}

// RecordCrash records that one incarnation of u crashed under the given runs, and returns the report for the other VMs.
func (l *List) RecordCrash(now time.Duration, u id.Upstream, incarnation uint64, runs []Run) suspect.Report {
	r := suspect.Report{Upstream: u, Incarnation: incarnation, At: l.millis(now)}
	for _, run := range runs {
		r.Runs = append(r.Runs, suspect.Run{Request: run.Print, Parts: run.Parts, Began: l.millis(run.SentAt)})
	}
	l.Apply(r)
	return r
}

// RecordCompletion records that u completed run. If that clears a suspect, it returns the report for the other VMs.
func (l *List) RecordCompletion(now time.Duration, u id.Upstream, incarnation uint64, run Run) (r suspect.Report, cleared bool) {
	done := suspect.Run{Request: run.Print, Began: l.millis(run.SentAt)}
	for _, part := range run.Parts {
		if c := l.Crashes(part); len(c) > 0 && c[0].At <= done.Began {
			done.Parts = append(done.Parts, part)
		}
	}
	if len(done.Parts) == 0 && len(l.Crashes(run.Print)) == 0 {
		return r, false
	}
	r = suspect.Report{Upstream: u, Incarnation: incarnation, At: l.millis(now), Runs: []suspect.Run{done}, Completed: true}
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
	if l.reported.Apply(r) {
		l.culprits.Store(l.reported.Culprits())
	}
	if !r.Completed {
		return
	}
	for _, run := range r.Runs {
		l.cleared[run.Request] = max(l.cleared[run.Request], r.At)
		for _, part := range run.Parts {
			l.cleared[part] = max(l.cleared[part], run.Began)
		}
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

func (l *List) committedCulprits() suspect.Culprits {
	if l.CommittedCulprits == nil {
		return suspect.Culprits{}
	}
	return l.CommittedCulprits()
}

// CrashCommitted reports whether the replicated log has a crash of an incarnation of u.
func (l *List) CrashCommitted(u id.Upstream, incarnation uint64) bool {
	for _, r := range l.committed() {
		if r.Includes(u, incarnation) {
			return true
		}
	}
	return false
}

// Crashes returns the crashes of p that no completed run shows to have another cause.
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

// DescribeParts returns the parts of a report's requests with the number of crashes of each, for a log line.
func (l *List) DescribeParts(r suspect.Report) []string {
	const maxParts = 32
	seen := map[Fingerprint]bool{}
	var list []string
	for _, run := range r.Runs {
		for _, part := range run.Parts {
			if !seen[part] && len(list) < maxParts {
				seen[part] = true
				list = append(list, fmt.Sprintf("%s:%d", part, len(l.Crashes(part))))
			}
		}
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

// Refused returns how much longer q is refused, because of a part of its prompt or by itself, and whether it is refused at all.
func (l *List) Refused(now time.Duration, q Request, h suspect.Hold) (left time.Duration, refused bool) {
	at := l.millis(now)
	for _, part := range q.Parts {
		if until, ok := l.partRefusedUntil(part, h.Long); ok {
			left = max(left, until.Sub(at))
		}
	}
	crashes := l.unexplained(q.Print)
	if h.Short < h.Long {
		h.Short = l.stagger(h.Short, q.Print)
		if l.doubtful(crashes, q.Parts) {
			return left, left > 0
		}
	}
	if until, ok := crashes.RefusedUntil(h); ok {
		left = max(left, until.Sub(at))
	}
	return left, left > 0
}

// doubtful reports whether the crashes of a request may as well be those of a part that it does not hold.
func (l *List) doubtful(r suspect.Record, own []Fingerprint) bool {
	return len(r) > 0 && (l.culprits.Load().Doubtful(r, own) || l.committedCulprits().Doubtful(r, own))
}

// unexplained returns the crashes of p without those of which a part of another request's prompt is the cause.
func (l *List) unexplained(p Fingerprint) suspect.Record {
	return l.committedCulprits().Unexplained(l.culprits.Load().Unexplained(l.Crashes(p)))
}

// partRefusedUntil returns the time until which requests with a part are refused, and whether they are. The part is a culprit by the
// messages from other VMs, or by the log, unless a run with it has completed since.
func (l *List) partRefusedUntil(part Fingerprint, longest time.Duration) (until suspect.Millis, ok bool) {
	r := l.culprits.Load().Part(part)
	if c := l.committedCulprits().Part(part); len(c) > len(r) {
		r = c
	}
	if len(r) == 0 {
		return 0, false
	}
	r = r.After(l.clearedUpTo(part))
	hold := r.PartHold(longest)
	if hold <= 0 {
		return 0, false
	}
	if hold < longest {
		hold = l.stagger(hold, part)
	}
	return r.Last().Add(hold), true
}

// clearedUpTo returns the time up to which crashes under p had another cause.
func (l *List) clearedUpTo(p Fingerprint) suspect.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cleared[p]
}

// RefusedPart returns the first part of q for which it is refused, and the crashes under it.
func (l *List) RefusedPart(now time.Duration, q Request, h suspect.Hold) (Fingerprint, int) {
	for _, part := range q.Parts {
		if until, ok := l.partRefusedUntil(part, h.Long); ok && until > l.millis(now) {
			return part, len(l.Crashes(part))
		}
	}
	return 0, 0
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
