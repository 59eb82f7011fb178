package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// All VMs lose power and come back within a fraction of a second. What the first ones send
// to those that aren't powered on yet is lost, and TCP retransmits only after a second.
// Until the processes know each other, each does work that one should do for all, and
// requests are refused because of that.
func TestSimultaneousStartConvergesQuickly(t *testing.T) {
	const (
		retransmitDelay = time.Second
		powerOnTime     = 250 * time.Millisecond // until the last VM is powered on
		count           = 16
	)
	c := newCluster(t)
	var nodes []*Node
	var seeds []string
	began := time.Now()
	for range count {
		opts := c.options("r", zoneName(0))
		opts.Period = 500 * time.Millisecond
		known := seeds[:min(len(seeds), 3)]
		opts.Seeds = func(context.Context) ([]string, error) { return known, nil }
		opts.Dial = func(ctx context.Context, to string) (net.Conn, error) {
			if time.Since(began) < powerOnTime {
				select {
				case <-ctx.Done():
					return nil, ctx.Err()
				case <-time.After(retransmitDelay):
				}
			}
			return dialTCP(ctx, to)
		}
		n, err := New(opts)
		assert.NilError(t, err)
		assert.NilError(t, n.Start(context.Background()))
		t.Cleanup(n.Close)
		nodes = append(nodes, n)
		seeds = append(seeds, n.Self().PeerAddress)
	}
	waitAgreed(t, nodes)
	took := time.Since(began) - powerOnTime
	t.Logf("agreed %v after the last VM was powered on", took)
	// Without connectTime it takes 0.8 to 1.3 s.
	assert.Assert(t, took < 700*time.Millisecond)
}
