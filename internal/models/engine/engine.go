// Package engine defines the announcements of upstreams, both engines and applications.
package engine

import (
	"net"
	"strconv"

	"github.com/juju/errors"

	"wagtaillift/internal/models/customer"
	"wagtaillift/internal/modules/id"
)

// Role is the inference phase that an engine runs.
type Role string

// The roles of an engine.
const (
	Both    Role = "both"
	Prefill Role = "prefill"
	Decode  Role = "decode"
)

// State tells whether an upstream accepts requests.
type State string

// The states of an upstream.
const (
	Ready   State = "ready"
	Leaving State = "leaving"
)

// TokensPerKVBlock is the number of tokens in one block of the KV cache.
const TokensPerKVBlock = 16

// Announcement is the description of itself that an upstream sends with each heartbeat.
type Announcement struct {
	Name         id.Upstream `json:"name"`
	Zone         id.Zone     `json:"zone"`
	Address      string      `json:"address"`
	Incarnation  uint64      `json:"incarnation"`
	State        State       `json:"state"`
	Service      id.Service  `json:"service,omitempty"` // service of an application or of an engine that belongs to one service
	Model        id.Model    `json:"model,omitempty"`   // model of an engine
	Version      string      `json:"version,omitempty"`
	Role         Role        `json:"role,omitempty"`
	Cheap        bool        `json:"cheap,omitempty"`  // may be reclaimed at a few seconds' notice
	ChecksFence  bool        `json:"fenced,omitempty"` // rejects orders with an old fencing number
	KVBlocks     int64       `json:"pieces,omitempty"` // KV cache capacity in blocks
	PricePerHour float64     `json:"price,omitempty"`
	Load         *Load       `json:"load,omitempty"`
	Slots        int         `json:"slots,omitempty"`    // maximum concurrent requests; 0 if unknown
	Sequence     uint64      `json:"sequence,omitempty"` // increases with each announcement of an incarnation; 0 if unknown
}

// Load is the load that an upstream reports. It lags behind the actual load.
type Load struct {
	Running        int64 `json:"running"`
	Queued         int64 `json:"queued"`
	KVBlocks       int64 `json:"pieces"`  // KV cache blocks in use
	PendingPrefill int64 `json:"prefill"` // prompt tokens still to process
}

// maxLoad bounds each count of a Load.
const maxLoad = 1 << 40

// Check returns an error if l holds what is no count.
func (l Load) Check() error {
	for _, n := range []int64{l.Running, l.Queued, l.KVBlocks, l.PendingPrefill} {
		if n < 0 || n > maxLoad {
			return errors.NotValidf("load of %d", n)
		}
	}
	return nil
}

// Bounds of the fields of an announcement, which travels to every VM.
const (
	maxFieldBytes = 128
	maxSlots      = 1 << 20
	maxSequence   = 1 << 53 // JSON numbers are exact up to it
	maxPort       = 1<<16 - 1
)

// checkAddress returns an error unless address is a host and a port number.
func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return errors.NotValidf("address %q", address)
	}
	if n, err := strconv.Atoi(port); host == "" || err != nil || n < 1 || n > maxPort {
		return errors.NotValidf("address %q", address)
	}
	return nil
}

// checkSizes reports the first field of a that is too long or out of range.
func (a Announcement) checkSizes() error {
	for _, v := range []string{string(a.Zone), a.Address, string(a.Service), string(a.Model), a.Version} {
		if len(v) > maxFieldBytes {
			return errors.NotValidf("field of %d bytes of upstream %q", len(v), a.Name)
		}
	}
	if a.Slots < 0 || a.Slots > maxSlots || a.Sequence > maxSequence {
		return errors.NotValidf("slots %d, sequence %d of upstream %q", a.Slots, a.Sequence, a.Name)
	}
	return nil
}

// Check reports the first invalid field of a.
func (a Announcement) Check() error {
	if err := a.checkSizes(); err != nil {
		return err
	}
	switch {
	case !customer.ValidID(string(a.Name)):
		return errors.NotValidf("upstream name %q", a.Name)
	case a.Zone == "":
		return errors.NotValidf("upstream %q without a zone", a.Name)
	case a.Model == "" && a.Service == "":
		return errors.NotValidf("upstream %q: a model or a service is needed; what it gave", a.Name)
	case a.State != Ready && a.State != Leaving:
		return errors.NotValidf("state %q of upstream %q", a.State, a.Name)
	case a.Model != "" && a.Role != Both && a.Role != Prefill && a.Role != Decode:
		return errors.NotValidf("role %q of upstream %q", a.Role, a.Name)
	case a.Model != "" && a.Service == "" && a.KVBlocks <= 0:
		return errors.NotValidf("pieces %d of upstream %q", a.KVBlocks, a.Name)
	}
	if a.Load != nil {
		if err := a.Load.Check(); err != nil {
			return errors.Annotatef(err, "upstream %q", a.Name)
		}
	}
	return errors.Annotatef(checkAddress(a.Address), "upstream %q", a.Name)
}

// KVBlocks returns the number of KV cache blocks that n tokens occupy.
func KVBlocks(n id.Tokens) int64 { return (int64(n) + TokensPerKVBlock - 1) / TokensPerKVBlock }
