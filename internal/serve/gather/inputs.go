package gather

import "time"

// fetchTime is how long after the start of its call a target has surely fetched
// the inputs of all items: it does so first, over links of 10 Gbit/s, and a
// call's inputs are a few MB at most.
const fetchTime = 60 * time.Millisecond

// feeding follows the groups of items whose inputs a cell has to give back. The
// rooms of the makers bind before their batches do: a result that stays until
// the call that read it has ended, 350 ms later, takes a third of its room in
// vain. So inputs are given back as soon as they have been fetched. If that
// call fails after all, the items report them gone and their request starts
// its stages over.
type feeding struct{ groups map[groupKey]*feed }

type feed struct {
	cell   Cell
	inputs []string
	// waiting are the items of the group that haven't been fetched for.
	waiting map[Key]bool
}

// add notes an item that is to be fed.
func (f *feeding) add(item Item) {
	if !item.Last {
		return
	}
	if f.groups == nil {
		f.groups = map[groupKey]*feed{}
	}
	group := f.groups[item.group()]
	if group == nil {
		group = &feed{cell: item.InputCell, inputs: item.Inputs, waiting: map[Key]bool{}}
		f.groups[item.group()] = group
	}
	group.waiting[item.Key] = true
}

// fed notes that items were fetched for, and returns the groups whose inputs
// nobody waits for any more.
func (f *feeding) fed(items []Item) []*feed {
	var done []*feed
	for _, item := range items {
		group := f.groups[item.group()]
		if group == nil {
			continue
		}
		delete(group.waiting, item.Key)
		if len(group.waiting) == 0 {
			delete(f.groups, item.group())
			done = append(done, group)
		}
	}
	return done
}

// drop forgets a request: its owner gives back what it has.
func (f *feeding) drop(request string) {
	for key := range f.groups {
		if key.Request == request {
			delete(f.groups, key)
		}
	}
}
