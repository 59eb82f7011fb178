package quota

import (
	"math/rand/v2"
	"testing"
	"time"
)

// movingTraffic plays callers that move between processes again and again, processes that are killed and
// restart, and failures that come and go. It returns the most retries beyond the users' bound.
func movingTraffic(seed uint64, perSecond int) float64 {
	random := rand.New(rand.NewPCG(seed, 1))
	budgets, now := startTogether(8)
	shares := make([]float64, len(budgets))
	for i := range shares {
		shares[i] = 1
	}
	var requests, retries []time.Time
	failing := false
	worst := -rule.Reserve
	step := time.Second / time.Duration(perSecond)
	for end := now.Add(90 * time.Second); now.Before(end); now = now.Add(step) {
		switch random.IntN(6 * perSecond) {
		case 0, 1:
			for i := range shares {
				shares[i] = float64(random.IntN(2))
			}
			shares[random.IntN(len(shares))] = 1
		case 2:
			i := random.IntN(len(budgets))
			budgets[i] = NewAfterRestart(rule, now)
			budgets[i].LearnProcessCount(len(budgets), 0, now)
		case 3, 4, 5:
			failing = !failing
		}
		b := budgets[pick(random, shares)]
		b.AddRequest("s", now)
		requests = append(requests, now)
		if failing {
			for range spendReserve(budgets, now) {
				retries = append(retries, now)
			}
		}
		sent := countWithin(retries, now)
		worst = max(worst, float64(sent)-allowedRetries(requests, now))
	}
	return worst
}

// pick returns a random index, in proportion to the shares.
func pick(random *rand.Rand, shares []float64) int {
	total := 0.0
	for _, s := range shares {
		total += s
	}
	at := random.Float64() * total
	for i, s := range shares {
		if at -= s; at < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// Guards against moves, restarts and failures in series that add up to more retries than are allowed.
func TestTrafficThatKeepsMovingStaysWithinBound(t *testing.T) {
	for seed := range uint64(12) {
		for _, perSecond := range []int{20, 120} {
			if worst := movingTraffic(seed, perSecond); worst > 0 {
				t.Errorf("seed %d, %d requests a second: %.1f retries too many", seed, perSecond, worst)
			}
		}
	}
}
