package serve

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/quota"
	"github.com/vanillagate/vanillagate/internal/serve/servetest"
)

// Guards against a process that restarts in a small part of a split system and takes too much of the reserve.
func TestRestartedProcessLearnsOfProcessesOutOfSight(t *testing.T) {
	rule := quota.Rule{Reserve: 58, Window: 10 * time.Second}
	cluster := &servetest.Cluster{}
	now := time.Now()
	var exchanges []*countExchange
	for i := range 3 {
		budget := quota.New(rule, now.Add(-time.Minute))
		budget.SetMemberCount(8, now.Add(-time.Minute))
		if i == 0 {
			budget = quota.NewAfterRestart(rule, now.Add(-time.Minute))
		}
		budget.SetMemberCount(3, now)
		exchanges = append(exchanges, newCountExchange(zap.NewNop(), cluster.Add(fmt.Sprint("vm-", i), "z"), budget))
	}
	assert.Assert(t, exchanges[0].ask(context.Background()))
	n, age := exchanges[0].budget.ProcessCount(now)
	assert.Equal(t, n, 8)
	assert.Assert(t, age > 59*time.Second, "%v", age)
}
