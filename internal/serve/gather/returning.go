package gather

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/member"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
)

// CallerIdentity returns the identity that the attempts of one request share: a hash of the team
// and the key of the data from which its pieces are made. It is empty without such a key.
func CallerIdentity(team, pieceKey string) string {
	if pieceKey == "" {
		return ""
	}
	return strconv.FormatUint(member.Hash(team+"\x00"+pieceKey), 36)
}

// reserveReturning is ReserveStage for a request with an identity. The caller holds mu.
func (g *Gatherer) reserveReturning(s *shard, call reserveCall, wanted reservation, c capacity, now time.Time) Ack {
	key := groupKey{Request: call.Request, Stage: call.Stage}
	d := s.reservations.reserveReturning(now, key, call.returningWork(wanted, now), c)
	if d.claimed || d.place > 0 {
		write := g.log.Debug
		message := "Place held for a refused request."
		switch {
		case d.granted:
			message = "Place claimed by a returning request."
		case d.claimed:
			write, message = g.log.Info, "Returning request refused again."
		}
		write(message, zap.String("request", call.Request), zap.String("caller", call.Caller), zap.String("service", s.Service),
			zap.String("zone", s.Zone), zap.Int("part", s.Part), zap.Int("stage", call.Stage), zap.Int("items", call.Items),
			zap.Int("rank", call.Rank), zap.Duration("late_by", d.lateness), zap.Duration("place_in", d.place),
			zap.Int("places", len(s.reservations.places.places)))
	}
	return Ack{Refused: !d.granted, Wait: ToMillis(d.lateness), Place: ToMillis(d.place), Hopeless: d.hopeless, Share: s.reservations.shares.cause}
}

// reservation returns the work for which a reservation or a place is requested.
func (c *reserveCall) reservation(now time.Time) reservation {
	return reservation{
		items: c.Items, due: now.Add(c.Due.Duration()), serial: c.Serial, rank: c.Rank, team: c.Team, pieceKey: c.PieceKey,
	}
}

// returningWork adds what is known of the request's return to the work for which a reservation or a place is requested.
func (c *reserveCall) returningWork(wanted reservation, now time.Time) returningWork {
	return returningWork{
		reservation: wanted, caller: c.Caller, placeOnly: c.PlaceOnly,
		latest: now.Add(c.Latest.Duration()), deadline: now.Add(c.Left.Duration()),
	}
}

// PlaceStage holds a place for a request that another shard has refused, instead of the capacity
// that it reserved here, or releases the place that it has here.
func (g *Gatherer) PlaceStage(call placeCall, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	batch := g.batch(call.Shard)
	if batch == nil || call.Caller == "" || g.leaveOut.Has(leaveout.ReturnPlaces) {
		return
	}
	s := g.stateOf(call.Shard)
	s.reservations.drop(call.Request, call.Serial)
	if call.At <= 0 {
		s.reservations.places.release(placeKey{caller: call.Caller, stage: call.Stage})
		return
	}
	targets, space := g.effectiveTargets(s, batch, now)
	available := sustainedCapacity(targets, batch, space, int(s.size.mean))
	work := call.returningWork(call.reservation(now), now)
	if !s.reservations.placeFor(now, now.Add(call.At.Duration()), call.Stage, work, available) {
		g.log.Debug("No place beside those at other shards.", zap.String("request", call.Request), zap.String("caller", call.Caller),
			zap.String("service", s.Service), zap.Int("stage", call.Stage), zap.Duration("place_in", call.At.Duration()))
	}
}

// Places returns the number of places that are held now, and the counts so far.
func (g *Gatherer) Places(now time.Time) (held int, counts PlaceCounts) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.shards {
		p := &s.reservations.places
		p.expire(now)
		held += len(p.places)
		counts.Add(p.counts)
	}
	return held, counts
}

