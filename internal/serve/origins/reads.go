package origins

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/wait"
)

// reads makes the reads of the table, which share their results.
type reads struct {
	mu sync.Mutex // guards the fields below; no other lock is taken while it is held
	// last is the latest read, which may still run or be due.
	last *tableRead
}

type tableRead struct {
	// startsAt is when the read starts at the earliest.
	startsAt time.Time
	done     chan struct{}
	// contents and err are set when done is closed.
	contents Contents
	err      error
}

const (
	// recallTimeout limits how long a request waits for a read. minReadPause is the least time between the starts of
	// reads that requests wait for.
	recallTimeout = 700 * time.Millisecond
	minReadPause  = 500 * time.Millisecond
)

// errStopped means that this process ends.
var errStopped = errors.New("process ends")

// since returns a read that starts at the given time or later, or one that has failed less than pause ago. A new one starts
// pause after the one before at the earliest.
func (r *reads) since(t time.Time, pause time.Duration, l *Ledger) *tableRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	startsAt := time.Now()
	if r.last != nil {
		due := r.last.startsAt.Add(pause)
		if !r.last.startsAt.Before(t) || r.last.failed() && due.After(startsAt) {
			return r.last
		}
		if due.After(startsAt) {
			startsAt = due
		}
	}
	read := &tableRead{startsAt: startsAt, done: make(chan struct{})}
	r.last = read
	go read.run(l)
	return read
}

// run makes the read when it is due.
func (read *tableRead) run(l *Ledger) {
	defer close(read.done)
	if !wait.Until(l.baseCtx, read.startsAt) {
		read.err = errStopped
		return
	}
	ctx, cancel := context.WithTimeout(l.baseCtx, rowsTimeout)
	defer cancel()
	if read.contents, read.err = l.Rows.ReadOrigins(ctx); read.err != nil {
		l.count("vanillagate_stream_origins_reads_failed")
		return
	}
	l.apply(read.contents, time.Now())
}

// failed reports whether the read has failed by now.
func (read *tableRead) failed() bool {
	select {
	case <-read.done:
		return read.err != nil
	default:
		return false
	}
}

// await waits for the result of a read.
func (read *tableRead) await(ctx context.Context) (Contents, error) {
	select {
	case <-read.done:
		return read.contents, read.err
	case <-ctx.Done():
		return Contents{}, ctx.Err()
	}
}

// do reads the table.
func (r *reads) do(ctx context.Context, l *Ledger) (Contents, error) {
	return r.since(time.Now(), 0, l).await(ctx)
}
