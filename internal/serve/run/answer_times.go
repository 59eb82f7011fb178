package run

import (
	"slices"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/routing"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
)

const (
	// answerMemory is how many answers of a route are remembered; below leastAnswers
	// they say nothing of how often one takes longer.
	answerMemory = 64
	leastAnswers = 4
	// mostRoutes is how many routes are remembered.
	mostRoutes = 512
)

// noteWhole notes how long the request took, its answer being whole.
func (j *job) noteWhole() {
	j.answers.note(j.route.Name, time.Since(j.req.Arrived), time.Since(j.askedAt))
}

// answerTimes are how long requests of one route took to the end of their answers: from
// their arrival, and from being sent to the target.
type answerTimes struct{ arrived, sent recentTimes }

// recentTimes are the latest of a series of times. The zero value is empty.
type recentTimes struct {
	times [answerMemory]time.Duration
	count int
}

func (r *recentTimes) add(d time.Duration) {
	r.times[r.count%answerMemory] = d
	r.count++
}

// longer is the share of the times that are longer than a limit; 0 while few are known.
func (r *recentTimes) longer(limit time.Duration) float64 {
	known := min(r.count, answerMemory)
	if known < leastAnswers {
		return 0
	}
	n := 0
	for _, d := range r.times[:known] {
		if d > limit {
			n++
		}
	}
	return float64(n) / float64(known)
}

// median of the times; 0 where there are none.
func (r *recentTimes) median() time.Duration {
	return routing.Median(slices.Clone(r.times[:min(r.count, answerMemory)]))
}

// answers learns how long requests take, route by route. The zero value knows nothing yet.
type answers struct {
	mu      sync.Mutex // guards byRoute; a leaf
	byRoute map[string]*answerTimes
}

// note takes in one whole answer.
func (a *answers) note(route string, sinceArrival, sinceSent time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byRoute == nil {
		a.byRoute = map[string]*answerTimes{}
	}
	times := a.byRoute[route]
	if times == nil {
		a.makeRoom()
		times = &answerTimes{}
		a.byRoute[route] = times
	}
	times.arrived.add(sinceArrival)
	times.sent.add(sinceSent)
}

// makeRoom forgets a route where many are known: those of earlier configurations would stay
// for good. The caller holds mu.
func (a *answers) makeRoom() {
	if len(a.byRoute) < mostRoutes {
		return
	}
	for route := range a.byRoute {
		delete(a.byRoute, route)
		return
	}
}

// longer is the share of a route's recent answers that took longer than a limit from being
// sent to the target on.
func (a *answers) longer(route string, limit time.Duration) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	times := a.byRoute[route]
	if times == nil {
		return 0
	}
	return times.sent.longer(limit)
}

// slowestMedian is the median of the recent answers, from the arrival on, of the route among
// some where it is longest.
func (a *answers) slowestMedian(routes []plan.Route) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	var slowest time.Duration
	for _, route := range routes {
		if times := a.byRoute[route.Name]; times != nil {
			slowest = max(slowest, times.arrived.median())
		}
	}
	return slowest
}
