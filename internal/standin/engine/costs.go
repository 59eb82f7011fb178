// Package engine emulates a model engine with continuous batching, a limited
// prefix cache and a priority queue. Time is simulated by steps: what a step
// takes follows from the costs, and the engine sleeps it out.
package engine

import (
	"time"

	"github.com/vanillagate/vanillagate/internal/settings"
	"github.com/vanillagate/vanillagate/internal/standin/bounds"
)

// Costs says what an engine can do and what work takes. Zero values are
// replaced by the defaults that are named beside each field.
type Costs struct {
	// StepUS is the fixed part of a decode step in microseconds; 2000.
	StepUS int `json:"step_us"`
	// PerSequenceUS is what each sequence adds to a step; 100.
	PerSequenceUS int `json:"per_sequence_us"`
	// PrefillTokenUS is what each uncached prompt token takes; 50.
	PrefillTokenUS int `json:"prefill_token_us"`
	// PrefillChunk is how many prompt tokens one step takes in at most; 512.
	PrefillChunk int `json:"prefill_chunk"`
	// MaxBatch is how many sequences run at once; 16.
	MaxBatch int `json:"max_batch"`
	// MaxQueue is how many wait at most; the next gets 429; 256.
	MaxQueue int `json:"max_queue"`
	// CacheBlocks is the size of the prefix cache in blocks; 2048.
	CacheBlocks int `json:"cache_blocks"`
	// LoadLagMS is how old the load reports are; 200. Negative means no lag.
	LoadLagMS int `json:"load_lag_ms"`
	// CacheEventLagMS is how late cache events come; 200. Negative: no lag.
	CacheEventLagMS int `json:"cache_event_lag_ms"`
	// CacheEventDropShare of the cache events are lost.
	CacheEventDropShare float64 `json:"cache_event_drop_share"`
	// ModelLoadMS is what an order to serve another model takes; 200.
	ModelLoadMS int `json:"model_load_ms"`
	// AdapterLoadMS is what an order to load an adapter takes; 50.
	AdapterLoadMS int `json:"adapter_load_ms"`
	// JitterShare varies the time of a step by up to this share, seeded.
	JitterShare float64 `json:"jitter_share"`
}

// Check rejects values that no engine can have. Field is put before each name.
func (c Costs) Check(checker *settings.Checker, field string) {
	bounds.CheckCount(checker, field+"step_us", c.StepUS)
	bounds.CheckCount(checker, field+"per_sequence_us", c.PerSequenceUS)
	bounds.CheckCount(checker, field+"prefill_token_us", c.PrefillTokenUS)
	bounds.CheckCount(checker, field+"prefill_chunk", c.PrefillChunk)
	bounds.CheckCount(checker, field+"max_batch", c.MaxBatch)
	bounds.CheckCount(checker, field+"max_queue", c.MaxQueue)
	bounds.CheckCount(checker, field+"cache_blocks", c.CacheBlocks)
	bounds.CheckCount(checker, field+"model_load_ms", c.ModelLoadMS)
	bounds.CheckCount(checker, field+"adapter_load_ms", c.AdapterLoadMS)
	bounds.CheckShare(checker, field+"cache_event_drop_share", c.CacheEventDropShare)
	bounds.CheckShare(checker, field+"jitter_share", c.JitterShare)
}

// WithDefaults fills in what was left out.
func (c Costs) WithDefaults() Costs {
	bounds.OrDefault(&c.StepUS, 2000)
	bounds.OrDefault(&c.PerSequenceUS, 100)
	bounds.OrDefault(&c.PrefillTokenUS, 50)
	bounds.OrDefault(&c.PrefillChunk, 512)
	bounds.OrDefault(&c.MaxBatch, 16)
	bounds.OrDefault(&c.MaxQueue, 256)
	bounds.OrDefault(&c.CacheBlocks, 2048)
	bounds.OrDefault(&c.LoadLagMS, 200)
	bounds.OrDefault(&c.CacheEventLagMS, 200)
	bounds.OrDefault(&c.ModelLoadMS, 200)
	bounds.OrDefault(&c.AdapterLoadMS, 50)
	return c
}

func millis(ms int) time.Duration { return max(0, time.Duration(ms)*time.Millisecond) }
