package gather

import (
	"context"
	"errors"
	"time"

	"github.com/vanillagate/vanillagate/internal/wait"
)

// Plan is what a request will want of one stage.
type Plan struct {
	Service string
	Stage   int
	Items   int
	Due     time.Time
	Rank    int
	// Zone is where the stage will be made if the service is divided by zone;
	// empty for anywhere.
	Zone string
}

// Ask asks the gatherers of all stages whether they can make a request's items
// in time; the error is *Refused where one can't. A gatherer that doesn't
// answer is no reason to refuse.
func (r *Requester) Ask(ctx context.Context, request string, plans []Plan) error {
	r.meetPeers(ctx)
	if r.askNobody {
		return nil
	}
	answers := make(chan error, len(plans))
	asked := make([]Cell, len(plans))
	for i, p := range plans {
		cell, err := r.cellOf(p.Service, p.Zone, request)
		if err != nil {
			return err
		}
		asked[i] = cell
	}
	for i, p := range plans {
		go func() { answers <- r.askFor(ctx, request, asked[i], p) }()
	}
	var refused error
	for range plans {
		if err := <-answers; err != nil {
			refused = err
		}
	}
	if refused != nil {
		for _, cell := range asked {
			r.cancel(r.gatherers(cell, time.Now())[0], cell, request)
		}
	}
	return refused
}

func (r *Requester) askFor(ctx context.Context, request string, cell Cell, p Plan) error {
	now := time.Now()
	gatherer := r.gatherers(cell, now)[0]
	due := p.Due.Sub(now)
	if gatherer == r.network.Self().Incarnation {
		return promised(cell, r.own.Ask(cell, request, p.Stage, p.Rank, p.Items, due, now))
	}
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	call := askCall{Cell: cell, Request: request, Stage: p.Stage, Rank: p.Rank, Items: p.Items, Due: ToMillis(due)}
	var ack Ack
	if err := r.network.Call(ctx, gatherer, methodAsk, call, &ack); err != nil {
		if ctx.Err() == nil || errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			r.passBy(gatherer, err)
		}
		return nil
	}
	return promised(cell, ack)
}

// promised tells whether a cell's answer is a refusal. One that doesn't know the
// service can't say.
func promised(cell Cell, ack Ack) error {
	if ack.Unknown {
		return nil
	}
	return refusal(cell, ack)
}

const (
	// acquaintance is how long after its start a process that knows no other
	// waits for peers before it gathers for itself. When all start together each
	// would call every target with what it has alone, and most would be full.
	acquaintance = 600 * time.Millisecond
	alonePoll    = 20 * time.Millisecond
)

// meetPeers waits, just after the start, until a peer is known.
func (r *Requester) meetPeers(ctx context.Context) {
	for time.Since(r.started) < acquaintance && len(r.network.Members()) == 0 {
		if !wait.For(ctx, alonePoll) {
			return
		}
	}
}
