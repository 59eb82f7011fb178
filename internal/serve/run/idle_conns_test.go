package run

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/quota"
	"github.com/vanillagate/vanillagate/internal/serve/upstream"
)

// The processes share the connections that a target accepts. If each keeps one idle
// connection too many, the target resets a booking of another process, and it is unknown
// whether the booking was made.
func TestIdleConnectionLimitIsDividedAmongProcesses(t *testing.T) {
	for _, tc := range []struct {
		accepted, processes int
		maxIdleConns        int
		closeAfterAnswer    bool
	}{
		{accepted: 0, processes: 9},
		{accepted: 52, processes: 9, maxIdleConns: 2},
		{accepted: 120, processes: 59, maxIdleConns: 1},
		{accepted: 120, processes: 82, closeAfterAnswer: true},
		{accepted: 670, processes: 1, maxIdleConns: 335},
	} {
		now := time.Now()
		budget := quota.New(quota.Rule{}, now)
		budget.SetMemberCount(tc.processes, now)
		plans := &plan.Holder{}
		plans.Apply(&plan.Plan{Version: 1, Services: []plan.Service{{Name: "desk", MaxConnections: tc.accepted}}})
		j := &job{Executor: &Executor{Plans: plans, Budget: budget}, service: "desk"}
		var r upstream.Request
		j.limitIdleConns(&r)
		assert.Equal(t, r.MaxIdleConns, tc.maxIdleConns, "%+v", tc)
		assert.Equal(t, r.CloseAfterAnswer, tc.closeAfterAnswer, "%+v", tc)
	}
}
