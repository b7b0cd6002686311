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
	claimRetryAfter      = 500 * time.Millisecond // Retry-After of a call that could not be claimed or is still running
	maxClaimAttempts     = 4
	outcomeTimeout       = time.Second // for the first commit of an outcome, while the caller waits
	maxOutcomeRetries    = 20
	outcomeRetryInterval = 500 * time.Millisecond
)

// Proposer commits commands to the replicated log.
type Proposer interface {
	Propose(ctx context.Context, c state.Command) (state.Result, error)
}

// Claims runs calls with an Idempotency-Key at most once.
type Claims struct {
	Proposer    Proposer
	VM          id.VM
	Incarnation id.Incarnation
}

// Run executes c at most once. It calls send only if this call opened the claim; otherwise it returns the response of the
// earlier call, or a refusal if there is none.
func (s *Claims) Run(ctx context.Context, c *call.Call, send func() (*dispatch.Answer, error)) (*dispatch.Answer, error) {
	if c.IdempotencyKey == "" || c.Idempotent {
		return send()
	}
	k := claim.ID{Customer: c.Customer, Service: c.Service.ID, IdempotencyKey: c.IdempotencyKey}
	cl := claim.Claim{
		ID: k, Digest: Digest(c), Owner: s.VM, Incarnation: s.Incarnation, Request: c.ID,
		Expires: c.Start.Add(c.Config.ResolveDuration(policy.Idempotence, c.Customer, c.Service.ID)),
	}
	r, err := s.openClaim(ctx, cl, c.Start)
	if err != nil {
		go s.recordOutcome(context.WithoutCancel(ctx), state.Settle{ID: k, Request: c.ID, State: claim.NotRun})
		return nil, call.Refuse(http.StatusServiceUnavailable, call.NoQuorum, "claim",
			"the call could not be claimed: %s", errors.Cause(err)).WithRetryAfter(claimRetryAfter)
	}
	if r.Claim == nil {
		return nil, call.Refuse(http.StatusServiceUnavailable, call.NoQuorum, "claim", "the call could not be claimed: %s", r.Message)
	}
	if r.Claim.Request != c.ID || r.Claim.State != claim.Running {
		return replay(r.Claim, cl.Digest)
	}
	a, err := send()
	return s.finish(ctx, k, c, a, err)
}

// openClaim commits cl. If the result of the proposal is lost, it proposes the claim again, which is safe because the claim
// holds the request's ID.
func (s *Claims) openClaim(ctx context.Context, cl claim.Claim, at time.Time) (state.Result, error) {
	var r state.Result
	var err error
	for range maxClaimAttempts {
		r, err = s.Proposer.Propose(ctx, state.Command{Claim: &state.Claim{Claim: cl, At: at}})
		if err == nil || ctx.Err() != nil {
			return r, err
		}
	}
	return r, err
}

// replay answers a repeated call from the existing claim.
func replay(old *claim.Claim, digest string) (*dispatch.Answer, error) {
	if old.Digest != digest {
		return nil, call.Refuse(http.StatusUnprocessableEntity, call.IdempotencyKeyReused, "claim", "the Idempotency-Key was used for another request")
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
		r := call.Refuse(http.StatusConflict, call.InProgress, "claim", "the first request with this Idempotency-Key is still running").WithRetryAfter(claimRetryAfter)
		r.Run = call.RunUnknown
		return nil, r
	}
	r := call.Refuse(http.StatusConflict, call.OutcomeUnknown, "claim", "it is not known whether the first request with this Idempotency-Key ran")
	r.Run = call.RunUnknown
	return nil, r
}

// finish records the outcome of a call before the caller receives it.
func (s *Claims) finish(ctx context.Context, k claim.ID, c *call.Call, a *dispatch.Answer, err error) (*dispatch.Answer, error) {
	ctx = context.WithoutCancel(ctx)
	outcome := state.Settle{ID: k, Request: c.ID, State: claim.Unknown}
	if err == nil {
		if stored, ok := a.ToClaim(); ok {
			outcome.State, outcome.Answer = claim.Done, stored
		}
		s.recordOutcome(ctx, outcome)
		return a, nil
	}
	var r *call.Refusal
	if errors.As(err, &r) && r.Run == call.RunNo {
		outcome.State = claim.NotRun
	}
	s.recordOutcome(ctx, outcome)
	return nil, err
}

// recordOutcome commits an outcome. Only the first attempt is synchronous, so that the caller does not wait while there is no
// quorum. Retries are safe because a claim keeps its first final state.
func (s *Claims) recordOutcome(ctx context.Context, outcome state.Settle) {
	first, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	if !s.commitOutcome(first, outcome) {
		go s.retryOutcome(ctx, outcome)
	}
}

// commitOutcome reports whether the outcome was committed.
func (s *Claims) commitOutcome(ctx context.Context, outcome state.Settle) bool {
	r, err := s.Proposer.Propose(ctx, state.Command{Settle: &outcome})
	return err == nil && r.Code == state.OK
}

// retryOutcome retries commitOutcome a limited number of times.
func (s *Claims) retryOutcome(ctx context.Context, outcome state.Settle) {
	for range maxOutcomeRetries {
		time.Sleep(outcomeRetryInterval)
		if s.commitOutcome(ctx, outcome) {
			return
		}
	}
	klog.InfoS("Outcome of claimed request not committed", "customer", outcome.ID.Customer, "service", outcome.ID.Service, "request", outcome.Request)
}
