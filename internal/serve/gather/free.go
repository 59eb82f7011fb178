package gather

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
)

// handlesOf returns the handles of those items that have a result.
func handlesOf(results []Result) []string {
	var handles []string
	for _, result := range results {
		if result.Reason == Completed {
			handles = append(handles, result.Handle)
		}
	}
	return handles
}

// Free frees the space of results of a shard. The results of several requests are sent
// together.
func (r *Requester) Free(shard Shard, results []Result) {
	byAllocator := map[Allocator][]string{}
	for _, result := range results {
		if result.Reason == Completed {
			byAllocator[result.Allocator(shard)] = append(byAllocator[result.Allocator(shard)], result.Handle)
		}
	}
	for allocator, handles := range byAllocator {
		r.free(allocator, handles, true)
	}
}

// free collects results to be freed and schedules flush.
func (r *Requester) free(allocator Allocator, handles []string, final bool) {
	key := freeKey{Allocator: allocator, Final: final}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pendingFrees[key] = append(r.pendingFrees[key], handles...)
	if r.flushScheduled {
		return
	}
	r.flushScheduled = true
	time.AfterFunc(freeMessageDelay, r.flush)
}

// flush sends the collected results to be freed to the processes that free them.
func (r *Requester) flush() {
	r.mu.Lock()
	pendingFrees := r.pendingFrees
	r.pendingFrees = map[freeKey][]string{}
	r.flushScheduled = false
	r.mu.Unlock()
	// These run concurrently so that an allocator that hangs doesn't delay the others.
	for key, handles := range pendingFrees {
		go r.freeAt(key, handles)
	}
}

func (r *Requester) freeAt(key freeKey, handles []string) {
	released := r.freeVia(r.freeDestination(key.Allocator), key, handles)
	if !key.Final {
		r.own.markReleased(released)
	}
}

// freeVia has a process free results and returns those that it did free.
func (r *Requester) freeVia(gatherer peer.Incarnation, key freeKey, handles []string) []string {
	if gatherer == r.network.Self().Incarnation {
		return r.own.Free(key.Shard, handles, key.Final)
	}
	ctx, cancel := context.WithTimeout(context.Background(), deliveryTimeout)
	defer cancel()
	var ack freeAck
	if err := r.network.Call(ctx, gatherer, methodFree, freeCall{freeKey: key, Handles: handles}, &ack); err != nil {
		r.log.Debug("Allocator did not free results; freeing them from this process.", zap.Error(err))
		return r.own.Free(key.Shard, handles, key.Final)
	}
	return ack.releasedFrom(handles)
}

// freeDestination returns the process that is told to free results: their allocator, or this
// process if the allocator has died, since its account is gone with it.
func (r *Requester) freeDestination(allocator Allocator) peer.Incarnation {
	switch {
	case r.leaveOut.Has(leaveout.Allocators):
		return r.gatherers(allocator.Shard)[0]
	case r.isMember(allocator.Gatherer):
		return allocator.Gatherer
	default:
		return r.network.Self().Incarnation
	}
}
