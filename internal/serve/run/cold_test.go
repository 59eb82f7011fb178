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
	"github.com/vanillagate/vanillagate/internal/serve/ratelimit"
	"github.com/vanillagate/vanillagate/internal/serve/servetest"
)

// coldExecutors returns executors of several processes that share the given number of
// engines, the first of which are cold.
func coldExecutors(processes, engines, cold int) []*Executor {
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
			RateLimiter: ratelimit.New(network, func() int { return processes }, now.Add(-time.Minute)),
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

// promptWithAffinity finds a shared prompt whose affinity selects the given engine.
func promptWithAffinity(engine string, engines int) string {
	e := coldExecutors(1, engines, 0)[0]
	for i := 0; ; i++ {
		if prompt := fmt.Sprint("prompt-", i); e.engineFor(prompt).ID == engine {
			return prompt
		}
	}
}

// placeRequests has each process choose an engine the given number of times for the same
// shared prompt, and counts the requests of each engine.
func placeRequests(executors []*Executor, prompt string, each int) (byEngine map[string]int, refused int) {
	byEngine = map[string]int{}
	for range each {
		for _, e := range executors {
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

// The engine of a frequently used prompt restarts cold, and all processes send their
// requests to it.
func TestPopularPromptDoesNotOverloadColdEngine(t *testing.T) {
	got, refused := placeRequests(coldExecutors(85, 12, 4), promptWithAffinity("engine-0", 12), 3)
	assert.Equal(t, refused, 0)
	for i := range 12 {
		n := got[fmt.Sprintf("engine-%d", i)]
		assert.Assert(t, i >= 4 || n <= 26, "a cold engine got %d requests at once", n)
	}
}

// If all engines are cold, as many requests as their rate limit allows are served, and the
// others are refused at once.
func TestColdEnginesServeWithinRateLimit(t *testing.T) {
	got, refused := placeRequests(coldExecutors(85, 5, 5), "p", 4)
	served := 0
	for id, n := range got {
		assert.Assert(t, n <= 26, "%s got %d requests at once", id, n)
		served += n
	}
	assert.Assert(t, served >= 5*14/2, "only %d requests were served", served)
	assert.Equal(t, served+refused, 4*85)
}
