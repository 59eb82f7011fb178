package cost

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestEstimateUnreportedCalls(t *testing.T) {
	var r Estimator
	for i := range 50 {
		// 1 ms per generated token and 0.1 ms per prompt token. The duration of
		// the calls is unrelated to that.
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
		{"stream that broke", "llm", Sample{Took: time.Second, GeneratedTokens: 20}, 31 * time.Millisecond},
		{"never more than the call's duration", "llm", Sample{Took: 5 * time.Millisecond, GeneratedTokens: 20}, 5 * time.Millisecond},
		{"calls that are all alike", "alike", Sample{Took: time.Second, GeneratedTokens: 5}, 5 * time.Millisecond},
		{"slow call that lost to a hedge", "encoder", Sample{Took: 30 * time.Millisecond}, 28 * time.Millisecond},
		{"call that waited for a long time", "encoder", Sample{Took: time.Second}, 32 * time.Millisecond},
		{"duration shorter than the overhead", "encoder", Sample{Took: time.Millisecond}, 0},
		{"targets that report no engine time", "silent", Sample{Took: time.Second}, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			got := r.Estimate(tc.pool, tc.call)
			assert.Assert(t, (got-tc.want).Abs() < 500*time.Microsecond, "%s", got)
		})
	}
}

const (
	testEngineTime = 2 * time.Millisecond
	testOverhead   = time.Millisecond // call duration minus engine time
	longCallTime   = 41 * time.Millisecond
)

// trainedEstimator returns an Estimator with 50 calls of normal duration.
func trainedEstimator(pool, address string) *Estimator {
	r := &Estimator{}
	for range 50 {
		r.RecordCall(pool, successfulCall(address))
	}
	return r
}

func successfulCall(address string) Sample {
	return Sample{Target: address, ReportedTime: testEngineTime, Took: testEngineTime + testOverhead}
}

// A target becomes many times slower than the others of its pool. Hedges win
// nearly all of its calls, so it reports no cost, but it works on each call
// until the hedge has won. An estimate based only on the pool's average would
// leave most of that work off the bill.
func TestEstimateAdaptsToSlowTarget(t *testing.T) {
	r := trainedEstimator("retriever", "a")
	for i, want := range []time.Duration{8, 8, 32, 32, 40, 40} {
		got := r.Estimate("retriever", Sample{Target: "b", Took: longCallTime})
		assert.Equal(t, got.Round(time.Microsecond), want*time.Millisecond, "call %d", i)
	}
	got := r.Estimate("retriever", Sample{Target: "a", Took: longCallTime})
	assert.Equal(t, got.Round(time.Microsecond), 4*testEngineTime, "target that is not slow")
	r.RecordCall("retriever", successfulCall("b"))
	got = r.Estimate("retriever", Sample{Target: "b", Took: longCallTime})
	assert.Equal(t, got.Round(time.Microsecond), 4*testEngineTime, "target that is no longer slow")
}

// A machine stalls repeatedly while calls run. Those calls take very long
// although the target has not worked longer than normal, as the calls in
// between show. The customer must not be charged for the time of the stalls.
func TestEstimateDoesNotChargeStalls(t *testing.T) {
	r := trainedEstimator("retriever", "a")
	for range 10 {
		got := r.Estimate("retriever", Sample{Target: "a", Took: time.Second})
		assert.Equal(t, got.Round(time.Microsecond), 4*testEngineTime)
		r.RecordCall("retriever", successfulCall("a"))
	}
}

// Targets come and go while a process runs. The data kept for removed targets
// must not grow without limit.
func TestEstimatorTargetLimit(t *testing.T) {
	r := &Estimator{}
	for i := range 3 * maxTargets {
		r.RecordCall("retriever", successfulCall(strconv.Itoa(i)))
		r.Estimate("retriever", Sample{Target: "e" + strconv.Itoa(i), Took: longCallTime})
	}
	assert.Assert(t, len(r.byPool["retriever"].byTarget) <= maxTargets)
}
