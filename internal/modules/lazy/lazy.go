// Package lazy provides a concurrent map that creates values on first access.
package lazy

import "sync"

// Map is a concurrent map whose values are created on first access. Get takes no lock for existing keys. The zero value
// is an empty map.
type Map[K comparable, V any] struct {
	m sync.Map // K to *V
}

// Get returns the value of k. It first adds a zero V if k is new.
func (m *Map[K, V]) Get(k K) *V {
	if v, ok := m.m.Load(k); ok {
		return v.(*V)
	}
	v, _ := m.m.LoadOrStore(k, new(V))
	return v.(*V)
}

// Each calls f for every key and value.
func (m *Map[K, V]) Each(f func(k K, v *V)) {
	m.m.Range(func(k, v any) bool {
		f(k.(K), v.(*V))
		return true
	})
}
