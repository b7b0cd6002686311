// Package billing counts usage, keeps a copy of each count on another VM, and reports sealed windows to the platform.
package billing

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"wagtaillift/internal/models/usage"
	"wagtaillift/internal/modules/id"
)

// holdTimeout bounds how long the end of an answer waits for the copy of its count.
const holdTimeout = 200 * time.Millisecond

type pair struct {
	customer id.Customer
	service  id.Service
	window   id.Window
}

// counter is one cumulative count. It takes no lock.
type counter struct {
	requests, prompt, output atomic.Uint64
}

// Meter counts what this VM delivers.
type Meter struct {
	VM          id.VM
	Incarnation id.Incarnation
	// Send copies readings to a VM of the same data centre; nil keeps no copy.
	Send     func(ctx context.Context, list []usage.Reading) error
	counters sync.Map // pair to *counter

	mu      sync.Mutex
	held    map[usage.Source]usage.Count // for other VMs
	counted map[usage.Source]usage.Count // committed, of this VM's own
	running bool
	waiting []chan struct{}
}

// Add counts c for a customer and service, in no window of its own: it is reported with the next one.
func (m *Meter) Add(cust id.Customer, svc id.Service, c usage.Count) { m.AddIn(0, cust, svc, c) }

// AddIn counts c in window w.
func (m *Meter) AddIn(w id.Window, cust id.Customer, svc id.Service, c usage.Count) {
	k := pair{cust, svc, w}
	v, ok := m.counters.Load(k)
	if !ok {
		v, _ = m.counters.LoadOrStore(k, &counter{})
	}
	n := v.(*counter)
	n.requests.Add(c.Requests)
	n.prompt.Add(c.Prompt)
	n.output.Add(c.Output)
}

// own returns this VM's counts.
func (m *Meter) own() []usage.Reading {
	var list []usage.Reading
	m.counters.Range(func(k, v any) bool {
		p, n := k.(pair), v.(*counter)
		src := usage.Source{VM: m.VM, Incarnation: m.Incarnation, Customer: p.customer, Service: p.service, Window: p.window}
		c := usage.Count{Requests: n.requests.Load(), Prompt: n.prompt.Load(), Output: n.output.Load()}
		list = append(list, usage.Reading{Source: src, Count: c})
		return true
	})
	return list
}

// Readings returns the counts, own and held, that are not known to be committed.
func (m *Meter) Readings() []usage.Reading {
	list := m.own()
	m.mu.Lock()
	defer m.mu.Unlock()
	var ahead []usage.Reading
	for _, r := range list {
		if done := m.counted[r.Source]; done.Merge(r.Count) != done {
			ahead = append(ahead, r)
		}
	}
	for src, c := range m.held {
		ahead = append(ahead, usage.Reading{Source: src, Count: c})
	}
	return ahead
}

// Forget drops this VM's counters of windows before w that are committed.
func (m *Meter) Forget(w id.Window) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.own() {
		src := r.Source
		if src.Window == 0 || src.Window >= w || m.counted[src].Merge(r.Count) != m.counted[src] {
			continue
		}
		m.counters.Delete(pair{src.Customer, src.Service, src.Window})
		delete(m.counted, src)
	}
}

// Counted learns which counts are committed. Held ones are dropped, own ones no longer reported.
func (m *Meter) Counted(list []usage.Reading) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.counted == nil {
		m.counted = map[usage.Source]usage.Count{}
	}
	for _, r := range list {
		if r.Source.VM == m.VM && r.Source.Incarnation == m.Incarnation {
			m.counted[r.Source] = m.counted[r.Source].Merge(r.Count)
		} else if held, ok := m.held[r.Source]; ok && held.Merge(r.Count) == r.Count {
			delete(m.held, r.Source)
		}
	}
}

// Hold keeps counts for another VM.
func (m *Meter) Hold(list []usage.Reading) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held == nil {
		m.held = map[usage.Source]usage.Count{}
	}
	for _, r := range list {
		m.held[r.Source] = m.held[r.Source].Merge(r.Count)
	}
}

// Secure waits until another VM holds all counts added before the call, or holdTimeout has passed. Calls that come
// while one copy is on its way share the next.
func (m *Meter) Secure(ctx context.Context) {
	if m.Send == nil {
		return
	}
	ch := make(chan struct{})
	m.mu.Lock()
	m.waiting = append(m.waiting, ch)
	if !m.running {
		m.running = true
		go m.copyOut()
	}
	m.mu.Unlock()
	t := time.NewTimer(holdTimeout)
	defer t.Stop()
	select {
	case <-ch:
	case <-t.C:
	case <-ctx.Done():
	}
}

// copyOut sends counts until nobody waits.
func (m *Meter) copyOut() {
	for {
		m.mu.Lock()
		batch := m.waiting
		m.waiting = nil
		if len(batch) == 0 {
			m.running = false
			m.mu.Unlock()
			return
		}
		m.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), holdTimeout)
		m.Send(ctx, m.own()) // without a copy the count still reaches the leader with the next report
		cancel()
		for _, ch := range batch {
			close(ch)
		}
	}
}
