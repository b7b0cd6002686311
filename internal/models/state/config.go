package state

import (
	"maps"
	"time"

	"github.com/juju/errors"

	"wagtaillift/internal/models/customer"
	"wagtaillift/internal/models/document"
	"wagtaillift/internal/models/key"
	"wagtaillift/internal/models/policy"
	"wagtaillift/internal/models/route"
	"wagtaillift/internal/models/service"
	"wagtaillift/internal/modules/id"
)

// historyLength is the number of past changes kept for reading back.
const historyLength = 1000

// Entry is one accepted change in the history.
type Entry struct {
	Revision id.Revision `json:"revision"`
	Request  id.Request  `json:"request"`
	Actor    id.Key      `json:"actor"`
	At       time.Time   `json:"at"`
	What     string      `json:"what"`
	Reason   string      `json:"reason,omitempty"`
}

// Config is the accepted configuration at one revision. A published Config is never changed.
type Config struct {
	Revision   id.Revision                       `json:"revision"`
	Customers  map[id.Customer]customer.Customer `json:"customers"`
	Services   map[id.Service]service.Service    `json:"services"`
	Keys       map[id.Key]key.Key                `json:"keys"`
	Defaults   policy.Defaults                   `json:"defaults"`
	Exceptions map[string]policy.Exception       `json:"exceptions"`
	History    []Entry                           `json:"history"`
	Version    document.Version                  `json:"version,omitempty"` // of the whole document in force; zero where there is none
	Source     []byte                            `json:"source,omitempty"`  // that document as it was sent
	Routes     []route.Route                     `json:"routes,omitempty"`
	Bounds     document.Bounds                   `json:"bounds,omitzero"`

	table  route.Table
	hashes map[string]id.Key // live callers' keys by hash
}

// Resolve returns field f in force for c and s.
func (c *Config) Resolve(f policy.Field, cust id.Customer, svc id.Service) policy.Value {
	return policy.Resolve(c.Defaults, c.Exceptions, f, cust, svc)
}

// Seconds returns field f in force for c and s as a duration.
func (c *Config) Seconds(f policy.Field, cust id.Customer, svc id.Service) time.Duration {
	return time.Duration(c.Resolve(f, cust, svc).Value * float64(time.Second))
}

// Since returns the last change in the history whose text starts with what.
func (c *Config) Since(what string) (Entry, bool) {
	for i := len(c.History) - 1; i >= 0; i-- {
		if c.History[i].What == what {
			return c.History[i], true
		}
	}
	return Entry{}, false
}

func newConfig() Config {
	return Config{
		Customers:  map[id.Customer]customer.Customer{},
		Services:   map[id.Service]service.Service{},
		Keys:       map[id.Key]key.Key{},
		Defaults:   policy.Defaults{},
		Exceptions: map[string]policy.Exception{},
	}
}

// clone copies the maps, so that later changes do not reach readers of c.
func (c *Config) clone() *Config {
	n := *c
	n.Customers = maps.Clone(c.Customers)
	n.Services = maps.Clone(c.Services)
	n.Keys = maps.Clone(c.Keys)
	n.Defaults = maps.Clone(c.Defaults)
	n.Exceptions = maps.Clone(c.Exceptions)
	n.History = append([]Entry(nil), c.History...)
	n.index()
	return &n
}

// apply alters c in place and returns the text of the change for the history.
func (c *Config) apply(ch *Change) (what string, err error) {
	switch {
	case ch.Customer != nil:
		return c.putCustomer(*ch.Customer)
	case ch.Service != nil:
		return c.putService(*ch.Service)
	case ch.Key != nil:
		return c.putKey(*ch.Key)
	case ch.Withdraw != "":
		return c.withdraw(ch.Withdraw)
	case len(ch.Defaults) > 0:
		return c.setDefaults(ch.Defaults)
	case ch.Exception != nil:
		return c.putException(*ch.Exception)
	case ch.Drop != "":
		return c.dropException(ch.Drop)
	case ch.Retire != "":
		return c.retire(ch.Retire)
	case ch.Replace != nil:
		return c.replace(ch.Replace)
	}
	return "", errors.NotValidf("empty change")
}

func (c *Config) putCustomer(n customer.Customer) (string, error) {
	if err := n.Check(); err != nil {
		return "", err
	}
	c.Customers[n.ID] = n
	return "customer " + string(n.ID), nil
}

func (c *Config) putService(n service.Service) (string, error) {
	if err := n.Check(); err != nil {
		return "", err
	}
	for _, cust := range n.Customers {
		if _, ok := c.Customers[cust]; !ok {
			return "", errors.NotFoundf("customer %q of service %q", cust, n.ID)
		}
	}
	c.Services[n.ID] = n
	return "service " + string(n.ID), nil
}

func (c *Config) putKey(n key.Key) (string, error) {
	if err := n.Check(); err != nil {
		return "", err
	}
	if _, ok := c.Customers[n.Customer]; n.Role == key.Caller && !ok {
		return "", errors.NotFoundf("customer %q of key %q", n.Customer, n.ID)
	}
	if old, ok := c.Keys[n.ID]; ok {
		if old.Withdrawn {
			return "", errors.NotValidf("key %q: withdrawn keys stay withdrawn, so a change to it", n.ID)
		}
		if old.Hash != n.Hash || old.Role != n.Role || old.Customer != n.Customer {
			return "", errors.AlreadyExistsf("key %q", n.ID)
		}
	}
	c.Keys[n.ID] = n
	return "key " + string(n.ID), nil
}

func (c *Config) withdraw(n id.Key) (string, error) {
	k, ok := c.Keys[n]
	if !ok {
		return "", errors.NotFoundf("key %q", n)
	}
	k.Withdrawn = true
	c.Keys[n] = k
	return "withdraw " + string(n), nil
}

func (c *Config) setDefaults(set policy.Defaults) (string, error) {
	for f, v := range set {
		if err := policy.CheckValue(f, v); err != nil {
			return "", err
		}
	}
	maps.Copy(c.Defaults, set)
	return "defaults", nil
}

func (c *Config) putException(e policy.Exception) (string, error) {
	if err := e.Check(); err != nil {
		return "", err
	}
	if _, ok := c.Customers[e.Customer]; e.Customer != "" && !ok {
		return "", errors.NotFoundf("customer %q of exception %q", e.Customer, e.ID)
	}
	if _, ok := c.Services[e.Service]; e.Service != "" && !ok {
		return "", errors.NotFoundf("service %q of exception %q", e.Service, e.ID)
	}
	c.Exceptions[e.ID] = e
	return "exception " + e.ID, nil
}

func (c *Config) dropException(n string) (string, error) {
	if _, ok := c.Exceptions[n]; !ok {
		return "", errors.NotFoundf("exception %q", n)
	}
	delete(c.Exceptions, n)
	return "drop " + n, nil
}

func (c *Config) retire(n id.Service) (string, error) {
	if _, ok := c.Services[n]; !ok {
		return "", errors.NotFoundf("service %q", n)
	}
	delete(c.Services, n)
	return "retire " + string(n), nil
}
