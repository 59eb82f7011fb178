package serve

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/quota"
	"github.com/vanillagate/vanillagate/internal/wait"
)

const methodProcessCount = "serve.process_count"

const (
	// firstCountAnswers is how many answers a process that has started gets at intervals of
	// firstCountPeriod. Then it asks every countPeriod.
	firstCountAnswers = 3
	firstCountPeriod  = time.Second
	countPeriod       = 10 * time.Second
	countTimeout      = 500 * time.Millisecond
)

// processCountAnswer tells how many processes the sender has counted, 0 if unknown, and how long ago it
// last saw them all.
type processCountAnswer struct {
	Count int   `json:"n"`
	AgeMS int64 `json:"age_ms"`
}

// countExchange asks peers how many processes there are. A process that has restarted while some are out
// of sight learns of them from a peer that has seen them.
type countExchange struct {
	log     *zap.Logger
	network peer.Network
	budget  *quota.Budget
}

// newCountExchange returns an exchange that answers peers. Call it before the network starts.
func newCountExchange(log *zap.Logger, network peer.Network, budget *quota.Budget) *countExchange {
	e := &countExchange{log: log, network: network, budget: budget}
	peer.HandleCall(network, methodProcessCount, func(struct{}) (any, error) {
		n, age := budget.ProcessCount(time.Now())
		return processCountAnswer{Count: n, AgeMS: age.Milliseconds()}, nil
	})
	return e
}

// run asks a peer from time to time until the context ends.
func (e *countExchange) run(ctx context.Context) {
	period, answers := firstCountPeriod, 0
	for wait.For(ctx, period) {
		if !e.ask(ctx) {
			continue
		}
		if answers++; answers == firstCountAnswers {
			period = countPeriod
		}
	}
}

// ask asks a random peer, and reports whether it answered.
func (e *countExchange) ask(ctx context.Context) bool {
	members := e.network.View().Members
	if len(members) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, countTimeout)
	defer cancel()
	asked := members[rand.IntN(len(members))].Incarnation
	var answer processCountAnswer
	if err := e.network.Call(ctx, asked, methodProcessCount, struct{}{}, &answer); err != nil {
		e.log.Debug("Peer didn't tell the number of processes.", zap.String("member", string(asked)), zap.Error(err))
		return false
	}
	e.budget.LearnProcessCount(answer.Count, time.Duration(answer.AgeMS)*time.Millisecond, time.Now())
	return true
}
