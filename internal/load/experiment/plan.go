// Package experiment defines load experiments (scenarios) and generates the
// calls that they send.
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

// CustomerLoad describes the calls that one customer sends during a run: its
// credentials, arrival pattern and mix of requests.
type CustomerLoad struct {
	Customer  string
	BearerKey string
	Pattern   arrival.Pattern
	Mix       shape.Mix
}

// Plan generates the calls of all customers, ordered by time. The same seed
// gives the same calls. The run name is part of every ref and idempotency key,
// so that no call is answered from results stored by an earlier run.
func Plan(loads []CustomerLoad, length time.Duration, seed uint64, run string) []runner.PlannedCall {
	var plan []runner.PlannedCall
	for i, load := range loads {
		customerSeed := seed*1000003 + uint64(i)
		random := rand.New(rand.NewPCG(customerSeed, callRandStream))
		for n, at := range arrival.SampleTimes(load.Pattern, length, customerSeed) {
			ref := fmt.Sprintf("%s-%d-%d", run, i, n)
			plan = append(plan, runner.PlannedCall{At: at, Call: load.newCall(random, ref)})
		}
	}
	sortByTime(plan)
	return plan
}

func sortByTime(plan []runner.PlannedCall) {
	slices.SortStableFunc(plan, func(a, b runner.PlannedCall) int { return cmp.Compare(a.At, b.At) })
}

// callRandStream selects the random stream for generating calls, independent of
// other streams with the same seed.
const callRandStream = 0x63616c6c

func (s CustomerLoad) newCall(random *rand.Rand, ref string) caller.Call {
	m := s.Mix
	call := caller.Call{
		Customer:       s.Customer,
		BearerKey:      s.BearerKey,
		IdempotencyKey: "key-" + ref,
		Ref:            ref,
		Pipeline:       m.Pipeline,
		Service:        m.Service,
		Input:          generateInput(m, random, s.Customer, ref),
		MaxTokens:      m.MinTokens + random.IntN(m.MaxTokens-m.MinTokens+1),
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

// pickWeighted returns a random index, with probability proportional to its
// weight.
func pickWeighted(random *rand.Rand, weights ...float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	remaining := random.Float64() * sum
	for i, w := range weights {
		remaining -= w
		if remaining < 0 {
			return i
		}
	}
	return 0
}
