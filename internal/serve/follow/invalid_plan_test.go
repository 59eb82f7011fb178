package follow

import (
	"encoding/json"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// An operator writes stages that wait for each other or for a stage that doesn't exist, or
// a peer of another version omits fields that this one requires. Without the check the
// first request that uses them would crash the process, and callers would retry at the next
// process until none was left. The configuration in effect must stay.
func TestInvalidPlanIsRejected(t *testing.T) {
	for name, bad := range map[string]string{
		"stages wait for each other":     `{"Version":2,"Routes":[{"Stages":[{"After":[1]},{"After":[0]}]}]}`,
		"a stage waits for itself":       `{"Version":2,"Routes":[{"Stages":[{"After":[0]}]}]}`,
		"stage doesn't exist":            `{"Version":2,"Routes":[{"Stages":[{},{"After":[2]}]}]}`,
		"negative stage index":           `{"Version":2,"Routes":[{"Stages":[{},{"After":[-1]}]}]}`,
		"batch without room for an item": `{"Version":2,"Services":[{"Name":"s","Batch":{"Queue":3}}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			plans := &plan.Holder{}
			f := New(zap.NewNop(), newFakeStore(), plans, pool.New(zap.NewNop()))
			f.applyPlan(&plan.Plan{Version: 1}, "store", 0)
			var u updates
			assert.NilError(t, json.Unmarshal([]byte(`{"plan":`+bad+`}`), &u))
			f.applyUpdates(u)
			assert.Equal(t, plans.Version(), uint64(1))
			assert.Equal(t, f.RejectedPlans(), int64(1))
		})
	}
	plans := &plan.Holder{}
	f := New(zap.NewNop(), newFakeStore(), plans, pool.New(zap.NewNop()))
	f.applyPlan(&plan.Plan{Version: 1, Routes: []plan.Route{{Stages: []plan.Stage{
		{After: []int{1, 2}}, {After: []int{2}}, {},
	}}}}, "store", 0)
	assert.Equal(t, plans.Version(), uint64(1), "a valid order of stages")
}
