package follow

import (
	"encoding/json"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// An operator writes stages that wait for each other or for one that isn't there,
// or a peer of another version leaves out what this one reckons with. The first
// request that needs them would end the process, and callers would send it on to
// the next one, until none was left. What was in force stays.
func TestAPlanThatCannotBeReckonedWithIsNotPutInForce(t *testing.T) {
	for name, bad := range map[string]string{
		"stages wait for each other": `{"Version":2,"Routes":[{"Stages":[{"After":[1]},{"After":[0]}]}]}`,
		"a stage waits for itself":   `{"Version":2,"Routes":[{"Stages":[{"After":[0]}]}]}`,
		"no such stage":              `{"Version":2,"Routes":[{"Stages":[{},{"After":[2]}]}]}`,
		"less than the first stage":  `{"Version":2,"Routes":[{"Stages":[{},{"After":[-1]}]}]}`,
		"no item fits into a call":   `{"Version":2,"Services":[{"Name":"s","Batch":{"Queue":3}}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			plans := &plan.Holder{}
			f := New(zap.NewNop(), newFakeStore(), plans, pool.New(zap.NewNop()))
			f.apply(&plan.Plan{Version: 1}, "store")
			var n news
			assert.NilError(t, json.Unmarshal([]byte(`{"plan":`+bad+`}`), &n))
			f.take(n)
			assert.Equal(t, plans.Version(), uint64(1))
		})
	}
	plans := &plan.Holder{}
	f := New(zap.NewNop(), newFakeStore(), plans, pool.New(zap.NewNop()))
	f.apply(&plan.Plan{Version: 1, Routes: []plan.Route{{Stages: []plan.Stage{
		{After: []int{1, 2}}, {After: []int{2}}, {},
	}}}}, "store")
	assert.Equal(t, plans.Version(), uint64(1), "an order of stages that can be done")
}
