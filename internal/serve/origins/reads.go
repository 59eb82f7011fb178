package origins

import (
	"context"
	"errors"
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/fresh"
)

// tableRead is a read of the table.
type tableRead = fresh.Call[Contents]

const (
	// recallTimeout limits how long a request waits for a read. minReadPause is the least time between the starts of
	// reads that requests wait for.
	recallTimeout = 700 * time.Millisecond
	minReadPause  = 500 * time.Millisecond
)

// errEarlierEra means that the table has come back from a copy since it answered.
var errEarlierEra = errors.New("answer is from an earlier era of the table")

// readSince returns a read that starts at the given time or later, pause after the one before at the earliest.
func (l *Ledger) readSince(t time.Time, pause time.Duration) *tableRead {
	return l.reads.Since(l.baseCtx, t, pause, l.readTable)
}

// readTable reads the table and takes over its contents.
func (l *Ledger) readTable(ctx context.Context) (Contents, error) {
	ctx, cancel := context.WithTimeout(ctx, rowsTimeout)
	defer cancel()
	contents, err := l.Rows.ReadOrigins(ctx)
	if err != nil {
		l.count("vanillagate_stream_origins_reads_failed")
		return Contents{}, err
	}
	if !l.apply(contents, time.Now()) {
		return Contents{}, errEarlierEra
	}
	return contents, nil
}

// read reads the table at once.
func (l *Ledger) read(ctx context.Context) (Contents, error) {
	return l.readSince(time.Now(), 0).Await(ctx)
}
