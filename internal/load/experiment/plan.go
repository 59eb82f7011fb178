// Package experiment describes experiments and plans their calls.
package experiment

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/vanillagate/vanillagate/internal/load/arrival"
	"github.com/vanillagate/vanillagate/internal/load/caller"
	"github.com/vanillagate/vanillagate/internal/load/runner"
	"github.com/vanillagate/vanillagate/internal/load/shape"
)

// CustomerLoad is one customer's calls over a run.
type CustomerLoad struct {
	Customer  string
	BearerKey string
	Pattern   arrival.Pattern
	Mix       shape.Mix
}

// Plan draws the calls of all streams in order of time. The same seed gives
// the same calls; run makes refs and idempotency keys differ between runs, so
// that no run is answered from what an earlier one left behind.
func Plan(streams []CustomerLoad, length time.Duration, seed uint64, run string) []runner.Planned {
	var plan []runner.Planned
	for i, s := range streams {
		own := seed*1000003 + uint64(i)
		random := rand.New(rand.NewPCG(own, callStream))
		for n, at := range arrival.Times(s.Pattern, length, own) {
			ref := fmt.Sprintf("%s-%d-%d", run, i, n)
			plan = append(plan, runner.Planned{At: at, Call: s.draw(random, ref)})
		}
	}
	sortByTime(plan)
	return plan
}

func sortByTime(plan []runner.Planned) {
	slices.SortStableFunc(plan, func(a, b runner.Planned) int { return cmp.Compare(a.At, b.At) })
}

// callStream keeps these draws apart from others of the same seed.
const callStream = 0x63616c6c

func (s CustomerLoad) draw(random *rand.Rand, ref string) caller.Call {
	m := s.Mix
	call := caller.Call{
		Customer:       s.Customer,
		BearerKey:      s.BearerKey,
		IdempotencyKey: "key-" + ref,
		Ref:            ref,
		Pipeline:       m.Pipeline,
		Service:        m.Service,
		Input:          inputOf(m, random, s.Customer, ref),
		MaxTokens:      m.LeastTokens + random.IntN(m.MostTokens-m.LeastTokens+1),
		Timeout:        time.Duration(m.TimeoutMS) * time.Millisecond,
	}
	switch pickWeighted(random, m.JSON, m.Stream, m.Read, m.Confirm) {
	case 0:
		call.Kind = caller.KindPipeline
	case 1:
		call.Kind = caller.KindStream
	case 2:
		call.Kind, call.Method = caller.KindService, http.MethodGet
		call.Path = m.ReadPath + "/%5Bref:" + ref + "%5D"
		call.Timeout = time.Duration(m.ServiceTimeoutMS) * time.Millisecond
	case 3:
		call.Kind, call.Method, call.Path, call.NonIdempotent = caller.KindService, http.MethodPost, m.ConfirmPath, true
		call.Timeout = time.Duration(m.ServiceTimeoutMS) * time.Millisecond
	}
	return call
}

func pickWeighted(random *rand.Rand, weights ...float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	at := random.Float64() * sum
	for i, w := range weights {
		at -= w
		if at < 0 {
			return i
		}
	}
	return 0
}
