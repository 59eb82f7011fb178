package gather

import (
	"context"
	"errors"
	"time"

	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
	"github.com/vanillagate/vanillagate/internal/wait"
)

// ReservationRequest is the work of one stage for which a request wants to reserve capacity.
type ReservationRequest struct {
	Service string
	Stage   int
	Items   int
	Due     time.Time
	Rank    int
	// Team is the name of the request's team; empty on public routes. All requests without a team
	// count as one.
	Team string
	// PieceKey is the same in all attempts of a caller's request; empty if unknown.
	PieceKey string
	// Zone is the zone in which the stage will run if the service is sharded by zone; empty
	// means any zone.
	Zone string
	// Caller is the request's identity across attempts, see CallerIdentity; empty if it has none.
	Caller string
	// Latest is when the stage must be finished to meet the request's deadline, which is at
	// Deadline. Both are used only with a Caller.
	Latest   time.Time
	Deadline time.Time
	// placeOnly is returningWork.placeOnly.
	placeOnly bool
}

// Reservation is capacity that a shard has reserved for a request.
type Reservation struct {
	Shard Shard
	// gatherer granted it. The shard may have another one by now.
	gatherer peer.Incarnation
}

// ReserveStages asks the gatherers of all stages to reserve capacity for a request's items. The
// error is a *RefusedError if one of them can't process its items in time; the other
// reservations are cancelled then. A gatherer that doesn't answer doesn't cause a refusal. The
// caller cancels reservations that it no longer needs with CancelReservations.
func (r *Requester) ReserveStages(ctx context.Context, request string, wants []ReservationRequest) ([]Reservation, error) {
	r.awaitPeers(ctx)
	if r.leaveOut.Has(leaveout.Reservations) {
		return nil, nil
	}
	reserved := make([]Reservation, len(wants))
	for i, want := range wants {
		shard, err := r.chooseShard(want.Service, want.Zone, request)
		if err != nil {
			return nil, err
		}
		reserved[i] = Reservation{Shard: shard, gatherer: r.gatherers(shard)[0]}
	}
	return r.reserveAll(ctx, request, reserved, wants)
}

// reserveAll asks for all reservations. If one is refused, it cancels the others.
func (r *Requester) reserveAll(ctx context.Context, request string, reserved []Reservation, wants []ReservationRequest) ([]Reservation, error) {
	type answer struct {
		stage int
		err   error
	}
	answers := make(chan answer, len(wants))
	serial := r.serial.Add(1)
	for i, want := range wants {
		go func() { answers <- answer{i, r.reserveStage(ctx, request, reserved[i], want, serial)} }()
	}
	var refused error
	errs := make([]error, len(wants))
	for range wants {
		a := <-answers
		errs[a.stage] = a.err
		if a.err != nil {
			refused = a.err
		}
	}
	if refused == nil {
		return reserved, nil
	}
	r.CancelReservations(request, reserved)
	if wants[0].Caller != "" && !r.leaveOut.Has(leaveout.ReturnPlaces) {
		refused = r.settlePlaces(request, reserved, wants, serial, errs)
	}
	return nil, refused
}

// CancelReservations releases the capacity that is reserved for a request. Without it a request
// that was given up would keep others out until its due time.
func (r *Requester) CancelReservations(request string, reserved []Reservation) {
	for _, reservation := range reserved {
		r.cancel(reservation.gatherer, reservation.Shard, request)
	}
}

func (r *Requester) reserveStage(ctx context.Context, request string, reservation Reservation, want ReservationRequest, serial uint64) error {
	now := time.Now()
	shard, gatherer := reservation.Shard, reservation.gatherer
	call := newReserveCall(request, shard, want, serial, now)
	if gatherer == r.network.Self().Incarnation {
		return reservationError(call, r.own.ReserveStage(call, now))
	}
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	var ack Ack
	if err := r.network.Call(ctx, gatherer, methodReserve, call, &ack); err != nil {
		if ctx.Err() == nil || errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			r.failOver(gatherer, err)
		}
		return reservationError(call, Ack{UnknownService: true})
	}
	return reservationError(call, ack)
}

// reservationError returns the refusal in a shard's answer, if it is one. A process that
// doesn't know the service, or doesn't answer, can neither grant nor refuse; a request that has
// been refused elsewhere stays refused.
func reservationError(call reserveCall, ack Ack) error {
	if ack.UnknownService && call.PlaceOnly {
		return &RefusedError{Reason: Late, Service: call.Shard.Service}
	}
	if ack.UnknownService {
		return nil
	}
	return refusal(call.Shard, ack)
}

const (
	// peerDiscoveryTime is how long after its start a process that knows no peers waits for
	// them before it gathers on its own. If processes that start together didn't wait, each
	// would call every target with only its own items, and most calls would find the target
	// full.
	peerDiscoveryTime = 600 * time.Millisecond
	peerPollInterval  = 20 * time.Millisecond
)

// awaitPeers waits until a peer is known, but only during the first peerDiscoveryTime after the
// start.
func (r *Requester) awaitPeers(ctx context.Context) {
	for time.Since(r.started) < peerDiscoveryTime && len(r.network.View().Members) == 0 {
		if !wait.For(ctx, peerPollInterval) {
			return
		}
	}
}
