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

// urgentAmongPatient is a load on one pool of which one kind in eight has little time
// left for its stage, since its long prompts take an engine most of the objective.
func urgentAmongPatient() site {
	stage := []plan.Stage{{Service: "records", ResultBytes: 80000}}
	one := func(*rand.Rand) []int { return []int{1} }
	several := func(r *rand.Rand) []int { return []int{1 + r.IntN(4)} }
	return site{
		vms: 12, perZone: []int{7}, length: 20 * time.Second,
		services: []plan.Service{batchService("records", 18, 11, 22)},
		kinds: []kind{
			{name: "long", perSecond: 6, route: streamRoute("long", 0, 1200, stage), engine: 840 * time.Millisecond, prompt: 40_000, pieces: one},
			{name: "patient", perSecond: 42, route: streamRoute("patient", 1, 3000, stage), pieces: several},
		},
	}
}

// Requests with long prompts share large calls with others that have time to spare, or
// wait for a target that those occupy, and come late.
func TestUrgentItemsAreNotHeldUpByPatientOnes(t *testing.T) {
	present, without := map[string]tally{}, map[string]tally{}
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) { add(present, play(seed, urgentAmongPatient(), policy{})) })
		synctest.Test(t, func(t *testing.T) {
			add(without, play(seed, urgentAmongPatient(), leaving(leaveout.ShortCalls, leaveout.SpareTarget)))
		})
	}
	t.Logf("present %+v, without %+v", present, without)
	assert.Assert(t, present["patient"].share() > 0.97, "%+v", present)
	assert.Assert(t, present["long"].share() > without["long"].share()+0.1, "%+v %+v", present, without)
}
