package run

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
	"github.com/vanillagate/vanillagate/internal/serve/place"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/warmup"
)

// choose picks the target of the next attempt; nil where there is none. One that is
// cold is picked only in this process's turn, which is used up by it.
func (j *job) choose() *pool.Target {
	now := time.Now()
	service := j.Plans.Service(j.service)
	rule := warmupRule(service)
	views := j.views(rule, now)
	claims := j.Engines != nil && service != nil && service.Engine != nil
	j.claims.made = 0
	for {
		target := j.pick(service, views)
		if target == nil {
			return nil
		}
		if claims && !j.claim(views, target) {
			continue
		}
		if j.admitted(views, target, rule, now) {
			return target
		}
		views = slices.DeleteFunc(views, func(v pool.View) bool { return v.ID == target.ID })
	}
}

// views lists the targets that may get the request now.
func (j *job) views(rule warmup.Rule, now time.Time) []pool.View {
	views := j.Table.Views(j.service, now)
	if j.Warmup == nil || rule.PerSecond <= 0 {
		return views
	}
	kept := views[:0]
	for _, v := range views {
		v.Cold = rule.IsCold(v, now)
		if !v.Cold || j.Warmup.Open(v.ID, rule, now) {
			kept = append(kept, v)
		}
	}
	return kept
}

func warmupRule(service *plan.Service) warmup.Rule {
	if service == nil {
		return warmup.Rule{}
	}
	return warmup.Rule{PerSecond: service.ColdPerSecond, Time: service.ColdTime}
}

// admitted tells whether a target takes the request: it is warm, or its turn could be
// used.
func (j *job) admitted(views []pool.View, target *pool.Target, rule warmup.Rule, now time.Time) bool {
	cold := slices.ContainsFunc(views, func(v pool.View) bool { return v.Target == target && v.Cold })
	return !cold || j.Warmup.Take(target.ID, rule, now)
}

func (j *job) pick(service *plan.Service, views []pool.View) *pool.Target {
	wish := place.Wish{Prompt: j.req.Prompt, Zone: j.Zone, Avoid: j.tried, NoAffinity: j.LeaveOut.Has(leaveout.Affinity)}
	if j.inputs != nil {
		wish.Bytes = j.inputs.bytes
	}
	if service != nil && service.Engine != nil {
		return place.Engine(views, wish)
	}
	return place.Plain(views, wish, rand.Float64())
}
