// Package lease defines the leases by which the fleet grants an exclusive role to one VM at a time.
package lease

import (
	"time"

	"wagtaillift/internal/modules/id"
)

// Name is the name of a lease.
type Name string

// Platform is the lease required to request upstreams from the platform and to send it usage reports.
const Platform Name = "platform"

// Engines returns the name of the lease required to send orders to the engines in zone z.
func Engines(z id.Zone) Name { return Name("engines/" + string(z)) }

// MaxClockDrift is the maximum relative drift between the clocks of two VMs.
const MaxClockDrift = 0.001

// Lease is a granted lease in the replicated state. It stores no wall-clock expiry time: the holder counts Duration
// from before it sent its request, and all other VMs count a longer time from after they applied the renewal.
type Lease struct {
	Name        Name           `json:"name"`
	Holder      id.VM          `json:"holder"`
	Incarnation id.Incarnation `json:"incarnation"`
	Fence       id.Fence       `json:"fence"`
	Renewal     uint64         `json:"renewal"`
	Duration    time.Duration  `json:"duration"`
}

// HeldUntil returns the time at which a holder that sent its request at requestedAt must stop acting.
func HeldUntil(requestedAt, d time.Duration) time.Duration {
	return requestedAt + d - time.Duration(float64(d)*MaxClockDrift)
}

// EndedAt returns the time from which a VM that applied the renewal at appliedAt may treat the lease as expired.
func EndedAt(appliedAt, d time.Duration) time.Duration {
	return appliedAt + d + time.Duration(float64(d)*MaxClockDrift)
}
