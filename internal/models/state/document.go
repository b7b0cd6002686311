package state

import (
	"fmt"
	"strings"

	"wagtaillift/internal/models/customer"
	"wagtaillift/internal/models/document"
	"wagtaillift/internal/models/key"
	"wagtaillift/internal/models/policy"
	"wagtaillift/internal/models/route"
	"wagtaillift/internal/models/service"
	"wagtaillift/internal/modules/id"
)

// documentPrefix begins the ids of the exceptions that a document brings.
const documentPrefix = "document-"

// keyDigits is how many digits of a key's hash name it.
const keyDigits = 16

// replace puts d in force: its customers, keys, services and routes take the place of the earlier ones, and each rate
// and burst becomes an exception. Operators' keys, the defaults and other exceptions stay.
func (c *Config) replace(d *document.Document) (string, error) {
	if err := d.Check(); err != nil {
		return "", err
	}
	c.Customers = map[id.Customer]customer.Customer{}
	c.Services = map[id.Service]service.Service{}
	for n, k := range c.Keys {
		if k.Role == key.Caller {
			delete(c.Keys, n)
		}
	}
	for n := range c.Exceptions {
		if strings.HasPrefix(n, documentPrefix) {
			delete(c.Exceptions, n)
		}
	}
	for _, s := range d.Services {
		c.Services[s.ID] = s
	}
	for _, n := range d.Customers {
		c.admit(n, d.Version)
	}
	c.Version, c.Source, c.Routes, c.Bounds = d.Version, d.Source, d.Routes, d.Bounds
	return fmt.Sprintf("document %d", d.Version), nil
}

// admit adds a customer of a document with its keys and limits.
func (c *Config) admit(n document.Customer, v document.Version) {
	c.Customers[n.ID] = customer.Customer{ID: n.ID, Ranked: n.Ranked, Rank: n.Rank, Plain: n.Plain}
	for _, h := range n.Hashes {
		k := id.Key(h[:min(len(h), keyDigits)])
		c.Keys[k] = key.Key{ID: k, Role: key.Caller, Customer: n.ID, Hash: h}
	}
	c.limit(n.ID, policy.Rate, n.Rate, v)
	c.limit(n.ID, policy.Burst, n.Burst, v)
}

// limit adds the exception for one limit of a customer; zero means as much as the field allows.
func (c *Config) limit(n id.Customer, f policy.Field, value float64, v document.Version) {
	spec, _ := policy.Lookup(f)
	reason := fmt.Sprintf("document %d", v)
	if value == 0 {
		value, reason = spec.Max, reason+": no limit"
	}
	e := policy.Exception{
		ID: documentPrefix + string(n) + "-" + string(f), Customer: n, Field: f,
		Value: min(max(value, spec.Min), spec.Max), Reason: reason,
	}
	c.Exceptions[e.ID] = e
}

// index builds what requests are looked up by.
func (c *Config) index() {
	c.table = route.NewTable(c.Routes)
	c.hashes = make(map[string]id.Key, len(c.Keys))
	for n, k := range c.Keys {
		if k.Role == key.Caller && !k.Withdrawn {
			c.hashes[k.Hash] = n
		}
	}
}

// Find returns the route for a path below a host.
func (c *Config) Find(host, path string) (*route.Route, bool) { return c.table.Find(host, path) }

// KeyOf returns the caller's key whose secret has hash h.
func (c *Config) KeyOf(h string) (key.Key, bool) {
	n, ok := c.hashes[h]
	return c.Keys[n], ok
}
