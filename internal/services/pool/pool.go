// Package pool lets a few VMs of each data centre hold the shares of customers' limits for all VMs there. In a large fleet the share of one
// VM holds less than one request; that of a data centre holds many, and no process that all VMs ask is needed to admit a request.
package pool

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/peer"
	"wagtaillift/internal/services/limit"
)

const (
	methodTake     = "take"
	maxSharingVMs  = 32                     // entry VMs up to which each of them has shares of its own
	maxAsked       = 2                      // holders that are asked for one request: the preferred one and its successor
	answerTimeout  = 50 * time.Millisecond  // of one holder, unless the service sets another
	failureHolds   = time.Second            // in which a holder that did not answer is asked last
	membersRefresh = 200 * time.Millisecond // age of the list of holders from which it is made again
)

// errNotHolding means that the VM that was asked holds no share now.
const errNotHolding = errors.ConstError("the VM holds no share")

// Service asks holders, and answers as one. Its exported fields must be set before Register.
type Service struct {
	VM        id.VM
	Zone      id.Zone
	Transport *peer.Transport
	Members   func() map[id.VM]state.Member
	Entry     func(state.Member) bool // reports whether a member has callers
	Limiter   *limit.Limiter
	// Holding reports whether this VM may admit requests of c: it has a lease and is not stopping.
	Holding func(now time.Duration, c id.Customer) bool
	// AnswerTimeout bounds the answer of one holder, beyond the time for which the request may wait; zero is answerTimeout.
	AnswerTimeout time.Duration

	current  atomic.Pointer[holders]
	failedAt sync.Map // id.VM to the time.Duration of the latest question without an answer
}

// Register registers the peer method.
func (s *Service) Register() {
	peer.Handle(s.Transport, methodTake, func(ctx context.Context, _ id.VM, q limit.Query) (limit.Answer, error) {
		return s.admit(ctx, q)
	})
}

func (s *Service) admit(ctx context.Context, q limit.Query) (limit.Answer, error) {
	if err := q.Check(); err != nil {
		return limit.Answer{}, err
	}
	if !s.Holding(clock.SinceBoot(), q.Customer) {
		return limit.Answer{}, errNotHolding
	}
	return s.Limiter.Admit(ctx, clock.SinceBoot, q), nil
}

// holders returns the present holders.
func (s *Service) holders(now time.Duration) *holders {
	h := s.current.Load()
	if h == nil || now-h.at > membersRefresh {
		h = newHolders(now, s.Members(), s.Zone, s.Entry)
		s.current.Store(h)
	}
	return h
}

// Pooled implements limit.Pool.
func (s *Service) Pooled() bool { return s.holders(clock.SinceBoot()).entries > maxSharingVMs }

// Holders implements limit.Pool.
func (s *Service) Holders() int { return maxAsked * s.holders(clock.SinceBoot()).zones }

// Take implements limit.Pool.
func (s *Service) Take(ctx context.Context, q limit.Query) (limit.Answer, bool) {
	now := clock.SinceBoot()
	h := s.holders(now)
	for _, vm := range h.order(q.Customer, func(vm id.VM) bool { return s.failedLately(now, vm) }) {
		a, err := s.ask(ctx, vm, h.addresses[vm], q)
		if err == nil {
			count("answered")
			return a, true
		}
		if ctx.Err() != nil {
			break
		}
		s.failedAt.Store(vm, now)
		klog.V(1).InfoS("Holder of a customer's share did not answer", "peer", vm, "customer", q.Customer, "err", err)
		count("failed")
	}
	return limit.Answer{}, false
}

func count(result string) {
	metrics.GetOrCreateCounter(`wagtaillift_pooled_takes_total{result="` + result + `"}`).Inc()
}

// ask asks one holder, which may be this VM.
func (s *Service) ask(ctx context.Context, vm id.VM, address string, q limit.Query) (limit.Answer, error) {
	if vm == s.VM {
		return s.admit(ctx, q)
	}
	ctx, cancel := context.WithTimeout(ctx, max(0, q.Wait)+cmp.Or(s.AnswerTimeout, answerTimeout))
	defer cancel()
	a, err := peer.Call[limit.Answer](ctx, s.Transport, address, methodTake, q)
	return a, errors.Annotatef(err, "take tokens of %s at %s", q.Customer, vm)
}

func (s *Service) failedLately(now time.Duration, vm id.VM) bool {
	at, ok := s.failedAt.Load(vm)
	return ok && now-at.(time.Duration) < failureHolds
}
