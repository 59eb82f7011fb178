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

// newDetectors creates the crash detectors of n processes in one network.
func newDetectors(n int) (*servetest.Cluster, []*servetest.Node, []*crashDetector) {
	cluster := &servetest.Cluster{Delay: time.Millisecond}
	var nodes []*servetest.Node
	var all []*crashDetector
	for i := range n {
		nodes = append(nodes, cluster.Add(fmt.Sprint("vm-", i), "a"))
		all = append(all, newCrashDetector(context.Background(), zap.NewNop(), nodes[i]))
	}
	return cluster, nodes, all
}

// A fifth of all engines crashes at once, and every request that ran on them is suspected. If
// each suspicion were published to all processes, small VMs would process nothing else for
// half a second and requests would be delayed.
func TestMassCrashIsReportedToCollectorsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const processes, crashesEach = 100, 3
		cluster, _, all := newDetectors(processes)
		for i, s := range all {
			for k := range crashesEach {
				s.recordCrash(suspect.Fingerprint(fmt.Sprint("request-", i, "-", k)), fmt.Sprintf("10.0.0.%d:80", i/8))
			}
		}
		time.Sleep(time.Second)
		assert.Equal(t, cluster.PublishedCount(), 0)
		assert.Assert(t, cluster.CallCount() <= processes*crashesEach*collectorCount, "%d calls", cluster.CallCount())
	})
}

// One process sees many crashes at once. It must send them in one report, and later ones
// together after the report interval.
func TestCrashesOfOneProcessAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, _, all := newDetectors(4)
		for i := range 2 * maxCrashesPerReport {
			all[0].recordCrash(suspect.Fingerprint(fmt.Sprint("request-", i)), fmt.Sprintf("10.0.0.%d:80", i/8))
		}
		time.Sleep(reportJitter + 10*time.Millisecond)
		assert.Assert(t, cluster.CallCount() <= 3, "%d calls", cluster.CallCount())
		before := cluster.CallCount()
		all[0].recordCrash("later", "10.0.1.1:80")
		all[0].recordCrash("later still", "10.0.1.1:80")
		time.Sleep(reportInterval + reportJitter)
		assert.Assert(t, cluster.CallCount()-before <= 3, "%d more calls", cluster.CallCount()-before)
	})
}

// A request crashes one target at each of three processes. Each process sees only one crash;
// from the reports, all of them must learn that the request is convicted, even if one of its
// collectors is killed.
func TestCrashesSeenByThreeProcessesConvictEverywhere(t *testing.T) {
	for _, killed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			_, nodes, all := newDetectors(20)
			for i, s := range all[:3] {
				assert.Assert(t, !s.Convicted("culprit"))
				s.recordCrash("culprit", fmt.Sprintf("10.0.0.%d:80", i))
				time.Sleep(reportInterval + reportJitter)
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
