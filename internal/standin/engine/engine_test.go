package engine

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/targetapi"
)

func startEngine(t *testing.T, c Costs) *Engine {
	t.Helper()
	e := New(Config{
		Costs:          c,
		Serving:        Serving{Model: "m", Version: "1"},
		StraggleFactor: func() float64 { return 1 },
		Weights:        NewWeightStore(1),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { e.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	return e
}

func finish(t *testing.T, e *Engine, s *Sequence) Progress {
	t.Helper()
	limit := time.After(30 * time.Second)
	for {
		select {
		case <-s.Changed():
		case <-limit:
			t.Fatal("sequence did not end")
		}
		if p := e.Progress(s); p.Status != InProgress {
			return p
		}
	}
}

// A caller cancels a long generation while another sequence waits for a place
// in the batch. If the place weren't freed, that sequence would wait for a
// result that nobody reads.
func TestCancelFreesPlaceInBatch(t *testing.T) {
	e := startEngine(t, Costs{MaxBatch: 1, StepUS: 100})
	long, err := e.Submit(targetapi.CompletionRequest{Prompt: "[ref:l]", MaxTokens: 1 << 30, Stream: true})
	assert.NilError(t, err)
	<-long.Changed()
	next, err := e.Submit(targetapi.CompletionRequest{Prompt: "[ref:n]", MaxTokens: 3})
	assert.NilError(t, err)
	e.Cancel(long)
	p := finish(t, e, next)
	assert.Equal(t, p.Status, Complete)
	assert.Equal(t, next.Text(0, p.Produced), "n:0 n:1 n:2")
	assert.Equal(t, e.Progress(long).Status, Cancelled)
}

func TestFullQueueRejectsRequest(t *testing.T) {
	e := New(Config{Costs: Costs{MaxQueue: 1}, StraggleFactor: func() float64 { return 1 }}) // its loop isn't started
	_, err := e.Submit(targetapi.CompletionRequest{Prompt: "a"})
	assert.NilError(t, err)
	_, err = e.Submit(targetapi.CompletionRequest{Prompt: "b"})
	assert.ErrorIs(t, err, ErrQueueFull)
}

// An engine crashes after it was told to serve another version, and restarts
// with its initial model. A client that relies only on the earlier SetModel
// call would send requests to the wrong version.
func TestCrashedEngineServesInitialModel(t *testing.T) {
	e := startEngine(t, Costs{ModelLoadMS: 1, AdapterLoadMS: 1})
	ctx := context.Background()
	assert.NilError(t, e.SetModel(ctx, targetapi.SetModelRequest{Model: "m", Version: "2", Role: "decode"}))
	assert.NilError(t, e.LoadAdapter(ctx, "ada"))
	assert.DeepEqual(t, e.Serving(), Serving{Model: "m", Version: "2", Role: "decode", Adapters: []string{"ada"}})
	s, err := e.Submit(targetapi.CompletionRequest{Prompt: "x", MaxTokens: 1 << 30})
	assert.NilError(t, err)
	assert.Equal(t, s.Version(), "2")
	e.Crash()
	assert.Equal(t, finish(t, e, s).Status, Aborted)
	assert.DeepEqual(t, e.Serving(), Serving{Model: "m", Version: "1"})
}

// Cache events are delayed and some are lost. A reader that assumes that the
// events are complete counts on blocks that were evicted; gaps in the sequence
// numbers reveal the loss.
func TestCacheEventsAreDelayedAndLost(t *testing.T) {
	f := eventFeed{lag: time.Second, dropShare: 0.5, rng: rand.New(rand.NewPCG(1, 1))}
	start := time.Now()
	for i := range uint64(100) {
		f.add(start, targetapi.BlockStored, []uint64{i})
	}
	early := f.after(start.Add(999*time.Millisecond), 0)
	assert.Equal(t, len(early.Events), 0)
	assert.Equal(t, early.Next, uint64(0))
	seen := f.after(start.Add(time.Second), 0)
	assert.Equal(t, seen.Next, uint64(100))
	assert.Assert(t, len(seen.Events) > 25 && len(seen.Events) < 75, len(seen.Events))
	for _, e := range seen.Events {
		assert.Equal(t, e.Hashes[0], hexHashes([]uint64{e.Seq - 1})[0])
	}
}
