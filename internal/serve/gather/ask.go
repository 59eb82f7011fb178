package gather

import (
	"context"
	"errors"
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
	"github.com/vanillagate/vanillagate/internal/wait"
)

// ReservationRequest is what a request will want of one stage.
type ReservationRequest struct {
	Service string
	Stage   int
	Items   int
	Due     time.Time
	Rank    int
	// Zone is where the stage will be made if the service is divided by zone;
	// empty for anywhere.
	Zone string
}

// ReserveStages asks the gatherers of all stages whether they can make a request's items
// in time; the error is *RefusedError where one can't. A gatherer that doesn't
// answer is no reason to refuse. What was reserved and isn't wanted any more is
// to be withdrawn.
func (r *Requester) ReserveStages(ctx context.Context, request string, plans []ReservationRequest) ([]Shard, error) {
	r.meetPeers(ctx)
	if r.leaveOut.Has(leaveout.Reservations) {
		return nil, nil
	}
	answers := make(chan error, len(plans))
	asked := make([]Shard, len(plans))
	for i, p := range plans {
		shard, err := r.shardOf(p.Service, p.Zone, request)
		if err != nil {
			return nil, err
		}
		asked[i] = shard
	}
	serial := r.serial.Add(1)
	for i, p := range plans {
		go func() { answers <- r.askFor(ctx, request, asked[i], p, serial) }()
	}
	var refused error
	for range plans {
		if err := <-answers; err != nil {
			refused = err
		}
	}
	if refused != nil {
		r.CancelReservations(request, asked)
		return nil, refused
	}
	return asked, nil
}

// CancelReservations releases what shards have reserved for a request.
// Without it a request that was given up would keep others out until its due
// time.
func (r *Requester) CancelReservations(request string, asked []Shard) {
	for _, shard := range asked {
		r.cancel(r.gatherers(shard)[0], shard, request)
	}
}

func (r *Requester) askFor(ctx context.Context, request string, shard Shard, p ReservationRequest, serial uint64) error {
	now := time.Now()
	gatherer := r.gatherers(shard)[0]
	call := askCall{
		Shard: shard, Request: request, Stage: p.Stage, Rank: p.Rank, Items: p.Items, Due: ToMillis(p.Due.Sub(now)), Serial: serial,
	}
	if gatherer == r.network.Self().Incarnation {
		return reserved(shard, r.own.Ask(call, now))
	}
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	var ack Ack
	if err := r.network.Call(ctx, gatherer, methodAsk, call, &ack); err != nil {
		if ctx.Err() == nil || errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			r.failOver(gatherer, err)
		}
		return nil
	}
	return reserved(shard, ack)
}

// reserved tells whether a shard's answer is a refusal. One that doesn't know the
// service can't say.
func reserved(shard Shard, ack Ack) error {
	if ack.Unknown {
		return nil
	}
	return refusal(shard, ack)
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
	for time.Since(r.started) < acquaintance && len(r.network.View().Members) == 0 {
		if !wait.For(ctx, alonePoll) {
			return
		}
	}
}
