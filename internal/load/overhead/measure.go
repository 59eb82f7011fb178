package overhead

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/vanillagate/vanillagate/internal/load/caller"
	"github.com/vanillagate/vanillagate/internal/load/check"
)

// Meter measures one entry VM.
type Meter struct {
	Direct *DirectClient
	// Entry is a caller that uses that entry VM only.
	Entry *caller.Caller
	// PID is the entry VM's process.
	PID       int
	Pipeline  string
	BearerKey string
	// Input is the text of all requests, without the mark.
	Input string

	sent atomic.Int64
}

// Latencies are sorted.
type Latencies []time.Duration

// Quantile is the latency that a share of the requests stayed within.
func (l Latencies) Quantile(share float64) time.Duration {
	if len(l) == 0 {
		return 0
	}
	return l[min(int(share*float64(len(l))), len(l)-1)]
}

// Comparison compares requests that took turns.
type Comparison struct{ Direct, ViaEntry Latencies }

// MedianOverhead is what the entry VM adds at the median.
func (a Comparison) MedianOverhead() time.Duration { return a.ViaEntry.Quantile(0.5) - a.Direct.Quantile(0.5) }

// Compare sends so many requests each way, one after the other, in turn.
func (m *Meter) Compare(ctx context.Context, count, tokens int, stream bool) (Comparison, error) {
	var added Comparison
	for range count {
		took, err := m.direct(tokens, stream)
		if err != nil {
			return Comparison{}, err
		}
		added.Direct = append(added.Direct, took)
		if took, err = m.through(ctx, tokens, stream); err != nil {
			return Comparison{}, err
		}
		added.ViaEntry = append(added.ViaEntry, took)
	}
	slices.Sort(added.Direct)
	slices.Sort(added.ViaEntry)
	return added, nil
}

func (m *Meter) ref() string { return fmt.Sprintf("m%d", m.sent.Add(1)) }

func (m *Meter) direct(tokens int, stream bool) (time.Duration, error) {
	ref := m.ref()
	start := time.Now()
	output, err := m.Direct.Do(m.Input+" "+check.RefMark(ref), tokens, stream)
	took := time.Since(start)
	if err != nil {
		return 0, err
	}
	if finding := check.Words(ref, tokens, output); finding != check.Whole {
		return 0, fmt.Errorf("overhead: direct answer is %s", finding)
	}
	return took, nil
}

func (m *Meter) through(ctx context.Context, tokens int, stream bool) (time.Duration, error) {
	ref := m.ref()
	call := caller.Call{
		Kind: caller.KindPipeline, BearerKey: m.BearerKey, IdempotencyKey: "key-" + ref, Ref: ref, Pipeline: m.Pipeline,
		Input: m.Input, MaxTokens: tokens, Scheduled: time.Now(), Timeout: callTimeout,
	}
	if stream {
		call.Kind = caller.KindStream
	}
	got := m.Entry.Do(ctx, call)
	if got.Outcome != caller.Answered {
		return 0, fmt.Errorf("overhead: not answered: %s", got.Detail)
	}
	return got.Latency, nil
}

// LoopResult is what a closed loop brought.
type LoopResult struct {
	Requests int64
	Elapsed     time.Duration
	// CPU is the processor time that the entry VM used.
	CPU       time.Duration
	Latencies Latencies
}

// PerSecond is the throughput.
func (l LoopResult) PerSecond() float64 { return float64(l.Requests) / l.Elapsed.Seconds() }

// CoresUsed is how many processors the entry VM kept busy.
func (l LoopResult) CoresUsed() float64 { return l.CPU.Seconds() / l.Elapsed.Seconds() }

// CPUPerRequest is the entry VM's processor time for each request.
func (l LoopResult) CPUPerRequest() time.Duration { return l.CPU / time.Duration(max(l.Requests, 1)) }

// RunClosedLoop has workers send requests through the entry VM, each as soon as its last
// one is answered.
func (m *Meter) RunClosedLoop(ctx context.Context, workers int, length time.Duration, tokens int, stream bool) (LoopResult, error) {
	before, err := CPUTime(m.PID)
	if err != nil {
		return LoopResult{}, err
	}
	start := time.Now()
	all := make([]Latencies, workers)
	group, ctx := errgroup.WithContext(ctx)
	for i := range workers {
		group.Go(func() error {
			for time.Since(start) < length {
				took, err := m.through(ctx, tokens, stream)
				if err != nil {
					return err
				}
				all[i] = append(all[i], took)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return LoopResult{}, err
	}
	wall := time.Since(start)
	after, err := CPUTime(m.PID)
	if err != nil {
		return LoopResult{}, err
	}
	latencies := slices.Concat(all...)
	slices.Sort(latencies)
	return LoopResult{Requests: int64(len(latencies)), Elapsed: wall, CPU: after - before, Latencies: latencies}, nil
}
