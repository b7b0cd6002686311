// Package origin records at which service and software version the streams of callers began, and shares this between VMs, so that a
// stream that a caller resumes at any VM continues at the same version.
package origin

import (
	"sync"
	"time"

	"wagtaillift/internal/modules/id"
)

// retention is the minimum time for which an origin is kept. It is longer than the deadlines of callers.
const retention = time.Minute

// Key identifies a stream: the request that brought its first event, and the customer, as callers choose request ids.
type Key struct {
	Customer id.Customer `cbor:"1,keyasint,omitempty"`
	Request  id.Request  `cbor:"2,keyasint"`
}

// Origin is where a stream began.
type Origin struct {
	Service id.Service `cbor:"1,keyasint"`
	Version string     `cbor:"2,keyasint,omitempty"` // of the upstream's software
}

// Table holds the origins of recent streams. The zero value is empty. It is safe for concurrent use.
type Table struct {
	mu        sync.Mutex
	current   map[Key]Origin
	previous  map[Key]Origin // recorded up to retention before current
	rotatedAt time.Duration
}

// Put records the origin of a stream that began at now.
func (t *Table) Put(now time.Duration, k Key, o Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	if t.current == nil {
		t.current = map[Key]Origin{}
	}
	t.current[k] = o
}

// Get returns the origin of a stream that began within retention before now.
func (t *Table) Get(now time.Duration, k Key) (Origin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	if o, ok := t.current[k]; ok {
		return o, true
	}
	o, ok := t.previous[k]
	return o, ok
}

// rotate drops the origins that are older than twice the retention.
func (t *Table) rotate(now time.Duration) {
	age := now - t.rotatedAt
	if age < retention {
		return
	}
	t.previous = t.current
	if age >= 2*retention {
		t.previous = nil
	}
	t.current, t.rotatedAt = nil, now
}
