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

// Limits of a batch. A single claim waits at most batchDelay for others to join
// its transaction. While maxTxInFlight transactions are in flight, or the rate
// limit is used up, writes accumulate for the next batch.
const (
	maxBatch      = 50
	maxTxInFlight = 2
	batchDelay    = 2 * time.Millisecond
	queueSize     = 4096
)

// writeResult is the result of one write of a batch.
type writeResult struct {
	// applied is set if the write took effect.
	applied bool
	// found is the existing row that made the write's condition fail.
	found *backing.Row
	err   error
}

// pending is one write that waits to be sent in a batch.
type pending struct {
	write  backing.Write
	result chan writeResult // buffered for one result
	// dequeued is set once, either by the batcher when it adds the write to a
	// batch or by the waiting caller when it gives up first. It separates
	// writes that were certainly not sent from those that may have been.
	dequeued atomic.Bool
}

// errQueueFull is the error of a write that was never sent.
var errQueueFull = errors.Join(errors.New("claim: too many claims are waiting"), backing.ErrNotRun)

// batcher combines the writes of many requests into few transactions, because
// the store handles only a few hundred writes per second.
type batcher struct {
	table   backing.Table
	queue   chan *pending
	slots   chan struct{} // one entry per transaction in flight
	limiter *txLimiter    // used only by run
}

func newBatcher(table backing.Table) *batcher {
	return &batcher{
		table:   table,
		queue:   make(chan *pending, queueSize),
		slots:   make(chan struct{}, maxTxInFlight),
		limiter: newTxLimiter(time.Now()),
	}
}

// write queues one write and waits for its result.
func (b *batcher) write(ctx context.Context, w backing.Write) writeResult {
	p := &pending{write: w, result: make(chan writeResult, 1)}
	select {
	case b.queue <- p:
	default:
		return writeResult{err: errQueueFull}
	}
	select {
	case result := <-p.result:
		return result
	case <-ctx.Done():
	}
	if p.dequeued.CompareAndSwap(false, true) {
		return writeResult{err: fmt.Errorf("%w: %w", backing.ErrNotRun, context.Cause(ctx))}
	}
	return writeResult{err: fmt.Errorf("%w: %w", backing.ErrUnknown, context.Cause(ctx))}
}

// run sends batches until the context ends, then waits for the transactions in
// flight.
func (b *batcher) run(ctx context.Context) {
	var sending sync.WaitGroup
	defer sending.Wait()
	var nextWrites []*pending
	for {
		batch, rest, ok := b.collect(ctx, nextWrites)
		if !ok {
			return
		}
		nextWrites = rest
		sending.Go(func() {
			defer func() { <-b.slots }()
			b.send(context.WithoutCancel(ctx), batch)
		})
	}
}

// collect waits for a free transaction slot and a first write, then collects
// more writes until the batch is full or the delay has passed. carried are the
// writes that did not fit into the batch before. It returns the batch and the
// writes that are deferred to the next one.
func (b *batcher) collect(ctx context.Context, carried []*pending) (batch, rest []*pending, ok bool) {
	select {
	case b.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, nil, false
	}
	builder := newBatch()
	for _, p := range carried {
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
	timer := time.NewTimer(max(batchDelay, b.limiter.delay(time.Now())))
	defer timer.Stop()
	defer func() { b.limiter.recordTx(time.Now()) }()
	for {
		// A full batch is sent at once: the rate limit only exists to fill
		// batches.
		if builder.full() {
			return builder.writes, builder.deferred, true
		}
		select {
		case p := <-b.queue:
			builder.add(p)
		case <-timer.C:
			return builder.writes, builder.deferred, true
		case <-ctx.Done():
			return builder.writes, builder.deferred, true
		}
	}
}

// batch is a transaction under construction. A transaction must not name a row
// twice, so a second write to the same row is deferred to the next batch.
type batch struct {
	writes   []*pending
	deferred []*pending
	keys     map[backing.Key]bool
}

func newBatch() *batch { return &batch{keys: map[backing.Key]bool{}} }

func (b *batch) empty() bool { return len(b.writes) == 0 }
func (b *batch) full() bool  { return len(b.writes) >= maxBatch }

func (b *batch) add(p *pending) {
	if b.full() || b.keys[p.write.Row.Key] {
		b.deferred = append(b.deferred, p)
		return
	}
	if !p.dequeued.CompareAndSwap(false, true) {
		return // its caller has given up
	}
	b.keys[p.write.Row.Key] = true
	b.writes = append(b.writes, p)
}

// send commits a batch. A single write whose condition fails cancels the whole
// transaction, so the others are sent again without it.
func (b *batcher) send(ctx context.Context, writes []*pending) {
	for len(writes) > 0 {
		conflicts, err := b.table.Commit(ctx, rowWrites(writes))
		if err != nil {
			deliverAll(writes, writeResult{err: err})
			return
		}
		if len(conflicts) == 0 {
			deliverAll(writes, writeResult{applied: true})
			return
		}
		writes = dropConflicting(writes, conflicts)
	}
}

func rowWrites(all []*pending) []backing.Write {
	writes := make([]backing.Write, 0, len(all))
	for _, p := range all {
		writes = append(writes, p.write)
	}
	return writes
}

func deliverAll(all []*pending, result writeResult) {
	for _, p := range all {
		p.result <- result
	}
}

func dropConflicting(all []*pending, conflicts []backing.Conflict) []*pending {
	lost := map[int]bool{}
	for _, c := range conflicts {
		lost[c.Index] = true
		all[c.Index].result <- writeResult{found: c.Found}
	}
	var rest []*pending
	for i, p := range all {
		if !lost[i] {
			rest = append(rest, p)
		}
	}
	return rest
}
