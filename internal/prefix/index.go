// Package prefix tracks which prompt prefixes each engine has in its prefix
// cache, as far as one process can know: from the prompts that it sent there
// itself and from the engines' cache events, which arrive late and with gaps.
package prefix

import (
	"container/list"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/targetapi"
)

const (
	// maxBlocks bounds the blocks kept per engine, maxPromptBlocks the blocks
	// considered of one prompt.
	maxBlocks       = 16384
	maxPromptBlocks = 1024
	// blockTTL is how long a block is considered cached after it was last used
	// or reported. The event of its removal may have been lost; without this
	// bound the engine would attract requests for a prefix that it no longer
	// has.
	blockTTL = time.Minute
)

// Index holds the known contents of the engines' prefix caches. Use New.
type Index struct {
	// tokenTime returns the prefill time of one prompt token at a pool; zero if
	// unknown.
	tokenTime func(pool string) time.Duration
	now       func() time.Time

	mu            sync.Mutex // guards the fields below and the caches; no other lock is taken under it
	byTarget      map[string]*cache
	tokensPerByte map[string]float64 // tokens per prompt byte, by pool
}

// cache is the known cache content of one engine.
type cache struct {
	blocks    map[uint64]*list.Element
	order     *list.List // of block, most recently used first
	lastEvent uint64     // number of the last event
}

type block struct {
	hash   uint64
	usedAt time.Time
}

// New returns an empty index. tokenTime returns the prefill time of one prompt
// token at a pool, zero if unknown.
func New(tokenTime func(pool string) time.Duration) *Index {
	return &Index{tokenTime: tokenTime, now: time.Now, byTarget: map[string]*cache{}, tokensPerByte: map[string]float64{}}
}

// SavedTime returns a function that gives the prefill time that the cache of
// the engine at an address saves for the prompt.
func (x *Index) SavedTime(pool, prompt string) func(address string) time.Duration {
	hashes := blockHashes(prompt)
	tokenTime := x.tokenTime(pool)
	return func(address string) time.Duration {
		x.mu.Lock()
		defer x.mu.Unlock()
		engineCache := x.byTarget[address]
		if engineCache == nil {
			return 0
		}
		tokens := float64(engineCache.match(hashes, x.now())) * targetapi.CacheBlockBytes * x.tokensPerByte[pool]
		return time.Duration(tokens * float64(tokenTime))
	}
}

// RecordPrompt records that an engine works on a prompt, and so will have it in
// its cache.
func (x *Index) RecordPrompt(_, address, prompt string) {
	hashes := blockHashes(prompt)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cacheOf(address).store(hashes, x.now())
}

// newestWeight is the weight of the newest prompt in a moving average.
const newestWeight = 0.05

// RecordUsage updates a pool's number of tokens per prompt byte from the usage
// reported for a prompt.
func (x *Index) RecordUsage(pool, prompt string, usage targetapi.Usage) {
	if len(prompt) == 0 || usage.PromptTokens == 0 {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	newest := float64(usage.PromptTokens) / float64(len(prompt))
	if x.tokensPerByte[pool] == 0 {
		x.tokensPerByte[pool] = newest
		return
	}
	x.tokensPerByte[pool] += newestWeight * (newest - x.tokensPerByte[pool])
}

// LastEvent returns the number of the last event of an engine that was applied;
// 0 if there is none.
func (x *Index) LastEvent(address string) uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	if engineCache := x.byTarget[address]; engineCache != nil {
		return engineCache.lastEvent
	}
	return 0
}

// ApplyEvents applies an engine's cache events. If their numbers go back, the
// engine was restarted and its cache is empty.
func (x *Index) ApplyEvents(address string, events targetapi.CacheEvents) {
	x.mu.Lock()
	defer x.mu.Unlock()
	engineCache := x.cacheOf(address)
	if events.Next < engineCache.lastEvent {
		engineCache.clear()
	}
	engineCache.lastEvent = events.Next
	for _, e := range events.Events {
		engineCache.apply(e, x.now())
	}
}

// Addresses returns the addresses of the engines that the index has entries
// for.
func (x *Index) Addresses() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	list := make([]string, 0, len(x.byTarget))
	for address := range x.byTarget {
		list = append(list, address)
	}
	return list
}

// Forget deletes an engine that is gone.
func (x *Index) Forget(address string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.byTarget, address)
}

func (x *Index) cacheOf(address string) *cache {
	engineCache := x.byTarget[address]
	if engineCache == nil {
		engineCache = &cache{blocks: map[uint64]*list.Element{}, order: list.New()}
		x.byTarget[address] = engineCache
	}
	return engineCache
}

// match counts the leading blocks that the engine has cached.
func (c *cache) match(hashes []uint64, now time.Time) int {
	for n, h := range hashes {
		found := c.blocks[h]
		if found == nil || now.Sub(found.Value.(block).usedAt) > blockTTL {
			return n
		}
	}
	return len(hashes)
}

// store adds blocks from the last to the first, so that a block is never
// evicted before those that follow it in the prompt.
func (c *cache) store(hashes []uint64, now time.Time) {
	for i := len(hashes) - 1; i >= 0; i-- {
		h := hashes[i]
		if found := c.blocks[h]; found != nil {
			found.Value = block{hash: h, usedAt: now}
			c.order.MoveToFront(found)
			continue
		}
		c.blocks[h] = c.order.PushFront(block{hash: h, usedAt: now})
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
		c.store(parseHashes(e.Hashes), now)
	case targetapi.BlockRemoved:
		for _, h := range parseHashes(e.Hashes) {
			c.remove(h)
		}
	}
}
