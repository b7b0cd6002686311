// Package pipeline runs requests through a chain of filters. Each filter does one job and reads the immutable configuration
// of the call.
package pipeline

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"

	"wagtaillift/internal/models/key"
	"wagtaillift/internal/models/policy"
	"wagtaillift/internal/models/service"
	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/memory"
	"wagtaillift/internal/services/call"
	"wagtaillift/internal/services/quarantine"
	"wagtaillift/internal/services/shutdown"
)

// Filter processes one aspect of a call. An error ends the processing of the call.
type Filter func(ctx context.Context, c *call.Call) error

// RunFilters applies the filters to c in order and returns the first error.
func RunFilters(ctx context.Context, c *call.Call, filters ...Filter) error {
	for _, f := range filters {
		if err := f(ctx, c); err != nil {
			return err
		}
	}
	return nil
}

// Guard holds the state of this VM that authentication depends on: its lease and the withdrawn keys.
type Guard interface {
	// Leased reports whether this VM may serve requests with an API key at now: until its lease ends, and for the time
	// autonomy after that.
	Leased(now, autonomy time.Duration) bool
	// Withdrawn reports whether key n was withdrawn, even if the configuration does not show it yet.
	Withdrawn(n id.Key) bool
}

// Authenticate returns the filter that sets the customer from the caller's key. Calls without a key pass, for open services.
func Authenticate(g Guard) Filter {
	return func(_ context.Context, c *call.Call) error {
		secret, given := bearerToken(c.R)
		if !given {
			return nil
		}
		k, ok := VerifyKey(c.Config, g, secret, c.Start)
		if !ok {
			return call.Refuse(http.StatusUnauthorized, call.BadKey, "authenticate", "the key is unknown, expired or withdrawn")
		}
		if k.Role != key.Caller {
			return call.Refuse(http.StatusForbidden, call.Forbidden, "authenticate", "the key is not a caller's")
		}
		if c.Config.Customers[k.Customer].Frozen {
			return call.Refuse(http.StatusForbidden, call.Forbidden, "authenticate", "the customer is frozen")
		}
		c.Key, c.Customer = k.ID, k.Customer
		autonomy := c.Config.ResolveDuration(policy.Autonomy, k.Customer, "")
		if !g.Leased(c.StartSinceBoot, autonomy) {
			return call.Refuse(http.StatusServiceUnavailable, call.NoLease, "authenticate",
				"this VM is cut off and may not check keys").WithRetryAfter(time.Second)
		}
		return nil
	}
}

// VerifyKey returns the key of secret, and whether it is valid: known, not expired and not withdrawn.
func VerifyKey(cfg *state.Config, g Guard, secret string, now time.Time) (key.Key, bool) {
	n, ok := key.ParseID(secret)
	if !ok {
		return key.Key{}, false
	}
	k, ok := cfg.Keys[n]
	same := subtle.ConstantTimeCompare([]byte(k.Hash), []byte(key.Hash(secret))) == 1
	return k, ok && same && k.ValidAt(now) && !g.Withdrawn(n)
}

// bearerToken returns the bearer token of r, and whether r has an Authorization header.
func bearerToken(r *http.Request) (string, bool) {
	v := r.Header.Get("Authorization")
	if v == "" {
		return "", false
	}
	scheme, secret, _ := strings.Cut(v, " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return "", true
	}
	return strings.TrimSpace(secret), true
}

// BodyLimits are the limits on request bodies.
type BodyLimits struct {
	Body        int64         // maximum body of a model call, in bytes
	ReadTimeout time.Duration // time in which a buffered body must arrive
	Memory      *memory.Budget
}

// modelCopies is how often the body of a model call is held: as it was read, in its parsed fields and messages, as the text of the prompt, and
// encoded for the upstream.
const modelCopies = 5

// noMemoryRetryAfter is when a caller may try again for whose body there was no memory.
const noMemoryRetryAfter = time.Second

// Classify returns the filter that sets the service, body, estimated size and deadline of a call.
func Classify(b BodyLimits) Filter {
	return func(_ context.Context, c *call.Call) error {
		if c.Kind == call.Plain {
			return classifyPlain(c, b)
		}
		return classifyModel(c, b)
	}
}

func classifyModel(c *call.Call, b BodyLimits) error {
	data, err := readBody(c, b.Body, modelCopies, b)
	if err != nil {
		return err
	}
	c.Body = data
	c.Model, err = call.ParseBody(data, c.Kind == call.Chat)
	if err != nil {
		return call.Refuse(http.StatusBadRequest, call.BadRequest, "classify", "%s", err)
	}
	svc, ok := c.Config.Services[id.Service(c.Model.Model)]
	if !ok || svc.Kind != service.Model {
		return call.Refuse(http.StatusNotFound, call.NoService, "classify", "no model %q", c.Model.Model)
	}
	c.Service, c.Idempotent = svc, true
	text := c.Model.Text()
	c.PromptTokens = call.EstimateTokens(text)
	c.Prefix = call.PrefixHashes(text)
	for _, part := range c.Model.SharedParts() {
		c.SharedParts = append(c.SharedParts, quarantine.NewPartFingerprint(part))
	}
	c.OutputTokens = c.Model.OutputLimit(id.Tokens(c.Config.Resolve(policy.OutputTokens, c.Customer, svc.ID).Value))
	c.Stream = c.Model.Stream
	return authorize(c)
}

