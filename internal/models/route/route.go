// Package route describes which service answers a path below a host, and how.
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

// Kind says what may be repeated.
type Kind string

// The kinds of route.
const (
	Safe   Kind = "safe"   // calls may run more than once
	Unsafe Kind = "unsafe" // calls run at most once
	Stream Kind = "stream" // answers are event streams; calls run at most once unless the route is resumable
)

// Part is a service's share of a route's calls.
type Part struct {
	Service id.Service `json:"service"`
	Weight  int        `json:"weight"`
}

// Route is one entry of the routing table.
type Route struct {
	Name      string        `json:"name"`
	Host      string        `json:"host"`
	Prefix    string        `json:"prefix"` // of the path; begins and ends with a slash
	Kind      Kind          `json:"kind"`
	Parts     []Part        `json:"parts"`
	Timeout   time.Duration `json:"timeout"`   // longest time that a call is kept waiting
	Objective time.Duration `json:"objective"` // time within which an answer, or its first event, is on time
	Gap       time.Duration `json:"gap,omitempty"`
	Attempts  int           `json:"attempts"` // most upstreams that one call may be sent to
	Rank      int           `json:"rank"`     // 0 is the most urgent
	Open      bool          `json:"open,omitempty"`
	Resumable bool          `json:"resumable,omitempty"`
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
	case r.weight() <= 0:
		return errors.NotValidf("weights of route %q that add up to 0", r.Name)
	}
	for _, p := range r.Parts {
		if p.Weight < 0 {
			return errors.NotValidf("weight %d of service %q in route %q", p.Weight, p.Service, r.Name)
		}
	}
	return nil
}

func (r *Route) weight() int {
	sum := 0
	for _, p := range r.Parts {
		sum += p.Weight
	}
	return sum
}

// Repeatable reports whether a call may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Service returns the service for the call that n names: the same one each time it is asked.
func (r *Route) Service(n id.Request) id.Service {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	at := int(hash.String(n) % uint64(r.weight()))
	for _, p := range r.Parts {
		if at < p.Weight {
			return p.Service
		}
		at -= p.Weight
	}
	return ""
}

// Table finds routes. The zero value has none.
type Table struct {
	hosts map[string][]*Route // longest prefix first
}

// NewTable returns a table of list.
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

// Find returns the route of host with the longest prefix that begins path.
func (t *Table) Find(host, path string) (*Route, bool) {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
