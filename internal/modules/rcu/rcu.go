// Package rcu provides read-copy-update values for data that is read often and replaced rarely; reads take no lock.
package rcu

import (
	"sync"
	"sync/atomic"
)

// Value holds an immutable T. The zero Value holds the zero T. It is safe for concurrent use.
type Value[T any] struct {
	p  atomic.Pointer[T]
	mu sync.Mutex // serializes Store and Update
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

// Update replaces the value with the result of f for the current value. f must not modify its argument in place.
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
