// Package engine emulates a model engine with continuous batching, a limited
// prefix cache and a priority queue. It works in steps: the duration of a step
// is computed from the configured costs, and the engine sleeps for that time.
package engine

import (
	"time"

	"github.com/vanillagate/vanillagate/internal/settings"
	"github.com/vanillagate/vanillagate/internal/standin/bounds"
)

// Costs configures the capacity of an engine and the time that its work takes.
// WithDefaults replaces zero values by the defaults named at each field.
type Costs struct {
	// StepUS is the fixed part of a step in microseconds. Default: 2000.
	StepUS int `json:"step_us"`
	// PerSequenceUS is the time in microseconds that each running sequence
	// adds to a step. Default: 100.
	PerSequenceUS int `json:"per_sequence_us"`
	// PrefillTokenUS is the time in microseconds to prefill one uncached prompt
	// token. Default: 50.
	PrefillTokenUS int `json:"prefill_token_us"`
	// PrefillChunk is the maximum number of prompt tokens that one step
	// prefills. Default: 512.
	PrefillChunk int `json:"prefill_chunk"`
	// MaxBatch is the maximum number of running sequences. Default: 16.
	MaxBatch int `json:"max_batch"`
	// MaxQueue is the maximum number of waiting sequences; further requests
	// are answered with 429. Default: 256.
	MaxQueue int `json:"max_queue"`
	// CacheBlocks is the size of the prefix cache in blocks. Default: 2048.
	CacheBlocks int `json:"cache_blocks"`
	// LoadLagMS is the delay of the load reports in milliseconds. Default: 200;
	// negative: no delay.
	LoadLagMS int `json:"load_lag_ms"`
	// CacheEventLagMS is the delay of cache events in milliseconds. Default:
	// 200; negative: no delay.
	CacheEventLagMS int `json:"cache_event_lag_ms"`
	// CacheEventDropShare is the share of cache events that are lost, from 0
	// to 1.
	CacheEventDropShare float64 `json:"cache_event_drop_share"`
	// ModelLoadMS is the time in milliseconds to load another model. Default:
	// 200.
	ModelLoadMS int `json:"model_load_ms"`
	// AdapterLoadMS is the time in milliseconds to load an adapter. Default: 50.
	AdapterLoadMS int `json:"adapter_load_ms"`
	// JitterShare is the largest random deviation of the duration of a step, as
	// a share of it; the random generator is seeded.
	JitterShare float64 `json:"jitter_share"`
}

// Check reports invalid values to the checker; field is the prefix of the
// names of the settings.
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

// WithDefaults returns a copy in which defaults replace zero values.
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
