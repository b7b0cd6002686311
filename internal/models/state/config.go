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

// minHistory is the number of past changes that are always kept. At twice this length the history is cut back to it.
const minHistory = 1000

// HistoryEntry is one accepted change in the history.
type HistoryEntry struct {
	Revision id.Revision `json:"revision"`
	Request  id.Request  `json:"request"`
	Actor    id.Key      `json:"actor"`
	At       time.Time   `json:"at"`
	Summary  string      `json:"what"`
	Reason   string      `json:"reason,omitempty"`
}

// Config is the accepted configuration at one revision. It is immutable once published.
type Config struct {
	Revision      id.Revision                       `json:"revision"`
	Customers     map[id.Customer]customer.Customer `json:"customers"`
	Services      map[id.Service]service.Service    `json:"services"`
	Keys          map[id.Key]key.Key                `json:"keys"`
	Defaults      policy.Defaults                   `json:"defaults"`
	Exceptions    map[string]policy.Exception       `json:"exceptions"`
	History       []HistoryEntry                    `json:"history"`
	Version       document.Version                  `json:"version,omitempty"` // of the document in force; 0 if there is none
	Source        []byte                            `json:"source,omitempty"`  // text of that document as the operator sent it
	Routes        []route.Route                     `json:"routes,omitempty"`
	RequestLimits document.RequestLimits            `json:"bounds,omitzero"`

	routeTable route.Table
	keysByHash map[string]id.Key // IDs of the caller keys that are not withdrawn
}

// Resolve returns the value of policy field f that applies to a customer and a service.
func (c *Config) Resolve(f policy.Field, cust id.Customer, svc id.Service) policy.Value {
	return policy.Resolve(c.Defaults, c.Exceptions, f, cust, svc)
}

// ResolveDuration returns the value of policy field f, a number of seconds, as a duration.
func (c *Config) ResolveDuration(f policy.Field, cust id.Customer, svc id.Service) time.Duration {
	return time.Duration(c.Resolve(f, cust, svc).Value * float64(time.Second))
}

// LastChange returns the last change in the history with the given summary.
func (c *Config) LastChange(summary string) (HistoryEntry, bool) {
	for i := len(c.History) - 1; i >= 0; i-- {
		if c.History[i].Summary == summary {
			return c.History[i], true
		}
	}
	return HistoryEntry{}, false
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

// clone returns a copy of c that later changes to c do not affect, with its lookup indexes built.
func (c *Config) clone() *Config {
	n := *c
	n.Customers = maps.Clone(c.Customers)
	n.Services = maps.Clone(c.Services)
	n.Keys = maps.Clone(c.Keys)
	n.Defaults = maps.Clone(c.Defaults)
	n.Exceptions = maps.Clone(c.Exceptions)
	n.History = append([]HistoryEntry(nil), c.History...)
	n.buildIndexes()
	return &n
}

// apply makes the change ch in place and returns its summary for the history.
func (c *Config) apply(ch *Change) (summary string, err error) {
	switch {
	case ch.Customer != nil:
		return c.putCustomer(*ch.Customer)
	case ch.Service != nil:
		return c.putService(*ch.Service)
	case ch.Key != nil:
		return c.putKey(*ch.Key)
	case ch.WithdrawKey != "":
		return c.withdrawKey(ch.WithdrawKey)
	case len(ch.Defaults) > 0:
		return c.setDefaults(ch.Defaults)
	case ch.Exception != nil:
		return c.putException(*ch.Exception)
	case ch.DropException != "":
		return c.dropException(ch.DropException)
	case ch.RetireService != "":
		return c.retireService(ch.RetireService)
	case ch.Replace != nil:
		return c.replaceDocument(ch.Replace)
	}
	return "", errors.NotValidf("empty change")
}

func (c *Config) putCustomer(cust customer.Customer) (string, error) {
	if err := cust.Check(); err != nil {
		return "", err
	}
	c.Customers[cust.ID] = cust
	return "customer " + string(cust.ID), nil
}

func (c *Config) putService(svc service.Service) (string, error) {
	if err := svc.Check(); err != nil {
		return "", err
	}
	for _, cust := range svc.Customers {
		if _, ok := c.Customers[cust]; !ok {
			return "", errors.NotFoundf("customer %q of service %q", cust, svc.ID)
		}
	}
	c.Services[svc.ID] = svc
	return "service " + string(svc.ID), nil
}

func (c *Config) putKey(k key.Key) (string, error) {
	if err := k.Check(); err != nil {
		return "", err
	}
	if _, ok := c.Customers[k.Customer]; k.Role == key.Caller && !ok {
		return "", errors.NotFoundf("customer %q of key %q", k.Customer, k.ID)
	}
	if old, ok := c.Keys[k.ID]; ok {
		if old.Withdrawn {
			return "", errors.NotValidf("key %q: withdrawn keys stay withdrawn, so a change to it", k.ID)
		}
		if old.Hash != k.Hash || old.Role != k.Role || old.Customer != k.Customer {
			return "", errors.AlreadyExistsf("key %q", k.ID)
		}
	}
	c.Keys[k.ID] = k
	return "key " + string(k.ID), nil
}

func (c *Config) withdrawKey(keyID id.Key) (string, error) {
	k, ok := c.Keys[keyID]
	if !ok {
		return "", errors.NotFoundf("key %q", keyID)
	}
	k.Withdrawn = true
	c.Keys[keyID] = k
	return "withdraw " + string(keyID), nil
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

func (c *Config) dropException(exceptionID string) (string, error) {
	if _, ok := c.Exceptions[exceptionID]; !ok {
		return "", errors.NotFoundf("exception %q", exceptionID)
	}
	delete(c.Exceptions, exceptionID)
	return "drop " + exceptionID, nil
}

func (c *Config) retireService(svc id.Service) (string, error) {
	if _, ok := c.Services[svc]; !ok {
		return "", errors.NotFoundf("service %q", svc)
	}
	delete(c.Services, svc)
	return "retire " + string(svc), nil
}
