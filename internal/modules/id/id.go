// Package id defines the identifier and unit types that are used throughout the system.
package id

import "time"

// VM is the name of a VM of the fleet.
type VM string

// Zone is the name of a data centre.
type Zone string

// Customer is the identifier of a customer.
type Customer string

// Service is the name of a model service or plain service.
type Service string

// Model is the name of the model weights that an engine has loaded.
type Model string

// Upstream is the name under which an engine or application announces itself.
type Upstream string

// Key is the identifier of a credential. It is not secret.
type Key string

// Request is the identifier of a caller's request or an operator's change.
type Request string

// Revision is the number of an accepted configuration change, starting at 1.
type Revision uint64

// Index is a position in the replicated log.
type Index uint64

// Fence is a fencing token: the log index at which a lease was granted.
type Fence uint64

// Incarnation identifies a run of a process. Each restart gets a larger number.
type Incarnation uint64

// Window is the number of a usage window, counted from the Unix epoch.
type Window uint64

// WindowAt returns the window that contains t, for windows of the given length.
func WindowAt(t time.Time, length time.Duration) Window { return Window(t.UnixNano() / int64(length)) }

// Tokens is a number of prompt tokens, generated tokens or both.
type Tokens int64
