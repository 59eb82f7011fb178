package run

import (
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/place"
)

const (
	// firstEventSamples is over how many answers the regression averages: as many as one VM
	// receives in ten to twenty seconds.
	firstEventSamples = 64
	// minFirstEvent and maxFirstEvent bound the estimate. Below the minimum, messages
	// between processes take just as long. Above the maximum, the engines are overloaded or
	// failing, and finishing stages even earlier doesn't help.
	minFirstEvent = 100 * time.Millisecond
	maxFirstEvent = 1500 * time.Millisecond
)

// initialFirstEvents are the samples a new regression starts with, until answers have been
// received: 0.1 s plus 0.1 s for every 10,000 tokens.
var initialFirstEvents = []sample{{0, 0.1}, {0, 0.1}, {10_000, 0.2}, {10_000, 0.2}}

// sample is one answer: the tokens of its prompt that an engine has to read, and the
// seconds to the first event.
type sample struct{ tokens, seconds float64 }

// firstEventModel estimates how long engines take to the first event of an answer, by
// service and length of the prompt. Stages are due that much earlier than the answer's
// objective. With a single estimate for all lengths, the stages finished just in time
// during bursts, and a third of the answers with the longest prompts came 0.2 to 0.4 s
// late. The zero value is ready to use.
type firstEventModel struct {
	mu        sync.Mutex // guards byService; no other lock is taken while it is held
	byService map[string]*regression
}

// record adds the sample of one answer.
func (f *firstEventModel) record(service string, prompt place.Prompt, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.regressionOf(service).add(sample{float64(prompt.UnsharedTokens()), took.Seconds()})
}

// expect returns the estimated time for a prompt.
func (f *firstEventModel) expect(service string, prompt place.Prompt) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return clampFirstEvent(f.regressionOf(service).predict(float64(prompt.UnsharedTokens())))
}

func clampFirstEvent(seconds float64) time.Duration {
	return min(max(time.Duration(seconds*float64(time.Second)), minFirstEvent), maxFirstEvent)
}

// regressionOf returns a service's regression. The caller holds mu.
func (f *firstEventModel) regressionOf(service string) *regression {
	if f.byService == nil {
		f.byService = map[string]*regression{}
	}
	r := f.byService[service]
	if r == nil {
		r = &regression{}
		for _, s := range initialFirstEvents {
			r.add(s)
		}
		f.byService[service] = r
	}
	return r
}

// regression is a linear least-squares fit through the latest samples. It keeps weighted
// sums, in which older samples count less.
type regression struct{ n, x, y, xx, xy float64 }

func (r *regression) add(s sample) {
	const keep = 1 - 1.0/firstEventSamples
	r.n = keep*r.n + 1
	r.x = keep*r.x + s.tokens
	r.y = keep*r.y + s.seconds
	r.xx = keep*r.xx + s.tokens*s.tokens
	r.xy = keep*r.xy + s.tokens*s.seconds
}

// predict returns the fitted value. The slope is never negative: a negative one comes from
// a few slow answers to short prompts, and longer prompts don't take less time.
func (r *regression) predict(tokens float64) float64 {
	spread := r.n*r.xx - r.x*r.x
	slope := 0.0
	if spread > 0 {
		slope = max((r.n*r.xy-r.x*r.y)/spread, 0)
	}
	return r.y/r.n + slope*(tokens-r.x/r.n)
}
