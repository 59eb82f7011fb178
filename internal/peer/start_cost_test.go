package peer

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Many processes start together. A process must not compare its whole view with every
// process that it opens a link to, each time the view changes: in a large fleet that would
// take most of the CPU time of the start, when small VMs have none to spare.
func TestViewComparisonsDuringSimultaneousStart(t *testing.T) {
	const count = 24
	began := time.Now()
	nodes := startTogether(t, count)
	periods := int(time.Since(began)/(500*time.Millisecond)) + 1
	comparisons := messagesSent(nodes, methodDigest) / count
	t.Logf("agreed after %v; each node sent %d digests and %d bytes of exchanges", time.Since(began),
		comparisons, bytesSent(nodes, methodExchange)/count)
	assert.Assert(t, comparisons <= periods+1, "%d digests in %d periods", comparisons, periods)
}

// startTogether starts nodes whose VM list holds three of them, and waits until they agree.
func startTogether(t *testing.T, count int) []*Node {
	t.Helper()
	c := newCluster(t)
	var nodes []*Node
	for i := range count {
		opts := c.options("r", zoneName(i%5))
		opts.Period = 500 * time.Millisecond
		n, err := New(opts)
		assert.NilError(t, err)
		nodes = append(nodes, n)
	}
	for i, n := range nodes {
		assert.NilError(t, n.Start(context.Background()))
		t.Cleanup(n.Close)
		if i < 3 {
			c.addSeed(n)
		}
	}
	waitAgreed(t, nodes)
	return nodes
}

// sentBy sums a counter of one message kind over all nodes.
func sentBy(nodes []*Node, method string, counter func(Traffic) int64) int {
	total := int64(0)
	for _, n := range nodes {
		for _, row := range n.Traffic() {
			if row.Kind == method {
				total += counter(row)
			}
		}
	}
	return int(total)
}

func messagesSent(nodes []*Node, method string) int {
	return sentBy(nodes, method, func(t Traffic) int64 { return t.MessagesSent })
}

func bytesSent(nodes []*Node, method string) int {
	return sentBy(nodes, method, func(t Traffic) int64 { return t.BytesSent })
}
