package lag

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestLongestLagIsKept(t *testing.T) {
	var m Meter
	for _, lag := range []time.Duration{time.Millisecond, 80 * time.Millisecond, 3 * time.Millisecond} {
		m.record(lag)
	}
	assert.Equal(t, m.Longest(), 80*time.Millisecond)
}

func TestProcessOnTimeHasNoLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		m := Start(ctx)
		time.Sleep(time.Minute)
		assert.Equal(t, m.Longest(), time.Duration(0))
		cancel()
	})
}
