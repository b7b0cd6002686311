// Package document defines the complete configuration that an operator sends under one version.
package document

import (
	"time"

	"github.com/juju/errors"

	"wagtaillift/internal/models/route"
	"wagtaillift/internal/models/service"
	"wagtaillift/internal/modules/id"
)

// Version is the version number of a document. The document with the highest version is in force.
type Version uint64

// Customer is a tenant with its credentials and limits.
type Customer struct {
	ID            id.Customer `json:"id"`
	Hashes        []string    `json:"hashes"` // hashes of the keys
	HasRank       bool        `json:"ranked,omitempty"`
	Rank          int         `json:"rank,omitempty"`  // overrides that of the route if HasRank is set
	Rate          float64     `json:"rate,omitempty"`  // tokens per second; 0 means no limit
	Burst         float64     `json:"burst,omitempty"` // tokens
	DefaultTokens id.Tokens   `json:"plain,omitempty"` // tokens charged by a call that does not state its tokens
}

// RequestLimits limits the size of callers' requests and the time they may take.
type RequestLimits struct {
	MaxHeaderBytes int           `json:"header,omitempty"` // bytes
	Body           int64         `json:"body,omitempty"`   // bytes
	HeaderTimeout  time.Duration `json:"slow,omitempty"`   // time for the header to arrive
	IdleTimeout    time.Duration `json:"idle,omitempty"`   // time between two requests on a connection
}

// Document is a complete configuration.
type Document struct {
	Version       Version           `json:"version"`
	Routes        []route.Route     `json:"routes"`
	Services      []service.Service `json:"services"`
	Customers     []Customer        `json:"customers"`
	RequestLimits RequestLimits     `json:"bounds"`
	Source        []byte            `json:"source"` // text as the operator sent it, returned when the configuration is read
}

// Check reports the first error in d.
func (d *Document) Check() error {
	if d.Version == 0 {
		return errors.NotValidf("document without a version")
	}
	services := map[id.Service]bool{}
	for _, s := range d.Services {
		if s.ID == "" || services[s.ID] {
			return errors.NotValidf("service %q (empty or given twice)", s.ID)
		}
		services[s.ID] = true
	}
	if err := d.checkRoutes(services); err != nil {
		return err
	}
	return d.checkCustomers()
}

func (d *Document) checkRoutes(services map[id.Service]bool) error {
	type hostPrefix struct{ host, prefix string }
	routeNames := map[hostPrefix]string{}
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := r.Check(); err != nil {
			return err
		}
		for _, w := range r.WeightedServices {
			if !services[w.Service] {
				return errors.NotFoundf("service %q of route %q", w.Service, r.Name)
			}
		}
		key := hostPrefix{r.Host, r.Prefix}
		if other, ok := routeNames[key]; ok {
			return errors.AlreadyExistsf("prefix %q below host %q of routes %q and %q", r.Prefix, r.Host, other, r.Name)
		}
		routeNames[key] = r.Name
	}
	return nil
}

func (d *Document) checkCustomers() error {
	seen := map[id.Customer]bool{}
	owner := map[string]id.Customer{}
	for _, c := range d.Customers {
		if c.ID == "" || seen[c.ID] {
			return errors.NotValidf("customer %q (empty or given twice)", c.ID)
		}
		seen[c.ID] = true
		if c.Rate < 0 || c.Burst < 0 {
			return errors.NotValidf("rate %g and burst %g of customer %q", c.Rate, c.Burst, c.ID)
		}
		for _, h := range c.Hashes {
			if other, ok := owner[h]; ok && other != c.ID {
				return errors.AlreadyExistsf("key of customers %q and %q", other, c.ID)
			}
			owner[h] = c.ID
		}
	}
	return nil
}
