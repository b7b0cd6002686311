// Package fair orders requests that wait for room at the upstreams: virtual token counters by customer (Sheng et al.,
// Fairness in Serving Large Language Models, OSDI 2024), first come first served inside a customer.
package fair

import (
	"cmp"
	"slices"
)

// Ticket is one waiting request.
type Ticket[K cmp.Ordered, V any] struct {
	Key    K       // customer
	Cost   float64 // tokens
	Weight float64 // fair share against the others
	Value  V
	order  uint64
}

// lane is one customer's tickets and counter.
type lane[K cmp.Ordered, V any] struct {
	key     K
	counter float64 // cost served, divided by weight
	tickets []*Ticket[K, V]
}

// Queue orders tickets. It is not safe for concurrent use; the zero value is empty.
type Queue[K cmp.Ordered, V any] struct {
	lanes map[K]*lane[K, V]
	order uint64
	n     int
}

// Len returns the number of tickets.
func (q *Queue[K, V]) Len() int { return q.n }

// Waiting returns the number of tickets of k.
func (q *Queue[K, V]) Waiting(k K) int {
	if l, ok := q.lanes[k]; ok {
		return len(l.tickets)
	}
	return 0
}

// Active returns the number of customers with tickets.
func (q *Queue[K, V]) Active() int {
	n := 0
	for _, l := range q.lanes {
		if len(l.tickets) > 0 {
			n++
		}
	}
	return n
}

func (q *Queue[K, V]) lane(k K) *lane[K, V] {
	if q.lanes == nil {
		q.lanes = map[K]*lane[K, V]{}
	}
	l, ok := q.lanes[k]
	if !ok {
		l = &lane[K, V]{key: k}
		q.lanes[k] = l
	}
	return l
}

// floor returns the least counter among customers with tickets.
func (q *Queue[K, V]) floor() (least float64, any bool) {
	for _, l := range q.lanes {
		if len(l.tickets) > 0 && (!any || l.counter < least) {
			least, any = l.counter, true
		}
	}
	return least, any
}

// Push adds t behind its customer's other tickets. A customer that had none is lifted to the least counter of the
// others, so that it cannot save up service while it is idle.
func (q *Queue[K, V]) Push(t *Ticket[K, V]) {
	l := q.lane(t.Key)
	if len(l.tickets) == 0 {
		if least, ok := q.floor(); ok {
			l.counter = max(l.counter, least)
		}
	}
	q.order++
	t.order = q.order
	l.tickets = append(l.tickets, t)
	q.n++
}

// Peek returns the ticket to serve next: the oldest of the customer with the least counter, nil where none waits.
func (q *Queue[K, V]) Peek() *Ticket[K, V] {
	var best *lane[K, V]
	for _, l := range q.lanes {
		if len(l.tickets) == 0 {
			continue
		}
		if best == nil || l.counter < best.counter ||
			l.counter == best.counter && l.tickets[0].order < best.tickets[0].order {
			best = l
		}
	}
	if best == nil {
		return nil
	}
	return best.tickets[0]
}

// Remove takes t out; served counts its cost.
func (q *Queue[K, V]) Remove(t *Ticket[K, V], served bool) {
	l := q.lane(t.Key)
	i := slices.Index(l.tickets, t)
	if i < 0 {
		return
	}
	l.tickets = slices.Delete(l.tickets, i, i+1)
	q.n--
	if served {
		l.counter += t.Cost / max(t.Weight, 1e-9)
	}
}
