package plan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against limits that the process can't bear and that replace those in force.
func TestUnbearableLimitsLeaveThoseBefore(t *testing.T) {
	const memory = 144_000_000
	before := Limits{HeaderBytes: 20 << 10, BodyBytes: 3 << 20, HeaderTime: 4 * time.Second, IdleTime: time.Minute}
	for name, unbearable := range map[string]Limits{
		"headers":          {HeaderBytes: MaxHeaderBytes + 1},
		"negative headers": {HeaderBytes: -1},
		"body":             {BodyBytes: memory/bodyShare + 1},
		"negative body":    {BodyBytes: -1},
		"time":             {HeaderTime: MaxHeaderTime + 1},
		"negative time":    {HeaderTime: -1},
	} {
		h := &Holder{MemoryBytes: memory}
		first := &Plan{Version: 1, Limits: before}
		assert.Assert(t, h.Apply(first))
		assert.Equal(t, len(first.Unusable), 0)
		next := &Plan{Version: 2, Limits: before, Unusable: []string{"another part"}}
		set := func(to *int, from int) {
			if from != 0 {
				*to = from
			}
		}
		set(&next.Limits.HeaderBytes, unbearable.HeaderBytes)
		set(&next.Limits.BodyBytes, unbearable.BodyBytes)
		if unbearable.HeaderTime != 0 {
			next.Limits.HeaderTime = unbearable.HeaderTime
		}
		assert.Assert(t, h.Apply(next), name)
		assert.Equal(t, h.Limits(), before, name)
		assert.Equal(t, len(next.Unusable), 2, "%s: %q", name, next.Unusable)
	}
}

// Guards against limits that the process can bear and that don't bind.
func TestBearableLimitsBind(t *testing.T) {
	for _, limits := range []Limits{
		{},
		{HeaderBytes: MaxHeaderBytes, BodyBytes: MaxBodyBytes, HeaderTime: MaxHeaderTime, IdleTime: 1000 * time.Hour},
		{HeaderBytes: 1, BodyBytes: 1, HeaderTime: 1, IdleTime: 1},
	} {
		h := &Holder{}
		assert.Assert(t, h.Apply(&Plan{Version: 1, Limits: Limits{HeaderBytes: 100, BodyBytes: 100}}))
		next := &Plan{Version: 2, Limits: limits}
		assert.Assert(t, h.Apply(next))
		assert.Equal(t, h.Limits(), limits)
		assert.Equal(t, len(next.Unusable), 0, "%q", next.Unusable)
	}
}
