package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// All VMs lose power and come back within a fraction of a second. What the first
// ones send to those that have no power yet is lost without a word, and TCP sends
// it again after a second only. Until the processes know each other each does
// for itself what one should do for all, and requests are refused for it.
func TestProcessesThatStartTogetherMeetSoon(t *testing.T) {
	const (
		resent = time.Second
		powers = 250 * time.Millisecond // until the last VM has power
		count  = 16
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
			if time.Since(began) < powers {
				select {
				case <-ctx.Done():
					return nil, ctx.Err()
				case <-time.After(resent):
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
	took := time.Since(began) - powers
	t.Logf("met %v after the last VM had power", took)
	// Without the bound on connecting it takes 0.8 to 1.3 s.
	assert.Assert(t, took < 700*time.Millisecond)
}
