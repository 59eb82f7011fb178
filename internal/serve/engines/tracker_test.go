package engines

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/ratelimit"
	"github.com/vanillagate/vanillagate/internal/serve/servetest"
)

// newTrackers returns the trackers of n processes that are connected to each other.
func newTrackers(n int) (list []*Tracker, nodes []*servetest.Node) {
	cluster := &servetest.Cluster{Delay: time.Millisecond}
	for i := range n {
		node := cluster.Add(fmt.Sprintf("vm-%d", i), "z")
		nodes = append(nodes, node)
		list = append(list, New(zap.NewNop(), node))
	}
	return list, nodes
}

// Guards against two processes sending long prompts to the same engine without knowing of each
// other, so that the second prompt waits for the first.
func TestClaimsCoverPromptsOfAllProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all, _ := newTrackers(12)
		ctx := context.Background()
		claim := Claim{Service: "s", Target: "e", Tokens: 40_000, Limit: 20 * time.Millisecond}
		first, answered := all[0].Claim(ctx, claim)
		assert.Assert(t, answered && first.Taken && first.Wait == 0)
		for _, other := range all[1:] {
			second, answered := other.Claim(ctx, claim)
			assert.Assert(t, answered && !second.Taken && second.Wait > 200*time.Millisecond, "%+v", second)
		}
		time.Sleep(time.Second)
		again, _ := all[3].Claim(ctx, claim)
		assert.Assert(t, again.Taken)
	})
}

// Guards against every request waiting for a tracker that has stopped responding.
func TestUnresponsiveTrackerIsNotAskedForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all, nodes := newTrackers(3)
		for _, n := range nodes {
			n.Freeze()
		}
		waited := 0
		for range 50 {
			started := time.Now()
			for i := range 9 {
				all[0].Claim(context.Background(), Claim{Service: "s", Target: fmt.Sprint("e", i)})
			}
			if time.Since(started) > 0 {
				waited++
			}
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, waited <= 2, "%d times", waited)
		time.Sleep(time.Second)
	})
}

// A caller disconnects during a claim. If that counted against the tracker, prompts of other
// requests would be sent without asking.
func TestCanceledClaimDoesNotMarkTrackerUnresponsive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all, _ := newTrackers(3)
		left, leave := context.WithCancel(context.Background())
		leave()
		for i := range 9 {
			all[0].Claim(left, Claim{Service: "s", Target: fmt.Sprint("e", i)})
			_, answered := all[0].Claim(context.Background(), Claim{Service: "s", Target: fmt.Sprint("e", i)})
			assert.Assert(t, answered)
		}
	})
}

// All processes must learn from all samples, no matter which process observed them.
func TestTrackersLearnFromAllProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all, _ := newTrackers(12)
		truth := Curve{Base: 0.06, Linear: 0.008, Square: 0.00026}
		for i := range 3000 {
			tokens := 300 + i%50*1000
			all[i%12].RecordSample("s", Sample{Tokens: tokens, Seconds: truth.FirstEvent(tokens)})
			all[i%12].Claim(context.Background(), Claim{Service: "s", Target: fmt.Sprint("e", i%40), Limit: time.Hour})
		}
		for _, tracker := range all {
			curve, known := tracker.Curve("s", time.Now())
			assert.Assert(t, known)
			got, want := curve.FirstEvent(45_000), truth.FirstEvent(45_000)
			assert.Assert(t, got > 0.9*want && got < 1.1*want, "%v for %v", got, want)
		}
	})
}

// All processes send requests to one cold engine at once. Together they must stay within its rate,
// and use a good part of it.
func TestColdEngineStaysWithinItsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all, _ := newTrackers(20)
		taken, asked := 0, 0
		start := time.Now()
		for time.Since(start) < 2*time.Second {
			answer, answered := all[asked%20].Claim(context.Background(), Claim{Service: "s", Target: "e", Limit: time.Hour, Rate: ratelimit.Rate{Cold: 14}})
			assert.Assert(t, answered)
			asked++
			if answer.Taken {
				taken++
			}
			assert.Assert(t, answer.Taken != answer.OverRate)
			time.Sleep(time.Millisecond)
		}
		assert.Assert(t, taken <= 2*14, "%d of %d in two seconds", taken, asked)
		assert.Assert(t, taken >= 14, "%d of %d in two seconds", taken, asked)
	})
}
