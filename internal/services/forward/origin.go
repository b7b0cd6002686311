package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
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

// incarnationTimeout bounds the question to an engine that is to continue a stream. Engines answer it without a slot.
const incarnationTimeout = 200 * time.Millisecond

// checkIncarnation returns an error if c has begun and the engine of sel does not confirm that it is the process whose version was announced.
// An engine may have started again under its name, with another version, since its last heartbeat.
func (f *Forwarder) checkIncarnation(ctx context.Context, c *Call, sel *selection, t Target) error {
	if !c.begun {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, incarnationTimeout)
	defer cancel()
	n, err := f.UpstreamClient.Incarnation(ctx, t)
	if err == nil && n != sel.u.Incarnation {
		err = errors.Errorf("incarnation %d in place of %d", n, sel.u.Incarnation)
	}
	return errors.Annotatef(err, "check %s before it continues a stream", sel.u.Name)
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
