package settings

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestCheckerReportsAllMistakes(t *testing.T) {
	var c Checker
	c.Address("listen", "here")
	c.Between("period", time.Hour, time.Second, time.Minute)
	c.OneOf("mode", "x", "a", "b")
	c.URL("table", "http://127.0.0.1:1")
	err := c.Err()
	assert.ErrorContains(t, err, `--listen="here": must be IP:port`)
	assert.ErrorContains(t, err, `--period="1h0m0s": must be 1s to 1m0s`)
	assert.ErrorContains(t, err, `--mode="x": must be one of a, b`)
	var zero Checker
	assert.NilError(t, zero.Err())
}
