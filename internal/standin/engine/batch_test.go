package engine

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/targetapi"
)

func newTestBatch(c Costs) *batch {
	c = c.WithDefaults()
	return &batch{costs: c, cache: newPrefixCache(c.CacheBlocks), onCache: func(_, _ []uint64) {}}
}

func (b *batch) submit(prompt string, priority, words int) *Sequence {
	s := &Sequence{prompt: prompt, hashes: blockHashes(prompt), priority: priority, maxWords: words, arrival: uint64(len(b.waiting) + 1)}
	b.enqueue(s)
	return s
}

// runStep plans and finishes one step.
func (b *batch) runStep() (time.Duration, []*Sequence) {
	took := b.step(1)
	b.finishStep()
	return took, b.removeCompleted()
}

func TestQueueOrdersByPriorityThenArrival(t *testing.T) {
	b := newTestBatch(Costs{MaxBatch: 1})
	late := b.submit("late", 5, 1)
	first := b.submit("first", 0, 1)
	second := b.submit("second", 0, 1)
	for _, want := range []*Sequence{first, second, late} {
		_, done := b.runStep()
		assert.Equal(t, len(done), 1)
		assert.Equal(t, done[0].prompt, want.prompt)
	}
	assert.Assert(t, b.idle())
}

func TestStepCostGrowsWithBatchAndIsSplitAmongSequences(t *testing.T) {
	b := newTestBatch(Costs{StepUS: 1000, PerSequenceUS: 100, PrefillTokenUS: 10, MaxBatch: 2})
	one := b.submit("a b", 0, 2)
	two := b.submit("a b c", 0, 2)
	waits := b.submit("d", 0, 1)
	took, _ := b.runStep()
	assert.Equal(t, took, 1250*time.Microsecond) // 1000 + 2*100 + 5 tokens
	took, done := b.runStep()
	assert.Equal(t, took, 1200*time.Microsecond)
	assert.Equal(t, len(done), 2)
	assert.Equal(t, one.costUS, 500+100+20+600.0)
	assert.Equal(t, two.costUS, 500+100+30+600.0)
	assert.Equal(t, waits.costUS, 0.0)
}

func TestLongPromptIsPrefilledInChunks(t *testing.T) {
	b := newTestBatch(Costs{PrefillChunk: 10})
	long := b.submit(strings.Repeat("w ", 25), 0, 1)
	for _, left := range []int{15, 5} {
		b.runStep()
		assert.Equal(t, long.prefillLeft, left)
		assert.Equal(t, long.produced, 0)
	}
	_, done := b.runStep()
	assert.Equal(t, len(done), 1)
}

func TestCachedPrefixIsNotPrefilled(t *testing.T) {
	b := newTestBatch(Costs{PrefillTokenUS: 1000, StepUS: 1, PerSequenceUS: 1})
	shared := strings.Repeat("sixteen-bytes-x ", 8) // 8 words in 2 blocks
	b.submit(shared+"one", 0, 1)
	cold, _ := b.runStep()
	hit := b.submit(shared+"two", 0, 1)
	warm, _ := b.runStep()
	assert.Equal(t, cold, 9002*time.Microsecond)
	assert.Equal(t, warm, 1002*time.Microsecond)
	assert.Equal(t, hit.cachedTokens, 8)
}

func TestCacheEvictsLeastRecentlyUsedSuffixFirst(t *testing.T) {
	c := newPrefixCache(3)
	c.store([]uint64{1, 2, 3})
	assert.Equal(t, c.match([]uint64{1, 2}), 2)
	stored, removed := c.store([]uint64{9})
	assert.DeepEqual(t, stored, []uint64{9})
	assert.DeepEqual(t, removed, []uint64{3})
	_, removed = c.store([]uint64{8})
	assert.DeepEqual(t, removed, []uint64{2}) // block 1 is the prefix of block 2, so it stays
	assert.Equal(t, c.match([]uint64{1, 2, 3}), 1)
}

func TestBlockHashesCoverTheWholePrefix(t *testing.T) {
	hashes := blockHashes(strings.Repeat("a", 2*targetapi.CacheBlockBytes+5))
	assert.DeepEqual(t, hashes, []uint64{hash64(strings.Repeat("a", 64)), hash64(strings.Repeat("a", 128))})
}
