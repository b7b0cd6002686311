// Package authority connects this VM to the replicated state of the fleet. It follows or votes in the replicated log,
// forwards proposals, renews the VM lease, and performs the leader's duties while this VM is the leader.
package authority

import (
	"time"

	"github.com/juju/errors"

	"wagtaillift/internal/models/usage"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/quorum"
)

// Methods of the peer protocol that this package handles.
const (
	methodLog           = "log"
	methodFeed          = "feed"
	methodPropose       = "propose"
	methodReport        = "report"
	methodEnroll        = "enroll"
	methodAwaitRevision = "force"
	methodWithdraw      = "withdraw"
	methodDraw          = "draw"
	methodReadIndex     = "fresh"
	methodAppliedIndex  = "applied"
	methodUsageReports  = "reports"
	methodNodeInfo      = "who"
	methodHandOver      = "vote"
)

// logMessages carries messages of the replicated log.
type logMessages struct {
	Address string           `cbor:"1,keyasint"` // peer address of the sender
	List    []quorum.Message `cbor:"2,keyasint"`
}

// feedRequest requests the entries after an index. The answer is delayed until there is an entry, but by no more than
// Timing.feedWait.
type feedRequest struct {
	After id.Index `cbor:"1,keyasint"`
	Packs bool     `cbor:"2,keyasint,omitempty"` // the follower reads compressed data; earlier versions do not
}

// feedAnswer carries the entries for followers up to LastIndex, or a snapshot if older entries have been dropped.
type feedAnswer struct {
	Snapshot       []byte      `cbor:"1,keyasint,omitempty"`
	Entries        []feedEntry `cbor:"2,keyasint,omitempty"`
	LastIndex      id.Index    `cbor:"3,keyasint,omitempty"`
	PackedSnapshot []byte      `cbor:"4,keyasint,omitempty"` // in place of Snapshot
}

func (r feedAnswer) isEmpty() bool {
	return len(r.Snapshot) == 0 && len(r.PackedSnapshot) == 0 && len(r.Entries) == 0
}

// unpacked returns r without compressed data.
func (r feedAnswer) unpacked() (feedAnswer, error) {
	var err error
	if len(r.PackedSnapshot) > 0 {
		if r.Snapshot, err = unpack(r.PackedSnapshot); err != nil {
			return r, errors.Annotate(err, "snapshot")
		}
	}
	for i := range r.Entries {
		if e := &r.Entries[i]; len(e.Packed) > 0 {
			if e.Data, err = unpack(e.Packed); err != nil {
				return r, errors.Annotatef(err, "entry %d", e.Index)
			}
		}
	}
	return r, nil
}

// feedEntry is an applied log entry.
type feedEntry struct {
	Index  id.Index `cbor:"1,keyasint"`
	Data   []byte   `cbor:"2,keyasint,omitempty"`
	Packed []byte   `cbor:"3,keyasint,omitempty"` // in place of Data
}

// proposal carries a command towards the leader.
type proposal struct {
	Data []byte `cbor:"1,keyasint"`
	Hops int    `cbor:"2,keyasint,omitempty"`
}

// Demand is a VM's recent demand on a customer's rate and its current share.
type Demand struct {
	Customer      id.Customer `cbor:"1,keyasint"`
	WantedRate    float64     `cbor:"2,keyasint"`           // recent demand, tokens per second
	Rate          float64     `cbor:"3,keyasint"`           // applied share of the rate, tokens per second
	Burst         float64     `cbor:"4,keyasint"`           // applied share of the burst, tokens
	DroppedTokens float64     `cbor:"5,keyasint,omitempty"` // tokens given up when the share shrank
	MeanTokens    float64     `cbor:"6,keyasint,omitempty"` // mean tokens per request
}

