package pipeline

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/models/claim"
	"wagtaillift/internal/models/policy"
	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/services/call"
	"wagtaillift/internal/services/dispatch"
)

const (
	claimRetry  = 500 * time.Millisecond
	claimTries  = 4
	settleFirst = time.Second
	settleTries = 20
	settlePause = 500 * time.Millisecond
)

// Proposer commits commands.
type Proposer interface {
	Propose(ctx context.Context, c state.Command) (state.Result, error)
}

// Claims keeps claimed calls from running twice.
type Claims struct {
	Proposer    Proposer
	VM          id.VM
	Incarnation id.Incarnation
}

// Run executes c once: send runs only where this call opened the claim; else the earlier answer is returned.
func (s *Claims) Run(ctx context.Context, c *call.Call, send func() (*dispatch.Answer, error)) (*dispatch.Answer, error) {
	if c.Token == "" || c.Idempotent {
		return send()
	}
	k := claim.ID{Customer: c.Customer, Service: c.Service.ID, Token: c.Token}
	n := claim.Claim{
		ID: k, Digest: Digest(c), Owner: s.VM, Incarnation: s.Incarnation, Request: c.ID,
		Expires: c.Start.Add(c.Config.Seconds(policy.Idempotence, c.Customer, c.Service.ID)),
	}
	r, err := s.open(ctx, n, c.Start)
	if err != nil {
		go s.settle(context.WithoutCancel(ctx), state.Settle{ID: k, Request: c.ID, State: claim.NotRun})
		return nil, call.Refuse(http.StatusServiceUnavailable, call.NoQuorum, "claim",
			"the call could not be claimed: %s", errors.Cause(err)).After(claimRetry)
	}
	if r.Claim == nil {
		return nil, call.Refuse(http.StatusServiceUnavailable, call.NoQuorum, "claim", "the call could not be claimed: %s", r.Message)
	}
	if r.Claim.Request != c.ID || r.Claim.State != claim.Running {
		return earlier(r.Claim, n.Digest)
	}
	a, err := send()
	return s.finish(ctx, k, c, a, err)
}

// open claims n. A claim whose outcome was lost is proposed again: it names its request, so it is known as the same.
func (s *Claims) open(ctx context.Context, n claim.Claim, at time.Time) (state.Result, error) {
	var r state.Result
	var err error
	for range claimTries {
		r, err = s.Proposer.Propose(ctx, state.Command{Claim: &state.Claim{Claim: n, At: at}})
		if err == nil || ctx.Err() != nil {
			return r, err
		}
	}
	return r, err
}

// earlier answers a resend from the claim that stands.
func earlier(old *claim.Claim, digest string) (*dispatch.Answer, error) {
	if old.Digest != digest {
		return nil, call.Refuse(http.StatusUnprocessableEntity, call.KeyReused, "claim", "the Idempotency-Key was used for another request")
	}
	switch old.State {
	case claim.Done:
		h := http.Header(old.Answer.Header).Clone()
		if h == nil {
			h = http.Header{}
		}
		h.Set("Idempotent-Replayed", "true")
		return &dispatch.Answer{Status: old.Answer.Status, Header: h, Body: old.Answer.Body, Length: int64(len(old.Answer.Body))}, nil
	case claim.Running:
		r := call.Refuse(http.StatusConflict, call.InProgress, "claim", "the first request with this Idempotency-Key is still running").After(claimRetry)
		r.Run = call.Unknown
		return nil, r
	}
	r := call.Refuse(http.StatusConflict, call.UnknownState, "claim", "it is not known whether the first request with this Idempotency-Key ran")
	r.Run = call.Unknown
	return nil, r
}

// finish records the outcome before the caller sees it.
func (s *Claims) finish(ctx context.Context, k claim.ID, c *call.Call, a *dispatch.Answer, err error) (*dispatch.Answer, error) {
	ctx = context.WithoutCancel(ctx)
	out := state.Settle{ID: k, Request: c.ID, State: claim.Unknown}
	if err == nil {
		if kept, ok := a.ToClaim(); ok {
			out.State, out.Answer = claim.Done, kept
		}
		s.settle(ctx, out)
		return a, nil
	}
	var r *call.Refusal
	if errors.As(err, &r) && r.Run == call.No {
		out.State = claim.NotRun
	}
	s.settle(ctx, out)
	return nil, err
}

// settle commits an outcome: one try now, the others in the background, so that the caller does not wait for a lost
// quorum. Repeating it is safe: a claim keeps its first final state.
func (s *Claims) settle(ctx context.Context, out state.Settle) {
	first, cancel := context.WithTimeout(ctx, settleFirst)
	defer cancel()
	if !s.settleOnce(first, out) {
		go s.settleLater(ctx, out)
	}
}

func (s *Claims) settleOnce(ctx context.Context, out state.Settle) bool {
	r, err := s.Proposer.Propose(ctx, state.Command{Settle: &out})
	return err == nil && r.Code == state.OK
}

func (s *Claims) settleLater(ctx context.Context, out state.Settle) {
	for range settleTries {
		time.Sleep(settlePause)
		if s.settleOnce(ctx, out) {
			return
		}
	}
	klog.InfoS("Claim not settled", "customer", out.ID.Customer, "service", out.ID.Service, "request", out.Request)
}
