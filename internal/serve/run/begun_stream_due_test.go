package run

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/origins"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
)

// Guards against the rest of a stream that is refused because its first event would have been late.
func TestDueTimeOfAStreamThatHasBegun(t *testing.T) {
	arrived := time.Now()
	for name, tc := range map[string]struct {
		begun               bool
		objective, deadline time.Duration
		preparing, due      time.Duration
	}{
		"new":                                   {objective: 2 * time.Second, deadline: 10 * time.Second, due: 2 * time.Second},
		"new, short deadline":                   {objective: 2 * time.Second, deadline: time.Second, due: time.Second},
		"taken up":                              {begun: true, objective: 2 * time.Second, deadline: 10 * time.Second, due: 5 * time.Second},
		"taken up, short deadline":              {begun: true, objective: 2 * time.Second, deadline: 3 * time.Second, due: 2 * time.Second},
		"goes on at another target":             {begun: true, objective: 2 * time.Second, deadline: 10 * time.Second, preparing: 4 * time.Second, due: 7 * time.Second},
		"goes on at another target, no time":    {begun: true, objective: 2 * time.Second, deadline: time.Second, preparing: 2 * time.Second, due: time.Second},
		"goes on at another target before that": {begun: true, objective: 9 * time.Second, deadline: 10 * time.Second, preparing: time.Second, due: 9 * time.Second},
	} {
		j := &job{
			req: &Request{Arrived: arrived}, route: &plan.Route{Objective: tc.objective},
			deadline: arrived.Add(tc.deadline), preparingAt: arrived.Add(tc.preparing),
		}
		if tc.begun {
			j.origin = &origins.Origin{Service: "s", Version: "v1"}
		}
		assert.Equal(t, j.dueTime().Sub(arrived), tc.due, name)
	}
}