// Report is sent by every VM to the leader through its relay, twice a second by default.
type Report struct {
	VM          id.VM           `cbor:"1,keyasint"`
	Incarnation id.Incarnation  `cbor:"2,keyasint"`
	Sent        time.Duration   `cbor:"3,keyasint"` // by the VM's boot clock; echoed in the grant
	Revision    id.Revision     `cbor:"4,keyasint"`
	Demands     []Demand        `cbor:"5,keyasint,omitempty"`
	Usage       []usage.Reading `cbor:"6,keyasint,omitempty"`
	Wall        time.Duration   `cbor:"7,keyasint,omitempty"` // time of day at Sent by the VM's own clock, since the Unix epoch
}

// Share is a VM's share of a customer's rate and burst.
type Share struct {
	Customer    id.Customer `cbor:"1,keyasint"`
	Rate        float64     `cbor:"2,keyasint"`           // tokens per second
	Burst       float64     `cbor:"3,keyasint"`           // tokens
	AddedTokens float64     `cbor:"4,keyasint,omitempty"` // tokens added to the bucket when the burst grows
}

// Grant answers a report. With a zero Duration it grants no lease.
type Grant struct {
	VM       id.VM           `cbor:"1,keyasint"`
	Sent     time.Duration   `cbor:"2,keyasint"`
	Duration time.Duration   `cbor:"3,keyasint"`
	Revision id.Revision     `cbor:"4,keyasint"` // applied by the leader
	Index    id.Index        `cbor:"5,keyasint"` // must be applied before the grant takes effect
	Shares   []Share         `cbor:"6,keyasint,omitempty"`
	Rejoin   bool            `cbor:"7,keyasint,omitempty"` // the VM is not a member and must join
	Counted  []usage.Reading `cbor:"8,keyasint,omitempty"` // committed counts of the reported sources
	Wall     time.Duration   `cbor:"9,keyasint,omitempty"` // agreed time of day, since the Unix epoch
}

type reportBatch struct {
	List []Report `cbor:"1,keyasint"`
	Hops int      `cbor:"2,keyasint,omitempty"`
}

type grantBatch struct {
	List []Grant `cbor:"1,keyasint"`
}

// enrollment requests that a control VM's disk be added to the log.
type enrollment struct {
	Node    quorum.Node `cbor:"1,keyasint"`
	Address string      `cbor:"2,keyasint"`
	Hops    int         `cbor:"3,keyasint,omitempty"`
}

// revisionRequest asks which VMs have not applied a revision. The answer is delayed by up to Wait until there are none.
type revisionRequest struct {
	Revision id.Revision   `cbor:"1,keyasint"`
	Wait     time.Duration `cbor:"2,keyasint"`
	Hops     int           `cbor:"3,keyasint,omitempty"`
	Bounded  bool          `cbor:"4,keyasint,omitempty"` // ignore VMs that stop serving within Timing.ApplyBound
}

// RevisionStatus lists the revision that each VM has applied, and the VMs that have not applied the requested one.
type RevisionStatus struct {
	Pending []id.VM               `cbor:"1,keyasint,omitempty" json:"pending"`
	Applied map[id.VM]id.Revision `cbor:"2,keyasint,omitempty" json:"applied"`
}

// withdrawal carries withdrawn keys directly to every VM, without waiting for the log.
type withdrawal struct {
	Keys []id.Key `cbor:"1,keyasint"`
}

// drawRequest requests tokens from the part of a customer's bucket that is not divided between VMs.
type drawRequest struct {
	Customer id.Customer `cbor:"1,keyasint"`
	Tokens   float64     `cbor:"2,keyasint"`
	Hops     int         `cbor:"3,keyasint,omitempty"`
}

type drawAnswer struct {
	Granted bool `cbor:"1,keyasint"`
}

// readIndexRequest asks for the index that a linearizable read must wait for.
type readIndexRequest struct {
	Hops int `cbor:"1,keyasint,omitempty"`
}

// indexAnswer carries the index that a linearizable read must wait for, or the index that a VM has applied.
type indexAnswer struct {
	Index id.Index `cbor:"1,keyasint"`
}

type empty struct{}
