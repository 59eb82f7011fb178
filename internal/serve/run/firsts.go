package run

import (
	"sync"
	"time"
)

const (
	// usualFirst is what an engine is reckoned to take from a request to its
	// answer's first event until some have been seen: reading a prompt of ten
	// thousand tokens and the first token.
	usualFirst = 200 * time.Millisecond
	// firstWeight is how much one answer counts in the mean: about the last
	// sixteen decide, which a VM sees of a kind in ten to twenty seconds.
	firstWeight = 1.0 / 16
	// leastFirst and mostFirst bound the mean: below, messages between processes
	// take as long; above, engines are in trouble, and stages that have to be
	// done still sooner help nobody.
	leastFirst = 100 * time.Millisecond
	mostFirst  = 600 * time.Millisecond
)

// firsts learns how long engines take to the first event of an answer, route by
// route: prompts differ, and so do engines. Stages are due so much before an
// answer's objective. With one figure for all, stages in a burst were done just
// in time and a third of the answers of the kind with the longest prompts came
// 0.2 to 0.4 s late. The zero value knows nothing yet.
type firsts struct {
	mu      sync.Mutex // guards byRoute; a leaf
	byRoute map[string]time.Duration
}

// note takes in one answer.
func (f *firsts) note(route string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byRoute == nil {
		f.byRoute = map[string]time.Duration{}
	}
	mean, known := f.byRoute[route]
	if !known {
		mean = usualFirst
	}
	f.byRoute[route] = mean + time.Duration(firstWeight*float64(took-mean))
}

// of gives what is to be reckoned with on a route.
func (f *firsts) of(route string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	mean, known := f.byRoute[route]
	if !known {
		return usualFirst
	}
	return min(max(mean, leastFirst), mostFirst)
}
