// Package runner sends planned calls at their scheduled times, without waiting for
// answers (open loop).
package runner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillagate/vanillagate/internal/load/caller"
	"github.com/vanillagate/vanillagate/internal/wait"
)

// PlannedCall is a call and its send time since the start of the run.
type PlannedCall struct {
	At   time.Duration
	Call caller.Call
}

// Progress counts the calls of a run in progress.
type Progress struct {
	Sent, Completed, InTime atomic.Int64
}

// Run sends every planned call at its time after start and returns the results in
// the order of the plan, which must be sorted by At, once all calls have
// completed. Calls are distributed round-robin over the callers. Once ctx is done,
// no further calls are sent, and these have no result.
func Run(ctx context.Context, callers []*caller.Caller, plan []PlannedCall, start time.Time, progress *Progress) []caller.Result {
	results := make([]caller.Result, len(plan))
	var inFlight sync.WaitGroup
	sent := 0
	for i, planned := range plan {
		if !wait.Until(ctx, start.Add(planned.At)) {
			break
		}
		call := planned.Call
		call.Scheduled = start.Add(planned.At)
		sent++
		progress.Sent.Add(1)
		inFlight.Go(func() {
			results[i] = callers[i%len(callers)].Do(ctx, call)
			results[i].ScheduledOffset = planned.At
			progress.count(results[i])
		})
	}
	inFlight.Wait()
	return results[:sent]
}

func (p *Progress) count(result caller.Result) {
	p.Completed.Add(1)
	if result.InTime() {
		p.InTime.Add(1)
	}
}
