package connlimit

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func admit(t *testing.T, l *Limiter) *Place {
	t.Helper()
	near, _ := net.Pipe()
	c, closed := l.Admit(near)
	assert.Assert(t, c != nil && closed == nil)
	return c
}

func TestConnectionToClose(t *testing.T) {
	unproven := func(*Place) {}
	idle := func(c *Place) { c.Serve(); c.Wait() }
	served := func(c *Place) { c.Serve() }
	receiving := func(c *Place) { c.Receive() }
	slow := func(c *Place) { c.Receive(); c.since = c.since.Add(-2 * slowArrival) }
	writing := func(c *Place) { c.Serve(); c.BeginWrite() }
	stalled := func(c *Place) { writing(c); c.writing.Add(int64(-2 * stalledWrite)) }
	for name, tc := range map[string]struct {
		states []func(*Place)
		want   int // index; -1 for none
	}{
		"the longest without a request":    {[]func(*Place){idle, slow, unproven, unproven}, 2},
		"a slow body before unused ones":   {[]func(*Place){idle, receiving, slow}, 0},
		"the slowest body":                 {[]func(*Place){idle, slow, receiving}, 1},
		"unused before a body that begins": {[]func(*Place){receiving, served, idle, idle}, 2},
		"a body that begins at last":       {[]func(*Place){served, receiving, receiving}, 1},
		"none that is served":              {[]func(*Place){served, writing}, -1},
		"one that isn't read":              {[]func(*Place){served, writing, stalled, stalled}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			l := New(len(tc.states))
			var list []*Place
			for _, enter := range tc.states {
				c := admit(t, l)
				enter(c)
				list = append(list, c)
			}
			near, _ := net.Pipe()
			c, closed := l.Admit(near)
			if tc.want < 0 {
				assert.Assert(t, c == nil && closed == nil)
				assert.Equal(t, l.Stats().Rejected, int64(1))
				return
			}
			assert.Equal(t, closed, list[tc.want].conn)
			assert.Equal(t, l.Stats(), Stats{Open: len(list), Peak: len(list), Max: len(list), Closed: 1})
		})
	}
}

// Guards against a closed connection that is listed again and counted twice.
func TestClosedConnectionStaysOut(t *testing.T) {
	l := New(1)
	c := admit(t, l)
	near, _ := net.Pipe()
	next, closed := l.Admit(near)
	assert.Equal(t, closed, c.conn)
	c.Receive()
	c.Wait()
	c.Leave()
	assert.Equal(t, l.Stats().Open, 1)
	next.Leave()
	next.Leave()
	assert.Equal(t, l.Stats().Open, 0)
	assert.Assert(t, l.toClose(time.Now()) == nil)
}
