package run

import (
	"slices"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/routing"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
)

const (
	// answerSamples is the number of recent answers kept per route. With fewer than
	// minAnswers of them the share of slow answers isn't estimated.
	answerSamples = 64
	minAnswers    = 4
	// maxRoutes is the maximum number of routes for which times are kept.
	maxRoutes = 512
)

// recordCompleteAnswer records how long the request took. It is called once its answer has
// been received completely.
func (j *job) recordCompleteAnswer() {
	j.answerStats.record(j.route.Name, time.Since(j.req.Arrived), time.Since(j.sentAt))
}

// routeTimes holds the recent times to the end of the answer for one route, measured from
// the request's arrival and from when it was sent to the target.
type routeTimes struct{ fromArrival, fromSending recentTimes }

// recentTimes is a ring buffer of the latest durations. The zero value is empty.
type recentTimes struct {
	times [answerSamples]time.Duration
	count int
}

func (r *recentTimes) add(d time.Duration) {
	r.times[r.count%answerSamples] = d
	r.count++
}

// shareLonger returns the share of the durations that exceed limit, or 0 if fewer than
// minAnswers are known.
func (r *recentTimes) shareLonger(limit time.Duration) float64 {
	known := min(r.count, answerSamples)
	if known < minAnswers {
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

// median returns the median duration, or 0 if there are none.
func (r *recentTimes) median() time.Duration {
	return routing.Median(slices.Clone(r.times[:min(r.count, answerSamples)]))
}

// answerStats records how long requests take, by route. The zero value is ready to use.
type answerStats struct {
	mu      sync.Mutex // guards byRoute; no other lock is taken while it is held
	byRoute map[string]*routeTimes
}

// record adds the times of one complete answer.
func (a *answerStats) record(route string, sinceArrival, sinceSent time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byRoute == nil {
		a.byRoute = map[string]*routeTimes{}
	}
	times := a.byRoute[route]
	if times == nil {
		a.evictIfFull()
		times = &routeTimes{}
		a.byRoute[route] = times
	}
	times.fromArrival.add(sinceArrival)
	times.fromSending.add(sinceSent)
}

// evictIfFull removes an arbitrary route if the limit is reached, since routes of earlier
// configurations would otherwise never be removed. The caller holds mu.
func (a *answerStats) evictIfFull() {
	if len(a.byRoute) < maxRoutes {
		return
	}
	for route := range a.byRoute {
		delete(a.byRoute, route)
		return
	}
}

// shareLonger returns the share of a route's recent answers that took longer than limit,
// measured from when the request was sent to the target.
func (a *answerStats) shareLonger(route string, limit time.Duration) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	times := a.byRoute[route]
	if times == nil {
		return 0
	}
	return times.fromSending.shareLonger(limit)
}

// slowestMedian returns the highest median answer time, measured from the request's
// arrival, among the given routes.
func (a *answerStats) slowestMedian(routes []plan.Route) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	var slowest time.Duration
	for _, route := range routes {
		if times := a.byRoute[route.Name]; times != nil {
			slowest = max(slowest, times.fromArrival.median())
		}
	}
	return slowest
}
