// Package report summarizes the results of load runs and writes them as text
// lines, JSON, CSV and SVG charts.
package report

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/vanillagate/vanillagate/internal/load/caller"
	"github.com/vanillagate/vanillagate/internal/load/check"
	"github.com/vanillagate/vanillagate/internal/load/control"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// Range and precision of the latency histograms.
const (
	longestLatencyUS = int64(10 * time.Minute / time.Microsecond)
	latencyDigits    = 3
)

// Latency holds percentiles in milliseconds. Latencies of requests are measured
// from the scheduled arrival, so that time spent waiting while the load generator
// or the system was stalled is included (no coordinated omission).
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Percentiles computes the percentiles of durations; without durations they are
// zero.
func Percentiles(durations []time.Duration) Latency {
	histogram := hdrhistogram.New(1, longestLatencyUS, latencyDigits)
	for _, d := range durations {
		us := min(max(d.Microseconds(), 1), longestLatencyUS)
		_ = histogram.RecordValue(us) // can't fail: us is within the range
	}
	if histogram.TotalCount() == 0 {
		return Latency{}
	}
	return Latency{
		Count: histogram.TotalCount(),
		P50:   quantile(histogram, 50),
		P95:   quantile(histogram, 95),
		P99:   quantile(histogram, 99),
		Max:   float64(histogram.Max()) / 1000,
	}
}

func quantile(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / 1000
}

// Summary holds the aggregated results of one run.
type Summary struct {
	check.Totals
	Attainment float64 `json:"attainment"`
	// Latency covers every request except poison requests, until it ended with
	// any outcome.
	Latency Latency `json:"latency"`
	// FirstToken is the time to the first token of streamed requests.
	FirstToken Latency `json:"first_token"`
	// SendDelay is how long after schedule the load generator itself sent requests.
	// High values mean that its machine was overloaded and the run is not
	// reliable.
	SendDelay Latency `json:"late"`
	// EngineUS is the processing time of all targets, in microseconds.
	EngineUS int64 `json:"engine_us"`
	// Cost is EngineUS divided by the number of requests answered once,
	// completely and in time; zero if there are none.
	Cost float64 `json:"cost"`
	// UnfinishedUS is the part of EngineUS spent on calls that did not finish
	// because they were cancelled, crashed or disconnected.
	UnfinishedUS int64 `json:"unfinished_us"`
	// CachedShare is the share of the engines' prompt tokens found in their
	// prefix caches.
	CachedShare float64           `json:"cached_share"`
	ByPool      map[string]int64  `json:"engine_us_by_pool"`
	ByCustomer  []CustomerSummary `json:"by_customer"`
	Errors      map[string]int    `json:"errors"`
}

// CustomerSummary holds the aggregated results of one customer in a run.
type CustomerSummary struct {
	Customer string `json:"customer"`
	check.Totals
	Attainment float64 `json:"attainment"`
	Latency    Latency `json:"latency"`
}

// Summarize aggregates a run from the callers' results and the executions that
// the targets recorded.
func Summarize(results []caller.Result, executions []control.Execution) Summary {
	s := Summary{Totals: check.ComputeTotals(endedRequests(results), executions)}
	s.Attainment = s.Totals.Attainment()
	s.Latency = Percentiles(latencies(results))
	s.FirstToken = Percentiles(firstTokens(results))
	s.SendDelay = Percentiles(sendDelays(results))
	s.addCosts(executions)
	s.ByCustomer = byCustomer(results, executions)
	s.Errors = countErrors(results)
	return s
}

// addCosts computes the engine time, cost and cache figures. It uses s.InTime, so
// the totals must be set first.
func (s *Summary) addCosts(executions []control.Execution) {
	s.ByPool = map[string]int64{}
	prompts, cached := 0, 0
	for _, x := range executions {
		s.EngineUS += x.EngineUS
		s.ByPool[x.Pool] += x.EngineUS
		if !x.Finished {
			s.UnfinishedUS += x.EngineUS
		}
		if x.Path == targetapi.PathCompletions {
			prompts += x.PromptTokens
			cached += x.CachedTokens
		}
	}
	if s.InTime > 0 {
		s.Cost = float64(s.EngineUS) / float64(s.InTime)
	}
	if prompts > 0 {
		s.CachedShare = float64(cached) / float64(prompts)
	}
}

func byCustomer(results []caller.Result, executions []control.Execution) []CustomerSummary {
	var order []string
	resultsByCustomer := map[string][]caller.Result{}
	for _, r := range results {
		if _, found := resultsByCustomer[r.Call.Customer]; !found {
			order = append(order, r.Call.Customer)
		}
		resultsByCustomer[r.Call.Customer] = append(resultsByCustomer[r.Call.Customer], r)
	}
	summaries := make([]CustomerSummary, 0, len(order))
	for _, customer := range order {
		totals := check.ComputeTotals(endedRequests(resultsByCustomer[customer]), executions)
		totals.Executions = countExecutions(customer, executions)
		summaries = append(summaries, CustomerSummary{
			Customer:   customer,
			Totals:     totals,
			Attainment: totals.Attainment(),
			Latency:    Percentiles(latencies(resultsByCustomer[customer])),
		})
	}
	return summaries
}

func countExecutions(customer string, executions []control.Execution) int {
	count := 0
	for _, x := range executions {
		if x.Customer == customer {
			count++
		}
	}
	return count
}

func endedRequests(results []caller.Result) []check.CompletedRequest {
	ended := make([]check.CompletedRequest, 0, len(results))
	for _, r := range results {
		ended = append(ended, check.CompletedRequest{
			IdempotencyKey:   r.Call.IdempotencyKey,
			NonIdempotent:    r.Call.NonIdempotent,
			RefusedRequestID: r.RefusedRequestID,
			Answered:         r.Outcome == caller.Answered,
			Refused:          r.Outcome == caller.Refused,
			InTime:           r.InTime(),
			Poison:           r.Call.Poison,
			Finding:          r.Finding,
			Execution:        r.Execution,
		})
	}
	return ended
}

func latencies(results []caller.Result) []time.Duration {
	var all []time.Duration
	for _, r := range results {
		if !r.Call.Poison {
			all = append(all, r.Latency)
		}
	}
	return all
}

func firstTokens(results []caller.Result) []time.Duration {
	var all []time.Duration
	for _, r := range results {
		if r.FirstToken > 0 {
			all = append(all, r.FirstToken)
		}
	}
	return all
}

func sendDelays(results []caller.Result) []time.Duration {
	var all []time.Duration
	for _, r := range results {
		all = append(all, r.SendDelay)
	}
	return all
}

func countErrors(results []caller.Result) map[string]int {
	counts := map[string]int{}
	for _, r := range results {
		switch r.Outcome {
		case caller.Refused:
			counts[fmt.Sprintf("refused %d %s", r.Status, r.Execution)]++
		case caller.Lost:
			counts["lost "+string(r.Finding)]++
		case caller.Answered:
		}
	}
	return counts
}

// ResultLine returns the final line of the output of a run.
func (s Summary) ResultLine() string {
	return fmt.Sprintf("attainment=%.4f requests=%d answered=%d lost=%d doubled=%d crossed=%d",
		s.Attainment, s.Requests, s.Answered, s.Lost, s.RanTwice, s.WrongAnswers)
}
