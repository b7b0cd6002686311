package emulate

import (
	"container/list"

	"wagtaillift/internal/modules/hash"
)

const (
	blockPromptBytes = 64 // prompt bytes of one KV block: 16 tokens of 4 bytes
	blockTokens      = 16
)

// prefixCache is an LRU prefix cache. Each entry is the hash of a prompt's leading blocks up to and including one block.
type prefixCache struct {
	maxBlocks int
	recency   list.List
	elements  map[uint64]*list.Element
	onChange  func(block uint64, cached bool) // called for each block that is cached or evicted
}

// clear removes all blocks without calling onChange.
func (c *prefixCache) clear() {
	c.recency.Init()
	c.elements = map[uint64]*list.Element{}
}

// lookupAndInsert returns the number of leading tokens of prompt that are cached, and caches all its full blocks.
func (c *prefixCache) lookupAndInsert(prompt string) int {
	hit, hitting := 0, true
	var h uint64
	for n := blockPromptBytes; n <= len(prompt); n += blockPromptBytes {
		h = hash.Combine(h, hash.String(prompt[n-blockPromptBytes:n]))
		if el, ok := c.elements[h]; ok {
			c.recency.MoveToFront(el)
			if hitting {
				hit += blockTokens
			}
			continue
		}
		hitting = false
		c.insert(h)
	}
	return hit
}

// insert caches a block that is not cached yet, and evicts the least recently used one if the cache is full.
func (c *prefixCache) insert(h uint64) {
	c.elements[h] = c.recency.PushFront(h)
	c.onChange(h, true)
	if c.recency.Len() > c.maxBlocks {
		last := c.recency.Back()
		delete(c.elements, last.Value.(uint64))
		c.onChange(last.Value.(uint64), false)
		c.recency.Remove(last)
	}
}

// blockHashes returns the hashes under which the full blocks of prompt are cached.
func blockHashes(prompt string) []uint64 {
	var list []uint64
	var h uint64
	for n := blockPromptBytes; n <= len(prompt); n += blockPromptBytes {
		h = hash.Combine(h, hash.String(prompt[n-blockPromptBytes:n]))
		list = append(list, h)
	}
	return list
}

// importBlocks caches the blocks that another engine exported.
func (c *prefixCache) importBlocks(list []uint64) {
	for _, h := range list {
		if _, ok := c.elements[h]; !ok {
			c.insert(h)
		}
	}
}
