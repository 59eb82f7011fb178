package engine

import (
	"container/list"
	"strings"

	"github.com/vanillagate/vanillagate/internal/targetapi"
)

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// blockHashes returns, for each full block, the 64-bit FNV-1a hash of the
// prompt up to the end of that block.
func blockHashes(prompt string) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/targetapi.CacheBlockBytes)
	hash := uint64(fnvOffset)
	for i := range len(prompt) {
		hash = (hash ^ uint64(prompt[i])) * fnvPrime
		if (i+1)%targetapi.CacheBlockBytes == 0 {
			hashes = append(hashes, hash)
		}
	}
	return hashes
}

// prefixCache is an LRU cache of prompt blocks. The key of a block is the hash
// of the prompt up to the end of the block.
type prefixCache struct {
	capacity int
	order    *list.List // block hashes (uint64), most recently used in front
	blocks   map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// match returns the number of leading blocks that are cached, and marks them
// as recently used.
func (c *prefixCache) match(hashes []uint64) int {
	n := 0
	for n < len(hashes) && c.blocks[hashes[n]] != nil {
		n++
	}
	c.touch(hashes[:n])
	return n
}

// touch marks blocks as recently used, from the last to the first, so that a
// prefix is never evicted before the blocks that extend it.
func (c *prefixCache) touch(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		c.order.MoveToFront(c.blocks[hashes[i]])
	}
}

// store adds the blocks and returns which were added and which were evicted.
func (c *prefixCache) store(hashes []uint64) (stored, removed []uint64) {
	if len(hashes) > c.capacity {
		hashes = hashes[:max(c.capacity, 0)]
	}
	for _, h := range hashes {
		if c.blocks[h] == nil {
			c.blocks[h] = c.order.PushFront(h)
			stored = append(stored, h)
		}
	}
	c.touch(hashes)
	for len(c.blocks) > c.capacity {
		removed = append(removed, c.removeOldest())
	}
	return stored, removed
}

func (c *prefixCache) removeOldest() uint64 {
	last := c.order.Back()
	hash := c.order.Remove(last).(uint64)
	delete(c.blocks, hash)
	return hash
}

func (c *prefixCache) clear() {
	c.order.Init()
	clear(c.blocks)
}

func (c *prefixCache) usage() float64 {
	return float64(len(c.blocks)) / float64(max(c.capacity, 1))
}

// countTokens returns the number of tokens (words) in a prompt, and how many of
// them lie within its first cachedBytes bytes.
func countTokens(prompt string, cachedBytes int) (all, cached int) {
	all = len(strings.Fields(prompt))
	cached = len(strings.Fields(prompt[:min(cachedBytes, len(prompt))]))
	return all, min(cached, all)
}
