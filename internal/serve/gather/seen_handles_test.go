package gather

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSeenHandles(t *testing.T) {
	var s SeenHandles
	start := time.Now()
	assert.Assert(t, s.Add("t", []string{"a", "b"}, start))
	assert.Assert(t, s.Add("u", []string{"a"}, start), "of another target")
	assert.Assert(t, !s.Add("t", []string{"c", "b"}, start))
	assert.Assert(t, s.Add("t", nil, start))
	assert.Assert(t, !s.Add("t", []string{"a"}, start.Add(seenTime)))
	assert.Assert(t, !s.Add("t", []string{"a"}, start.Add(seenTime+time.Second)))
}

// Guards against memory that grows with every result.
func TestSeenHandlesAreForgotten(t *testing.T) {
	var s SeenHandles
	start := time.Now()
	for i := range 10 {
		assert.Assert(t, s.Add("t", []string{string(rune('a' + i))}, start.Add(time.Duration(i)*2*seenTime)))
	}
	assert.Equal(t, len(s.recent)+len(s.older), 2)
	assert.Assert(t, s.Add("t", []string{"a"}, start.Add(20*seenTime)))
}
