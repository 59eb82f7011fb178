package run

import (
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/gather"
	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
	"github.com/vanillagate/vanillagate/internal/serve/place"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
)

// graph is a request's stages on their way.
type graph struct {
	job    *job
	stages []plan.Stage
	// height is how many stages follow one another from this one to the end,
	// itself included; 0 for one that is left out.
	height  []int
	started []bool
	done    []*gather.StageResults
	freed   []bool
}

// handTime is what the messages to and from a gatherer are reckoned to take: the links'
// delay, and the pauses of small VMs.
const handTime = 16 * time.Millisecond

// turnTime is what a stage is reckoned to take besides a full call: the messages,
// and the wait for one of its targets to fall free, half of the time between two.
func turnTime(full time.Duration, targets int) time.Duration {
	return handTime + full/time.Duration(2*max(targets, 1))
}

func newGraph(j *job) *graph {
	n := len(j.route.Stages)
	g := &graph{
		job: j, stages: j.route.Stages, height: make([]int, n),
		started: make([]bool, n), done: make([]*gather.StageResults, n), freed: make([]bool, n),
	}
	for i := range g.stages {
		g.heightOf(i)
	}
	return g
}

// plans lists what the request will want of each stage.
func (g *graph) plans() []gather.ReservationRequest {
	var list []gather.ReservationRequest
	for i, s := range g.stages {
		if g.pieces(i) == 0 {
			continue
		}
		list = append(list, gather.ReservationRequest{
			Service: s.Service, Stage: i, Items: g.pieces(i), Due: g.due(i), Rank: plan.Rank(g.job.route, g.job.team),
			Zone: g.zoneOf(i),
		})
	}
	return list
}

// services lists those that the stages need.
func (g *graph) services() []string {
	var list []string
	for i, s := range g.stages {
		if g.pieces(i) > 0 {
			list = append(list, s.Service)
		}
	}
	return list
}

// alone tells whether a stage's results go to the engine and it has no inputs:
// then it is best made where the engine will be.
func (g *graph) alone(i int) bool {
	return len(g.stages[i].After) == 0 && len(g.followers(i)) == 0
}

// zoneOf is where a stage is made if its service is divided by zone.
func (g *graph) zoneOf(i int) string {
	if g.alone(i) {
		return g.engineZone()
	}
	return g.job.zone
}

// engineZone is where the request will probably run; empty for anywhere.
func (g *graph) engineZone() string {
	j := g.job
	if j.LeaveOut.Has(leaveout.Affinity) || j.req.Prompt.Affinity() == "" {
		return ""
	}
	views, _ := j.candidates(time.Now())
	return place.AffinityZone(views, j.req.Prompt)
}

// pieces is how many pieces a stage has.
func (g *graph) pieces(i int) int {
	if i >= len(g.job.req.Pieces) {
		return 0
	}
	return g.job.req.Pieces[i]
}

func (g *graph) heightOf(i int) int {
	if g.pieces(i) == 0 || g.height[i] > 0 {
		return g.height[i]
	}
	highest := 0
	for _, next := range g.followers(i) {
		highest = max(highest, g.heightOf(next))
	}
	g.height[i] = highest + 1
	return g.height[i]
}

// followers are the stages that need a stage's results.
func (g *graph) followers(i int) []int {
	var list []int
	for k, s := range g.stages {
		for _, a := range s.After {
			if a == i && g.pieces(k) > 0 {
				list = append(list, k)
			}
		}
	}
	return list
}

// ready lists the stages to start now. A stage whose result would only wait
// for others is started when those are as far: results take space in small
// buffers, and a large one made a second early keeps others out.
func (g *graph) ready() []int {
	highest := 0
	for i := range g.stages {
		if g.done[i] == nil {
			highest = max(highest, g.height[i])
		}
	}
	var list []int
	for i := range g.stages {
		if g.pieces(i) == 0 || g.started[i] || g.height[i] < highest {
			continue
		}
		if g.inputsDone(i) {
			list = append(list, i)
		}
	}
	return list
}

func (g *graph) inputsDone(i int) bool {
	for _, a := range g.stages[i].After {
		if g.pieces(a) > 0 && g.done[a] == nil {
			return false
		}
	}
	return true
}

