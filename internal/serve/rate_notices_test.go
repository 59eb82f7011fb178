package serve

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/servetest"
)

// Guards against processes that send a target in need as much as before until each has had an answer of it.
func TestStatedRateReachesPeers(t *testing.T) {
	cluster := &servetest.Cluster{}
	now := time.Now()
	var tables []*pool.Table
	for _, name := range []string{"a", "b"} {
		table := pool.New(zap.NewNop())
		newRateNotices(zap.NewNop(), cluster.Add(name, "z"), table)
		table.Reset([]pool.Entry{{ID: "t", Service: "s", Address: "10.0.0.1:1", State: pool.Ready, Revision: 1}}, 1, now)
		tables = append(tables, table)
	}
	target := tables[0].Views("s", now)[0].Target
	for _, rate := range []float64{0.5, 2, 0} {
		target.SetRateLimit(&rate, now, now)
		assert.Equal(t, tables[1].Views("s", now)[0].RateLimit, rate)
		now = now.Add(time.Second)
	}
}

// Guards against a target that states another rate in each answer filling the links between processes.
func TestRateThatKeepsChangingIsReportedRarely(t *testing.T) {
	cluster := &servetest.Cluster{}
	now := time.Now()
	table := pool.New(zap.NewNop())
	newRateNotices(zap.NewNop(), cluster.Add("a", "z"), table)
	table.Reset([]pool.Entry{{ID: "t", Service: "s", Address: "10.0.0.1:1", State: pool.Ready, Revision: 1}}, 1, now)
	target := table.Views("s", now)[0].Target
	for i := range 300 {
		rate := float64(i % 3)
		target.SetRateLimit(&rate, now, now)
		now = now.Add(10 * time.Millisecond)
	}
	assert.Assert(t, cluster.PublishedCount() <= 4, "%d notices in 3 s", cluster.PublishedCount())
}
