// Package service describes what callers can call: model services and plain services.
package service

import (
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
