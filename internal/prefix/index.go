// Package prefix keeps which engine has which starts of prompts in its prefix
// cache, as far as one process can know it: from what it sent there itself, and
// from the engines' own events, which come late and with gaps.
package prefix

import (
	"container/list"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/targetapi"
)

const (
	// maxBlocks bounds what is kept of one engine, maxPrompt the blocks of one
	// prompt that are looked at.
	maxBlocks = 16384
	maxPrompt = 1024
	// maxAge is when a block is forgotten that nobody used or told of again.
	// An event of its removal may have been lost; without a bound the engine
	// would draw requests for ever by what it no longer has.
	maxAge = time.Minute
)

// Index holds the engines' caches as known here. Use New.
type Index struct {
	// price is what reading one prompt token takes at a pool; zero if unknown.
	price func(pool string) time.Duration
	now   func() time.Time

	mu       sync.Mutex // guards all below and the caches; a leaf
	byTarget map[string]*cache
	perByte  map[string]float64 // tokens for each byte of a prompt, by pool
}

// cache is what is known of one engine.
type cache struct {
	blocks map[uint64]*list.Element
	order  *list.List // of block, most recently used in front
	seen   uint64     // number of the last event
}

type block struct {
	hash uint64
	at   time.Time
}

// New makes an empty index. Price gives what reading one prompt token takes at
// a pool, zero if that isn't known.
func New(price func(pool string) time.Duration) *Index {
	return &Index{price: price, now: time.Now, byTarget: map[string]*cache{}, perByte: map[string]float64{}}
}

// Saved gives the time that each engine's cache saves for a prompt.
func (x *Index) SavedTime(pool, prompt string) func(address string) time.Duration {
	hashes := hashesOf(prompt)
	price := x.price(pool)
	return func(address string) time.Duration {
		x.mu.Lock()
		defer x.mu.Unlock()
		known := x.byTarget[address]
		if known == nil {
			return 0
		}
		tokens := float64(known.match(hashes, x.now())) * targetapi.CacheBlockBytes * x.perByte[pool]
		return time.Duration(tokens * float64(price))
	}
}

// Sent notes that an engine works on a prompt: it will have it in its cache.
func (x *Index) RecordPrompt(_, address, prompt string) {
	hashes := hashesOf(prompt)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.of(address).store(hashes, x.now())
}

// newestWeight is the weight of the newest prompt in a moving average.
const newestWeight = 0.05

// Answered learns from an answer how long a pool's tokens are.
func (x *Index) RecordUsage(pool, prompt string, usage targetapi.Usage) {
	if len(prompt) == 0 || usage.PromptTokens == 0 {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	newest := float64(usage.PromptTokens) / float64(len(prompt))
	if x.perByte[pool] == 0 {
		x.perByte[pool] = newest
		return
	}
	x.perByte[pool] += newestWeight * (newest - x.perByte[pool])
}

// After is the number of the last event of an engine that was taken in.
func (x *Index) LastEvent(address string) uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	if known := x.byTarget[address]; known != nil {
		return known.seen
	}
	return 0
}

// Heard takes in an engine's events. Where their numbers begin anew the engine
// is another process with an empty cache.
func (x *Index) ApplyEvents(address string, events targetapi.CacheEvents) {
	x.mu.Lock()
	defer x.mu.Unlock()
	known := x.of(address)
	if events.Next < known.seen {
		known.clear()
	}
	known.seen = events.Next
	for _, e := range events.Events {
		known.apply(e, x.now())
	}
}

// Addresses lists the engines that something is known of: those that this
// process has sent prompts to.
func (x *Index) Addresses() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	list := make([]string, 0, len(x.byTarget))
	for address := range x.byTarget {
		list = append(list, address)
	}
	return list
}

// Forget drops an engine that is gone.
func (x *Index) Forget(address string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.byTarget, address)
}

func (x *Index) of(address string) *cache {
	known := x.byTarget[address]
	if known == nil {
		known = &cache{blocks: map[uint64]*list.Element{}, order: list.New()}
		x.byTarget[address] = known
	}
	return known
}

// match counts the leading blocks that the engine has.
func (c *cache) match(hashes []uint64, now time.Time) int {
	for n, h := range hashes {
		found := c.blocks[h]
		if found == nil || now.Sub(found.Value.(block).at) > maxAge {
			return n
		}
	}
	return len(hashes)
}

// store goes from the last block to the first, so that a start is never
// dropped before what is built on it.
func (c *cache) store(hashes []uint64, now time.Time) {
	for i := len(hashes) - 1; i >= 0; i-- {
		h := hashes[i]
		if found := c.blocks[h]; found != nil {
			found.Value = block{hash: h, at: now}
			c.order.MoveToFront(found)
			continue
		}
		c.blocks[h] = c.order.PushFront(block{hash: h, at: now})
	}
	for len(c.blocks) > maxBlocks {
		c.remove(c.order.Back().Value.(block).hash)
	}
}

func (c *cache) remove(hash uint64) {
	if found := c.blocks[hash]; found != nil {
		c.order.Remove(found)
		delete(c.blocks, hash)
	}
}

func (c *cache) clear() {
	clear(c.blocks)
	c.order.Init()
}

func (c *cache) apply(e targetapi.CacheEvent, now time.Time) {
	switch e.Kind {
	case targetapi.AllBlocksCleared:
		c.clear()
	case targetapi.BlockStored:
		c.store(readHashes(e.Hashes), now)
	case targetapi.BlockRemoved:
		for _, h := range readHashes(e.Hashes) {
			c.remove(h)
		}
	}
}