func (g *graph) work(i int) gather.StageWork {
	j := g.job
	s := g.stages[i]
	var from []string
	for _, a := range s.After {
		if g.done[a] != nil {
			from = append(from, handles(g.done[a])...)
		}
	}
	zone, cross := g.bestZone(i)
	items := make([]gather.Item, 0, g.pieces(i))
	for piece := range g.pieces(i) {
		item := gather.Item{
			Key:  gather.Key{Request: j.req.ID, Stage: i, Piece: piece},
			Rank: plan.Rank(j.route, j.team), Bytes: s.ResultBytes, Inputs: from,
			Zone: zone, CrossZoneBytes: cross,
		}
		if len(s.After) == 0 {
			item.Source = j.req.PieceKey
		}
		item.InputAllocator, item.LastReader = g.lastUse(i)
		items = append(items, item)
	}
	return gather.StageWork{Service: s.Service, Items: items, Due: g.due(i), Expires: j.deadline, Zone: g.zoneOf(i)}
}

// bestZone is where a stage is best made, and about how many bytes an item saves
// there: where most of its inputs lie, or, for one that only the engine reads,
// where that will be.
func (g *graph) bestZone(i int) (string, int) {
	bytes := map[string]int{}
	for _, a := range g.stages[i].After {
		if g.done[a] == nil {
			continue
		}
		for _, r := range g.done[a].Results {
			bytes[r.Zone] += g.stages[a].ResultBytes
		}
	}
	if g.alone(i) {
		bytes[g.engineZone()] = g.stages[i].ResultBytes
	}
	best, most := "", 0
	for zone, n := range bytes {
		if n > most {
			best, most = zone, n
		}
	}
	return best, most
}

// lastUse tells whether a stage's inputs have all the same allocator and are of no use to
// any other stage; then they are given back as soon as they have been read.
func (g *graph) lastUse(i int) (gather.Allocator, bool) {
	var allocator gather.Allocator
	for _, a := range g.stages[i].After {
		if g.done[a] == nil {
			continue
		}
		if len(g.followers(a)) > 1 {
			return gather.Allocator{}, false
		}
		for _, r := range g.done[a].Results {
			other := r.Allocator(g.done[a].Shard)
			if allocator != (gather.Allocator{}) && allocator != other {
				return gather.Allocator{}, false
			}
			allocator = other
		}
	}
	return allocator, allocator != (gather.Allocator{})
}

// due is when a stage must be done for the answer to be in time. A caller that comes
// back may have less time left than the objective.
func (g *graph) due(i int) time.Time {
	first := g.job.firstEvent()
	due := g.job.req.Arrived.Add(g.job.route.Objective)
	if g.job.deadline.Before(due) {
		due = g.job.deadline
	}
	due = due.Add(-first)
	for followers := g.followers(i); len(followers) > 0; followers = g.followers(i) {
		next := followers[0]
		due = due.Add(-g.callTime(next))
		i = next
	}
	return due
}

func (g *graph) callTime(i int) time.Duration {
	service := g.job.Plans.Service(g.stages[i].Service)
	if service == nil || service.Batch == nil {
		return 0
	}
	full := service.Batch.MaxCallTime()
	return full + turnTime(full, g.job.Stages.MeanShardTargets(service.Name))
}

// freeUsed gives back the results that all their followers have read. Those
// with one follower are given back by who gathers for it.
func (g *graph) freeUsed() {
	for i := range g.stages {
		followers := g.followers(i)
		if g.done[i] == nil || g.freed[i] || len(followers) == 0 {
			continue
		}
		read, given := true, false
		for _, next := range followers {
			read = read && g.done[next] != nil
			_, last := g.lastUse(next)
			given = given || last
		}
		if read && given {
			g.freed[i] = true
		}
		if read {
			g.free(i)
		}
	}
}

func (g *graph) free(i int) {
	if g.freed[i] || g.done[i] == nil {
		return
	}
	g.freed[i] = true
	g.job.Stages.Free(g.done[i].Shard, g.done[i].Results)
}

func (g *graph) freeAll() {
	for i := range g.stages {
		g.free(i)
	}
}
