package engine

import (
	"context"
	"time"
)

// WeightStore emulates the store that models and adapters are loaded from. It
// limits the number of concurrent loads; further loads wait.
type WeightStore struct{ slots chan struct{} }

// NewWeightStore creates a store that allows the given number of concurrent
// loads.
func NewWeightStore(maxConcurrent int) *WeightStore {
	return &WeightStore{slots: make(chan struct{}, maxConcurrent)}
}

// load waits for a slot and occupies it for the given duration.
func (w *WeightStore) load(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case w.slots <- struct{}{}:
	}
	defer func() { <-w.slots }()
	return sleep(ctx, duration)
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
