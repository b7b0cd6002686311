// Package document describes a whole configuration that an operator sends under one version.
package document

import (
	"time"

	"github.com/juju/errors"

	"wagtaillift/internal/models/route"
	"wagtaillift/internal/models/service"
	"wagtaillift/internal/modules/id"
)

// Version numbers whole configurations; the highest is in force.
type Version uint64

// Customer is a tenant with its credentials and limits.
type Customer struct {
	ID     id.Customer `json:"id"`
	Hashes []string    `json:"hashes"` // of the keys
	Ranked bool        `json:"ranked,omitempty"`
	Rank   int         `json:"rank,omitempty"`  // takes precedence over a route's, where Ranked
	Rate   float64     `json:"rate,omitempty"`  // tokens a second; zero has no limit
	Burst  float64     `json:"burst,omitempty"` // tokens
	Plain  id.Tokens   `json:"plain,omitempty"` // what a call that names no tokens counts
}

// Bounds are what a caller may send, and how long it may take.
type Bounds struct {
	Header int           `json:"header,omitempty"` // bytes
	Body   int64         `json:"body,omitempty"`   // bytes
	Slow   time.Duration `json:"slow,omitempty"`   // for the header to arrive
	Idle   time.Duration `json:"idle,omitempty"`   // between two requests of a connection
}

// Document is one whole configuration.
type Document struct {
	Version   Version           `json:"version"`
	Routes    []route.Route     `json:"routes"`
	Services  []service.Service `json:"services"`
	Customers []Customer        `json:"customers"`
	Bounds    Bounds            `json:"bounds"`
	Source    []byte            `json:"source"` // as the operator sent it, for reading back
}

// Check reports the first reason why d cannot be in force.
func (d *Document) Check() error {
	if d.Version == 0 {
		return errors.NotValidf("document without a version")
	}
	known := map[id.Service]bool{}
	for _, s := range d.Services {
		if s.ID == "" || known[s.ID] {
			return errors.NotValidf("service %q (empty or given twice)", s.ID)
		}
		known[s.ID] = true
	}
	if err := d.checkRoutes(known); err != nil {
		return err
	}
	return d.checkCustomers()
}

func (d *Document) checkRoutes(known map[id.Service]bool) error {
	type place struct{ host, prefix string }
	taken := map[place]string{}
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := r.Check(); err != nil {
			return err
		}
		for _, p := range r.Parts {
			if !known[p.Service] {
				return errors.NotFoundf("service %q of route %q", p.Service, r.Name)
			}
		}
		at := place{r.Host, r.Prefix}
		if other, ok := taken[at]; ok {
			return errors.AlreadyExistsf("prefix %q below host %q of routes %q and %q", r.Prefix, r.Host, other, r.Name)
		}
		taken[at] = r.Name
	}
	return nil
}

func (d *Document) checkCustomers() error {
	names := map[id.Customer]bool{}
	owner := map[string]id.Customer{}
	for _, c := range d.Customers {
		if c.ID == "" || names[c.ID] {
			return errors.NotValidf("customer %q (empty or given twice)", c.ID)
		}
		names[c.ID] = true
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
