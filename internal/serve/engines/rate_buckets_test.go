package engines

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against less urgent requests using up the rate of a target before the urgent ones.
func TestUrgentRequestsGetTheRateFirst(t *testing.T) {
	const perSecond = 2
	taken := map[int]int{}
	buckets, now := rateBuckets{}, time.Unix(1000, 0)
	for range 1000 {
		now = now.Add(20 * time.Millisecond)
		for _, rank := range []int{3, 1, 0} {
			urgentSince := now.Sub(time.Unix(1010, 0))
			if rank == 0 && urgentSince < 0 {
				continue // urgent requests begin after ten seconds
			}
			if has, _ := buckets.hasToken("t", perSecond, rank, now); has {
				buckets.takeToken("t")
				taken[rank]++
			}
		}
	}
	assert.Assert(t, taken[0] >= 19 && taken[0] <= 22, "%v", taken)
	assert.Assert(t, taken[1]+taken[3] <= 22, "%v", taken)
}

// Guards against a bucket that is dropped while it is empty and begins anew with a burst.
func TestBucketOfSlowTargetIsKeptUntilItIsFull(t *testing.T) {
	buckets, now := rateBuckets{}, time.Unix(1000, 0)
	for range rateBurst {
		buckets.hasToken("t", 0.05, 0, now)
		buckets.takeToken("t")
	}
	buckets.sweep(now.Add(15 * time.Second))
	has, wait := buckets.hasToken("t", 0.05, 0, now.Add(15*time.Second))
	assert.Assert(t, !has)
	assert.Equal(t, wait.Round(time.Millisecond), 5*time.Second)
	buckets.sweep(now.Add(time.Minute))
	assert.Equal(t, len(buckets), 0)
}
