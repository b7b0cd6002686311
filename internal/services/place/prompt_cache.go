package place

import (
	"container/list"

	"wagtaillift/internal/modules/hash"
	"wagtaillift/internal/modules/id"
)

// Part is one segment of a prompt's prefix.
type Part struct {
	Chain  uint64 // hash of the model and all parts up to and including this one
	Tokens id.Tokens
}

// Chain returns the hash of the part called name that follows the part with hash before.
func Chain(before uint64, name string) uint64 { return hash.Combine(before, hash.String(name)) }

// PromptCache estimates which prompt parts an engine has in its KV cache: the most recently used ones, up to a number
// of tokens. The zero value is empty. It is not safe for concurrent use.
type PromptCache struct {
	parts  map[uint64]*list.Element
	lru    list.List // of Part; most recently used first
	tokens id.Tokens
}

// Cached returns the length of the prompt prefix that the engine has cached.
func (c *PromptCache) Cached(parts []Part) id.Tokens {
	var n id.Tokens
	for _, p := range parts {
		if _, ok := c.parts[p.Chain]; !ok {
			break
		}
		n += p.Tokens
	}
	return n
}

// Add records that the engine processed parts, and evicts the least recently used parts beyond maxTokens.
func (c *PromptCache) Add(parts []Part, maxTokens id.Tokens) {
	if c.parts == nil {
		c.parts = map[uint64]*list.Element{}
	}
	for i := len(parts) - 1; i >= 0; i-- { // in reverse, so that a part is evicted after the parts that build on it
		c.touch(parts[i])
	}
	for c.tokens > maxTokens && c.lru.Len() > 0 {
		c.remove(c.lru.Back().Value.(Part).Chain)
	}
}

func (c *PromptCache) touch(p Part) {
	if e, ok := c.parts[p.Chain]; ok {
		c.lru.MoveToFront(e)
		return
	}
	c.parts[p.Chain] = c.lru.PushFront(p)
	c.tokens += p.Tokens
}

// remove deletes one part.
func (c *PromptCache) remove(chain uint64) {
	e, ok := c.parts[chain]
	if !ok {
		return
	}
	c.lru.Remove(e)
	delete(c.parts, chain)
	c.tokens -= e.Value.(Part).Tokens
}
