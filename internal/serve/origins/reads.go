package origins

import (
	"context"
	"sync"
	"time"
)

// reads has one read of the table run at a time.
type reads struct {
	mu sync.Mutex // guards the fields below; no other lock is taken while it is held
	// last is the last read, which may still run.
	last *tableRead
}

type tableRead struct {
	startedAt time.Time
	done      chan struct{}
	// contents and err are set when done is closed.
	contents Contents
	err      error
}

const (
	// recallTimeout limits how long a request waits for a read. minReadPause is the least time between the starts of
	// reads that requests wait for.
	recallTimeout = 500 * time.Millisecond
	minReadPause  = 500 * time.Millisecond
)

// start returns the read that runs, or the last one if it is no older than maxAge, or starts one.
func (r *reads) start(l *Ledger, maxAge time.Duration) *tableRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last != nil {
		select {
		case <-r.last.done:
			if time.Since(r.last.startedAt) < maxAge {
				return r.last
			}
		default:
			return r.last
		}
	}
	read := &tableRead{startedAt: time.Now(), done: make(chan struct{})}
	r.last = read
	go func() {
		defer close(read.done)
		ctx, cancel := context.WithTimeout(l.baseCtx, rowsTimeout)
		defer cancel()
		if read.contents, read.err = l.Rows.ReadOrigins(ctx); read.err != nil {
			l.count("vanillagate_stream_origins_reads_failed")
			return
		}
		l.apply(read.contents, time.Now())
	}()
	return read
}

// await waits for the result of a read that a request needs.
func (r *reads) await(ctx context.Context, l *Ledger) error {
	read := r.start(l, minReadPause)
	select {
	case <-read.done:
		return read.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// do reads the table.
func (r *reads) do(ctx context.Context, l *Ledger) (Contents, error) {
	read := r.start(l, 0)
	select {
	case <-read.done:
		return read.contents, read.err
	case <-ctx.Done():
		return Contents{}, ctx.Err()
	}
}
