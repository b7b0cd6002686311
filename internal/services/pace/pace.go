// Package pace keeps the requests that all VMs together send to an upstream within the rate that the upstream names.
//
// Time is divided into slots of one request each, and each slot belongs to one VM (time-division multiple access). VMs need not ask
// each other before a send, and what one of them does not know of another one does not add to the sum.
package pace

import (
	"math"
	"strconv"

	"k8s.io/klog/v2"

	"wagtaillift/internal/modules/id"
)

// An upstream that gets no request cannot tell that it takes more again.
const minRate = 0.25 // requests a second

// Rate is what an answer says of the rate of requests that its upstream takes, in requests a second. Zero says that it has no limit.
type Rate float64

// Unreadable is the rate of an answer that names one which cannot be read. It changes nothing.
const Unreadable Rate = -1

// ParseRate decodes the decimal number in which an answer of an upstream names its rate; an empty text names none.
func ParseRate(text string, from id.Upstream) Rate {
	if text == "" {
		return 0
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
		klog.InfoS("Limit of an upstream cannot be read", "upstream", from, "text", text, "err", err)
		return Unreadable
	}
	return Rate(max(v, minRate))
}

// Limit is the rate that one incarnation of an upstream named.
type Limit struct {
	Upstream    id.Upstream `cbor:"1,keyasint"`
	Incarnation uint64      `cbor:"2,keyasint"`
	Rate        Rate        `cbor:"3,keyasint,omitempty"` // requests a second from all VMs together; zero if it names none any more
	At          int64       `cbor:"4,keyasint"`           // fleet time of the answer that said so, in milliseconds since the Unix epoch
}

// Newer reports whether l replaces o.
func (l Limit) Newer(o Limit) bool {
	return l.Incarnation > o.Incarnation || l.Incarnation == o.Incarnation && l.At > o.At
}
