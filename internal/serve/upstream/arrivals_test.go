package upstream

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against data that were delayed by an interruption and show that their sender ran after it.
func TestSenderIsKnownUntilTheFirstPause(t *testing.T) {
	const step = 50 * time.Millisecond
	for name, tc := range map[string]struct {
		// pauses are the times between arrivals, the first one from when the request was sent.
		pauses []time.Duration
		known  time.Duration
	}{
		"nothing":                    {nil, 0},
		"at once":                    {[]time.Duration{step, step}, 2 * step},
		"first data after a pause":   {[]time.Duration{RestartTime, step}, 0},
		"a pause in between":         {[]time.Duration{step, step, 2 * time.Second, time.Millisecond, step}, 2 * step},
		"steady for long after it":   {[]time.Duration{step, RestartTime, 200 * time.Millisecond, 200 * time.Millisecond, 200 * time.Millisecond, 200 * time.Millisecond, 200 * time.Millisecond}, step + RestartTime + steadyTime},
		"two pauses":                 {[]time.Duration{step, RestartTime, 200 * time.Millisecond, RestartTime, 200 * time.Millisecond}, step},
		"slow all the time":          {[]time.Duration{280 * time.Millisecond, 280 * time.Millisecond, 280 * time.Millisecond, 280 * time.Millisecond, 280 * time.Millisecond}, 5 * 280 * time.Millisecond},
		"a pause in a slow one":      {[]time.Duration{280 * time.Millisecond, 280 * time.Millisecond, 280 * time.Millisecond, 280 * time.Millisecond, 280 * time.Millisecond, 430 * time.Millisecond}, 5 * 280 * time.Millisecond},
		"long pauses all the time":   {[]time.Duration{longestInterval, longestInterval, longestInterval, longestInterval}, 0},
		"just shorter than restarts": {[]time.Duration{RestartTime - 1, RestartTime - 1}, 2 * (RestartTime - 1)},
	} {
		sent := time.Now()
		now, a := sent, newArrivals(sent)
		for _, pause := range tc.pauses {
			now = now.Add(pause)
			a.add(now)
		}
		assert.Equal(t, a.knownUntil.Sub(sent), tc.known, name)
		assert.Equal(t, a.last, now, name)
	}
}
