// Package runner sends planned calls at their times, whatever the answers do.
package runner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillagate/vanillagate/internal/load/caller"
	"github.com/vanillagate/vanillagate/internal/wait"
)

// PlannedCall is a call and when to send it, since the start.
type PlannedCall struct {
	At   time.Duration
	Call caller.Call
}

// Progress counts while a run goes on.
type Progress struct {
	Sent, Completed, InTime atomic.Int64
}

// Run sends every planned call, in order of At after start, and returns the results in the
// same order once all have ended. The calls go to the callers in turn. When
// ctx ends, calls not yet sent are left out.
func Run(ctx context.Context, callers []*caller.Caller, plan []PlannedCall, start time.Time, progress *Progress) []caller.Result {
	results := make([]caller.Result, len(plan))
	var running sync.WaitGroup
	sent := 0
	for i, planned := range plan {
		if !wait.Until(ctx, start.Add(planned.At)) {
			break
		}
		call := planned.Call
		call.Scheduled = start.Add(planned.At)
		sent++
		progress.Sent.Add(1)
		running.Go(func() {
			results[i] = callers[i%len(callers)].Do(ctx, call)
			results[i].ScheduledOffset = planned.At
			progress.count(results[i])
		})
	}
	running.Wait()
	return results[:sent]
}

func (p *Progress) count(result caller.Result) {
	p.Completed.Add(1)
	if result.InTime() {
		p.InTime.Add(1)
	}
}
