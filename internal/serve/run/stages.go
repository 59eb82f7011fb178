package run

import (
	"context"
	"errors"
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/gather"
)

// inputs are the results of a request's stages.
type inputs struct {
	// handles of all pieces of the stages that no other stage follows, in order.
	handles []string
	// bytes of these by zone.
	bytes map[string]int
	free  func()
}

// stageTime is how long one stage of a request took, its wait included.
type stageTime struct {
	service string
	took    time.Duration
}

// release gives back their space; calling it again does nothing.
func (in *inputs) release() {
	if in.free != nil {
		in.free()
		in.free = nil
	}
}

// makeInputs has all stages done. Stages that lose an input start over once.
func (j *job) makeInputs() (*inputs, error) {
	asked, err := j.askStages()
	if err != nil {
		return nil, err
	}
	made, err := j.tryStages()
	var refused *gather.RefusedError
	if errors.As(err, &refused) && refused.Reason == gather.InputGone {
		j.restarted = err
		made, err = j.tryStages()
	}
	if err != nil {
		j.Stages.CancelReservations(j.req.ID, asked)
	}
	return made, err
}

// zonesAsked is in how many zones a request's stages are asked for before it is
// refused: the least busy of two hashed choices is nearly the least busy of all.
const zonesAsked = 2

// askStages asks whether the stages can be done in time, and settles where.
func (j *job) askStages() ([]gather.Shard, error) {
	g := newGraph(j)
	zones := j.Stages.Zones(g.services(), j.req.ID)
	if len(zones) == 0 {
		return j.Stages.ReserveStages(j.ctx, j.req.ID, g.plans())
	}
	var refused error
	for _, zone := range zones[:min(len(zones), zonesAsked)] {
		j.zone = zone
		asked, err := j.Stages.ReserveStages(j.ctx, j.req.ID, g.plans())
		if err == nil {
			return asked, nil
		}
		refused = err
	}
	return nil, refused
}

func (j *job) tryStages() (*inputs, error) {
	g := newGraph(j)
	ctx, cancel := context.WithCancel(j.ctx)
	defer cancel()
	type outcome struct {
		stage int
		done  *gather.StageResults
		err   error
		took  time.Duration
	}
	outcomes := make(chan outcome, len(g.stages))
	running := 0
	var failure error
	for {
		if failure == nil {
			for _, i := range g.ready() {
				g.started[i] = true
				running++
				work := g.work(i)
				go func() {
					begun := time.Now()
					done, err := j.Stages.RunStage(ctx, work)
					outcomes <- outcome{stage: i, done: done, err: err, took: time.Since(begun)}
				}()
			}
		}
		if running == 0 {
			break
		}
		o := <-outcomes
		running--
		if o.err != nil {
			if failure == nil {
				failure = o.err
			}
			cancel()
			continue
		}
		if o.took > j.slowest.took {
			j.slowest = stageTime{service: g.stages[o.stage].Service, took: o.took}
		}
		g.done[o.stage] = o.done
		g.freeUsed()
	}
	if failure != nil {
		g.freeAll()
		return nil, failure
	}
	return g.inputs(), nil
}

func (g *graph) inputs() *inputs {
	in := &inputs{bytes: map[string]int{}, free: g.freeAll}
	for i, s := range g.stages {
		if g.done[i] == nil || len(g.followers(i)) > 0 {
			continue
		}
		in.handles = append(in.handles, handles(g.done[i])...)
		for _, r := range g.done[i].Results {
			in.bytes[r.Zone] += s.ResultBytes
		}
	}
	return in
}

func handles(done *gather.StageResults) []string {
	list := make([]string, 0, len(done.Results))
	for _, r := range done.Results {
		list = append(list, r.Handle)
	}
	return list
}
