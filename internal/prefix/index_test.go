package prefix

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/targetapi"
)

const (
	pool   = "llm"
	engine = "127.0.0.1:1"
)

func event(kind targetapi.CacheEventKind, seq uint64, hashes ...uint64) targetapi.CacheEvent {
	e := targetapi.CacheEvent{Seq: seq, Kind: kind}
	for _, h := range hashes {
		e.Hashes = append(e.Hashes, strconv.FormatUint(h, 16))
	}
	return e
}

func TestIndexFollowsEngineEvents(t *testing.T) {
	start := strings.Repeat("a", 4*targetapi.CacheBlockBytes)
	prompt := start + strings.Repeat("b", 40)
	hashes := blockHashes(start)
	tests := []struct {
		name string
		then func(x *Index, now *time.Time)
		want int // blocks
	}{
		{"prompt was sent", func(*Index, *time.Time) {}, 4},
		{"a block in the middle removed", func(x *Index, _ *time.Time) {
			x.ApplyEvents(engine, targetapi.CacheEvents{Next: 7, Events: []targetapi.CacheEvent{event(targetapi.BlockRemoved, 7, hashes[2])}})
		}, 2},
		{"removed and stored again", func(x *Index, _ *time.Time) {
			x.ApplyEvents(engine, targetapi.CacheEvents{Next: 8, Events: []targetapi.CacheEvent{
				event(targetapi.BlockRemoved, 7, hashes...), event(targetapi.BlockStored, 8, hashes[:3]...),
			}})
		}, 3},
		{"all blocks cleared", func(x *Index, _ *time.Time) {
			x.ApplyEvents(engine, targetapi.CacheEvents{Next: 7, Events: []targetapi.CacheEvent{event(targetapi.AllBlocksCleared, 7)}})
		}, 0},
		{"engine was restarted", func(x *Index, _ *time.Time) {
			x.ApplyEvents(engine, targetapi.CacheEvents{Next: 9})
			x.ApplyEvents(engine, targetapi.CacheEvents{Next: 1})
		}, 0},
		{"an event of another engine", func(x *Index, _ *time.Time) {
			x.ApplyEvents("127.0.0.1:2", targetapi.CacheEvents{Next: 7, Events: []targetapi.CacheEvent{event(targetapi.AllBlocksCleared, 7)}})
		}, 4},
		{"no removal event, but too old", func(_ *Index, now *time.Time) { *now = now.Add(2 * blockTTL) }, 0},
		{"the target is gone", func(x *Index, _ *time.Time) { x.Forget(engine) }, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Unix(100, 0)
			x := New(func(string) time.Duration { return time.Millisecond })
			x.now = func() time.Time { return now }
			x.RecordUsage(pool, prompt, targetapi.Usage{PromptTokens: len(prompt) / 4})
			x.RecordPrompt(pool, engine, start)
			tc.then(x, &now)
			want := time.Duration(tc.want*targetapi.CacheBlockBytes/4) * time.Millisecond
			got := x.SavedTime(pool, prompt)(engine)
			assert.Assert(t, (got-want).Abs() < time.Millisecond, "%s, want %s", got, want)
		})
	}
}

func TestIndexIsBounded(t *testing.T) {
	x := New(func(string) time.Duration { return time.Millisecond })
	for i := range 100 {
		x.RecordPrompt(pool, engine, strconv.Itoa(i)+strings.Repeat("x", maxPromptBlocks*targetapi.CacheBlockBytes))
	}
	assert.Equal(t, len(x.byTarget[engine].blocks), maxBlocks)
	assert.Equal(t, x.byTarget[engine].order.Len(), maxBlocks)
}
