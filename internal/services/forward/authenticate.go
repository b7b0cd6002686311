package forward

import (
	"net/http"

	"wagtaillift/internal/models/key"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/services/call"
)

// authenticate looks up the customer that owns c's key.
func (f *Forwarder) authenticate(c *Call) error {
	k, ok := c.config.KeyByHash(key.Hash(c.Secret))
	if c.Secret == "" || !ok || f.Guard.Withdrawn(k.ID) {
		if c.route.AllowAnonymous {
			return nil
		}
		return refuse(http.StatusUnauthorized, call.BadKey, "the key is missing, unknown or withdrawn")
	}
	c.key, c.customer = k.ID, c.config.Customers[k.Customer]
	if c.customer.HasRank {
		c.rank = c.customer.Rank
	}
	return nil
}

// CustomerOf returns the customer whose key secret is, or the empty string.
func (f *Forwarder) CustomerOf(secret string) id.Customer {
	if k, ok := f.Config().KeyByHash(key.Hash(secret)); ok && secret != "" {
		return k.Customer
	}
	return ""
}
