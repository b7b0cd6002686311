// Package route defines the routing table, which maps a host and a path prefix to services and their call settings.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"wagtaillift/internal/modules/hash"
	"wagtaillift/internal/modules/id"
)

// Kind is the type of a route. It determines whether calls may be repeated.
type Kind string

// The kinds of route.
const (
	Safe   Kind = "safe"   // calls may run more than once
	Unsafe Kind = "unsafe" // calls run at most once
	Stream Kind = "stream" // answers are event streams; calls run at most once unless the route is resumable
)

// WeightedService is a service with its share of a route's calls.
type WeightedService struct {
	Service id.Service `json:"service"`
	Weight  int        `json:"weight"`
}

// Route is one entry of the routing table.
type Route struct {
	Name             string            `json:"name"`
	Host             string            `json:"host"`
	Prefix           string            `json:"prefix"` // of the path; begins and ends with a slash
	Kind             Kind              `json:"kind"`
	WeightedServices []WeightedService `json:"parts"`
	Timeout          time.Duration     `json:"timeout"`             // maximum time that a call may take
	Objective        time.Duration     `json:"objective"`           // target latency of an answer, or of the first event of a stream
	GapObjective     time.Duration     `json:"gap,omitempty"`       // target time between two events of a stream
	MaxAttempts      int               `json:"attempts"`            // maximum number of upstreams to which a call is sent
	Rank             int               `json:"rank"`                // 0 is the most urgent
	AllowAnonymous   bool              `json:"open,omitempty"`      // calls need no key
	Resumable        bool              `json:"resumable,omitempty"` // a broken stream may continue at another upstream
}

// Check reports the first invalid field of r.
func (r *Route) Check() error {
	switch {
	case r.Host == "":
		return errors.NotValidf("route %q without a host", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return errors.NotValidf("prefix %q of route %q (begins and ends with a slash)", r.Prefix, r.Name)
	case r.Kind != Safe && r.Kind != Unsafe && r.Kind != Stream:
		return errors.NotValidf("kind %q of route %q", r.Kind, r.Name)
	case r.Timeout <= 0:
		return errors.NotValidf("timeout %s of route %q", r.Timeout, r.Name)
	case r.totalWeight() <= 0:
		return errors.NotValidf("weights of route %q that add up to 0", r.Name)
	}
	for _, w := range r.WeightedServices {
		if w.Weight < 0 {
			return errors.NotValidf("weight %d of service %q in route %q", w.Weight, w.Service, r.Name)
		}
	}
	return nil
}

func (r *Route) totalWeight() int {
	sum := 0
	for _, w := range r.WeightedServices {
		sum += w.Weight
	}
	return sum
}

// Repeatable reports whether a call may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Service returns the service for request n, chosen by weight. It returns the same service each time.
func (r *Route) Service(n id.Request) id.Service {
	if len(r.WeightedServices) == 1 {
		return r.WeightedServices[0].Service
	}
	at := int(hash.String(n) % uint64(r.totalWeight()))
	for _, w := range r.WeightedServices {
		if at < w.Weight {
			return w.Service
		}
		at -= w.Weight
	}
	return ""
}

// LeadsTo reports whether calls on r may go to service s.
func (r *Route) LeadsTo(s id.Service) bool {
	return slices.ContainsFunc(r.WeightedServices, func(w WeightedService) bool { return w.Service == s && w.Weight > 0 })
}

// Table looks up routes by host and path. The zero value is empty.
type Table struct {
	hosts map[string][]*Route // longest prefix first
}

// NewTable returns a table of the routes in list, to which it keeps pointers.
func NewTable(list []Route) Table {
	t := Table{hosts: map[string][]*Route{}}
	for i := range list {
		r := &list[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, l := range t.hosts {
		slices.SortFunc(l, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// FindRoute returns the route of host with the longest prefix that path starts with.
func (t *Table) FindRoute(host, path string) (*Route, bool) {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
