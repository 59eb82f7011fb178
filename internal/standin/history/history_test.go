package history

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestValueIsDelayed(t *testing.T) {
	start := time.Now()
	l := New(time.Second, 0, "old")
	l.Set(start, "new")
	l.Set(start.Add(100*time.Millisecond), "newer")
	for _, c := range []struct {
		after time.Duration
		want  string
	}{{0, "old"}, {999 * time.Millisecond, "old"}, {time.Second, "new"}, {1100 * time.Millisecond, "newer"}} {
		assert.Equal(t, l.Delayed(start.Add(c.after)), c.want, "after %s", c.after)
	}
	assert.Equal(t, l.Latest(), "newer")
}

func TestSampleCountIsBounded(t *testing.T) {
	start := time.Now()
	l := New(time.Second, 100*time.Millisecond, 0)
	for i := range 10_000 {
		l.Set(start.Add(time.Duration(i)*time.Millisecond), i)
	}
	assert.Assert(t, len(l.samples) <= 13, len(l.samples))
}
