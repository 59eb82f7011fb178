package stagepool

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

func noStraggle() float64 { return 1 }

func TestConcurrencyAndQueueAreLimited(t *testing.T) {
	s := NewServer(Costs{Concurrency: 1, MaxQueue: 1, LoadLagMS: -1}, 1, noStraggle)
	ctx, cancel := context.WithCancel(context.Background())
	assert.NilError(t, s.Acquire(ctx))
	waited := make(chan error, 1)
	go func() { waited <- s.Acquire(ctx) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.Load().Named.Waiting == 1 {
			return poll.Success()
		}
		return poll.Continue("no call waits yet")
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(time.Millisecond))
	assert.Equal(t, s.Load().Utilization, 2.0)
	assert.ErrorIs(t, s.Acquire(ctx), ErrQueueFull)
	cancel()
	assert.ErrorIs(t, <-waited, context.Canceled)
	assert.Equal(t, s.Load().Named.Waiting, 0.0)
	s.Release()
	assert.NilError(t, s.Acquire(context.Background()))
}

func TestCostsAreSeededAndScaledByStraggleFactor(t *testing.T) {
	costs := Costs{BaseUS: 1000, PerItemUS: 100, JitterShare: 0.2}
	first, again := NewServer(costs, 7, noStraggle), NewServer(costs, 7, noStraggle)
	other := NewServer(costs, 8, noStraggle)
	slow := NewServer(costs, 7, func() float64 { return 10 })
	differs := false
	for range 100 {
		cost := first.cost(5)
		assert.Equal(t, cost, again.cost(5))
		assert.Assert(t, cost >= 1200*time.Microsecond && cost <= 1800*time.Microsecond, cost)
		slowed := slow.cost(5)
		assert.Assert(t, slowed >= 12*time.Millisecond && slowed <= 18*time.Millisecond, slowed)
		differs = differs || other.cost(5) != cost
	}
	assert.Assert(t, differs)
}
