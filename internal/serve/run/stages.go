package run

import (
	"context"
	"errors"
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/gather"
	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
)

// inputs are the results of a request's stages that are sent to the target.
type inputs struct {
	// handles identify the results of all pieces of the stages that no other stage follows,
	// in order.
	handles []string
	// bytes is the size of these results by zone.
	bytes map[string]int
	free  func()
}

// stageTime is how long one stage of a request took, including its wait.
type stageTime struct {
	service string
	took    time.Duration
}

// release frees the results; further calls do nothing.
func (in *inputs) release() {
	if in.free != nil {
		in.free()
		in.free = nil
	}
}

// runStages reserves capacity for all stages and runs them. If a stage loses an input, all
// of them are run once more.
func (j *job) runStages() (*inputs, error) {
	reserved, err := j.reserveStages()
	if err != nil {
		return nil, err
	}
	results, err := j.runStagesOnce()
	var refused *gather.RefusedError
	if errors.As(err, &refused) && refused.Reason == gather.InputGone {
		j.restartErr = err
		results, err = j.runStagesOnce()
	}
	if err != nil {
		j.Stages.CancelReservations(j.req.ID, reserved)
	}
	return results, err
}

// maxZonesAsked is in how many zones capacity for the stages is requested before the
// request is refused: the less busy of two hashed choices is nearly the least busy of all.
const maxZonesAsked = 2

// reserveStages asks whether the stages can be finished in time, and determines their zone.
func (j *job) reserveStages() ([]gather.Reservation, error) {
	g := newStageGraph(j)
	j.placeShards = nil
	reserved, err := j.reserveByID(g)
	if err != nil {
		return j.reserveReturning(g, err)
	}
	return reserved, nil
}

// reserveReturning claims or requests places at the shards that all attempts of the caller use,
// if the shards that this attempt uses have refused the request. refused is their error, which
// stands if there are no places. Undivided services have one shard, which has been asked already.
func (j *job) reserveReturning(g *stageGraph, refused error) ([]gather.Reservation, error) {
	var late *gather.RefusedError
	caller := j.callerIdentity()
	if caller == "" || j.LeaveOut.Has(leaveout.ReturnPlaces) || !errors.As(refused, &late) || late.Reason != gather.Late ||
		!j.Stages.Divided(g.services()) {
		return nil, refused
	}
	if zones := j.Stages.Zones(g.services(), caller); len(zones) > 0 {
		j.zone = zones[0]
	}
	wants := g.wants()
	reserved, err := j.Stages.ReserveReturning(j.ctx, j.req.ID, wants)
	if err != nil {
		if errors.As(err, &late) && late.Place > 0 {
			return nil, err
		}
		return nil, refused
	}
	j.placeShards = map[int]gather.Shard{}
	for i, want := range wants {
		j.placeShards[want.Stage] = reserved[i].Shard
	}
	return reserved, nil
}

// callerIdentity returns the request's identity for places; empty if it gets none. A request that may
// have run isn't told to come back.
func (j *job) callerIdentity() string {
	if j.runs > 0 {
		return ""
	}
	return gather.CallerIdentity(j.teamName(), j.req.PieceKey)
}

// teamName returns the name of the caller's team; empty on public routes.
func (j *job) teamName() string {
	if j.team == nil {
		return ""
	}
	return j.team.Name
}

// reserveByID reserves capacity at the shards that are chosen by the request's ID.
//
// It states no identity, so these shards grant no places. In a divided service another attempt asks
// other shards and wouldn't find them again; see reserveReturning. In an undivided one they served
// callers worse (docs/design/return-places.md).
func (j *job) reserveByID(g *stageGraph) ([]gather.Reservation, error) {
	wants := func() []gather.ReservationRequest {
		list := g.wants()
		for i := range list {
			list[i].Caller = ""
		}
		return list
	}
	zones := j.Stages.Zones(g.services(), j.req.ID)
	if len(zones) == 0 {
		return j.Stages.ReserveStages(j.ctx, j.req.ID, wants())
	}
	var refused error
	for _, zone := range zones[:min(len(zones), maxZonesAsked)] {
		j.zone = zone
		reserved, err := j.Stages.ReserveStages(j.ctx, j.req.ID, wants())
		if err == nil {
			return reserved, nil
		}
		refused = err
	}
	return nil, refused
}

func (j *job) runStagesOnce() (*inputs, error) {
	g := newStageGraph(j)
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
		if failure == nil && !g.hasUnstarted() {
			j.startLookup() // answered before the last stages are done, so that the choice doesn't wait
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
		if o.took > j.slowestStage.took {
			j.slowestStage = stageTime{service: g.stages[o.stage].Service, took: o.took}
		}
		g.done[o.stage] = o.done
		g.freeConsumed()
	}
	if failure != nil {
		g.freeAll()
		return nil, failure
	}
	return g.inputs(), nil
}

func (g *stageGraph) inputs() *inputs {
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
