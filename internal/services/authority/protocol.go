// Package authority is this VM's part in the shared state: it follows the replicated log, or votes in it, forwards
// proposals, holds the VM lease, and does the leader's duties while it leads.
package authority

import (
	"time"

	"wagtaillift/internal/models/usage"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/quorum"
)

// The methods of the peer protocol that this package answers.
const (
	methodLog      = "log"
	methodFeed     = "feed"
	methodPropose  = "propose"
	methodReport   = "report"
	methodEnroll   = "enroll"
	methodForce    = "force"
	methodWithdraw = "withdraw"
	methodDraw     = "draw"
	methodFresh    = "fresh"
	methodApplied  = "applied"
	methodReports  = "reports"
	methodWho      = "who"
)

// logMessages carries messages of the replicated log.
type logMessages struct {
	Address string           `cbor:"1,keyasint"` // where the sender listens
	List    []quorum.Message `cbor:"2,keyasint"`
}

// feedRequest asks for the entries after an index; the answer waits until there is one or a second has passed.
type feedRequest struct {
	After id.Index `cbor:"1,keyasint"`
}

// feedAnswer carries a snapshot, where the entries are gone, or the entries for followers up to an index.
type feedAnswer struct {
	Snapshot []byte   `cbor:"1,keyasint,omitempty"`
	Items    []item   `cbor:"2,keyasint,omitempty"`
	Upto     id.Index `cbor:"3,keyasint,omitempty"`
}

// none reports whether r carries nothing.
func (r feedAnswer) none() bool { return len(r.Snapshot) == 0 && len(r.Items) == 0 }

// item is one applied entry.
type item struct {
	Index id.Index `cbor:"1,keyasint"`
	Data  []byte   `cbor:"2,keyasint,omitempty"`
}

// proposal carries a command towards the leader.
type proposal struct {
	Data []byte `cbor:"1,keyasint"`
	Hops int    `cbor:"2,keyasint,omitempty"`
}

// Demand is what a VM wants and holds of a customer's rate.
type Demand struct {
	Customer id.Customer `cbor:"1,keyasint"`
	Wanted   float64     `cbor:"2,keyasint"`           // tokens a second asked for lately
	Rate     float64     `cbor:"3,keyasint"`           // share in force at the VM, tokens a second
	Burst    float64     `cbor:"4,keyasint"`           // share in force at the VM, tokens
	Back     float64     `cbor:"5,keyasint,omitempty"` // tokens that a smaller share has dropped
	Size     float64     `cbor:"6,keyasint,omitempty"` // mean tokens of a request
}

// Report is sent by every VM twice a second, through its relay, to the leader.
type Report struct {
	VM          id.VM           `cbor:"1,keyasint"`
	Incarnation id.Incarnation  `cbor:"2,keyasint"`
	Sent        time.Duration   `cbor:"3,keyasint"` // VM's clock, echoed
	Revision    id.Revision     `cbor:"4,keyasint"`
	Demands     []Demand        `cbor:"5,keyasint,omitempty"`
	Usage       []usage.Reading `cbor:"6,keyasint,omitempty"`
	Wall        time.Duration   `cbor:"7,keyasint,omitempty"` // time of day at Sent by the VM's own clock, since 1970
}

// Share is a VM's part of a customer's rate and burst.
type Share struct {
	Customer id.Customer `cbor:"1,keyasint"`
	Rate     float64     `cbor:"2,keyasint"`           // tokens a second
	Burst    float64     `cbor:"3,keyasint"`           // tokens
	Gift     float64     `cbor:"4,keyasint,omitempty"` // tokens that come with a larger burst
}

// Grant answers a report. A zero Duration grants nothing.
type Grant struct {
	VM       id.VM           `cbor:"1,keyasint"`
	Sent     time.Duration   `cbor:"2,keyasint"`
	Duration time.Duration   `cbor:"3,keyasint"`
	Revision id.Revision     `cbor:"4,keyasint"` // must be applied before the grant counts
	Index    id.Index        `cbor:"5,keyasint"`
	Shares   []Share         `cbor:"6,keyasint,omitempty"`
	Rejoin   bool            `cbor:"7,keyasint,omitempty"` // the VM is no member
	Counted  []usage.Reading `cbor:"8,keyasint,omitempty"` // committed counts of the sources reported
	Wall     time.Duration   `cbor:"9,keyasint,omitempty"` // agreed time of day, since 1970
}

type reports struct {
	List []Report `cbor:"1,keyasint"`
	Hops int      `cbor:"2,keyasint,omitempty"`
}

type grants struct {
	List []Grant `cbor:"1,keyasint"`
}

// enrollment asks the leader to take a control VM's disk into the log.
type enrollment struct {
	Node    quorum.Node `cbor:"1,keyasint"`
	Address string      `cbor:"2,keyasint"`
	Hops    int         `cbor:"3,keyasint,omitempty"`
}

// forceRequest asks which VMs have not applied a revision; the answer waits up to Wait.
type forceRequest struct {
	Revision id.Revision   `cbor:"1,keyasint"`
	Wait     time.Duration `cbor:"2,keyasint"`
	Hops     int           `cbor:"3,keyasint,omitempty"`
	Bounded  bool          `cbor:"4,keyasint,omitempty"` // VMs that stop serving inside the bound need not answer
}

// Force says which VMs have applied which revision.
type Force struct {
	Pending []id.VM               `cbor:"1,keyasint,omitempty" json:"pending"`
	Applied map[id.VM]id.Revision `cbor:"2,keyasint,omitempty" json:"applied"`
}

// withdrawal floods withdrawn keys.
type withdrawal struct {
	Keys []id.Key `cbor:"1,keyasint"`
}

// drawRequest asks for tokens from the undivided rest of a customer's bucket.
type drawRequest struct {
	Customer id.Customer `cbor:"1,keyasint"`
	Tokens   float64     `cbor:"2,keyasint"`
	Hops     int         `cbor:"3,keyasint,omitempty"`
}

type drawAnswer struct {
	Granted bool `cbor:"1,keyasint"`
}

// freshRequest asks for the index and revision that a linearizable read must wait for.
type freshRequest struct {
	Hops int `cbor:"1,keyasint,omitempty"`
}

// freshAnswer carries an index: what a linearizable read must wait for, or what a VM has applied.
type freshAnswer struct {
	Index id.Index `cbor:"1,keyasint"`
}

type empty struct{}
