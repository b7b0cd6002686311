// Package key defines the credentials of callers, operators and upstreams. Only the hash of a secret is stored.
package key

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"strings"
	"time"

	"github.com/juju/errors"

	"wagtaillift/internal/models/customer"
	"wagtaillift/internal/modules/id"
)

// Role is the set of permissions of a key.
type Role string

// The roles of a key.
const (
	Caller   Role = "caller"   // calls services for one customer
	Viewer   Role = "viewer"   // reads the administration API
	Editor   Role = "editor"   // changes customers, services, defaults, exceptions and caller keys
	Admin    Role = "admin"    // changes operator keys too
	Upstream Role = "upstream" // announces upstreams
)

const (
	secretPrefix = "wl"
	secretBytes  = 32
)

// Key is one credential.
type Key struct {
	ID        id.Key      `json:"id"`
	Role      Role        `json:"role"`
	Customer  id.Customer `json:"customer,omitempty"`
	Hash      string      `json:"hash,omitempty"`
	Expires   time.Time   `json:"expires,omitzero"`
	Withdrawn bool        `json:"withdrawn,omitempty"`
}

// Check reports the first invalid field of k.
func (k Key) Check() error {
	if !customer.ValidID(string(k.ID)) || strings.Contains(string(k.ID), "_") {
		return errors.NotValidf("key id %q (1 to 63 of a-z 0-9 . -)", k.ID)
	}
	switch k.Role {
	case Caller:
		if k.Customer == "" {
			return errors.NotValidf("caller key %q without a customer", k.ID)
		}
	case Viewer, Editor, Admin, Upstream:
		if k.Customer != "" {
			return errors.NotValidf("key %q of role %s with a customer", k.ID, k.Role)
		}
	default:
		return errors.NotValidf("key role %q", k.Role)
	}
	if raw, err := hex.DecodeString(k.Hash); err != nil || len(raw) != sha256.Size {
		return errors.NotValidf("hash of key %q", k.ID)
	}
	return nil
}

// ValidAt reports whether k is neither withdrawn nor expired at now.
func (k Key) ValidAt(now time.Time) bool {
	return !k.Withdrawn && (k.Expires.IsZero() || now.Before(k.Expires))
}

// Generate returns a new secret for the key with ID n, and its hash.
func Generate(n id.Key) (secret, hash string, err error) {
	raw := make([]byte, secretBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", "", errors.Annotate(err, "generate key")
	}
	secret = secretPrefix + "_" + string(n) + "_" + base64.RawURLEncoding.EncodeToString(raw)
	return secret, Hash(secret), nil
}

// Hash returns the hash of secret that is stored. Generated secrets have 256 random bits, so one SHA-256 round
// suffices.
func Hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// ParseID returns the key ID contained in secret; ok is false if secret is malformed.
func ParseID(secret string) (n id.Key, ok bool) {
	rest, ok := strings.CutPrefix(secret, secretPrefix+"_")
	if !ok {
		return "", false
	}
	name, body, ok := strings.Cut(rest, "_")
	return id.Key(name), ok && name != "" && body != ""
}
