package test

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/standin/fault"
	"github.com/vanillagate/vanillagate/internal/standin/table"
)

// tableStats returns the counters of the table service.
func (c *cluster) tableStats() table.Stats {
	c.t.Helper()
	resp, err := client.Get("http://" + c.controlAddress + "/table/stats")
	assert.NilError(c.t, err)
	defer func() { _ = resp.Body.Close() }()
	var stats table.Stats
	assert.NilError(c.t, json.NewDecoder(resp.Body).Decode(&stats))
	return stats
}

// waitServing waits until an entry VM serves a request, and returns the time elapsed since the given time.
func (c *cluster) waitServing(address string, since time.Time) time.Duration {
	c.t.Helper()
	waitFor(c.t, address+" to serve a request", func() bool { return replyError(sendNow(address, pipelineRequest("Q", 4)), wholeText("Q", 4)) == "" })
	return time.Since(since)
}

// A failed entry VM is replaced. Callers reach the new one as soon as its peers list it, so it has to serve
// within seconds, whatever is down at that moment: the table service, the object store with the snapshot, or
// the VM list.
func TestNewVMServesSoon(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{})
	c.waitLinked()
	outages := []struct {
		name   string
		scopes []string
	}{
		{"all up", nil},
		{"table service down", []string{fault.ScopeTable}},
		{"table service and object store down", []string{fault.ScopeTable, fault.ScopeObjects}},
		{"VM list down", []string{fault.ScopeVMList}},
	}
	for i, outage := range outages {
		victim := c.entries[i%len(c.entries)]
		for _, scope := range outage.scopes {
			c.setFault(scope, fault.Fault{Down: true})
		}
		victim.kill(t)
		began := time.Now()
		next := c.restartWithPeers(victim)
		took := c.waitServing(next.address, began)
		t.Logf("%s: serves after %d ms", outage.name, took.Milliseconds())
		assert.Assert(t, took < 5*time.Second, "%s: took %s", outage.name, took)
		for _, scope := range outage.scopes {
			c.setFault(scope, fault.Fault{})
		}
		c.waitLinked()
	}
}

// restartWithPeers replaces a VM by one that also gets its peers' addresses as a flag, as operators do where
// the VM list may be down at a start.
func (c *cluster) restartWithPeers(e *entryVM) *entryVM {
	c.t.Helper()
	peers := ""
	for _, other := range c.entries {
		if other != e {
			peers += "," + other.peerAddress
		}
	}
	e.args = append(e.args, "--peers", peers[1:])
	return c.restart(e)
}

// All entry VMs start at the same moment, as after a power failure. Guards against VMs that read all changes
// again and again until they are ready: the table service would throttle reads just when every VM needs them.
func TestAllVMsStartAtOnce(t *testing.T) {
	t.Parallel()
	const vms = 8
	c := startCluster(t, clusterOptions{entries: vms})
	c.waitLinked()
	c.waitForSnapshot(stateAt(c.entries[0].address).Revision)
	for _, e := range c.entries {
		e.kill(t)
	}
	before := c.tableStats()
	began := time.Now()
	for i := range c.entries {
		c.restart(c.entries[i])
	}
	longest := time.Duration(0)
	for _, e := range c.entries {
		longest = max(longest, c.waitServing(e.address, began))
	}
	after := c.tableStats()
	reads := after.Reads - before.Reads
	seconds := time.Since(began).Seconds()
	t.Logf("%d VMs serve after %d ms, %d reads of the table in %.1f s, %d throttled", vms, longest.Milliseconds(), reads, seconds, after.ThrottledReads-before.ThrottledReads)
	assert.Assert(t, longest < 5*time.Second)
	assert.Equal(t, after.ThrottledReads, before.ThrottledReads)
	// Each VM reads once at its start and then every 500 ms, with jitter that leaves at
	// least 250 ms between two reads.
	assert.Assert(t, float64(reads) <= vms*(2+seconds/0.25), "%d reads in %.1f s", reads, seconds)
}
