package run

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
)

// urgentAndPatient is a load on one pool. One request in eight has little time left for its
// stage, since reading its long prompt takes an engine most of the objective.
func urgentAndPatient() site {
	stage := []plan.Stage{{Service: "records", ResultBytes: 80000}}
	one := func(*rand.Rand) []int { return []int{1} }
	several := func(r *rand.Rand) []int { return []int{1 + r.IntN(4)} }
	return site{
		vms: 12, perZone: []int{7}, length: 20 * time.Second,
		services: []plan.Service{batchService("records", 18, 11, 22)},
		kinds: []requestKind{
			{name: "long", perSecond: 6, route: streamRoute("long", 0, 1200, stage), engine: 840 * time.Millisecond, prompt: 40_000, pieces: one},
			{name: "patient", perSecond: 42, route: streamRoute("patient", 1, 3000, stage), pieces: several},
		},
	}
}

// Requests with long prompts share large calls with requests that have time to spare, or
// wait for a target that these occupy, and are late.
func TestUrgentItemsAreNotDelayedByPatientOnes(t *testing.T) {
	with, without := map[string]tally{}, map[string]tally{}
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) { addTallies(with, simulate(seed, urgentAndPatient(), policy{})) })
		synctest.Test(t, func(t *testing.T) {
			addTallies(without, simulate(seed, urgentAndPatient(), disabling(leaveout.ShortCalls, leaveout.SpareTarget)))
		})
	}
	t.Logf("with %+v, without %+v", with, without)
	assert.Assert(t, with["patient"].share() > 0.97, "%+v", with)
	assert.Assert(t, with["long"].share() > without["long"].share()+0.1, "%+v %+v", with, without)
}
