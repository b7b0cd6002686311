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

// documentExceptionPrefix starts the IDs of the exceptions that are created from a document.
const documentExceptionPrefix = "document-"

// keyIDLength is the number of hex digits of a key's hash that form its ID.
const keyIDLength = 16

// replaceDocument replaces all customers, caller keys, services and routes with those of d and turns each rate and
// burst into an exception. Keys of other roles, the defaults and all other exceptions are kept.
func (c *Config) replaceDocument(d *document.Document) (string, error) {
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
		if strings.HasPrefix(n, documentExceptionPrefix) {
			delete(c.Exceptions, n)
		}
	}
	for _, s := range d.Services {
		c.Services[s.ID] = s
	}
	for _, n := range d.Customers {
		c.addCustomer(n, d.Version)
	}
	c.Version, c.Source, c.Routes, c.RequestLimits = d.Version, d.Source, d.Routes, d.RequestLimits
	return fmt.Sprintf("document %d", d.Version), nil
}

// addCustomer adds a customer of a document with its keys and limits.
func (c *Config) addCustomer(cust document.Customer, v document.Version) {
	c.Customers[cust.ID] = customer.Customer{ID: cust.ID, HasRank: cust.HasRank, Rank: cust.Rank, DefaultTokens: cust.DefaultTokens}
	for _, h := range cust.Hashes {
		k := id.Key(h[:min(len(h), keyIDLength)])
		c.Keys[k] = key.Key{ID: k, Role: key.Caller, Customer: cust.ID, Hash: h}
	}
	c.putLimit(cust.ID, policy.Rate, cust.Rate, v)
	c.putLimit(cust.ID, policy.Burst, cust.Burst, v)
}

// putLimit adds the exception for one limit of a customer. A value of 0 means no limit and is stored as the field's
// maximum.
func (c *Config) putLimit(n id.Customer, f policy.Field, value float64, v document.Version) {
	spec, _ := policy.Lookup(f)
	reason := fmt.Sprintf("document %d", v)
	if value == 0 {
		value, reason = spec.Max, reason+": no limit"
	}
	e := policy.Exception{
		ID: documentExceptionPrefix + string(n) + "-" + string(f), Customer: n, Field: f,
		Value: min(max(value, spec.Min), spec.Max), Reason: reason,
	}
	c.Exceptions[e.ID] = e
}

// buildIndexes builds the route table and the map of caller keys by hash.
func (c *Config) buildIndexes() {
	c.routeTable = route.NewTable(c.Routes)
	c.keysByHash = make(map[string]id.Key, len(c.Keys))
	for n, k := range c.Keys {
		if k.Role == key.Caller && !k.Withdrawn {
			c.keysByHash[k.Hash] = n
		}
	}
}

// FindRoute returns the route that matches host and path.
func (c *Config) FindRoute(host, path string) (*route.Route, bool) {
	return c.routeTable.FindRoute(host, path)
}

// KeyByHash returns the caller key whose secret has hash h.
func (c *Config) KeyByHash(h string) (key.Key, bool) {
	keyID, ok := c.keysByHash[h]
	return c.Keys[keyID], ok
}
