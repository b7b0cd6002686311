// Package quarantine detects requests that crash the engines they run on, and refuses them.
//
// When an engine crashes, every request that ran on it becomes a suspect. Suspects no longer share an engine, so that a
// second crash is attributable to one suspect.
package quarantine

import (
	"fmt"
	"sync"
	"time"

	"wagtaillift/internal/modules/hash"
	"wagtaillift/internal/modules/id"
)

// Fingerprint is a hash of a request's customer, service and body.
type Fingerprint uint64

// String returns p in hexadecimal, as in log lines.
func (p Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(p)) }

const (
	crashesToRefuse = 2                // crashes after which a request is refused
	suspectTTL      = 10 * time.Minute // how long a request stays a suspect after a crash
	sweepThreshold  = 10000            // number of records from which on expired ones are removed
	reservationTTL  = 2 * time.Minute  // lifetime of a reservation that is not released
)

// NewFingerprint returns the fingerprint of a request. For a plain call, s or body also includes the path.
func NewFingerprint(c id.Customer, s id.Service, body []byte) Fingerprint {
	return Fingerprint(hash.Combine(hash.Combine(hash.String(c), hash.String(s)), hash.Bytes(body)))
}

// record counts the crashes of engines that ran one request.
type record struct {
	crashes int
	until   time.Duration // clock.SinceBoot at which the record expires
}

// List holds the suspects, the refused requests and the reservations of engines. The zero value is an empty list.
type List struct {
	mu           sync.Mutex
	records      map[Fingerprint]record
	reservations map[id.Upstream]reservation // by engine
}

// reservation is the exclusive use of an engine by one suspect. It expires because the VM that made it may crash.
type reservation struct {
	print Fingerprint   // fingerprint of the suspect
	until time.Duration // clock.SinceBoot at which the reservation expires
}

// RecordCrash records that p ran on an engine that crashed, and reports whether p is now refused for duration.
func (l *List) RecordCrash(now time.Duration, p Fingerprint, duration time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.records == nil {
		l.records = map[Fingerprint]record{}
	}
	l.removeExpired(now)
	r := l.records[p]
	r.crashes++
	r.until = max(r.until, now+suspectTTL)
	refused := r.crashes >= crashesToRefuse
	if refused {
		r.until = now + duration
	}
	l.records[p] = r
	return refused
}

// AddRefused adds a request that another VM has quarantined.
func (l *List) AddRefused(now time.Duration, p Fingerprint, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.records == nil {
		l.records = map[Fingerprint]record{}
	}
	l.records[p] = record{crashes: crashesToRefuse, until: now + duration}
}

// Refused returns how much longer p is refused, and whether it is refused at all.
func (l *List) Refused(now time.Duration, p Fingerprint) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.records[p]
	if !ok || r.crashes < crashesToRefuse || now >= r.until {
		return 0, false
	}
	return r.until - now, true
}

// Crashes returns how many crashes of upstreams are recorded for p, whether or not the record has expired.
func (l *List) Crashes(p Fingerprint) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.records[p].crashes
}

// Len returns the number of records.
func (l *List) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}

// IsSuspect reports whether p recently ran on an engine that crashed.
func (l *List) IsSuspect(now time.Duration, p Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.records[p]
	return ok && r.crashes > 0 && now < r.until
}

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

// removeExpired deletes expired records once there are sweepThreshold of them.
func (l *List) removeExpired(now time.Duration) {
	if len(l.records) < sweepThreshold {
		return
	}
	for p, r := range l.records {
		if now >= r.until {
			delete(l.records, p)
		}
	}
}
