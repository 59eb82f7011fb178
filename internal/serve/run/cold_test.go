package run

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/place"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/quota"
	"github.com/vanillagate/vanillagate/internal/serve/servetest"
	"github.com/vanillagate/vanillagate/internal/serve/warmup"
)

// coldFleet is processes before engines, the first of which are cold.
func coldFleet(processes, engines, cold int) []*Executor {
	cluster := &servetest.Cluster{}
	now := time.Now()
	var entries []pool.Entry
	for i := range engines {
		e := pool.Entry{
			ID: fmt.Sprintf("engine-%d", i), Service: "engines", Address: fmt.Sprintf("10.0.0.%d:1", i), Zone: "a",
			Slots: 32, State: pool.Ready, Revision: 1,
		}
		if i < cold {
			e.ColdLeft = time.Minute
		}
		entries = append(entries, e)
	}
	var list []*Executor
	for i := range processes {
		table := pool.New(zap.NewNop())
		table.Reset(entries, 1, now)
		plans := &plan.Holder{}
		plans.Apply(&plan.Plan{Version: 1, Services: []plan.Service{{
			Name: "engines", Engine: &plan.Engine{Slots: 32}, ColdPerSecond: 14, ColdTime: 3 * time.Second,
		}}})
		network := cluster.Add(fmt.Sprintf("vm-%d", i), "a")
		list = append(list, &Executor{
			Plans: plans, Table: table, Budget: quota.New(quota.Rule{}, now),
			Warmup: warmup.New(network, func() int { return processes }, now.Add(-time.Minute)),
		})
	}
	return list
}

func (e *Executor) engineFor(prompt string) *pool.Target {
	j := &job{Executor: e, ctx: context.Background(), service: "engines", tried: map[string]bool{}, req: &Request{
		Prompt: place.Prompt{Input: 6000, Parts: []place.Part{{ID: prompt, Tokens: 5000}, {ID: "own", Tokens: 1000}}},
	}}
	return j.choose()
}

// affineTo finds a shared prompt that has a certain affine engine.
func affineTo(engine string, engines int) string {
	e := coldFleet(1, engines, 0)[0]
	for i := 0; ; i++ {
		if prompt := fmt.Sprint("prompt-", i); e.engineFor(prompt).ID == engine {
			return prompt
		}
	}
}

// placed asks each process for an engine as often as told, for one shared prompt, and
// counts what each engine got.
func placed(fleet []*Executor, prompt string, each int) (byEngine map[string]int, refused int) {
	byEngine = map[string]int{}
	for range each {
		for _, e := range fleet {
			target := e.engineFor(prompt)
			if target == nil {
				refused++
				continue
			}
			e.Table.Begin(target, 6000, time.Now())
			byEngine[target.ID]++
		}
	}
	return byEngine, refused
}

// A much asked prompt's engine comes back cold, and all processes send it there.
func TestAHotPromptSparesItsColdEngine(t *testing.T) {
	got, refused := placed(coldFleet(85, 12, 4), affineTo("engine-0", 12), 3)
	assert.Equal(t, refused, 0)
	for i := range 12 {
		n := got[fmt.Sprintf("engine-%d", i)]
		assert.Assert(t, i >= 4 || n <= 26, "a cold engine got %d within a moment", n)
	}
}

// All engines are cold: as many requests as they bear are served, and the rest learn at
// once that there is no engine for them.
func TestOnlyColdEnginesTakeWhatTheyBear(t *testing.T) {
	got, refused := placed(coldFleet(85, 5, 5), "p", 4)
	served := 0
	for id, n := range got {
		assert.Assert(t, n <= 26, "%s got %d within a moment", id, n)
		served += n
	}
	assert.Assert(t, served >= 5*14/2, "%d served", served)
	assert.Equal(t, served+refused, 4*85)
}
