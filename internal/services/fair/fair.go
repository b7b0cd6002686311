// Package fair implements fair queueing of requests that wait for upstream capacity: virtual token counters between
// customers (Sheng et al., Fairness in Serving Large Language Models, OSDI 2024), first come, first served within a customer.
package fair

import (
	"cmp"
	"slices"
)

// Item is one waiting request.
type Item[K cmp.Ordered, V any] struct {
	Key    K       // customer
	Cost   float64 // tokens
	Weight float64 // share of the capacity relative to other customers
	Value  V
	seq    uint64 // order of arrival
}

// flow holds the waiting items and the virtual counter of one customer.
type flow[K cmp.Ordered, V any] struct {
	key     K
	counter float64 // cost served, divided by weight
	items   []*Item[K, V]
}

// Queue orders items fairly between customers. It is not safe for concurrent use. The zero value is an empty queue.
type Queue[K cmp.Ordered, V any] struct {
	flows  map[K]*flow[K, V]
	seq    uint64
	length int
}

// Len returns the number of items.
func (q *Queue[K, V]) Len() int { return q.length }

// Waiting returns the number of items of customer k.
func (q *Queue[K, V]) Waiting(k K) int {
	if f, ok := q.flows[k]; ok {
		return len(f.items)
	}
	return 0
}

// ActiveCustomers returns the number of customers with waiting items.
func (q *Queue[K, V]) ActiveCustomers() int {
	n := 0
	for _, f := range q.flows {
		if len(f.items) > 0 {
			n++
		}
	}
	return n
}

// flow returns the flow of customer k and creates it if necessary.
func (q *Queue[K, V]) flow(k K) *flow[K, V] {
	if q.flows == nil {
		q.flows = map[K]*flow[K, V]{}
	}
	f, ok := q.flows[k]
	if !ok {
		f = &flow[K, V]{key: k}
		q.flows[k] = f
	}
	return f
}

// minCounter returns the lowest counter among customers with waiting items; any is false if there are none.
func (q *Queue[K, V]) minCounter() (lowest float64, any bool) {
	for _, f := range q.flows {
		if len(f.items) > 0 && (!any || f.counter < lowest) {
			lowest, any = f.counter, true
		}
	}
	return lowest, any
}

// Push appends item to its customer's flow. The counter of a customer without waiting items is raised to the lowest counter
// of the others, so that an idle customer does not accumulate credit.
func (q *Queue[K, V]) Push(item *Item[K, V]) {
	f := q.flow(item.Key)
	if len(f.items) == 0 {
		if lowest, ok := q.minCounter(); ok {
			f.counter = max(f.counter, lowest)
		}
	}
	q.seq++
	item.seq = q.seq
	f.items = append(f.items, item)
	q.length++
}

// Peek returns the item to serve next: the oldest of the customer with the lowest counter, or nil if the queue is empty.
func (q *Queue[K, V]) Peek() *Item[K, V] {
	var best *flow[K, V]
	for _, f := range q.flows {
		if len(f.items) == 0 {
			continue
		}
		if best == nil || f.counter < best.counter ||
			f.counter == best.counter && f.items[0].seq < best.items[0].seq {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	return best.items[0]
}

// Remove removes item from the queue. If it was served, its cost is added to its customer's counter.
func (q *Queue[K, V]) Remove(item *Item[K, V], served bool) {
	f := q.flow(item.Key)
	i := slices.Index(f.items, item)
	if i < 0 {
		return
	}
	f.items = slices.Delete(f.items, i, i+1)
	q.length--
	if served {
		f.counter += item.Cost / max(item.Weight, 1e-9) // avoids a division by zero
	}
}
