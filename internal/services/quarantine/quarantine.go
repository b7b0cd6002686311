// Package quarantine finds the request that crashes every engine that runs it, and refuses it.
//
// When an engine crashes, every request that ran on it becomes a suspect. Two suspects never share an engine again,
// so the second crash of a suspect is its own.
package quarantine

import (
	"sync"
	"time"

	"wagtaillift/internal/modules/hash"
	"wagtaillift/internal/modules/id"
)

// Print identifies a request by customer, service and body.
type Print uint64

const (
	crashesToRefuse = 2
	suspicion       = 10 * time.Minute
	maxPrints       = 10000
	reservation     = 2 * time.Minute
)

// Fingerprint returns the print of a request.
func Fingerprint(c id.Customer, s id.Service, body []byte) Print {
	return Print(hash.Pair(hash.Pair(hash.String(c), hash.String(s)), hash.Bytes(body)))
}

type record struct {
	crashes int
	until   time.Duration
}

// List holds the suspects and the refused. The zero value is empty.
type List struct {
	mu      sync.Mutex
	prints  map[Print]record
	engines map[id.Upstream]held // suspect that an engine runs
}

// held is an engine's reservation for a suspect. It lapses, because the VM that made it may die.
type held struct {
	print Print
	until time.Duration
}

// Crash records that p ran on an engine that crashed, and reports whether p is now refused, for hold.
func (l *List) Crash(now time.Duration, p Print, hold time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.prints == nil {
		l.prints = map[Print]record{}
	}
	l.sweep(now)
	r := l.prints[p]
	r.crashes++
	r.until = max(r.until, now+suspicion)
	refused := r.crashes >= crashesToRefuse
	if refused {
		r.until = now + hold
	}
	l.prints[p] = r
	return refused
}

// Refuse adds a print that another VM has refused.
func (l *List) Refuse(now time.Duration, p Print, hold time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.prints == nil {
		l.prints = map[Print]record{}
	}
	l.prints[p] = record{crashes: crashesToRefuse, until: now + hold}
}

// Refused returns how long p stays refused.
func (l *List) Refused(now time.Duration, p Print) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.prints[p]
	if !ok || r.crashes < crashesToRefuse || now >= r.until {
		return 0, false
	}
	return r.until - now, true
}

// Suspect reports whether p ran on an engine that crashed.
func (l *List) Suspect(now time.Duration, p Print) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.prints[p]
	return ok && r.crashes > 0 && now < r.until
}

// Enter reserves u for the suspect p at now and reports whether no other suspect runs there.
func (l *List) Enter(now time.Duration, u id.Upstream, p Print) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.engines == nil {
		l.engines = map[id.Upstream]held{}
	}
	if h, taken := l.engines[u]; taken && h.print != p && now < h.until {
		return false
	}
	l.engines[u] = held{print: p, until: now + reservation}
	return true
}

// Leave frees u from the suspect p.
func (l *List) Leave(u id.Upstream, p Print) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.engines[u].print == p {
		delete(l.engines, u)
	}
}

// Busy reports whether a suspect runs on u at now.
func (l *List) Busy(now time.Duration, u id.Upstream) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, taken := l.engines[u]
	return taken && now < h.until
}

func (l *List) sweep(now time.Duration) {
	if len(l.prints) < maxPrints {
		return
	}
	for p, r := range l.prints {
		if now >= r.until {
			delete(l.prints, p)
		}
	}
}
