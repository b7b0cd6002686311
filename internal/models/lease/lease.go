// Package lease describes the exclusive roles that the fleet grants to one VM at a time.
package lease

import (
	"time"

	"wagtaillift/internal/modules/id"
)

// Name names one exclusive role.
type Name string

// Platform is the lease for upstream orders and usage reports.
const Platform Name = "platform"

// Engines names the lease for orders to the engines of z.
func Engines(z id.Zone) Name { return Name("engines/" + string(z)) }

// DriftBound is the largest relative error of a VM's clock against another's.
const DriftBound = 0.001

// Lease is a grant in the replicated state. Its end is never written as a wall-clock time: the holder counts
// Duration from before it asked, the others count a longer time from after they applied the renewal.
type Lease struct {
	Name        Name           `json:"name"`
	Holder      id.VM          `json:"holder"`
	Incarnation id.Incarnation `json:"incarnation"`
	Fence       id.Fence       `json:"fence"`
	Renewal     uint64         `json:"renewal"`
	Duration    time.Duration  `json:"duration"`
}

// HeldUntil returns when a holder that asked at asked must stop acting.
func HeldUntil(asked, d time.Duration) time.Duration {
	return asked + d - time.Duration(float64(d)*DriftBound)
}

// EndedAt returns when a VM that applied the renewal at applied may treat the lease as ended.
func EndedAt(applied, d time.Duration) time.Duration {
	return applied + d + time.Duration(float64(d)*DriftBound)
}
