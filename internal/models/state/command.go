package state

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"wagtaillift/internal/models/claim"
	"wagtaillift/internal/models/customer"
	"wagtaillift/internal/models/document"
	"wagtaillift/internal/models/key"
	"wagtaillift/internal/models/lease"
	"wagtaillift/internal/models/order"
	"wagtaillift/internal/models/policy"
	"wagtaillift/internal/models/service"
	"wagtaillift/internal/models/suspect"
	"wagtaillift/internal/models/usage"
	"wagtaillift/internal/modules/id"
)

// Command is one entry of the replicated log. Exactly one field is set.
type Command struct {
	Change  *Change         `json:"change,omitempty"`
	Join    *Member         `json:"join,omitempty"`
	Leave   *Leave          `json:"leave,omitempty"`
	Acquire *Acquire        `json:"acquire,omitempty"`
	Release *Release        `json:"release,omitempty"`
	Expire  *Expire         `json:"expire,omitempty"`
	Claim   *Claim          `json:"claim,omitempty"`
	Settle  *Settle         `json:"settle,omitempty"`
	Usage   *Usage          `json:"usage,omitempty"`
	Seal    *Seal           `json:"seal,omitempty"`
	Ack     *Ack            `json:"ack,omitempty"`
	Intent  *Intent         `json:"intent,omitempty"`
	Outcome *Outcome        `json:"outcome,omitempty"`
	Report  *suspect.Report `json:"report,omitempty"`
}

// Change alters the configuration. Exactly one of the fields after Reason is set.
type Change struct {
	Base    id.Revision `json:"base"`
	AnyBase bool        `json:"any,omitempty"` // apply at any current revision; Base is ignored
	Request id.Request  `json:"request"`
	Actor   id.Key      `json:"actor"`
	At      time.Time   `json:"at"`
	Reason  string      `json:"reason,omitempty"`

	Customer      *customer.Customer `json:"customer,omitempty"`
	Service       *service.Service   `json:"service,omitempty"`
	Key           *key.Key           `json:"key,omitempty"`
	WithdrawKey   id.Key             `json:"withdraw,omitempty"` // key to withdraw
	Defaults      policy.Defaults    `json:"defaults,omitempty"`
	Exception     *policy.Exception  `json:"exception,omitempty"`
	DropException string             `json:"drop,omitempty"`    // exception to remove
	RetireService id.Service         `json:"retire,omitempty"`  // service to remove
	Replace       *document.Document `json:"replace,omitempty"` // replaces all customers, caller keys, services and routes
}

// Member is a VM that has joined the fleet and may hold a VM lease.
type Member struct {
	VM          id.VM          `json:"vm"`
	Zone        id.Zone        `json:"zone"`
	Peer        string         `json:"peer"`               // address for calls between VMs
	Operator    string         `json:"operator,omitempty"` // address of the operator API
	Incarnation id.Incarnation `json:"incarnation"`
	Control     bool           `json:"control,omitempty"` // has a replica of the log
}

// Leave removes a member whose VM lease has expired or that shut down cleanly.
type Leave struct {
	VM          id.VM          `json:"vm"`
	Incarnation id.Incarnation `json:"incarnation"`
}

// Acquire grants a lease to a VM or renews the one it holds.
type Acquire struct {
	Name        lease.Name     `json:"name"`
	VM          id.VM          `json:"vm"`
	Incarnation id.Incarnation `json:"incarnation"`
	Duration    time.Duration  `json:"duration"`
}

// Release frees a lease before it expires.
type Release struct {
	Name  lease.Name `json:"name"`
	Fence id.Fence   `json:"fence"`
}

// Expire frees a lease that has not been renewed since renewal number Renewal.
type Expire struct {
	Name    lease.Name `json:"name"`
	Fence   id.Fence   `json:"fence"`
	Renewal uint64     `json:"renewal"`
}

// Claim opens a claim. If it already exists, the existing one is returned.
type Claim struct {
	Claim claim.Claim `json:"claim"`
	At    time.Time   `json:"at"`
}

// Settle records the final state of a claim.
type Settle struct {
	ID      claim.ID      `json:"id"`
	Request id.Request    `json:"request"`
	State   claim.State   `json:"state"`
	Answer  *claim.Answer `json:"answer,omitempty"`
}

// Usage merges readings of cumulative counters into the committed ones.
type Usage struct {
	Readings []usage.Reading `json:"readings"`
}

// Seal creates the usage report of a window: all usage committed so far that no earlier report contains.
type Seal struct {
	Window id.Window `json:"window"`
	Fence  id.Fence  `json:"fence"`
}

// Ack records that the platform has accepted the report of a window.
type Ack struct {
	Window id.Window `json:"window"`
	Fence  id.Fence  `json:"fence"`
}

// Intent commits an order before it is sent.
type Intent struct {
	Lease lease.Name  `json:"lease"`
	Order order.Order `json:"order"`
}

// Outcome records the final state of an order.
type Outcome struct {
	Upstream id.Upstream `json:"upstream"`
	ID       id.Index    `json:"id"`
	State    order.State `json:"state"`
	Reason   string      `json:"reason,omitempty"`
}

// Code classifies the outcome of a command.
type Code string

// The outcomes of a command.
const (
	OK       Code = "ok"
	Conflict Code = "conflict" // another change, holder or order came first
	Invalid  Code = "invalid"
	NotFound Code = "missing"
	Denied   Code = "denied"
)

// Result is the outcome of applying a command.
type Result struct {
	Code        Code         `json:"code"`
	Message     string       `json:"message,omitempty"`
	Index       id.Index     `json:"index,omitempty"`
	Revision    id.Revision  `json:"revision,omitempty"`
	Lease       *lease.Lease `json:"lease,omitempty"`
	Claim       *claim.Claim `json:"claim,omitempty"`
	ClaimOpened bool         `json:"fresh,omitempty"` // this command opened the claim
}

// Encode returns c in the encoding of log entries.
func (c Command) Encode() ([]byte, error) {
	data, err := cbor.Marshal(c)
	return data, errors.Annotate(err, "encode command")
}

// controlOnlyCommands holds the encoded keys of the commands that only control VMs apply. They make up most of the
// log: claims and usage grow with requests, all other commands with changes of the fleet.
var controlOnlyCommands = map[string]bool{"claim": true, "settle": true, "usage": true, "seal": true, "ack": true}

const (
	cborMapOfOnePair = 0xa1 // head byte of a CBOR map with one pair
	cborShortText    = 0x60 // head byte of a CBOR text string shorter than 24 bytes, minus its length
	maxShortTextLen  = 23   // longest text whose length fits into the head byte
)

// AppliedByFollowers reports whether followers, which are the VMs without a replica of the log, apply the encoded
// command in data. It decodes only the key of the command.
func AppliedByFollowers(data []byte) bool {
	if len(data) < 2 || data[0] != cborMapOfOnePair {
		return false
	}
	n := int(data[1]) - cborShortText
	if n < 0 || n > maxShortTextLen || len(data) < 2+n {
		return true
	}
	return !controlOnlyCommands[string(data[2:2+n])]
}

func decode(data []byte) (Command, error) {
	var c Command
	err := cbor.Unmarshal(data, &c)
	return c, errors.Annotate(err, "decode command")
}
