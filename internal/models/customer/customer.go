// Package customer describes the tenants of the fleet.
package customer

import (
	"regexp"

	"github.com/juju/errors"

	"wagtaillift/internal/modules/id"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Customer is one tenant.
type Customer struct {
	ID     id.Customer `json:"id"`
	Title  string      `json:"title,omitempty"`
	Frozen bool        `json:"frozen,omitempty"`
	Ranked bool        `json:"ranked,omitempty"` // Rank takes precedence over a route's
	Rank   int         `json:"rank,omitempty"`   // 0 is the most urgent
	Plain  id.Tokens   `json:"plain,omitempty"`  // what a call that names no tokens counts against the rate
}

// Check reports the first invalid field of c.
func (c Customer) Check() error {
	if !ValidName(string(c.ID)) {
		return errors.NotValidf("customer id %q (1 to 63 of a-z 0-9 . _ -)", c.ID)
	}
	return nil
}

// ValidName reports whether s may name a customer, service, key or exception.
func ValidName(s string) bool { return namePattern.MatchString(s) }
