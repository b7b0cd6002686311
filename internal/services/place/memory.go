// Package place decides which engine takes a model request, or that none can in time: pure functions of one view of the
// engines.
package place

import (
	"container/list"

	"wagtaillift/internal/modules/hash"
	"wagtaillift/internal/modules/id"
)

// Part is one leading part of a prompt.
type Part struct {
	Chain  uint64 // identifies the model and every part up to this one
	Tokens id.Tokens
}

// Chain returns the identity of the part named name behind the part before.
func Chain(before uint64, name string) uint64 { return hash.Pair(before, hash.String(name)) }

// Memory is what an engine is believed to keep of prompts: the parts used last, up to a number of tokens. The zero value
// is empty. It is not safe for concurrent use.
type Memory struct {
	parts map[uint64]*list.Element
	order list.List // of Part; the latest used in front
	held  id.Tokens
}

// Cached returns how many leading tokens of a prompt the engine need not read again.
func (m *Memory) Cached(parts []Part) id.Tokens {
	var n id.Tokens
	for _, p := range parts {
		if _, ok := m.parts[p.Chain]; !ok {
			break
		}
		n += p.Tokens
	}
	return n
}

// Keep notes that the engine read parts, and forgets the parts that yield to them.
func (m *Memory) Keep(parts []Part, most id.Tokens) {
	if m.parts == nil {
		m.parts = map[uint64]*list.Element{}
	}
	for i := len(parts) - 1; i >= 0; i-- { // a leading part yields after those that need it
		m.keep(parts[i])
	}
	for m.held > most && m.order.Len() > 0 {
		m.Drop(m.order.Back().Value.(Part).Chain)
	}
}

func (m *Memory) keep(p Part) {
	if e, ok := m.parts[p.Chain]; ok {
		m.order.MoveToFront(e)
		return
	}
	m.parts[p.Chain] = m.order.PushFront(p)
	m.held += p.Tokens
}

// Drop forgets one part.
func (m *Memory) Drop(chain uint64) {
	e, ok := m.parts[chain]
	if !ok {
		return
	}
	m.order.Remove(e)
	delete(m.parts, chain)
	m.held -= e.Value.(Part).Tokens
}