// Divided reports whether any of the services has more than one shard.
func (r *Requester) Divided(services []string) bool {
	return slices.ContainsFunc(services, func(service string) bool { return r.shardingOf(service).divided() })
}

// ReserveReturning claims the places of a request that was refused at the shards chosen by its
// ID, or has places held for its next attempt. It asks the shards chosen by the request's
// identity, which are the same for all attempts. The error is a *RefusedError if the request has
// no places that it can claim now. The stages have to run at the shards returned.
func (r *Requester) ReserveReturning(ctx context.Context, request string, wants []ReservationRequest) ([]Reservation, error) {
	wants = slices.Clone(wants)
	reserved := make([]Reservation, len(wants))
	for i := range wants {
		shard, err := r.chooseShard(wants[i].Service, wants[i].Zone, wants[i].Caller)
		if err != nil {
			return nil, err
		}
		wants[i].placeOnly = true
		reserved[i] = Reservation{Shard: shard, gatherer: r.gatherers(shard)[0]}
	}
	return r.reserveAll(ctx, request, reserved, wants)
}

// settlePlaces gives the places of a refused request the same time at all shards, and returns the
// refusal with that time. errs are the shards' answers, in the order of the wants.
func (r *Requester) settlePlaces(request string, reserved []Reservation, wants []ReservationRequest, serial uint64, errs []error) error {
	at, send, refused := agreeOnPlaces(errs)
	for i, want := range wants {
		if send[i] {
			call := newReserveCall(request, reserved[i].Shard, want, serial, time.Now())
			r.sendPlace(reserved[i].gatherer, placeCall{reserveCall: call, At: ToMillis(at)})
		}
	}
	return refused
}

// agreeOnPlaces returns the time until the places of a request that some shards have refused: the
// latest of those that the refusals state, or 0 if one of these shards has no place. send says
// which shards have to be told, since they have no place or one at another time.
func agreeOnPlaces(errs []error) (at time.Duration, send []bool, refused error) {
	var latest, without *RefusedError
	places := make([]time.Duration, len(errs))
	for i, err := range errs {
		var e *RefusedError
		switch {
		case !errors.As(err, &e):
		case e.Place > 0:
			places[i] = e.Place
			if latest == nil || e.Place > latest.Place {
				latest = e
			}
		case without == nil || e.Hopeless:
			without = e
		}
	}
	switch {
	case without != nil:
		refused = without
	case latest != nil:
		at, refused = latest.Place, latest
	default:
		refused = errors.Join(errs...)
	}
	send = make([]bool, len(errs))
	for i := range errs {
		send[i] = places[i] != at
	}
	return at, send, refused
}

// sendPlace delivers a placeCall. No answer is awaited: without the place, the request competes
// as a new one when it comes back.
func (r *Requester) sendPlace(gatherer peer.Incarnation, call placeCall) {
	if gatherer == r.network.Self().Incarnation {
		r.own.PlaceStage(call, time.Now())
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), deliveryTimeout)
		defer cancel()
		if err := r.network.Call(ctx, gatherer, methodPlace, call, nil); err != nil {
			r.log.Debug("Could not deliver the request for a place.", zap.String("member", string(gatherer)), zap.Error(err))
		}
	}()
}

// newReserveCall returns the message for the work of one stage; its times are relative to now.
func newReserveCall(request string, shard Shard, want ReservationRequest, serial uint64, now time.Time) reserveCall {
	call := reserveCall{
		Shard: shard, Request: request, Stage: want.Stage, Rank: want.Rank, Items: want.Items, Due: ToMillis(want.Due.Sub(now)), Serial: serial,
		Team: want.Team, PieceKey: CallerIdentity(want.Team, want.PieceKey),
	}
	if want.Caller != "" {
		call.Returning = Returning{
			Caller: want.Caller, Latest: ToMillis(want.Latest.Sub(now)), Left: ToMillis(want.Deadline.Sub(now)), PlaceOnly: want.placeOnly,
		}
	}
	return call
}
