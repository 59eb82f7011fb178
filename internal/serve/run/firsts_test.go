package run

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestFirstEventsAreLearntByRoute(t *testing.T) {
	var f firsts
	assert.Equal(t, f.of("long"), usualFirst)
	for range 100 {
		f.note("long", 450*time.Millisecond)
		f.note("short", 10*time.Millisecond)
		f.note("stuck", 5*time.Second)
	}
	assert.Assert(t, f.of("long") > 445*time.Millisecond && f.of("long") < 455*time.Millisecond)
	assert.Equal(t, f.of("short"), leastFirst)
	assert.Equal(t, f.of("stuck"), mostFirst)
	f.note("long", 450*time.Millisecond+16*time.Second)
	assert.Equal(t, f.of("long"), mostFirst)
	assert.Equal(t, f.of("another"), usualFirst)
}
