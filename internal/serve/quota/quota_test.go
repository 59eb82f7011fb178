package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var (
	start = time.Unix(1000, 0)
	rule  = Rule{Ratio: 0.2, Reserve: 58, Window: 10 * time.Second}
)

// Half of the targets fail. Without the bound, every process would retry, and together they would
// send several times the load to the remaining targets. The bound must hold in every window of ten
// seconds, whatever the order of requests.
func TestProcessesTogetherStayWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "processes")
		budgets := make([]*Budget, n)
		for i := range budgets {
			budgets[i] = New(rule, start)
			budgets[i].SetMemberCount(n, start)
		}
		now := start.Add(settlePeriod)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 600).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, n-1).Draw(t, "process")]
			if rapid.Bool().Draw(t, "request") {
				b.AddRequest("s", now)
				requests = append(requests, now)
				continue
			}
			if b.TakeRetry("s", now) {
				retries = append(retries, now)
			}
			sent := countWithin(retries, now)
			allowed := rule.Ratio*float64(countWithin(requests, now)) + rule.Reserve
			if float64(sent) > allowed {
				t.Fatalf("%d retries, %.1f allowed", sent, allowed)
			}
		}
	})
}

// Targets fail while processes are killed, one or all, replaced, added and cut off from each other.
// A new process doesn't know what was spent before it started. Together they must still keep the
// bound in every window.
func TestChangingProcessesStayWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var budgets []*Budget
		for range rapid.IntRange(1, 12).Draw(t, "processes") {
			budgets = append(budgets, New(rule, start))
		}
		now := start
		updateMembers := func() {
			for _, b := range budgets {
				b.SetMemberCount(len(budgets), now)
			}
		}
		updateMembers()
		now = now.Add(2 * rule.Window)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "gap")) * time.Millisecond)
			i := rapid.IntRange(0, len(budgets)-1).Draw(t, "process")
			switch rapid.IntRange(0, 39).Draw(t, "what") {
			case 0:
				budgets[i] = NewAfterRestart(rule, now) // killed and restarted immediately
			case 1:
				for k := range budgets {
					budgets[k] = NewAfterRestart(rule, now)
				}
			case 2:
				budgets = append(budgets, NewAfterRestart(rule, now))
			case 3:
				if len(budgets) > 1 {
					budgets = append(budgets[:i], budgets[i+1:]...)
				}
			case 4:
				budgets[i].SetMemberCount(1, now) // cut off
			case 5, 6, 7, 8, 9, 10:
				updateMembers()
			case 11, 12, 13, 14:
				budgets[i].AddRequest("s", now)
				requests = append(requests, now)
			default:
				for budgets[i].TakeRetry("s", now) {
					retries = append(retries, now)
				}
			}
			sent := countWithin(retries, now)
			allowed := rule.Ratio*float64(countWithin(requests, now)) + rule.Reserve
			if float64(sent) > allowed {
				t.Fatalf("%d retries, %.1f allowed", sent, allowed)
			}
		}
	})
}

func countWithin(times []time.Time, now time.Time) int {
	n := 0
	for _, at := range times {
		if now.Sub(at) < rule.Window {
			n++
		}
	}
	return n
}

// A process that starts knows no peers yet. If it took the whole reserve for itself, a cluster that
// starts at once would spend the reserve many times over.
func TestReserveIsHeldBackUntilPeersAreKnown(t *testing.T) {
	b := New(rule, start)
	assert.Assert(t, !b.TakeRetry("s", start))
	b.SetMemberCount(9, start.Add(time.Second))
	assert.Assert(t, !b.TakeRetry("s", start.Add(2*time.Second)))
	assert.Assert(t, b.TakeRetry("s", start.Add(3*time.Second)))
}

// A process that is cut off from its peers sees none of them, while they continue to spend their
// parts of the reserve.
func TestPartitionedProcessKeepsToItsReserveShare(t *testing.T) {
	b := New(rule, start)
	b.SetMemberCount(9, start)
	now := start.Add(5 * time.Second)
	b.SetMemberCount(1, now)
	sent := 0
	for b.TakeRetry("s", now) {
		sent++
	}
	assert.Equal(t, sent, int(boundShare*rule.Reserve/9))
}

func TestServicesHaveSeparateBudgets(t *testing.T) {
	b := New(Rule{Ratio: 0.5, Window: 10 * time.Second}, start)
	for range 10 {
		b.AddRequest("a", start)
	}
	assert.Assert(t, b.TakeRetry("a", start))
	assert.Assert(t, !b.TakeRetry("b", start))
	assert.Assert(t, b.RetriesLeft("a", start) > 3)
}

// Operators lower the bound while retries are being sent. Earlier counts must count against the new
// bound too.
func TestNewRuleAppliesToEarlierCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(Rule{Ratio: 0.2, Reserve: 100, Window: 10 * time.Second}, now)
	now = now.Add(settlePeriod)
	for range 50 {
		assert.Assert(t, b.TakeRetry("s", now))
	}
	b.SetRule(Rule{Ratio: 0.2, Reserve: 40, Window: 10 * time.Second}, now)
	assert.Assert(t, !b.TakeRetry("s", now))
	b.SetRule(Rule{Ratio: 0.2, Reserve: 100, Window: 5 * time.Second}, now)
	assert.Assert(t, !b.TakeRetry("s", now), "the reserve is held back after a change of the window")
}

// The settings contain a window too short to be divided into slices, at the start or after a
// change. The next request must not crash the process.
func TestTooShortWindowIsReplacedByDefault(t *testing.T) {
	for _, window := range []time.Duration{1, windowSlices - 1, -time.Second, 0} {
		short := Rule{Ratio: 0.2, Reserve: 58, Window: window}
		b := New(short, start)
		b.AddRequest("s", start)
		b.AddRequest("s", start.Add(time.Second))
		changed := New(rule, start)
		changed.SetRule(short, start)
		changed.AddRequest("s", start)
		changed.AddRequest("s", start.Add(time.Second))
		assert.Assert(t, !b.TakeRetry("s", start.Add(time.Second)), "two requests do not allow a retry")
	}
}
