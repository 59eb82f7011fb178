package gather

import (
	"slices"
	"time"
)

// fetchTime is how long after the start of its call a target has surely fetched
// the inputs of all items: it does so first, over links of 10 Gbit/s, and a
// call's inputs are a few MB at most.
const fetchTime = 60 * time.Millisecond

// tightBuffer is the part of a target's buffer in use from which on results are
// given back as soon as their reader has fetched them, instead of when its call
// has ended. The buffers bind before the batches do, and a result that stays for
// the 350 ms of that call takes a third of its buffer for nothing. But an item that
// fails needs its inputs again, and without them its request starts its stages
// over, which costs a second; so it is done only where the space is needed.
const tightBuffer = 0.15

// feeding follows the groups of items whose inputs a shard has to give back.
type feeding struct{ groups map[groupKey]*feed }

type feed struct {
	allocator Allocator
	inputs    []string
	// unfetched and unmade are the items of the group whose inputs haven't been
	// fetched, and those that haven't been made.
	unfetched map[Key]bool
	unmade    map[Key]bool
	serial    uint64
	// released tells that the inputs were given back, though their readers may fail.
	released bool
}

// add notes an item that is to be fed.
func (f *feeding) add(item Item) {
	if !item.LastReader {
		return
	}
	if f.groups == nil {
		f.groups = map[groupKey]*feed{}
	}
	group := f.groups[item.group()]
	if group == nil {
		group = &feed{allocator: item.InputAllocator, inputs: item.Inputs, unfetched: map[Key]bool{}, unmade: map[Key]bool{}}
		f.groups[item.group()] = group
	}
	group.serial = max(group.serial, item.Serial)
	group.unfetched[item.Key] = true
	group.unmade[item.Key] = true
}

// fetched notes that the inputs of items were fetched, and returns the groups
// for which all were.
func (f *feeding) fetched(items []Item) []*feed {
	var done []*feed
	for _, item := range items {
		group := f.groups[item.group()]
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

// noteReleased notes that inputs were given back before their readers were done.
func (f *feeding) noteReleased(handles map[string]bool) {
	for _, group := range f.groups {
		if slices.ContainsFunc(group.inputs, func(h string) bool { return handles[h] }) {
			group.released = true
		}
	}
}

// released tells whether an item's inputs were given back before it was made.
func (f *feeding) released(k Key) bool {
	group := f.groups[k.group()]
	return group != nil && group.released
}

// made notes that an item was made, and returns its group if that was the last.
func (f *feeding) made(k Key) *feed {
	group := f.groups[k.group()]
	if group == nil {
		return nil
	}
	delete(group.unmade, k)
	if len(group.unmade) > 0 {
		return nil
	}
	delete(f.groups, k.group())
	return group
}

// drop forgets a request: its owner gives back what it has.
func (f *feeding) drop(request string, upTo uint64) {
	for key, group := range f.groups {
		if key.Request == request && group.serial <= upTo {
			delete(f.groups, key)
		}
	}
}
