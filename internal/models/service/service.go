// Package service describes what callers can call: model services and plain services.
package service

import (
	"time"

	"github.com/juju/errors"

	"wagtaillift/internal/models/customer"
	"wagtaillift/internal/modules/id"
)

// Kind distinguishes model services from plain services.
type Kind string

// The kinds of service.
const (
	Model Kind = "model"
	Plain Kind = "plain"
)

// Service is one thing callers can call.
type Service struct {
	ID    id.Service `json:"id"`
	Kind  Kind       `json:"kind"`
	Model id.Model   `json:"model,omitempty"`
	// Open services answer without a key.
	Open bool `json:"open,omitempty"`
	// Repeatable plain services declare all their methods idempotent.
	Repeatable bool `json:"repeatable,omitempty"`
	// Customers limits the service to these; empty means all.
	Customers []id.Customer `json:"customers,omitempty"`
	// Probe is the path that answers whether an upstream is healthy.
	Probe string `json:"probe,omitempty"`
	// Connections is how many an upstream accepts from all VMs together; zero means no bound.
	Connections int `json:"connections,omitempty"`
	// Engine describes the engines of a model service that is served by its own upstreams.
	Engine *Engine `json:"engine,omitempty"`
	// Scale bounds how many upstreams may be ordered; nil means that none are.
	Scale *Scale `json:"scale,omitempty"`
}

// Engine is what the engines of a service have in common.
type Engine struct {
	Slots  int           `json:"slots"`  // requests at once
	Memory id.Tokens     `json:"memory"` // KV memory
	Bytes  int64         `json:"bytes"`  // KV bytes of a token
	Link   float64       `json:"link"`   // bytes a second between engines
	Handle time.Duration `json:"handle"` // how long prepared KV memory is kept
	Switch time.Duration `json:"switch"` // how long a role change takes
}

// Scale bounds the upstreams of a service in each data centre.
type Scale struct {
	Least  int                 `json:"least"`
	Most   int                 `json:"most"`
	Boot   time.Duration       `json:"boot"`
	Cheap  float64             `json:"cheap"`  // price of a cheap upstream, as a part of the others'
	Prices map[id.Zone]float64 `json:"prices"` // of an upstream second
}

// Check reports the first invalid field of s.
func (s Service) Check() error {
	if !customer.ValidName(string(s.ID)) {
		return errors.NotValidf("service id %q (1 to 63 of a-z 0-9 . _ -)", s.ID)
	}
	switch s.Kind {
	case Model:
		if s.Model == "" {
			return errors.NotValidf("model service %q without a model", s.ID)
		}
	case Plain:
		if s.Model != "" {
			return errors.NotValidf("plain service %q with a model", s.ID)
		}
	default:
		return errors.NotValidf("service kind %q", s.Kind)
	}
	return nil
}

// Allows reports whether c may call s.
func (s Service) Allows(c id.Customer) bool {
	if len(s.Customers) == 0 {
		return true
	}
	for _, allowed := range s.Customers {
		if allowed == c {
			return true
		}
	}
	return false
}
