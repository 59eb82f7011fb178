package gather

import (
	"slices"
	"time"
)

// inputFetchTime is how long after the start of its call a target has certainly fetched the
// inputs of all items: fetching them is its first step, over links of 10 Gbit/s, and a call's
// inputs are a few MB at most.
const inputFetchTime = 60 * time.Millisecond

// earlyReleaseThreshold is the used share of a target's buffer from which on results are freed
// as soon as their reader has fetched them, instead of when its call has ended. Buffers limit
// throughput before batch sizes do, and a result that stays for the 350 ms of the reader's call
// wastes a third of its buffer. But an item that fails needs its inputs again, and without them
// its request restarts its stages, which costs a second. So results are freed early only where
// the space is needed.
const earlyReleaseThreshold = 0.15

// inputTracker tracks the groups of items whose inputs this shard's gatherer has to release.
type inputTracker struct{ groups map[groupKey]*inputGroup }

// inputGroup holds the items of one stage of one request, and the inputs that they share.
type inputGroup struct {
	allocator Allocator
	inputs    []string
	// unfetched holds the items of the group whose inputs haven't been fetched, incomplete
	// those that have no result yet.
	unfetched  map[Key]bool
	incomplete map[Key]bool
	serial     uint64
	// released means that the inputs were freed while the items that read them could still
	// fail.
	released bool
}

// add starts to track an item if its stage is the last reader of its inputs.
func (t *inputTracker) add(item Item) {
	if !item.LastReader {
		return
	}
	if t.groups == nil {
		t.groups = map[groupKey]*inputGroup{}
	}
	group := t.groups[item.group()]
	if group == nil {
		group = &inputGroup{allocator: item.InputAllocator, inputs: item.Inputs, unfetched: map[Key]bool{}, incomplete: map[Key]bool{}}
		t.groups[item.group()] = group
	}
	group.serial = max(group.serial, item.Serial)
	group.unfetched[item.Key] = true
	group.incomplete[item.Key] = true
}

// inputsFetched records that the inputs of items were fetched, and returns the groups in which this
// was the last missing item.
func (t *inputTracker) inputsFetched(items []Item) []*inputGroup {
	var done []*inputGroup
	for _, item := range items {
		group := t.groups[item.group()]
		if group == nil || !group.unfetched[item.Key] {
			continue
		}
		delete(group.unfetched, item.Key)
		if len(group.unfetched) == 0 {
			done = append(done, group)
		}
	}
	return done
}

// markReleased records that inputs were freed before the items that read them were complete.
func (t *inputTracker) markReleased(handles map[string]bool) {
	for _, group := range t.groups {
		if slices.ContainsFunc(group.inputs, func(h string) bool { return handles[h] }) {
			group.released = true
		}
	}
}

// released reports whether an item's inputs were freed before it was complete.
func (t *inputTracker) released(k Key) bool {
	group := t.groups[k.group()]
	return group != nil && group.released
}

// completed records that an item has a result, and returns its group if it was the last item.
func (t *inputTracker) completed(k Key) *inputGroup {
	group := t.groups[k.group()]
	if group == nil {
		return nil
	}
	delete(group.incomplete, k)
	if len(group.incomplete) > 0 {
		return nil
	}
	delete(t.groups, k.group())
	return group
}

// drop forgets a request's groups with a serial not above upTo. The request's owner frees the
// inputs itself.
func (t *inputTracker) drop(request string, upTo uint64) {
	for key, group := range t.groups {
		if key.Request == request && group.serial <= upTo {
			delete(t.groups, key)
		}
	}
}
