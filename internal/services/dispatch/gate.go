package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/services/fair"
	"wagtaillift/internal/services/route"
)

const (
	drainMemory = 0.8 // weight of the past in the estimate of the rate at which tickets are served
	drainEvery  = 100 * time.Millisecond
)

// waiter is a request that waits for room.
type waiter struct {
	try   func() route.Choice
	begun bool              // part of the answer is delivered: it waits whatever the estimate says
	done  chan route.Choice // answered once
}

type ticket = fair.Ticket[id.Customer, *waiter]

// gate lets requests for one model or application through as there is room, fairly between customers. While nobody
// waits it takes no lock.
type gate struct {
	waiting atomic.Int64
	mu      sync.Mutex
	queue   fair.Queue[id.Customer, *waiter]
	running bool
	served  int
	since   time.Time
	drain   float64 // tickets a second
}

// enter returns a choice as soon as there is room and it is t's turn. Without one it returns the last choice that
// failed, with the time after which another try makes sense: at once where t would wait longer than limit.
func (g *gate) enter(ctx context.Context, t *ticket, limit time.Duration) (route.Choice, time.Duration) {
	if g.waiting.Load() == 0 {
		if ch := t.Value.try(); ch.Upstream != nil || ch.Rule == route.None && limit <= 0 {
			return ch, 0
		}
	}
	t.Value.done = make(chan route.Choice, 1)
	g.mu.Lock()
	if wait := g.estimate(t); wait > limit && !t.Value.begun {
		g.mu.Unlock()
		return route.Choice{Rule: route.Full}, wait
	}
	g.queue.Push(t)
	g.waiting.Add(1)
	if !g.running {
		g.running = true
		g.since, g.served = time.Now(), 0
		go g.pump()
	}
	g.mu.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case ch := <-t.Value.done:
		return ch, 0
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.abandon(t)
}

// estimate returns how long t would wait, from the tickets ahead of it and the rate at which they are served.
func (g *gate) estimate(t *ticket) time.Duration {
	if g.drain <= 0 {
		return 0
	}
	ahead := g.queue.Waiting(t.Key) * max(1, g.queue.Active())
	return time.Duration(float64(min(ahead, g.queue.Len())) / g.drain * float64(time.Second))
}

// abandon takes t out. Where it was served meanwhile the choice is returned.
func (g *gate) abandon(t *ticket) (route.Choice, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case ch := <-t.Value.done:
		return ch, 0
	default:
	}
	wait := g.estimate(t)
	g.queue.Remove(t, false)
	g.waiting.Add(-1)
	return t.Value.try(), wait
}

// pump serves tickets until none waits.
func (g *gate) pump() {
	ticker := time.NewTicker(roomPoll)
	defer ticker.Stop()
	for range ticker.C {
		g.mu.Lock()
		g.serve()
		g.measure(time.Now())
		if g.queue.Len() == 0 {
			g.running = false
			g.mu.Unlock()
			return
		}
		g.mu.Unlock()
	}
}

// serve lets tickets through in their fair order until one finds no room.
func (g *gate) serve() {
	for {
		t := g.queue.Peek()
		if t == nil {
			return
		}
		ch := t.Value.try()
		if ch.Upstream == nil {
			return
		}
		g.queue.Remove(t, true)
		g.waiting.Add(-1)
		g.served++
		t.Value.done <- ch
	}
}

// measure updates the rate at which tickets are served.
func (g *gate) measure(now time.Time) {
	d := now.Sub(g.since)
	if d < drainEvery {
		return
	}
	rate := float64(g.served) / d.Seconds()
	if g.drain == 0 {
		g.drain = rate
	}
	g.drain = drainMemory*g.drain + (1-drainMemory)*rate
	g.since, g.served = now, 0
}
