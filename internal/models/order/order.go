// Package order describes the orders given to upstreams.
package order

import (
	"time"

	"wagtaillift/internal/modules/id"
)

// Kind says what an order asks for.
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

// Changes reports whether the upstream of incarnation life, which acts in role now, is about to act in another by o: it takes
// no new work until it says that it has changed.
func (o Order) Changes(life uint64, role string) bool {
	return o.Kind == SetRole && o.State != Failed && o.Life == life && o.Value != role
}

// Order is one committed intent for one upstream.
type Order struct {
	ID       id.Index      `json:"id"`
	Upstream id.Upstream   `json:"upstream"`
	Zone     id.Zone       `json:"zone"`
	Life     uint64        `json:"life,omitempty"` // incarnation of the upstream that the order is for
	Kind     Kind          `json:"kind"`
	Value    string        `json:"value"`
	Fence    id.Fence      `json:"fence"`
	Within   time.Duration `json:"within"` // how long after the intent the order may still be written
	State    State         `json:"state"`
	Reason   string        `json:"reason,omitempty"`
}
