package claim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestTxLimiter(t *testing.T) {
	now := time.Unix(0, 0)
	p := newTxLimiter(now)
	for range txBurst + 1 {
		assert.Equal(t, p.delay(now), time.Duration(0))
		p.recordTx(now)
	}
	assert.Equal(t, p.delay(now), txInterval)
	p.recordTx(now) // a full batch
	assert.Equal(t, p.delay(now), txInterval)
	now = now.Add(txInterval)
	assert.Equal(t, p.delay(now), time.Duration(0))
	now = now.Add(time.Hour)
	p.recordTx(now)
	assert.Equal(t, p.delay(now), time.Duration(0))
}
