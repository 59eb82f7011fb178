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

// Meter measures the overhead of one entry VM.
type Meter struct {
	Direct *DirectClient
	// Entry is a caller that uses only this entry VM.
	Entry *caller.Caller
	// PID is the process ID of the entry VM.
	PID       int
	Pipeline  string
	BearerKey string
	// Input is the text of all requests. A mark with the ref is added to it, by
	// which the output is checked.
	Input string

	sent atomic.Int64
}

// Latencies is a list of latencies in ascending order.
type Latencies []time.Duration

// Quantile returns the latency at the given quantile, 0 to 1.
func (l Latencies) Quantile(quantile float64) time.Duration {
	if len(l) == 0 {
		return 0
	}
	return l[min(int(quantile*float64(len(l))), len(l)-1)]
}

// Comparison holds the latencies of requests sent alternately to the targets
// directly and through the entry VM.
type Comparison struct{ Direct, ViaEntry Latencies }

// MedianOverhead returns the median latency through the entry VM minus the median
// direct latency.
func (c Comparison) MedianOverhead() time.Duration {
	return c.ViaEntry.Quantile(0.5) - c.Direct.Quantile(0.5)
}

// Compare sends count requests directly and count through the entry VM, one at a
// time and alternately.
func (m *Meter) Compare(ctx context.Context, count, tokens int, stream bool) (Comparison, error) {
	var comparison Comparison
	for range count {
		took, err := m.callDirect(tokens, stream)
		if err != nil {
			return Comparison{}, err
		}
		comparison.Direct = append(comparison.Direct, took)
		if took, err = m.viaEntry(ctx, tokens, stream); err != nil {
			return Comparison{}, err
		}
		comparison.ViaEntry = append(comparison.ViaEntry, took)
	}
	slices.Sort(comparison.Direct)
	slices.Sort(comparison.ViaEntry)
	return comparison, nil
}

func (m *Meter) nextRef() string { return fmt.Sprintf("m%d", m.sent.Add(1)) }

func (m *Meter) callDirect(tokens int, stream bool) (time.Duration, error) {
	ref := m.nextRef()
	start := time.Now()
	output, err := m.Direct.Do(m.Input+" "+check.RefMarker(ref), tokens, stream)
	took := time.Since(start)
	if err != nil {
		return 0, err
	}
	if finding := check.PipelineOutput(ref, tokens, output); finding != check.Complete {
		return 0, fmt.Errorf("overhead: wrong answer to direct request: %s", finding)
	}
	return took, nil
}

func (m *Meter) viaEntry(ctx context.Context, tokens int, stream bool) (time.Duration, error) {
	ref := m.nextRef()
	call := caller.Call{
		Kind: caller.KindPipeline, BearerKey: m.BearerKey, IdempotencyKey: "key-" + ref, Ref: ref, Pipeline: m.Pipeline,
		Input: m.Input, MaxTokens: tokens, Scheduled: time.Now(), Timeout: callTimeout,
	}
	if stream {
		call.Kind = caller.KindStream
	}
	got := m.Entry.Do(ctx, call)
	if got.Outcome != caller.Answered {
		return 0, fmt.Errorf("overhead: entry VM did not answer: %s", got.Detail)
	}
	return got.Latency, nil
}

// LoopResult holds the measurements of a closed loop.
type LoopResult struct {
	Requests int64
	Elapsed  time.Duration
	// CPU is the CPU time that the entry VM used.
	CPU       time.Duration
	Latencies Latencies
}

// PerSecond returns the throughput in requests per second.
func (l LoopResult) PerSecond() float64 { return float64(l.Requests) / l.Elapsed.Seconds() }

// CoresUsed returns the average number of CPU cores that the entry VM used.
func (l LoopResult) CoresUsed() float64 { return l.CPU.Seconds() / l.Elapsed.Seconds() }

// CPUPerRequest returns the entry VM's average CPU time for each request.
func (l LoopResult) CPUPerRequest() time.Duration { return l.CPU / time.Duration(max(l.Requests, 1)) }

// RunClosedLoop sends requests through the entry VM from concurrent workers. Each
// worker sends its next request when the previous one is answered.
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
				took, err := m.viaEntry(ctx, tokens, stream)
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
