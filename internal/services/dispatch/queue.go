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
	rateSmoothing = 0.8                    // weight of the previous value in the moving average of the admission rate
	rateInterval  = 100 * time.Millisecond // minimum time over which the admission rate is measured
)

// waiter is a request that waits for capacity.
type waiter struct {
	try     func() route.Choice
	started bool              // an upstream was already tried: the request waits regardless of the estimated wait
	done    chan route.Choice // receives exactly one choice
}

type queueItem = fair.Item[id.Customer, *waiter]

// admissionQueue admits requests for one model or application as capacity becomes available, fairly between customers. It
// takes no lock while no request waits.
type admissionQueue struct {
	waitingCount atomic.Int64
	mu           sync.Mutex
	queue        fair.Queue[id.Customer, *waiter]
	running      bool // run is active
	admitted     int  // requests admitted since measuredAt
	measuredAt   time.Time
	admitRate    float64 // requests per second
}

// acquire returns a choice as soon as there is capacity and it is item's turn. Failing that, it returns the last failed
// choice and the time after which a retry makes sense. It does not wait if the estimated wait is longer than limit.
func (q *admissionQueue) acquire(ctx context.Context, item *queueItem, limit time.Duration) (route.Choice, time.Duration) {
	if q.waitingCount.Load() == 0 {
		if ch := item.Value.try(); ch.Upstream != nil || ch.Rule == route.None && limit <= 0 {
			return ch, 0
		}
	}
	item.Value.done = make(chan route.Choice, 1)
	q.mu.Lock()
	if wait := q.estimateWait(item); wait > limit && !item.Value.started {
		q.mu.Unlock()
		return route.Choice{Rule: route.Full}, wait
	}
	q.queue.Push(item)
	q.waitingCount.Add(1)
	if !q.running {
		q.running = true
		q.measuredAt, q.admitted = time.Now(), 0
		go q.run()
	}
	q.mu.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case ch := <-item.Value.done:
		return ch, 0
	case <-timer.C:
	case <-ctx.Done():
	}
	return q.abandon(item)
}

// estimateWait estimates how long item would wait, from the requests ahead of it and the admission rate.
func (q *admissionQueue) estimateWait(item *queueItem) time.Duration {
	if q.admitRate <= 0 {
		return 0
	}
	ahead := q.queue.Waiting(item.Key) * max(1, q.queue.ActiveCustomers())
	return time.Duration(float64(min(ahead, q.queue.Len())) / q.admitRate * float64(time.Second))
}

// abandon removes item from the queue and tries a last time. If item was admitted in the meantime, it returns that choice.
func (q *admissionQueue) abandon(item *queueItem) (route.Choice, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case ch := <-item.Value.done:
		return ch, 0
	default:
	}
	wait := q.estimateWait(item)
	q.queue.Remove(item, false)
	q.waitingCount.Add(-1)
	return item.Value.try(), wait
}

// run admits requests until none waits.
func (q *admissionQueue) run() {
	ticker := time.NewTicker(queuePollInterval)
	defer ticker.Stop()
	for range ticker.C {
		q.mu.Lock()
		q.admitWaiting()
		q.updateRate(time.Now())
		if q.queue.Len() == 0 {
			q.running = false
			q.mu.Unlock()
			return
		}
		q.mu.Unlock()
	}
}

// admitWaiting admits requests in fair order until one finds no capacity.
func (q *admissionQueue) admitWaiting() {
	for {
		item := q.queue.Peek()
		if item == nil {
			return
		}
		ch := item.Value.try()
		if ch.Upstream == nil {
			return
		}
		q.queue.Remove(item, true)
		q.waitingCount.Add(-1)
		q.admitted++
		item.Value.done <- ch
	}
}

// updateRate updates the moving average of the admission rate.
func (q *admissionQueue) updateRate(now time.Time) {
	d := now.Sub(q.measuredAt)
	if d < rateInterval {
		return
	}
	rate := float64(q.admitted) / d.Seconds()
	if q.admitRate == 0 {
		q.admitRate = rate
	}
	q.admitRate = rateSmoothing*q.admitRate + (1-rateSmoothing)*rate
	q.measuredAt, q.admitted = now, 0
}
