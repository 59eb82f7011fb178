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

// These loads include shapes that no existing deployment has: every estimate has to follow
// from the configuration and from measurements at run time, not from the deployments on
// which it was tuned.

// batch describes a pool whose targets run a call of up to size items in the time call plus
// item for each of them.
func batch(name string, size int, call, item time.Duration, bufferMB float64) plan.Service {
	return plan.Service{Name: name, Batch: &plan.Batch{
		Size: size, CallTime: call, ItemTime: item, BufferBytes: int(bufferMB * 1e6), Keep: 4 * time.Second, Queue: 2,
	}}
}

// chain is three consecutive stages with small results.
func chain(first, second, third string) []plan.Stage {
	return []plan.Stage{
		{Service: first, ResultBytes: 8000},
		{Service: second, After: []int{0}, ResultBytes: 60000},
		{Service: third, After: []int{1}, ResultBytes: 6000},
	}
}

func fixed(pieces ...int) func(*rand.Rand) []int {
	return func(*rand.Rand) []int { return pieces }
}

// registration is the load of a deployment with short calls, large batches, and large
// results for its most important kind of request.
func registration() site {
	large := []plan.Stage{{Service: "payments", ResultBytes: 3_000_000}}
	return site{
		vms: 8, perZone: []int{2, 1, 1, 1}, perService: map[string][]int{"results": {2, 2, 1, 1}},
		services: []plan.Service{
			batch("payments", 14, 150*time.Millisecond, 9200*time.Microsecond, 78),
			batch("places", 58, 150*time.Millisecond, 2200*time.Microsecond, 10),
			batch("results", 96, 150*time.Millisecond, 1300*time.Microsecond, 1.7),
		},
		kinds: []requestKind{
			{name: "bulk", perSecond: 40.9, route: streamRoute("bulk", 0, 690, large), pieces: func(r *rand.Rand) []int {
				if r.Float64() > 0.7 {
					return []int{0}
				}
				return []int{1 + r.IntN(4)}
			}},
			{name: "summary", perSecond: 51.3, route: streamRoute("summary", 1, 1600, chain("payments", "places", "results")), pieces: func(r *rand.Rand) []int {
				return []int{1, 8, 8 + r.IntN(17)}
			}},
			{name: "chat", perSecond: 15.3, route: streamRoute("chat", 2, 1700, chain("payments", "places", "results")), pieces: func(r *rand.Rand) []int {
				return []int{1, 8, 8 + r.IntN(17)}
			}},
		},
	}
}

// uniform is a chain over three pools with the same call length, with objectives that are a
// multiple of it.
func uniform(call time.Duration, size int, perSecond float64) site {
	item := call / time.Duration(2*size)
	s := site{
		vms: 8, perZone: []int{2, 2, 1},
		services: []plan.Service{batch("a", size, call, item, 50), batch("b", size, call, item, 50), batch("c", size, call, item, 50)},
	}
	objective := int((9*call + 2*engineTime).Milliseconds())
	for i, name := range []string{"first", "second"} {
		s.kinds = append(s.kinds, requestKind{
			name: name, perSecond: perSecond / 2, route: streamRoute(name, i, objective, chain("a", "b", "c")), pieces: fixed(1, 1, 1),
		})
	}
	return s
}