// readBody reads a complete body of at most maxBody bytes, of which so many copies will be held.
func readBody(c *call.Call, maxBody, copies int64, b BodyLimits) ([]byte, error) {
	rc := http.NewResponseController(c.W)
	rc.SetReadDeadline(time.Now().Add(b.ReadTimeout))
	c.Room.Budget, c.Room.Customer = b.Memory, c.Customer
	data, err := memory.ReadAll(&c.Room, c.R.Body, c.R.ContentLength, maxBody, copies)
	if err != nil {
		c.W.Header().Set("Connection", "close") // the read deadline stays set, so that the server does not wait for the rest of the body
	}
	switch {
	case errors.Is(err, memory.ErrNoRoom):
		return nil, call.Refuse(http.StatusServiceUnavailable, call.NoMemory, "classify", "this VM has no memory left for the body").WithRetryAfter(noMemoryRetryAfter)
	case errors.Is(err, memory.ErrTooLarge):
		return nil, call.Refuse(http.StatusRequestEntityTooLarge, call.BodyTooLarge, "classify", "the body is larger than %d bytes", maxBody)
	case err != nil && errors.Is(context.Cause(c.R.Context()), shutdown.ErrEnded):
		return nil, call.Refuse(http.StatusServiceUnavailable, call.Stopping, "classify", "this VM is stopping").WithRetryAfter(time.Second)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, call.Refuse(http.StatusRequestTimeout, call.BodyTimeout, "classify", "the body did not arrive within %s", b.ReadTimeout)
	case err != nil:
		return nil, call.Refuse(http.StatusBadRequest, call.BodyTruncated, "classify", "the body ended early: %s", err)
	}
	rc.SetReadDeadline(time.Time{})
	return data, nil
}

// maxReplayBody is the largest body of a plain call, in bytes, that is buffered for a retry or for comparison with a claim.
const maxReplayBody = 1 << 20

// PlainTokens is the number of tokens that a plain call takes from its customer's rate limit.
const PlainTokens = 1

func classifyPlain(c *call.Call, b BodyLimits) error {
	c.Answer.Budget, c.Answer.Use, c.Answer.Customer = b.Memory, memory.Answer, c.Customer
	svc, ok := c.Config.Services[c.Service.ID]
	if !ok || svc.Kind != service.Plain {
		return call.Refuse(http.StatusNotFound, call.NoService, "classify", "no service %q", c.Service.ID)
	}
	c.Service = svc
	c.PromptTokens = PlainTokens
	c.Idempotent = svc.Repeatable || idempotentMethod(c.R.Method)
	c.IdempotencyKey = c.R.Header.Get("Idempotency-Key")
	if len(c.IdempotencyKey) > 255 {
		return call.Refuse(http.StatusBadRequest, call.BadRequest, "classify", "the Idempotency-Key is longer than 255 bytes")
	}
	claimed := c.IdempotencyKey != "" && !c.Idempotent
	if n := c.R.ContentLength; claimed || n >= 0 && n <= maxReplayBody {
		data, err := readBody(c, maxReplayBody, 1, b)
		if err != nil {
			return err
		}
		c.Body = data
	} else if err := http.NewResponseController(c.W).SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errors.Annotate(err, "clear read deadline") // the body is passed on as it arrives, within the deadline of the call
	}
	return authorize(c)
}

// idempotentMethod reports whether HTTP declares m idempotent (RFC 9110, section 9.2.2).
func idempotentMethod(m string) bool {
	switch m {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// authorize checks that the customer may call the service, and sets the deadline.
func authorize(c *call.Call) error {
	if c.Customer == "" && !c.Service.AllowAnonymous {
		r := call.Refuse(http.StatusUnauthorized, call.NoKey, "classify", "service %q needs a key", c.Service.ID)
		return r
	}
	if c.Customer != "" && !c.Service.Allows(c.Customer) {
		return call.Refuse(http.StatusForbidden, call.Forbidden, "classify", "customer %q may not call %q", c.Customer, c.Service.ID)
	}
	d := c.Config.ResolveDuration(policy.Deadline, c.Customer, c.Service.ID)
	if v := c.R.Header.Get("Wagtaillift-Deadline"); v != "" {
		requested, err := time.ParseDuration(v)
		if err != nil || requested <= 0 {
			return call.Refuse(http.StatusBadRequest, call.BadRequest, "classify", "Wagtaillift-Deadline %q is not a positive duration such as 2.5s", v)
		}
		d = min(d, requested)
	}
	c.Deadline = c.Start.Add(d)
	return nil
}

// Reserver reserves tokens from a customer's rate limit.
type Reserver interface {
	Reserve(ctx context.Context, now func() time.Duration, c *call.Call) error
}

// RateLimit returns the filter that enforces a customer's rate and burst. Calls without a customer are not limited.
func RateLimit(l Reserver) Filter {
	return func(ctx context.Context, c *call.Call) error {
		if c.Customer == "" {
			return nil
		}
		return l.Reserve(ctx, clock.SinceBoot, c)
	}
}

// Digest returns a hash of the method, path, query and body of a call.
func Digest(c *call.Call) string {
	h := sha256.New()
	io.WriteString(h, c.R.Method+" "+c.Path+"?"+c.R.URL.RawQuery+"\n")
	h.Write(c.Body)
	return hex.EncodeToString(h.Sum(nil))
}
