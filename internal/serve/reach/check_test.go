package reach

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

func TestCutOff(t *testing.T) {
	for _, tc := range []struct {
		tried, connected int
		was, cutOff      bool
	}{
		{0, 0, false, false},
		{0, 0, true, false},
		{1, 0, false, true},
		{1, 1, true, false},
		{3, 0, false, true},
		{3, 1, false, false},
		{3, 1, true, true},
		{3, 2, true, false},
		{8, 1, false, true},
		{8, 2, false, false},
		{8, 3, true, true},
		{8, 4, true, false},
	} {
		assert.Equal(t, check{tried: tc.tried, late: true}.cutOff(tc.was), tc.was, "%+v", tc)
		assert.Equal(t, check{tried: tc.tried, connected: make([]*pool.Target, tc.connected)}.cutOff(tc.was), tc.cutOff, "%+v", tc)
	}
}

func TestSuspicious(t *testing.T) {
	now := time.Now()
	recent, old := now.Add(-suspicionTime/2), now.Add(-2*suspicionTime)
	assert.Assert(t, !failures{"a": recent}.suspicious(5, now))
	assert.Assert(t, failures{"a": recent, "b": now}.suspicious(5, now))
	assert.Assert(t, !failures{"a": old, "b": now}.suspicious(5, now))
	assert.Assert(t, failures{"a": now}.suspicious(1, now), "the only target")
}
