package upstream

import (
	"slices"

	"wagtaillift/internal/modules/hash"
)

// carriedRequests is the number of requests that a connection remembers.
const carriedRequests = 32

// carried holds hashes of the ids of the latest requests on a connection. An upstream may send a second copy of an answer late. The id tells
// whose it is, but callers choose ids, and two may choose the same; so a connection never carries an id twice. The zero value is
// empty.
type carried struct {
	hashes [carriedRequests]uint64
	next   int
}

func (c *carried) add(id string) {
	if id != "" {
		c.hashes[c.next%carriedRequests] = hash.Bytes([]byte(id))
		c.next++
	}
}

func (c *carried) has(id string) bool {
	return id != "" && slices.Contains(c.hashes[:], hash.Bytes([]byte(id)))
}
