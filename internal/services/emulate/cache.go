package emulate

import (
	"container/list"

	"wagtaillift/internal/modules/hash"
)

const (
	blockBytes = 64 // prompt bytes of one piece: 16 tokens of 4 bytes
	blockToken = 16
)

// lru is a prefix cache of limited memory: hashes of leading blocks, the least recently used dropped first.
type lru struct {
	most  int
	order list.List
	at    map[uint64]*list.Element
	note  func(block uint64, kept bool) // told of every change
}

func (c *lru) clear() {
	c.order.Init()
	c.at = map[uint64]*list.Element{}
}

// use returns how many leading tokens of prompt are cached, and caches all of them.
func (c *lru) use(prompt string) int {
	hit, hitting := 0, true
	var h uint64
	for n := blockBytes; n <= len(prompt); n += blockBytes {
		h = hash.Pair(h, hash.String(prompt[n-blockBytes:n]))
		if el, ok := c.at[h]; ok {
			c.order.MoveToFront(el)
			if hitting {
				hit += blockToken
			}
			continue
		}
		hitting = false
		c.put(h)
	}
	return hit
}

func (c *lru) put(h uint64) {
	c.at[h] = c.order.PushFront(h)
	c.note(h, true)
	if c.order.Len() > c.most {
		last := c.order.Back()
		delete(c.at, last.Value.(uint64))
		c.note(last.Value.(uint64), false)
		c.order.Remove(last)
	}
}

// blocks returns the block hashes of prompt, for export.
func blocks(prompt string) []uint64 {
	var list []uint64
	var h uint64
	for n := blockBytes; n <= len(prompt); n += blockBytes {
		h = hash.Pair(h, hash.String(prompt[n-blockBytes:n]))
		list = append(list, h)
	}
	return list
}

// load caches blocks that were imported.
func (c *lru) load(list []uint64) {
	for _, h := range list {
		if _, ok := c.at[h]; !ok {
			c.put(h)
		}
	}
}
