package serve

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/servetest"
	"github.com/vanillagate/vanillagate/internal/suspect"
)

// suspecting makes the suspicions of n processes that know each other.
func suspecting(n int) (*servetest.Cluster, []*servetest.Node, []*suspicion) {
	cluster := &servetest.Cluster{Delay: time.Millisecond}
	var nodes []*servetest.Node
	var all []*suspicion
	for i := range n {
		nodes = append(nodes, cluster.Add(fmt.Sprint("vm-", i), "a"))
		all = append(all, newSuspicion(context.Background(), zap.NewNop(), nodes[i]))
	}
	return cluster, nodes, all
}

// A fifth of all engines dies at once, and every request that ran there is
// suspected. Were each suspicion told to all processes, small VMs would have no time
// for anything else for half a second, and callers' requests would wait.
func TestManyDeathsAtOnceAreToldToFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const processes, crashesEach = 100, 3
		cluster, _, all := suspecting(processes)
		for i, s := range all {
			for k := range crashesEach {
				s.crashed(suspect.Fingerprint(fmt.Sprint("request-", i, "-", k)), fmt.Sprintf("10.0.0.%d:80", i/8))
			}
		}
		time.Sleep(time.Second)
		assert.Equal(t, cluster.PublishedCount(), 0)
		assert.Assert(t, cluster.CallCount() <= processes*crashesEach*collectors, "%d calls", cluster.CallCount())
	})
}

// One process has seen many deaths at once. It reports them together, and those that
// follow after a pause.
func TestManyDeathsSeenByOneAreFewReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, _, all := suspecting(4)
		for i := range 2 * maxReported {
			all[0].crashed(suspect.Fingerprint(fmt.Sprint("request-", i)), fmt.Sprintf("10.0.0.%d:80", i/8))
		}
		time.Sleep(reportSpread + 10*time.Millisecond)
		assert.Assert(t, cluster.CallCount() <= 3, "%d calls", cluster.CallCount())
		before := cluster.CallCount()
		all[0].crashed("later", "10.0.1.1:80")
		all[0].crashed("later still", "10.0.1.1:80")
		time.Sleep(reportPause + reportSpread)
		assert.Assert(t, cluster.CallCount()-before <= 3, "%d more calls", cluster.CallCount()-before)
	})
}

// A request crashes a target at each of three processes. Each of them has seen one
// crash only; together they know that it gets no more targets. One of those that
// collect the reports may have died, and everybody must be told.
func TestCrashesSeenByThreeProcessesConvict(t *testing.T) {
	for _, killed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			_, nodes, all := suspecting(20)
			for i, s := range all[:3] {
				assert.Assert(t, !s.Convicted("culprit"))
				s.crashed("culprit", fmt.Sprintf("10.0.0.%d:80", i))
				time.Sleep(reportPause + reportSpread)
				if killed && i == 1 {
					killCollector(nodes, "culprit")
				}
			}
			for i, s := range all {
				if nodes[i].Running() {
					assert.Assert(t, s.Convicted("culprit"), "process %d", i)
					assert.Assert(t, !s.Convicted("another"), "process %d", i)
				}
			}
		})
	}
}

// killCollector kills the first collector of a request.
func killCollector(nodes []*servetest.Node, f suspect.Fingerprint) {
	first := collectorsOf(f, nodes[0].View())[0]
	for _, n := range nodes {
		if n.Self().Incarnation == first {
			n.Kill()
		}
	}
}
