package cost

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRatesEstimateWhatNoTargetTold(t *testing.T) {
	var r Estimator
	for i := range 50 {
		// 1 ms for each generated token and 0.1 ms for each prompt token; the
		// time taken has nothing to do with it.
		tokens, prompt := 5+i%7, 100+10*(i%3)
		engine := time.Duration(tokens)*time.Millisecond + time.Duration(prompt)*100*time.Microsecond
		r.RecordCall("llm", Sample{ReportedTime: engine, Took: time.Second, UncachedTokens: prompt, GeneratedTokens: tokens})
		r.RecordCall("alike", Sample{ReportedTime: 10 * time.Millisecond, Took: time.Second, UncachedTokens: 10, GeneratedTokens: 10})
		r.RecordCall("encoder", Sample{ReportedTime: 8 * time.Millisecond, Took: 10 * time.Millisecond})
		r.RecordCall("silent", Sample{Took: time.Second})
	}
	tests := []struct {
		name string
		pool string
		call Sample
		want time.Duration
	}{
		{"a stream that broke", "llm", Sample{Took: time.Second, GeneratedTokens: 20}, 31 * time.Millisecond},
		{"never more than the time that passed", "llm", Sample{Took: 5 * time.Millisecond, GeneratedTokens: 20}, 5 * time.Millisecond},
		{"calls that are all alike", "alike", Sample{Took: time.Second, GeneratedTokens: 5}, 5 * time.Millisecond},
		{"a straggler that lost to a hedge", "encoder", Sample{Took: 30 * time.Millisecond}, 28 * time.Millisecond},
		{"a call that waited for long", "encoder", Sample{Took: time.Second}, 32 * time.Millisecond},
		{"no time to run", "encoder", Sample{Took: time.Millisecond}, 0},
		{"targets that tell nothing", "silent", Sample{Took: time.Second}, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			got := r.Estimate(tc.pool, tc.call)
			assert.Assert(t, (got-tc.want).Abs() < 500*time.Microsecond, "%s", got)
		})
	}
}

const (
	engineOfTest = 2 * time.Millisecond
	waitOfTest   = time.Millisecond // beside the engine time
	longCall     = 41 * time.Millisecond
)

// knowing has seen a pool's calls at a target that is as usual.
func knowing(pool, address string) *Estimator {
	r := &Estimator{}
	for range 50 {
		r.RecordCall(pool, endedWell(address))
	}
	return r
}

func endedWell(address string) Sample {
	return Sample{Target: address, ReportedTime: engineOfTest, Took: engineOfTest + waitOfTest}
}

// A target becomes many times slower than the others of its pool. Hedges win
// nearly all its calls, so that it tells no cost, but it works for each until
// the hedge has won. With the pool's usual calls as the only measure, most of
// that work is on no bill.
func TestRatesFindOutASlowTarget(t *testing.T) {
	r := knowing("retriever", "a")
	for i, want := range []time.Duration{8, 8, 32, 32, 40, 40} {
		got := r.Estimate("retriever", Sample{Target: "b", Took: longCall})
		assert.Equal(t, got.Round(time.Microsecond), want*time.Millisecond, "call %d", i)
	}
	got := r.Estimate("retriever", Sample{Target: "a", Took: longCall})
	assert.Equal(t, got.Round(time.Microsecond), 4*engineOfTest, "a target that is not slow")
	r.RecordCall("retriever", endedWell("b"))
	got = r.Estimate("retriever", Sample{Target: "b", Took: longCall})
	assert.Equal(t, got.Round(time.Microsecond), 4*engineOfTest, "a target that is slow no longer")
}

// A machine stalls again and again while calls run. Those calls take very long,
// and the target has not worked for longer than usual: a customer that pays for
// the stall pays many times too much. The calls between them show it.
func TestRatesDoNotChargeStalls(t *testing.T) {
	r := knowing("retriever", "a")
	for range 10 {
		got := r.Estimate("retriever", Sample{Target: "a", Took: time.Second})
		assert.Equal(t, got.Round(time.Microsecond), 4*engineOfTest)
		r.RecordCall("retriever", endedWell("a"))
	}
}

// Targets come and go for as long as a process runs. What is known of those that
// are gone must not fill its memory.
func TestRatesRememberABoundedNumberOfTargets(t *testing.T) {
	r := &Estimator{}
	for i := range 3 * maxTargets {
		r.RecordCall("retriever", endedWell(strconv.Itoa(i)))
		r.Estimate("retriever", Sample{Target: "e" + strconv.Itoa(i), Took: longCall})
	}
	assert.Assert(t, len(r.byPool["retriever"].byTarget) <= maxTargets)
}
