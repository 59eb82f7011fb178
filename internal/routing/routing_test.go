package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func seeded() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func TestExpectedLoad(t *testing.T) {
	e := DefaultEstimate()
	e.ReportWeight = reportWeight
	pool := PoolStats{MedianCallTime: 10 * time.Millisecond}
	base := Candidate{CallTime: pool.MedianCallTime, SameZone: true, Weight: 1}
	tests := []struct {
		name  string
		worse func(c Candidate) Candidate
	}{
		{"own calls in flight count", func(c Candidate) Candidate { c.InFlight = 1; return c }},
		{"reported load counts", func(c Candidate) Candidate { c.ReportedLoad = 2; return c }},
		{"another zone has a penalty", func(c Candidate) Candidate { c.SameZone = false; return c }},
		{"slow target", func(c Candidate) Candidate { c.CallTime *= 2; return c }},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			assert.Assert(t, e.ExpectedLoad(base, pool) < e.ExpectedLoad(tc.worse(base), pool))
		})
	}
	slightly := base
	slightly.CallTime = 13 * time.Millisecond
	assert.Equal(t, e.ExpectedLoad(slightly, pool), e.ExpectedLoad(base, pool))
	fresh, old := base, base
	fresh.ReportedLoad, old.ReportedLoad, old.ReportAge = 8, 8, 10*time.Second
	assert.Assert(t, e.ExpectedLoad(old, pool) < e.ExpectedLoad(fresh, pool)/4)
	busy := pool
	busy.MeanInFlight = 4
	assert.Assert(t, e.ExpectedLoad(fresh, busy) < e.ExpectedLoad(fresh, pool), "reports count less with own calls in flight")
}

func TestPrefixHolderWinsOnlyWhileQueueCostsLess(t *testing.T) {
	for _, b := range []Policy{PowerOfTwoChoices{DefaultEstimate()}, LeastExpectedLoad{DefaultEstimate()}} {
		checkPrefixHolder(t, b)
	}
}

func checkPrefixHolder(t *testing.T, b Policy) {
	t.Helper()
	holder := Candidate{CallTime: 100 * time.Millisecond, SameZone: true, Weight: 1, PrefillSaved: 80 * time.Millisecond}
	idle := Candidate{CallTime: 100 * time.Millisecond, SameZone: true, Weight: 1}
	random := seeded()
	for range 50 {
		assert.Equal(t, b.Pick([]Candidate{idle, idle, idle, holder}, random), 3)
	}
	holder.InFlight = 2
	for range 50 {
		assert.Assert(t, b.Pick([]Candidate{idle, idle, idle, holder}, random) != 3)
	}
}

func TestEveryPolicyPicksWithinBounds(t *testing.T) {
	for _, name := range []PolicyName{Default, Random, RoundRobin, LeastInFlight, PowerOfTwo, WithReports} {
		policy, err := New(name)
		assert.NilError(t, err)
		random := seeded()
		for size := 1; size < 5; size++ {
			for range 20 {
				got := policy.Pick(make([]Candidate, size), random)
				assert.Assert(t, got >= 0 && got < size, "%s picked %d of %d", name, got, size)
			}
		}
	}
	_, err := New("nearest")
	assert.ErrorContains(t, err, "unknown policy")
}

func TestLeastInFlight(t *testing.T) {
	got := leastInFlight{}.Pick([]Candidate{{InFlight: 2}, {InFlight: 1}, {InFlight: 3}}, seeded())
	assert.Equal(t, got, 1)
}

func TestEjectReason(t *testing.T) {
	e := DefaultEjection()
	median := 10 * time.Millisecond
	tests := []struct {
		name      string
		health    Health
		out, size int
		want      Reason
	}{
		{"healthy", Health{CallTime: median, Calls: 9}, 0, 6, ReasonNone},
		{"failures", Health{FailuresInRow: 3}, 0, 6, ReasonFailures},
		{"slow", Health{CallTime: 5 * median, Calls: 9}, 0, 6, ReasonStraggler},
		{"slow, but too few calls", Health{CallTime: 5 * median, Calls: 4}, 0, 6, ReasonNone},
		{"share of ejected targets is used up", Health{FailuresInRow: 9}, 2, 6, ReasonNone},
		{"never the last one", Health{FailuresInRow: 9}, 0, 1, ReasonNone},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, e.EjectReason(tc.health, median, tc.out, tc.size), tc.want)
		})
	}
}

func TestEjectedTargetReturnsGradually(t *testing.T) {
	e := DefaultEjection()
	now := time.Unix(1000, 0)
	h := e.Eject(Health{}, now)
	assert.Equal(t, e.Weight(h, now), 0.0)
	back := now.Add(e.BaseDuration)
	assert.Equal(t, e.Weight(h, back), 0.05)
	assert.Equal(t, e.Weight(h, back.Add(e.Ramp/2)), 0.5)
	assert.Equal(t, e.Weight(h, back.Add(e.Ramp)), 1.0)
	again := e.Eject(h, back)
	assert.Equal(t, again.EjectedUntil.Sub(back), 2*e.BaseDuration)
}

func TestSubsetOverlapsAndStaysStable(t *testing.T) {
	var members []Member
	for i := range 400 {
		members = append(members, Member{Address: fmt.Sprintf("10.0.0.%d:1", i), SameZone: i%4 == 0})
	}
	got := Subset("node-1", members, SubsetSize)
	assert.Equal(t, len(got), SubsetSize)
	zone := 0
	for _, m := range got {
		if m.SameZone {
			zone++
		}
	}
	assert.Assert(t, zone >= 24, "only %d in the zone", zone)
	fewer := Subset("node-1", members[:399], SubsetSize)
	same := 0
	in := map[string]bool{}
	for _, m := range got {
		in[m.Address] = true
	}
	for _, m := range fewer {
		if in[m.Address] {
			same++
		}
	}
	assert.Assert(t, same >= SubsetSize-1)
	assert.Equal(t, len(Subset("node-1", members[:5], SubsetSize)), 5)
}

func TestLeastExpectedLoadPicksRandomlyAmongTies(t *testing.T) {
	policy := LeastExpectedLoad{DefaultEstimate()}
	idle := Candidate{CallTime: 10 * time.Millisecond, SameZone: true, Weight: 1}
	busy := idle
	busy.InFlight = 3
	random := seeded()
	counts := map[int]int{}
	for range 300 {
		counts[policy.Pick([]Candidate{idle, busy, idle, idle}, random)]++
	}
	assert.Equal(t, counts[1], 0)
	for _, i := range []int{0, 2, 3} {
		assert.Assert(t, counts[i] > 50, "%v", counts)
	}
}

func TestReturningTargetIsEligibleByWeight(t *testing.T) {
	policy := LeastExpectedLoad{DefaultEstimate()}
	back := Candidate{CallTime: time.Millisecond, SameZone: true, Weight: 0.1}
	other := Candidate{CallTime: 10 * time.Millisecond, SameZone: true, Weight: 1}
	random := seeded()
	got := 0
	for range 1000 {
		if policy.Pick([]Candidate{back, other}, random) == 0 {
			got++
		}
	}
	assert.Assert(t, got > 50 && got < 150, "%d", got)
	assert.Equal(t, policy.Pick([]Candidate{back}, random), 0)
}
