package peer

import (
	"context"
	"sync"
)

// itemID identifies an item across its versions.
type itemID struct {
	topic Topic
	hash  uint64
}

// inbox queues items for the subscribers and delivers them one at a time. A queued item is
// replaced by its newer version, so that a slow subscriber doesn't block any link and the
// queue is bounded by the store.
type inbox struct {
	subscribers map[Topic][]func(Item) // not changed after Start
	wake        chan struct{}
	mu          sync.Mutex // guards the fields below
	queued      map[itemID]Item
	order       []itemID
}

func newInbox() *inbox {
	return &inbox{
		subscribers: map[Topic][]func(Item){},
		wake:        make(chan struct{}, 1),
		queued:      map[itemID]Item{},
	}
}

func (i *inbox) subscribe(topic Topic, fn func(Item)) {
	i.subscribers[topic] = append(i.subscribers[topic], fn)
}

func (i *inbox) add(e *entry) {
	if len(i.subscribers[e.Topic]) == 0 {
		return
	}
	id := itemID{e.Topic, e.hash}
	i.mu.Lock()
	if _, found := i.queued[id]; !found {
		i.order = append(i.order, id)
	}
	i.queued[id] = e.Item
	i.mu.Unlock()
	select {
	case i.wake <- struct{}{}:
	default:
	}
}

func (i *inbox) next() (Item, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.order) == 0 {
		return Item{}, false
	}
	id := i.order[0]
	i.order = i.order[1:]
	item := i.queued[id]
	delete(i.queued, id)
	return item, true
}

func (i *inbox) deliver(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-i.wake:
		}
		for item, found := i.next(); found && ctx.Err() == nil; item, found = i.next() {
			for _, fn := range i.subscribers[item.Topic] {
				fn(item)
			}
		}
	}
}
