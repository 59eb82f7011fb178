package upstream

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an idle time that overflows, so that connections are never used again or for too long.
func TestOddKeepAliveIsBounded(t *testing.T) {
	for _, value := range []string{
		"timeout=99999999999999999999", "timeout=9223372036854775807", "timeout=18446744074", "timeout=9223372037", "timeout=-5", "timeout=0",
		"timeout=", "timeout=x", "timeout=1e9", "timeout=5, timeout=x", ",,,=", "timeout=86400",
	} {
		address := startTarget(t, alwaysAnswer("HTTP/1.1 200 OK\r\nKeep-Alive: "+value+"\r\nX-Attempt: id-1\r\nContent-Length: 5\r\n\r\nhello"))
		var c Client
		for range 3 {
			assert.Equal(t, exchange(t, &c, address), "hello", value)
		}
		assert.Equal(t, c.Dialed(), int64(1), "%s", value)
	}
}
