// Package billing counts usage and keeps a copy of each count on another VM until it is committed.
package billing

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"wagtaillift/internal/models/usage"
	"wagtaillift/internal/modules/id"
)

// copyTimeout limits how long the end of an answer waits for its usage count to be copied to another VM.
const copyTimeout = 200 * time.Millisecond

type counterKey struct {
	customer id.Customer
	service  id.Service
	window   id.Window
}

// counter is a cumulative count. It takes no lock.
type counter struct {
	requests, promptTokens, outputTokens atomic.Uint64
}

// Meter counts the usage that this VM serves.
type Meter struct {
	VM          id.VM
	Incarnation id.Incarnation
	// SendCopy copies readings to another VM of the same data centre; if nil, no copies are kept.
	SendCopy func(ctx context.Context, list []usage.Reading) error
	counters sync.Map // counterKey to *counter

	mu        sync.Mutex
	held      map[usage.Source]usage.Count // uncommitted copies held for other VMs
	committed map[usage.Source]usage.Count // committed counts of this VM
	copying   bool                         // copyLoop is running
	waiters   []chan struct{}              // closed after the next copy
}

// Add adds c for a customer and service without a window; it is reported with the next window.
func (m *Meter) Add(cust id.Customer, svc id.Service, c usage.Count) { m.AddInWindow(0, cust, svc, c) }

// AddInWindow adds c for a customer and service in window w.
func (m *Meter) AddInWindow(w id.Window, cust id.Customer, svc id.Service, c usage.Count) {
	k := counterKey{cust, svc, w}
	v, ok := m.counters.Load(k)
	if !ok {
		v, _ = m.counters.LoadOrStore(k, &counter{})
	}
	n := v.(*counter)
	n.requests.Add(c.Requests)
	n.promptTokens.Add(c.PromptTokens)
	n.outputTokens.Add(c.OutputTokens)
}

// ownReadings returns the counts of this VM.
func (m *Meter) ownReadings() []usage.Reading {
	var list []usage.Reading
	m.counters.Range(func(k, v any) bool {
		key, n := k.(counterKey), v.(*counter)
		src := usage.Source{VM: m.VM, Incarnation: m.Incarnation, Customer: key.customer, Service: key.service, Window: key.window}
		c := usage.Count{Requests: n.requests.Load(), PromptTokens: n.promptTokens.Load(), OutputTokens: n.outputTokens.Load()}
		list = append(list, usage.Reading{Source: src, Count: c})
		return true
	})
	return list
}

// UncommittedReadings returns the counts of this VM and those held for other VMs that are not known to be committed.
func (m *Meter) UncommittedReadings() []usage.Reading {
	list := m.ownReadings()
	m.mu.Lock()
	defer m.mu.Unlock()
	var uncommitted []usage.Reading
	for _, r := range list {
		if known := m.committed[r.Source]; known.Merge(r.Count) != known {
			uncommitted = append(uncommitted, r)
		}
	}
	for src, c := range m.held {
		uncommitted = append(uncommitted, usage.Reading{Source: src, Count: c})
	}
	return uncommitted
}

// DropCommitted deletes the counters of this VM for windows before w that are committed.
func (m *Meter) DropCommitted(w id.Window) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.ownReadings() {
		src := r.Source
		if src.Window == 0 || src.Window >= w || m.committed[src].Merge(r.Count) != m.committed[src] {
			continue
		}
		m.counters.Delete(counterKey{src.Customer, src.Service, src.Window})
		delete(m.committed, src)
	}
}

// MarkCommitted records which counts are committed. Copies held for other VMs are deleted; counts of this VM are no
// longer reported.
func (m *Meter) MarkCommitted(list []usage.Reading) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.committed == nil {
		m.committed = map[usage.Source]usage.Count{}
	}
	for _, r := range list {
		if r.Source.VM == m.VM && r.Source.Incarnation == m.Incarnation {
			m.committed[r.Source] = m.committed[r.Source].Merge(r.Count)
		} else if held, ok := m.held[r.Source]; ok && held.Merge(r.Count) == r.Count {
			delete(m.held, r.Source)
		}
	}
}

// Hold stores copies of another VM's counts until they are committed.
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

// WaitReplicated waits until all counts added before the call have been copied to another VM, the copy has failed, or
// copyTimeout has passed. Calls made while a copy is being sent share the next one.
func (m *Meter) WaitReplicated(ctx context.Context) {
	if m.SendCopy == nil {
		return
	}
	ch := make(chan struct{})
	m.mu.Lock()
	m.waiters = append(m.waiters, ch)
	if !m.copying {
		m.copying = true
		go m.copyLoop()
	}
	m.mu.Unlock()
	t := time.NewTimer(copyTimeout)
	defer t.Stop()
	select {
	case <-ch:
	case <-t.C:
	case <-ctx.Done():
	}
}

// copyLoop sends copies until no caller waits.
func (m *Meter) copyLoop() {
	for {
		m.mu.Lock()
		batch := m.waiters
		m.waiters = nil
		if len(batch) == 0 {
			m.copying = false
			m.mu.Unlock()
			return
		}
		m.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
		m.SendCopy(ctx, m.ownReadings()) // if this fails, the leader still gets the counts with the next report
		cancel()
		for _, ch := range batch {
			close(ch)
		}
	}
}
