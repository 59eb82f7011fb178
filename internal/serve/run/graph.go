package run

import (
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/gather"
	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
	"github.com/vanillagate/vanillagate/internal/serve/place"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
)

// stageGraph is the dependency graph of a request's stages and their progress.
type stageGraph struct {
	job    *job
	stages []plan.Stage
	// height is the number of stages on the longest path from this one to the end, itself
	// included; 0 if the stage is skipped.
	height  []int
	started []bool
	done    []*gather.StageResults
	freed   []bool
}

// messageTime is the estimated time for the messages to and from a gatherer: the latency of
// the network and the scheduling pauses of small VMs.
const messageTime = 16 * time.Millisecond

// stageOverhead is the estimated time a stage takes in addition to a full call: the
// messages, and the wait for one of its targets to become free, on average half of the
// interval at which they do.
func stageOverhead(full time.Duration, targets int) time.Duration {
	return messageTime + full/time.Duration(2*max(targets, 1))
}

func newStageGraph(j *job) *stageGraph {
	n := len(j.route.Stages)
	g := &stageGraph{
		job: j, stages: j.route.Stages, height: make([]int, n),
		started: make([]bool, n), done: make([]*gather.StageResults, n), freed: make([]bool, n),
	}
	for i := range g.stages {
		g.computeHeight(i)
	}
	return g
}

// wants returns what the request needs of each stage.
func (g *stageGraph) wants() []gather.ReservationRequest {
	var list []gather.ReservationRequest
	j := g.job
	team := j.teamName()
	caller := j.callerIdentity()
	for i, s := range g.stages {
		if g.pieces(i) == 0 {
			continue
		}
		due := g.due(i)
		list = append(list, gather.ReservationRequest{
			Service: s.Service, Stage: i, Items: g.pieces(i), Due: due, Rank: plan.EffectivePriority(j.route, j.team),
			Zone: g.zoneOf(i), Team: team, PieceKey: j.req.PieceKey, Caller: caller, Latest: due.Add(j.deadline.Sub(j.dueTime())), Deadline: j.deadline,
		})
	}
	return list
}

// services returns the names of the services that the stages use.
func (g *stageGraph) services() []string {
	var list []string
	for i, s := range g.stages {
		if g.pieces(i) > 0 {
			list = append(list, s.Service)
		}
	}
	return list
}

// isSingle reports whether a stage has no input stages and only the engine reads its
// results. Such a stage is best run in the zone of the engine.
func (g *stageGraph) isSingle(i int) bool {
	return len(g.stages[i].After) == 0 && len(g.followers(i)) == 0
}

// zoneOf returns the zone in which a stage runs if its service is divided by zone.
func (g *stageGraph) zoneOf(i int) string {
	if g.isSingle(i) {
		return g.engineZone()
	}
	return g.job.zone
}

// engineZone returns the zone in which the request will probably run; empty if any.
func (g *stageGraph) engineZone() string {
	j := g.job
	if j.LeaveOut.Has(leaveout.Affinity) || j.req.Prompt.AffinityKey() == "" {
		return ""
	}
	views, _ := j.candidates(time.Now())
	return place.AffinityZone(views, j.req.Prompt)
}

// hasUnstarted reports whether a stage that is needed hasn't been started.
func (g *stageGraph) hasUnstarted() bool {
	for i, started := range g.started {
		if !started && g.pieces(i) > 0 {
			return true
		}
	}
	return false
}

// pieces returns how many pieces a stage has.
func (g *stageGraph) pieces(i int) int {
	if i >= len(g.job.req.Pieces) {
		return 0
	}
	return g.job.req.Pieces[i]
}

func (g *stageGraph) computeHeight(i int) int {
	if g.pieces(i) == 0 || g.height[i] > 0 {
		return g.height[i]
	}
	highest := 0
	for _, next := range g.followers(i) {
		highest = max(highest, g.computeHeight(next))
	}
	g.height[i] = highest + 1
	return g.height[i]
}

