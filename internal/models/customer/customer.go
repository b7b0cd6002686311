// Package customer defines the tenants of the fleet.
package customer

import (
	"regexp"

	"github.com/juju/errors"

	"wagtaillift/internal/modules/id"
)

var idPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Customer is a tenant of the fleet.
type Customer struct {
	ID            id.Customer `json:"id"`
	Title         string      `json:"title,omitempty"`
	Frozen        bool        `json:"frozen,omitempty"`
	HasRank       bool        `json:"ranked,omitempty"` // Rank is set and overrides that of the route
	Rank          int         `json:"rank,omitempty"`   // 0 is the most urgent
	DefaultTokens id.Tokens   `json:"plain,omitempty"`  // tokens charged to the rate by a call that does not state its tokens
}

// Check reports the first invalid field of c.
func (c Customer) Check() error {
	if !ValidID(string(c.ID)) {
		return errors.NotValidf("customer id %q (1 to 63 of a-z 0-9 . _ -)", c.ID)
	}
	return nil
}

// ValidID reports whether s is a valid ID of a customer, service, key, exception or upstream.
func ValidID(s string) bool { return idPattern.MatchString(s) }
