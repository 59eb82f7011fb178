package follow

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/revision"
)

const (
	// partRequestTimeout limits one request for a part.
	partRequestTimeout = 2 * time.Second
	// maxPartAttempts limits the requests for a part to one process.
	maxPartAttempts = 2
	// maxReferrals limits how many referrals a process follows after its request was
	// refused.
	maxReferrals = 4
	// maxParts limits the number of parts that a peer may split the list into.
	maxParts = 1 << 12
)

// partialList holds the parts of the target list received so far. The zero value is empty.
type partialList struct {
	startedAt time.Time
	parts     [][]pool.Entry    // nil for parts not yet received
	asOf      revision.Revision // the lowest revision of the received parts
	remaining int
}

// firstMissing returns the index of the first missing part.
func (list *partialList) firstMissing() int {
	for i, part := range list.parts {
		if part == nil {
			return i
		}
	}
	return 0
}

// add stores a part. If the sender splits the list into a different number of parts, or has it
// of another era, the parts received before are discarded.
func (list *partialList) add(number int, response partResponse, now time.Time) error {
	if len(list.parts) != response.PartCount || list.asOf.Era() != response.AsOf.Era() {
		*list = partialList{startedAt: now, parts: make([][]pool.Entry, response.PartCount), remaining: response.PartCount}
	}
	if number >= response.PartCount || list.parts[number] != nil {
		return nil
	}
	var received peerEntries
	if err := unpack(response.Entries, &received); err != nil {
		return err
	}
	entries := []pool.Entry(received)
	if entries == nil {
		entries = []pool.Entry{} // nil would mark the part as missing
	}
	age := peerMillis(response.AgeMS)
	for i := range entries {
		entries[i] = entries[i].WithElapsed(age)
		entries[i].Revision = entries[i].Revision.InEra(response.AsOf.Era())
	}
	if list.remaining == response.PartCount || response.AsOf < list.asOf {
		list.asOf = response.AsOf
	}
	list.parts[number] = entries
	list.remaining--
	return nil
}

func (list *partialList) complete() bool { return len(list.parts) > 0 && list.remaining == 0 }

func (list *partialList) entries() []pool.Entry {
	var all []pool.Entry
	for _, part := range list.parts {
		all = append(all, part...)
	}
	return all
}

// refusedError means that a peer doesn't send the list now, or not in the form that this release needs.
// referral, if set, is a process that may.
type refusedError struct{ referral peer.Incarnation }

func (refusedError) Error() string { return "peer doesn't send the target list at the moment" }

// runListFetches fetches the target list from a peer each time it is requested.
func (f *Follower) runListFetches(ctx context.Context) {
	for {
		select {
		case holder := <-f.peers.holders:
			f.fetchList(ctx, holder)
		case <-ctx.Done():
			return
		}
	}
}

// fetchList requests the missing parts from one process, or from those it refers to. If the
// transfer fails, the parts received so far are kept for the next attempt.
func (f *Follower) fetchList(ctx context.Context, holder peer.Incarnation) {
	list := &f.peers.partialList
	if time.Since(list.startedAt) > maxListReadTime {
		*list = partialList{}
	}
	referrals := 0
	for !list.complete() {
		err := f.fetchPart(ctx, holder, list)
		var refused refusedError
		if errors.As(err, &refused) && refused.referral != "" && referrals < maxReferrals {
			holder = refused.referral
			referrals++
			continue
		}
		if err != nil {
			f.log.Debug("Fetching the target list from a peer failed.", zap.String("member", string(holder)), zap.Int("missing", list.remaining), zap.Error(err))
			return
		}
	}
	now := time.Now()
	f.log.Info("Target list received from peers.", zap.Int("parts", len(list.parts)), zap.Stringer("revision", list.asOf),
		zap.Duration("took", now.Sub(list.startedAt)))
	f.restoreLapsedAfterOutage(now)
	f.table.ResetFromPeer(usableEntries(list.entries()), list.asOf, now)
	f.targetFeed.syncedFromPeer(list.asOf)
	*list = partialList{}
	f.peers.clearHolders()
}

func (f *Follower) fetchPart(ctx context.Context, holder peer.Incarnation, list *partialList) error {
	number := list.firstMissing()
	request := partRequest{Reader: f.peers.network.Self().Incarnation, Part: number}
	var response partResponse
	var err error
	for range maxPartAttempts {
		response, err = f.requestPart(ctx, holder, request)
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	switch {
	case err != nil:
		return err
	case response.Refused || response.PartCount < 1 || response.PartCount > maxParts || !response.HasVersions:
		return refusedError{referral: response.Referral}
	}
	return list.add(number, response, time.Now())
}

func (f *Follower) requestPart(ctx context.Context, holder peer.Incarnation, request partRequest) (partResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, partRequestTimeout)
	defer cancel()
	var response partResponse
	err := f.peers.network.Call(ctx, holder, methodList, request, &response)
	return response, err
}
