// Package rcu holds values that many threads read without a lock and few replace (read-copy-update).
package rcu

import (
	"sync"
	"sync/atomic"
)

// Value holds an immutable T. The zero Value holds the zero T.
type Value[T any] struct {
	p  atomic.Pointer[T]
	mu sync.Mutex // serialises Update
}

// Load returns the current value.
func (v *Value[T]) Load() T {
	if p := v.p.Load(); p != nil {
		return *p
	}
	var zero T
	return zero
}

// Store replaces the value.
func (v *Value[T]) Store(t T) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.p.Store(&t)
}

// Update replaces the value by f of it. f must not change its argument in place.
func (v *Value[T]) Update(f func(T) T) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var cur T
	if p := v.p.Load(); p != nil {
		cur = *p
	}
	next := f(cur)
	v.p.Store(&next)
}
