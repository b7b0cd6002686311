// Package lazy holds values that are made when they are first asked for.
package lazy

import "sync"

// Map holds a V for each key that was asked for. It takes no lock for keys that are there; the zero value is empty.
type Map[K comparable, V any] struct {
	m sync.Map // K to *V
}

// Get returns the value of k, the zero V where k is new.
func (m *Map[K, V]) Get(k K) *V {
	if v, ok := m.m.Load(k); ok {
		return v.(*V)
	}
	v, _ := m.m.LoadOrStore(k, new(V))
	return v.(*V)
}

// Each calls f for every value.
func (m *Map[K, V]) Each(f func(k K, v *V)) {
	m.m.Range(func(k, v any) bool {
		f(k.(K), v.(*V))
		return true
	})
}