// followers returns the stages that use a stage's results.
func (g *stageGraph) followers(i int) []int {
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

// ready returns the stages to start now. A stage is delayed while another unfinished one
// has a longer path to the end, since its results would only wait: they take up space in
// small buffers, and a large result made a second early blocks other requests.
func (g *stageGraph) ready() []int {
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

func (g *stageGraph) inputsDone(i int) bool {
	for _, a := range g.stages[i].After {
		if g.pieces(a) > 0 && g.done[a] == nil {
			return false
		}
	}
	return true
}

func (g *stageGraph) work(i int) gather.StageWork {
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
			Rank: plan.EffectivePriority(j.route, j.team), Bytes: s.ResultBytes, Inputs: from,
			Zone: zone, CrossZoneBytes: cross,
		}
		if len(s.After) == 0 {
			item.Source = j.req.PieceKey
		}
		item.InputAllocator, item.LastReader = g.lastReader(i)
		items = append(items, item)
	}
	return gather.StageWork{Service: s.Service, Items: items, Due: g.due(i), Expires: j.deadline, Zone: g.zoneOf(i), Shard: j.placeShards[i]}
}

// bestZone returns the preferred zone of a stage and about how many bytes of transfer
// between zones an item saves there: the zone with most of its inputs, or, for a stage that
// only the engine reads, the zone of the engine.
func (g *stageGraph) bestZone(i int) (string, int) {
	bytes := map[string]int{}
	for _, a := range g.stages[i].After {
		if g.done[a] == nil {
			continue
		}
		for _, r := range g.done[a].Results {
			bytes[r.Zone] += g.stages[a].ResultBytes
		}
	}
	if g.isSingle(i) {
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

// lastReader returns the allocator of a stage's inputs, and reports whether all inputs have
// the same one and no other stage reads them. Such inputs are freed as soon as the stage
// has read them.
func (g *stageGraph) lastReader(i int) (gather.Allocator, bool) {
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

// dueTime returns when the answer is due: by the objective, and not after the deadline. The objective counts to
// the first event, which the caller of a stream that has begun already has: its rest is due early enough for
// half of the time that is left to remain for its events.
func (j *job) dueTime() time.Time {
	due := j.req.Arrived.Add(j.route.Objective)
	if half := j.preparingAt.Add(j.deadline.Sub(j.preparingAt) / 2); j.origin != nil && half.After(due) {
		due = half
	}
	if j.deadline.Before(due) {
		return j.deadline
	}
	return due
}

// due returns when a stage must be finished for the answer to be in time. A caller that
// retries may have less time left than the objective.
func (g *stageGraph) due(i int) time.Time {
	due := g.job.dueTime().Add(-g.job.expectedFirstEvent())
	for followers := g.followers(i); len(followers) > 0; followers = g.followers(i) {
		next := followers[0]
		due = due.Add(-g.callTime(next))
		i = next
	}
	return due
}

func (g *stageGraph) callTime(i int) time.Duration {
	service := g.job.Plans.Service(g.stages[i].Service)
	if service == nil || service.Batch == nil {
		return 0
	}
	full := service.Batch.MaxCallTime()
	return full + stageOverhead(full, g.job.Stages.MeanShardTargets(service.Name))
}

// shortestTime returns the time that the stages take at least.
func (g *stageGraph) shortestTime() time.Duration {
	longest := time.Duration(0)
	for i := range g.stages {
		longest = max(longest, g.shortestEnd(i))
	}
	return longest
}

// shortestEnd returns the time until a stage is finished at least.
func (g *stageGraph) shortestEnd(i int) time.Duration {
	end := time.Duration(0)
	for _, a := range g.stages[i].After {
		end = max(end, g.shortestEnd(a))
	}
	if service := g.job.Plans.Service(g.stages[i].Service); g.pieces(i) > 0 && service != nil && service.Batch != nil {
		end += service.Batch.CallTime + service.Batch.ItemTime
	}
	return end
}

// freeConsumed frees the results that all following stages have read. Results that are used
// by a single stage are freed by its gatherer.
func (g *stageGraph) freeConsumed() {
	for i := range g.stages {
		followers := g.followers(i)
		if g.done[i] == nil || g.freed[i] || len(followers) == 0 {
			continue
		}
		read, freedByGatherer := true, false
		for _, next := range followers {
			read = read && g.done[next] != nil
			_, last := g.lastReader(next)
			freedByGatherer = freedByGatherer || last
		}
		if read && freedByGatherer {
			g.freed[i] = true
		}
		if read {
			g.free(i)
		}
	}
}

func (g *stageGraph) free(i int) {
	if g.freed[i] || g.done[i] == nil {
		return
	}
	g.freed[i] = true
	g.job.Stages.Free(g.done[i].Shard, g.done[i].Results)
}

func (g *stageGraph) freeAll() {
	for i := range g.stages {
		g.free(i)
	}
}
