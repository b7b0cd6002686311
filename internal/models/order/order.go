// Package order defines the orders that are sent to upstreams.
package order

import (
	"time"

	"wagtaillift/internal/modules/id"
)

// Kind is the action that an order requests.
type Kind string

// The kinds of order.
const (
	SetRole     Kind = "role"
	LoadModel   Kind = "model"
	LoadAdapter Kind = "adapter"
	SetVersion  Kind = "version"
	Drain       Kind = "drain"
)

// State is the progress of an order.
type State string

// The states of an order.
const (
	Pending State = "pending"
	Done    State = "done"
	Failed  State = "failed"
)

// ChangesRole reports whether o is still to change the role of its upstream, given the upstream's incarnation and
// current role. Until the upstream announces the new role it gets no new requests.
func (o Order) ChangesRole(incarnation uint64, role string) bool {
	return o.Kind == SetRole && o.State != Failed && o.UpstreamIncarnation == incarnation && o.Value != role
}

// Order is a committed order to one upstream.
type Order struct {
	ID                  id.Index      `json:"id"`
	Upstream            id.Upstream   `json:"upstream"`
	Zone                id.Zone       `json:"zone"`
	UpstreamIncarnation uint64        `json:"life,omitempty"` // incarnation of the upstream that the order is for
	Kind                Kind          `json:"kind"`
	Value               string        `json:"value"`
	Fence               id.Fence      `json:"fence"`
	SendWithin          time.Duration `json:"within"` // how long after its commit the order may still be sent
	State               State         `json:"state"`
	Reason              string        `json:"reason,omitempty"`
}
