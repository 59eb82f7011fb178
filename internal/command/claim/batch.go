package claim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillagate/vanillagate/internal/backing"
)

// Bounds of a batch. A claim that comes alone waits gatherTime at most; while
// inFlight transactions are on their way, or the pace is used up, the next one
// gathers.
const (
	maxBatch   = 50
	inFlight   = 2
	gatherTime = 2 * time.Millisecond
	queueSize  = 4096
)

// placed says what became of one write of a batch.
type placed struct {
	// done says that the write took effect.
	done bool
	// found is the row that stands in its place.
	found *backing.Row
	err   error
}

// pending is one write that waits for its batch.
type pending struct {
	write  backing.Write
	result chan placed // has room for the one result
	// taken is set once, by the batcher that sends the write or by the waiter
	// that leaves before. It tells "certainly not sent" from "may have been".
	taken atomic.Bool
}

// errQueueFull is a write that was never sent.
var errQueueFull = errors.Join(errors.New("claim: too many claims are waiting"), backing.ErrNotRun)

// batcher puts the writes of many requests into few transactions: a few
// hundred writes a second are all that the store gives.
type batcher struct {
	table backing.Table
	queue chan *pending
	slots chan struct{} // one for each transaction in flight
	pace  *pace         // used by run alone
}

func newBatcher(table backing.Table) *batcher {
	return &batcher{
		table: table,
		queue: make(chan *pending, queueSize),
		slots: make(chan struct{}, inFlight),
		pace:  newPace(time.Now()),
	}
}

// write places one row and waits for what became of it.
func (b *batcher) write(ctx context.Context, w backing.Write) placed {
	p := &pending{write: w, result: make(chan placed, 1)}
	select {
	case b.queue <- p:
	default:
		return placed{err: errQueueFull}
	}
	select {
	case result := <-p.result:
		return result
	case <-ctx.Done():
	}
	if p.taken.CompareAndSwap(false, true) {
		return placed{err: fmt.Errorf("%w: %w", backing.ErrNotRun, context.Cause(ctx))}
	}
	return placed{err: fmt.Errorf("%w: %w", backing.ErrUnknown, context.Cause(ctx))}
}

// run sends batches until the context ends, then waits for those in flight.
func (b *batcher) run(ctx context.Context) {
	var sending sync.WaitGroup
	defer sending.Wait()
	var held []*pending
	for {
		batch, rest, ok := b.gather(ctx, held)
		if !ok {
			return
		}
		held = rest
		sending.Go(func() {
			defer func() { <-b.slots }()
			b.send(context.WithoutCancel(ctx), batch)
		})
	}
}

// gather waits for a slot and a first write, then for others.
func (b *batcher) gather(ctx context.Context, held []*pending) (batch, rest []*pending, ok bool) {
	select {
	case b.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, nil, false
	}
	builder := newBatch()
	for _, p := range held {
		builder.add(p)
	}
	for builder.empty() {
		select {
		case p := <-b.queue:
			builder.add(p)
		case <-ctx.Done():
			<-b.slots
			return nil, nil, false
		}
	}
	timer := time.NewTimer(max(gatherTime, b.pace.wait(time.Now())))
	defer timer.Stop()
	defer func() { b.pace.spend(time.Now()) }()
	for {
		// A full batch goes out at once: it is what the pace is there for.
		if builder.full() {
			return builder.writes, builder.rest, true
		}
		select {
		case p := <-b.queue:
			builder.add(p)
		case <-timer.C:
			return builder.writes, builder.rest, true
		case <-ctx.Done():
			return builder.writes, builder.rest, true
		}
	}
}

// batch is one transaction being put together. A transaction must not name a
// row twice, so a second write of a row is held for the next one.
type batch struct {
	writes []*pending
	rest   []*pending
	keys   map[backing.Key]bool
}

func newBatch() *batch { return &batch{keys: map[backing.Key]bool{}} }

func (b *batch) empty() bool { return len(b.writes) == 0 }
func (b *batch) full() bool  { return len(b.writes) >= maxBatch }

func (b *batch) add(p *pending) {
	if b.full() || b.keys[p.write.Row.Key] {
		b.rest = append(b.rest, p)
		return
	}
	if !p.taken.CompareAndSwap(false, true) {
		return // its caller has gone
	}
	b.keys[p.write.Row.Key] = true
	b.writes = append(b.writes, p)
}

// send commits a batch. One write whose condition fails cancels the whole
// transaction, so the others are sent again without it.
func (b *batcher) send(ctx context.Context, writes []*pending) {
	for len(writes) > 0 {
		conflicts, err := b.table.Commit(ctx, writesOf(writes))
		if err != nil {
			answer(writes, placed{err: err})
			return
		}
		if len(conflicts) == 0 {
			answer(writes, placed{done: true})
			return
		}
		writes = without(writes, conflicts)
	}
}

func writesOf(all []*pending) []backing.Write {
	writes := make([]backing.Write, 0, len(all))
	for _, p := range all {
		writes = append(writes, p.write)
	}
	return writes
}

func answer(all []*pending, result placed) {
	for _, p := range all {
		p.result <- result
	}
}

func without(all []*pending, conflicts []backing.Conflict) []*pending {
	lost := map[int]bool{}
	for _, c := range conflicts {
		lost[c.Index] = true
		all[c.Index].result <- placed{found: c.Found}
	}
	var rest []*pending
	for i, p := range all {
		if !lost[i] {
			rest = append(rest, p)
		}
	}
	return rest
}
