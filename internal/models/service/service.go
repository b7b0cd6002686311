// Package service defines the services that callers can call: model services and plain services.
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

// Service is a model service or a plain service.
type Service struct {
	ID    id.Service `json:"id"`
	Kind  Kind       `json:"kind"`
	Model id.Model   `json:"model,omitempty"`
	// AllowAnonymous allows calls without a key.
	AllowAnonymous bool `json:"open,omitempty"`
	// Repeatable declares all methods of a plain service idempotent.
	Repeatable bool `json:"repeatable,omitempty"`
	// Customers lists the customers that may call the service; empty means all.
	Customers []id.Customer `json:"customers,omitempty"`
	// HealthCheckPath is the path of an upstream's health check.
	HealthCheckPath string `json:"probe,omitempty"`
	// MaxConnections is the maximum number of connections to one upstream from all VMs together; 0 means no limit.
	MaxConnections int `json:"connections,omitempty"`
	// Engine describes the engines of a model service that has its own upstreams.
	Engine *Engine `json:"engine,omitempty"`
	// Scale limits how many upstreams may be requested from the platform; nil means that none are.
	Scale *Scale `json:"scale,omitempty"`
}

// Engine holds the properties that all engines of a service share.
type Engine struct {
	Slots            int           `json:"slots"`  // maximum concurrent requests
	KVCapacityTokens id.Tokens     `json:"memory"` // KV cache capacity
	KVBytesPerToken  int64         `json:"bytes"`  // KV cache bytes per token
	LinkSpeed        float64       `json:"link"`   // bytes per second between engines
	HandleTTL        time.Duration `json:"handle"` // how long the KV cache of a prefill is kept
	RoleSwitchTime   time.Duration `json:"switch"` // duration of a role change
}

// Scale limits the number of upstreams of a service in each data centre.
type Scale struct {
	MinPerZone int                 `json:"least"`
	MaxPerZone int                 `json:"most"`
	BootTime   time.Duration       `json:"boot"`   // startup time of an upstream
	Cheap      float64             `json:"cheap"`  // price of a cheap upstream relative to an ordinary one
	Prices     map[id.Zone]float64 `json:"prices"` // price of one upstream per second
}

// Check reports the first invalid field of s.
func (s Service) Check() error {
	if !customer.ValidID(string(s.ID)) {
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
