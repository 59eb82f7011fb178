package fault

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestFaultsOfPoolAndTargetAreCombined(t *testing.T) {
	s := NewSet(1)
	changes := 0
	s.Watch(func() { changes++ })
	s.Put(PoolScope("llm"), Fault{DelayMS: 10, StraggleFactor: 2, CrashMarker: "[crash]"})
	s.Put(TargetScope("127.0.0.1:1"), Fault{DelayMS: 5, StraggleFactor: 3, Down: true, RestartMS: 7})
	both := s.Combined(PoolScope("llm"), TargetScope("127.0.0.1:1"))
	assert.Equal(t, both, Fault{DelayMS: 15, StraggleFactor: 6, Down: true, CrashMarker: "[crash]", RestartMS: 7})
	assert.Equal(t, s.Combined(PoolScope("llm"), TargetScope("127.0.0.1:2")).Down, false)
	s.Put(PoolScope("llm"), Fault{})
	s.Put(TargetScope("127.0.0.1:1"), Fault{})
	assert.Equal(t, s.Combined(PoolScope("llm"), TargetScope("127.0.0.1:1")), Fault{})
	assert.Equal(t, len(s.All()), 0)
	assert.Equal(t, changes, 4)
}

func TestDefaults(t *testing.T) {
	assert.Equal(t, Fault{}.EffectiveStraggleFactor(), 1.0)
	assert.Equal(t, Fault{}.Restart(), time.Second)
	assert.Equal(t, Fault{RestartMS: 20}.Restart(), 20*time.Millisecond)
}

func TestSampleSelectsGivenShare(t *testing.T) {
	s, again := NewSet(3), NewSet(3)
	hits := 0
	for range 10_000 {
		hit := s.Sample(0.2)
		assert.Equal(t, hit, again.Sample(0.2))
		if hit {
			hits++
		}
	}
	assert.Assert(t, hits > 1800 && hits < 2200, hits)
	assert.Equal(t, s.Sample(0), false)
	assert.Equal(t, s.Sample(1), true)
}
