package run

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestALeavingProcessTakesWhatFitsIntoItsTime(t *testing.T) {
	stop := time.Now()
	d := Departure{Welcome: stop.Add(2500 * time.Millisecond), End: stop.Add(7600 * time.Millisecond)}
	for _, c := range []struct {
		name     string
		after    time.Duration
		patience time.Duration
		taken    bool
	}{
		{"at the stop, long", 0, 20 * time.Second, true},
		{"while those that were told still come", 2499 * time.Millisecond, 20 * time.Second, true},
		{"after that, long", 2500 * time.Millisecond, 20 * time.Second, false},
		{"after that, as long as what is left", 2600 * time.Millisecond, 5 * time.Second, true},
		{"a little longer than what is left", 2601 * time.Millisecond, 5 * time.Second, false},
		{"short, shortly before the end", 7 * time.Second, 600 * time.Millisecond, true},
		{"after the end", 8 * time.Second, time.Millisecond, false},
	} {
		assert.Equal(t, d.Takes(stop.Add(c.after), c.patience), c.taken, c.name)
	}
}
