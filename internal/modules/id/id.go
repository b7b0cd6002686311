// Package id holds the named types for identifiers and units that all layers share.
package id

import "time"

// VM names one VM of the fleet.
type VM string

// Zone names one data centre.
type Zone string

// Customer names one customer.
type Customer string

// Service names one model service or plain service.
type Service string

// Model names the weights that an engine has loaded.
type Model string

// Upstream names one engine or application by its announced name.
type Upstream string

// Key names one credential; it is not secret.
type Key string

// Request names one request of a caller or one change of an operator.
type Request string

// Revision numbers the accepted configuration changes from 1.
type Revision uint64

// Index is a position in the replicated log.
type Index uint64

// Fence is a fencing number: the log index at which a lease was granted.
type Fence uint64

// Incarnation distinguishes the lives of one process; a later start has a larger number.
type Incarnation uint64

// Window numbers the usage windows since the Unix epoch.
type Window uint64

// WindowAt returns the window of this length that t falls into.
func WindowAt(t time.Time, length time.Duration) Window { return Window(t.UnixNano() / int64(length)) }

// Tokens counts prompt tokens, generated tokens or both.
type Tokens int64
