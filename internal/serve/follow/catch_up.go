package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/vanillagate/vanillagate/internal/peer"
)

const (
	// catchUpTimeout limits how long a request waits until this process has caught up, minCatchUpPause is the least
	// time between the starts of such calls of the store.
	catchUpTimeout  = 700 * time.Millisecond
	minCatchUpPause = 500 * time.Millisecond
	// ownCatchUpTime is how long this process's own calls may take before peers are asked. It is well above what the store
	// takes for an answer.
	ownCatchUpTime = 100 * time.Millisecond
	// maxCatchUpPeers is how many peers are asked at a time.
	maxCatchUpPeers = 2
)

// errNotCaughtUp means that the store's changes can't be had now.
var errNotCaughtUp = errors.New("changes of the store can't be had")

// CatchUp brings the operator state and the target list up to what the store had at some moment after the call, by the
// store's own answer or through peers that it answers. It reports whether that succeeded. A process that was cut off or
// stood still can't tell otherwise that what it has is old.
func (f *Follower) CatchUp(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	own := f.catchUps.Since(context.Background(), time.Now(), minCatchUpPause, f.catchUpFromStore)
	ownCtx, cancelOwn := context.WithTimeout(ctx, max(ownCatchUpTime, time.Until(own.StartsAt().Add(ownCatchUpTime))))
	defer cancelOwn()
	if _, err := own.Await(ownCtx); err == nil {
		return true
	}
	members := f.catchUpPeers()
	caughtUp := make(chan bool, len(members))
	for _, member := range members {
		go func() { caughtUp <- f.catchUpThrough(ctx, member) }()
	}
	ownDone := own.Done()
	for waiting := len(members); waiting > 0 || ownDone != nil; {
		select {
		case ok := <-caughtUp:
			waiting--
			if ok {
				return true
			}
		case <-ownDone:
			ownDone = nil
			if _, err := own.Result(); err == nil {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// catchUpFromStore asks the store for the changes of both feeds.
func (f *Follower) catchUpFromStore(ctx context.Context) (struct{}, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var feeds errgroup.Group
	feeds.Go(func() error { return f.catchUpFeed(ctx, f.operatorFeed) })
	feeds.Go(func() error { return f.catchUpFeed(ctx, f.targetFeed) })
	return struct{}{}, feeds.Wait()
}

// catchUpFeed asks the store for the changes of a feed until it has no more. Changes that the feed gets meanwhile by
// itself are applied once.
func (f *Follower) catchUpFeed(ctx context.Context, d *feed) error {
	for {
		if !d.synced.Load() {
			return errNotCaughtUp
		}
		after := d.revision.Load()
		more, upTo, err := d.watchNow(ctx, after)
		if err != nil {
			return err
		}
		if upTo > d.revision.Load() {
			d.revision.Store(upTo)
		}
		if !more {
			return nil
		}
	}
}

// catchUpPeers returns the peers to ask.
func (f *Follower) catchUpPeers() []peer.Incarnation {
	if f.peers == nil {
		return nil
	}
	var list []peer.Incarnation
	for _, m := range f.peers.network.View().Members {
		if m.State == peer.Alive {
			list = append(list, m.Incarnation)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(maxCatchUpPeers, len(list))]
}

// catchUpThrough has a peer catch up and send what this process lacks.
func (f *Follower) catchUpThrough(ctx context.Context, member peer.Incarnation) bool {
	request := f.newUpdatesRequest()
	request.CatchUp = true
	var u updates
	err := f.peers.network.Call(ctx, member, methodUpdates, request, &u)
	if err == nil {
		err = u.unpack()
	}
	if err != nil || !u.CaughtUp || f.fromEarlierEra(u) {
		f.log.Debug("Peer hasn't caught up with the store for this process.", zap.String("member", string(member)), zap.Error(err))
		return false
	}
	f.applyUpdates(u)
	return f.table.Loaded() && !u.needsList()
}

// answerUpdates answers a peer's request for updates.
func (f *Follower) answerUpdates(request updatesRequest) updates {
	if !request.CatchUp {
		return f.updatesSince(request)
	}
	ctx, cancel := context.WithTimeout(context.Background(), catchUpTimeout)
	defer cancel()
	_, err := f.catchUps.Since(context.Background(), time.Now(), minCatchUpPause, f.catchUpFromStore).Await(ctx)
	u := f.updatesSince(request)
	u.CaughtUp = err == nil
	return u
}
