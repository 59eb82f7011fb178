package run

import (
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/place"
)

const (
	// firstEventMemory is over how many answers the line is drawn: what a VM sees in
	// ten to twenty seconds.
	firstEventMemory = 64
	// leastFirstEvent and mostFirstEvent bound what is reckoned with: below, messages
	// between processes take as long; above, engines are in trouble, and stages
	// that have to be done still sooner help nobody.
	leastFirstEvent = 100 * time.Millisecond
	mostFirstEvent  = 1500 * time.Millisecond
)

// usualFirstEvents is what an engine is reckoned to take until answers have been
// seen: 0.1 s, and 0.1 s for each ten thousand tokens.
var usualFirstEvents = []sample{{0, 0.1}, {0, 0.1}, {10_000, 0.2}, {10_000, 0.2}}

// sample is one answer: the tokens of its prompt that an engine has to read, and
// the seconds to the first event.
type sample struct{ tokens, seconds float64 }

// firstEvents learns how long engines take to the first event of an answer, by the
// length of the prompt, service by service. Stages are due so much before an
// answer's objective. With one figure for all, stages in a burst were done just
// in time and a third of the answers with the longest prompts came 0.2 to 0.4 s
// late. The zero value knows nothing yet.
type firstEvents struct {
	mu        sync.Mutex // guards byService; a leaf
	byService map[string]*line
}

// note takes in one answer.
func (f *firstEvents) note(service string, prompt place.Prompt, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.of(service).add(sample{float64(prompt.UnsharedTokens()), took.Seconds()})
}

// expect gives what is to be reckoned with for a prompt.
func (f *firstEvents) expect(service string, prompt place.Prompt) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return boundedFirstEvent(f.of(service).at(float64(prompt.UnsharedTokens())))
}

func boundedFirstEvent(seconds float64) time.Duration {
	return min(max(time.Duration(seconds*float64(time.Second)), leastFirstEvent), mostFirstEvent)
}

// of gives a service's line. The caller holds mu.
func (f *firstEvents) of(service string) *line {
	if f.byService == nil {
		f.byService = map[string]*line{}
	}
	l := f.byService[service]
	if l == nil {
		l = &line{}
		for _, s := range usualFirstEvents {
			l.add(s)
		}
		f.byService[service] = l
	}
	return l
}

// line is the straight line through the latest samples with the least squares.
// It holds sums, in which older samples count less.
type line struct{ n, x, y, xx, xy float64 }

func (l *line) add(s sample) {
	const keep = 1 - 1.0/firstEventMemory
	l.n = keep*l.n + 1
	l.x = keep*l.x + s.tokens
	l.y = keep*l.y + s.seconds
	l.xx = keep*l.xx + s.tokens*s.tokens
	l.xy = keep*l.xy + s.tokens*s.seconds
}

// at gives the line's value. Longer prompts never count as quicker: a slope
// below 0 comes of a few slow answers to short ones.
func (l *line) at(tokens float64) float64 {
	spread := l.n*l.xx - l.x*l.x
	slope := 0.0
	if spread > 0 {
		slope = max((l.n*l.xy-l.x*l.y)/spread, 0)
	}
	return l.y/l.n + slope*(tokens-l.x/l.n)
}
