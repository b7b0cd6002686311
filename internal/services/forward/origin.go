package forward

import (
	"context"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"wagtaillift/internal/models/route"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/services/call"
	"wagtaillift/internal/services/origin"
	"wagtaillift/internal/services/roster"
)

// mayContinueAt reports whether u may continue c. Upstreams of different software versions do not continue each other's streams, and
// do not check this.
func (c *Call) mayContinueAt(u *roster.Upstream) bool {
	return !c.begun || u.Version == c.origin.Version
}

// serviceOn returns the service of c on route r: the one that began its stream, or else one by weight. It returns false if r does not
// lead to the service that began the stream.
func (c *Call) serviceOn(r *route.Route) (id.Service, bool) {
	if !c.begun {
		return r.Service(c.ID), true
	}
	return c.origin.Service, r.LeadsTo(c.origin.Service)
}

func (c *Call) originKey(request id.Request) origin.Key {
	return origin.Key{Customer: c.customer.ID, Request: request}
}

// recordOrigin records that the stream of c begins at sel, unless it continues an earlier one.
func (f *Forwarder) recordOrigin(c *Call, sel *selection) {
	if c.begun || !c.route.Resumable {
		return
	}
	c.begun = true
	c.origin = origin.Origin{Service: c.service.ID, Version: sel.u.Version}
	f.Origins.Record(c.originKey(c.ID), c.origin)
}

// mustConfirm reports whether the engine of c has to confirm its incarnation before it gets c: it may have started again under its name, with
// another version, since this VM last heard of it. That matters where c goes on there, and where c begins as a stream that may go on
// elsewhere, if this VM knows of several versions or may have missed one.
func (f *Forwarder) mustConfirm(now time.Duration, c *Call) bool {
	if c.begun {
		return true
	}
	if c.route.Kind != route.Stream || !c.route.Resumable {
		return false
	}
	return f.Roster.Snapshot().Mixed[c.service.ID] || f.Roster.Stale(now)
}

// findOrigin finds where the stream that c resumes began. Without it c is refused, since the wrong version would corrupt the stream; so it
// is where the route's streams cannot be resumed, as an engine that is given the last event goes on after it.
func (f *Forwarder) findOrigin(ctx context.Context, c *Call) error {
	if c.LastEventID == "" || c.route.Kind != route.Stream {
		return nil
	}
	if !c.route.Resumable {
		klog.InfoS("Resumed stream refused: its route does not allow that", "request", c.ID, "resumes", c.Resumes, "route", c.route.Name)
		return refuse(http.StatusServiceUnavailable, call.NoService, "streams of this route cannot be resumed").WithRetryAfter(shortRetryAfter)
	}
	o, ok := f.Origins.Find(ctx, c.originKey(c.Resumes))
	if !ok {
		klog.InfoS("Resumed stream refused: its origin is not known", "request", c.ID, "resumes", c.Resumes)
		return refuse(http.StatusServiceUnavailable, call.NoUpstream, "the software version that began the stream is not known").WithRetryAfter(shortRetryAfter)
	}
	klog.InfoS("Origin of a resumed stream", "request", c.ID, "resumes", c.Resumes, "service", o.Service, "version", o.Version)
	c.begun, c.origin = true, o
	return nil
}
