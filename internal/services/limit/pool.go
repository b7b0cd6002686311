package limit

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/services/call"
)

const (
	minAnswerWait  = 60 * time.Millisecond  // for which a request waits for another VM's answer, however short its objective
	refusalHolds   = 100 * time.Millisecond // after a refused draw in which a holder refuses as large requests without asking again
	maxQueryWait   = 10 * time.Second       // for which a holder lets a request wait
	unreachedRetry = 200 * time.Millisecond // suggested to a request whose customer's share no VM in reach holds
)

// Pool takes tokens from the shares that a few VMs of a data centre hold for all VMs there.
type Pool interface {
	// Pooled reports whether the fleet is so large that not every VM has shares of its own.
	Pooled() bool
	// Take asks the VM that holds the share of q's customer, or its successor. It returns false if neither answered.
	Take(ctx context.Context, q Query) (Answer, bool)
	// Holders returns the number of VMs of the fleet that may hold a share of one customer at a time.
	Holders() int
}

// Query asks a holder to admit a request.
type Query struct {
	Customer id.Customer   `cbor:"1,keyasint"`
	Tokens   float64       `cbor:"2,keyasint"`
	Rate     float64       `cbor:"3,keyasint"`           // the customer's rate in tokens per second
	Wait     time.Duration `cbor:"4,keyasint"`           // for which the request may wait
	Returned float64       `cbor:"5,keyasint,omitempty"` // tokens that earlier requests of the asking VM were admitted with and did not use
}

// Check returns an error if q is not what a VM sends.
func (q Query) Check() error {
	switch {
	case q.Customer == "":
		return errors.NotValidf("query without a customer")
	case !valid(q.Tokens) || !valid(q.Rate) || !valid(q.Returned):
		return errors.NotValidf("query of %g tokens at %g tokens/s, %g returned", q.Tokens, q.Rate, q.Returned)
	case q.Wait > maxQueryWait:
		return errors.NotValidf("query that waits for %s", q.Wait)
	}
	return nil
}

// Answer is a holder's answer.
type Answer struct {
	Granted    bool          `cbor:"1,keyasint,omitempty"`
	Shared     bool          `cbor:"2,keyasint,omitempty"` // a share holds the tokens, so that unused ones are to be returned
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"` // of a request that is refused
}

// account is what a VM keeps of a customer beside its bucket.
type account struct {
	unused      atomic.Int64 // tokens to return to the holder
	refusedAt   atomic.Int64 // time of the latest refused draw, in nanoseconds since the boot; zero if the latest was granted
	refusedSize atomic.Int64 // tokens of that draw
}

// Admit answers q from this VM's share, which it holds for other VMs.
func (l *Limiter) Admit(ctx context.Context, now func() time.Duration, q Query) Answer {
	b, a := l.Bucket(q.Customer), l.accounts.Get(q.Customer)
	b.AddDemand(q.Tokens)
	if q.Returned > 0 {
		b.Credit(now(), q.Returned)
	}
	r := request{customer: q.Customer, tokens: q.Tokens, rate: q.Rate, parties: l.Pool.Holders, account: a, end: now() + q.Wait}
	if o := l.take(ctx, now, r); o != notTaken {
		return Answer{Granted: true, Shared: o == taken}
	}
	return Answer{RetryAfter: b.RetryAfter(now(), q.Tokens)}
}

// reservePooled takes the tokens of c from the holder of its customer's share.
func (l *Limiter) reservePooled(ctx context.Context, now func() time.Duration, c *call.Call, r request) error {
	a := l.accounts.Get(r.customer)
	returned := a.unused.Swap(0)
	answer, answered := l.Pool.Take(ctx, Query{
		Customer: r.customer, Tokens: r.tokens, Rate: r.rate, Wait: min(r.end-now(), maxQueryWait), Returned: float64(returned),
	})
	switch {
	case answer.Granted:
		if answer.Shared {
			c.ReservedTokens = c.PromptTokens + c.OutputTokens
		}
		return nil
	case answered:
		return refuse(r, answer.RetryAfter)
	}
	a.unused.Add(returned)
	if l.draw(now, r, minAnswerWait) {
		c.ReservedTokens = c.PromptTokens + c.OutputTokens
		return nil
	}
	if l.takeFallback(now(), r) {
		return nil
	}
	return call.Refuse(http.StatusServiceUnavailable, call.NoLease, step, "no VM in reach holds the share of customer %s", r.customer).WithRetryAfter(unreachedRetry)
}

// refusedLately reports whether a draw as large as n was refused a moment ago.
func (a *account) refusedLately(now time.Duration, n float64) bool {
	at := time.Duration(a.refusedAt.Load())
	return at > 0 && now-at < refusalHolds && int64(n) >= a.refusedSize.Load()
}

// record keeps the result of a draw of n tokens.
func (a *account) record(now time.Duration, n float64, granted bool) {
	if granted {
		a.refusedAt.Store(0)
		return
	}
	a.refusedSize.Store(int64(n))
	a.refusedAt.Store(int64(now))
}
