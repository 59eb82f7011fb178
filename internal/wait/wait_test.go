package wait

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestWaitEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	assert.Assert(t, For(ctx, time.Millisecond))
	assert.Assert(t, Jittered(ctx, time.Millisecond))
	cancel()
	assert.Assert(t, !For(ctx, time.Hour))
	assert.Assert(t, !Jittered(ctx, time.Hour))
}