// shapes are loads of different deployments, each with the minimum share of each kind's
// requests that must be in time and a mechanism without which fewer are.
func shapes() map[string]shape {
	grown := registration()
	grown.vms, grown.perZone, grown.perService = 80, []int{4, 4, 4, 4}, nil
	grown.length = 3 * time.Second
	for i := range grown.kinds {
		grown.kinds[i].perSecond *= 2.9
	}
	sixZones := uniform(200*time.Millisecond, 20, 60)
	sixZones.perZone = []int{1, 1, 1, 1, 1, 1}
	twoZones := uniform(200*time.Millisecond, 20, 40)
	twoZones.perZone, twoZones.vms = []int{2, 1}, 3
	twoTargets := uniform(150*time.Millisecond, 20, 40)
	twoTargets.perZone = []int{1, 1}
	rare := registration()
	rare.kinds[2].perSecond = 1
	burst := registration()
	burst.kinds[1].burst, burst.length = 2.5, 16*time.Second
	long := uniform(600*time.Millisecond, 20, 80)
	long.kinds[1].burst, long.length = 3.5, 16*time.Second
	return map[string]shape{
		"short calls and large results": {site: registration(), minShare: 0.95, without: leaveout.Sharing},
		"the same three times as large": {site: grown, minShare: 0.95, without: leaveout.Sharing},
		"calls of 50 ms":                {site: uniform(50*time.Millisecond, 20, 200), minShare: 0.95, without: leaveout.Sharing},
		"calls of 600 ms":               {site: uniform(600*time.Millisecond, 20, 20), minShare: 0.95, without: leaveout.Sharing},
		"batches of 2":                  {site: uniform(200*time.Millisecond, 2, 24), minShare: 0.95, without: leaveout.Sharing},
		"batches of 200":                {site: uniform(200*time.Millisecond, 200, 200), minShare: 0.95, without: leaveout.Sharing},
		"six zones of one target each":  {site: sixZones, minShare: 0.95, without: leaveout.Sharing},
		"two zones and three VMs":       {site: twoZones, minShare: 0.95, without: leaveout.Sharing},
		"pools of two targets":          {site: twoTargets, minShare: 0.95, without: leaveout.Sharing},
		"a burst of short calls":        {site: burst, minShare: 0.6, without: leaveout.Reservations},
		"a burst of calls of 600 ms":    {site: long, minShare: 0.5, without: leaveout.Reservations},
		"a kind that is 1% of all":      {site: rare, minShare: 0.9, without: leaveout.Sharing},
	}
}

type shape struct {
	site     site
	minShare float64
	// without is the mechanism that is disabled in the baseline.
	without leaveout.Mechanism
}

// ordinaryTime is the simulated duration of a load without a burst.
const ordinaryTime = 5 * time.Second

// The calls, batches, zones or pools of a new deployment differ from those of earlier ones.
// If any estimate were tuned to the earlier ones, callers would be refused or wait under an
// ordinary load, while the pools are half idle.
func TestLoadsOfAllShapesAreServedInTime(t *testing.T) {
	for name, s := range shapes() {
		t.Run(name, func(t *testing.T) {
			if s.site.length == 0 && s.without != leaveout.Reservations {
				s.site.length = ordinaryTime
			}
			with, without := map[string]tally{}, map[string]tally{}
			synctest.Test(t, func(t *testing.T) {
				p := simulate(21, s.site, policy{})
				reportKinds(t, "all mechanisms", p)
				addTallies(with, p)
				assert.Equal(t, p.held, 0, "results were not freed")
			})
			synctest.Test(t, func(t *testing.T) {
				p := simulate(21, s.site, disabling(s.without))
				reportKinds(t, "without "+string(s.without), p)
				addTallies(without, p)
			})
			for kind, sum := range with {
				assert.Check(t, sum.share() > s.minShare, "%s: %+v", kind, sum)
			}
			assert.Check(t, inTimeOf(with) > inTimeOf(without), "%s has no effect: %+v %+v", s.without, with, without)
		})
	}
}

func reportKinds(t *testing.T, name string, p simulated) {
	t.Helper()
	for kind, sum := range p.kinds {
		t.Logf("%s: %s asked %d, in time %.3f, late %d, refused %d", name, kind, sum.asked, sum.share(), sum.late, sum.refused)
	}
}

// inTimeOf returns how many answers of all kinds were in time.
func inTimeOf(sums map[string]tally) int {
	total := 0
	for _, sum := range sums {
		total += sum.inTime
	}
	return total
}
