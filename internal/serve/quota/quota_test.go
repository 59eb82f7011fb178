package quota

import (
	"slices"
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
			if take(b, "s", now) {
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
				for take(budgets[i], "s", now) {
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

// take takes a retry and sends it at once.
func take(b *Budget, service string, now time.Time) bool {
	r := b.TakeRetry(service, now)
	r.Sent(now)
	return r != nil
}

// countWithin returns how many of the sorted times lie in the window that ends at now.
func countWithin(times []time.Time, now time.Time) int {
	return indexAfter(times, now) - indexAfter(times, now.Add(-rule.Window))
}

// A process that starts knows no peers yet. If it took the whole reserve for itself, a cluster that
// starts at once would spend the reserve many times over.
func TestReserveIsHeldBackUntilPeersAreKnown(t *testing.T) {
	b := New(rule, start)
	assert.Assert(t, !take(b, "s", start))
	b.SetMemberCount(9, start.Add(time.Second))
	assert.Assert(t, !take(b, "s", start.Add(2*time.Second)))
	assert.Assert(t, take(b, "s", start.Add(3*time.Second)))
}

// A process that is cut off from its peers sees none of them, while they continue to spend their
// parts of the reserve.
func TestPartitionedProcessKeepsToItsReserveShare(t *testing.T) {
	b := New(rule, start)
	b.SetMemberCount(9, start)
	now := start.Add(5 * time.Second)
	b.SetMemberCount(1, now)
	sent := 0
	for take(b, "s", now) {
		sent++
	}
	assert.Equal(t, sent, int(boundShare*rule.Reserve/9))
}

// spendReserve takes all retries that the processes have left, without any requests.
func spendReserve(budgets []*Budget, now time.Time) int {
	sent := 0
	for _, b := range budgets {
		for take(b, "s", now) {
			sent++
		}
	}
	return sent
}

// startTogether returns the budgets of n processes that know each other, at the returned time.
func startTogether(n int) ([]*Budget, time.Time) {
	var budgets []*Budget
	for range n {
		b := New(rule, start)
		b.SetMemberCount(n, start)
		budgets = append(budgets, b)
	}
	return budgets, start.Add(settlePeriod)
}

// Guards against processes that restart while they are cut off and each take the whole reserve.
func TestProcessesRestartedBehindACutStayWithinBound(t *testing.T) {
	budgets, now := startTogether(8)
	budgets[6], budgets[7] = NewAfterRestart(rule, now), NewAfterRestart(rule, now)
	for end := now.Add(rule.Window + 2*time.Second); now.Before(end); now = now.Add(time.Second) {
		for _, b := range budgets[:6] {
			b.SetMemberCount(6, now)
		}
		for _, b := range budgets[6:] {
			b.SetMemberCount(1, now)
		}
	}
	sent := spendReserve(budgets, now)
	assert.Assert(t, float64(sent) <= rule.Reserve, "%d retries, %.0f allowed", sent, rule.Reserve)
}

// Guards against processes that take a larger part because they don't see each other at one moment.
func TestProcessesThatLoseSightOfEachOtherStayWithinBound(t *testing.T) {
	for _, n := range []int{2, 3, 4, 5, 8, 30} {
		for _, after := range []time.Duration{31 * time.Second, 30 * time.Minute} {
			budgets, now := startTogether(n)
			for end := now.Add(after); now.Before(end); now = now.Add(time.Second) {
				for _, b := range budgets {
					b.SetMemberCount(n, now)
				}
			}
			for _, b := range budgets {
				b.SetMemberCount(1, now)
			}
			sent := spendReserve(budgets, now)
			assert.Check(t, float64(sent) <= rule.Reserve, "%d processes after %v: %d retries, %.0f allowed", n, after, sent, rule.Reserve)
		}
	}
}

// Guards against the same traffic allowing retries at the processes that had it and at those that take it over.
func TestTrafficThatMovesStaysWithinBound(t *testing.T) {
	for _, perSecond := range []int{16, 120, 600} {
		budgets, now := startTogether(8)
		var requests, retries []time.Time
		killedAt := now.Add(3 * rule.Window)
		step := time.Second / time.Duration(perSecond)
		for i := 0; now.Before(killedAt.Add(3 * rule.Window)); i, now = i+1, now.Add(step) {
			receiving := budgets
			if now.After(killedAt) {
				receiving = budgets[:3]
			}
			receiving[i%len(receiving)].AddRequest("s", now)
			requests = append(requests, now)
			if now.Before(killedAt.Add(-time.Second)) {
				continue
			}
			for range spendReserve(receiving, now) {
				retries = append(retries, now)
			}
			allowed := allowedRetries(requests, now)
			if sent := countWithin(retries, now); float64(sent) > allowed {
				t.Errorf("%d requests a second: %d retries, %.1f allowed, %v after the move", perSecond, sent, allowed, now.Sub(killedAt))
				break
			}
		}
	}
}

// allowedRetries returns the users' bound for the window that ends now. It counts the requests of that
// window, the one before it or the one half a window before it, whichever has most.
func allowedRetries(requests []time.Time, now time.Time) float64 {
	most := 0
	for _, end := range []time.Time{now, now.Add(-rule.Window / 2), now.Add(-rule.Window)} {
		most = max(most, countWithin(requests, end))
	}
	return rule.Ratio*float64(most) + rule.Reserve
}

// indexAfter returns the number of the sorted times that aren't after a moment.
func indexAfter(times []time.Time, moment time.Time) int {
	i, _ := slices.BinarySearchFunc(times, moment.Add(1), time.Time.Compare)
	return i
}

// Guards against retries that are taken in two windows and arrive in one.
func TestRetriesThatAreSentLateStayWithinBound(t *testing.T) {
	b := New(rule, start)
	now := start.Add(settlePeriod)
	var late []*Retry
	for r := b.TakeRetry("s", now); r != nil; r = b.TakeRetry("s", now) {
		late = append(late, r)
	}
	now = now.Add(rule.Window + 2*time.Second)
	for _, r := range late {
		r.Sent(now)
		r.Sent(now)
	}
	sent := len(late) + spendReserve([]*Budget{b}, now)
	assert.Assert(t, float64(sent) <= rule.Reserve, "%d retries, %.0f allowed", sent, rule.Reserve)
}

// Guards against a budget that is used up by retries whose requests end before they are sent.
func TestCancelledRetryIsGivenBack(t *testing.T) {
	b := New(rule, start)
	now := start.Add(settlePeriod)
	before := b.RetriesLeft("s", now)
	r := b.TakeRetry("s", now)
	assert.Equal(t, b.RetriesLeft("s", now), before-1)
	r.Cancel()
	r.Cancel()
	r.Sent(now)
	assert.Equal(t, b.RetriesLeft("s", now), before)
}

func TestServicesHaveSeparateBudgets(t *testing.T) {
	b := New(Rule{Ratio: 0.5, Window: 10 * time.Second}, start)
	for range 10 {
		b.AddRequest("a", start)
	}
	assert.Assert(t, take(b, "a", start))
	assert.Assert(t, !take(b, "b", start))
	assert.Assert(t, b.RetriesLeft("a", start) > 3)
}

// Operators lower the bound while retries are being sent. Earlier counts must count against the new
// bound too.
func TestNewRuleAppliesToEarlierCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(Rule{Ratio: 0.2, Reserve: 100, Window: 10 * time.Second}, now)
	now = now.Add(settlePeriod)
	for range 50 {
		assert.Assert(t, take(b, "s", now))
	}
	b.SetRule(Rule{Ratio: 0.2, Reserve: 40, Window: 10 * time.Second}, now)
	assert.Assert(t, !take(b, "s", now))
	b.SetRule(Rule{Ratio: 0.2, Reserve: 100, Window: 5 * time.Second}, now)
	assert.Assert(t, !take(b, "s", now), "the reserve is held back after a change of the window")
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
		assert.Assert(t, !take(b, "s", start.Add(time.Second)), "two requests do not allow a retry")
	}
}
