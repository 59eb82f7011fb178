package test

import (
	"encoding/json"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/query/status"
)

func (c *cluster) status(address string) status.Status {
	c.t.Helper()
	got := callAdminAPI(address, http.MethodGet, "status", nil, nil)
	assert.NilError(c.t, got.err)
	var st status.Status
	assert.NilError(c.t, json.Unmarshal(got.body, &st), "%s", got.body)
	return st
}

// An operator announces the stop of an entry VM and waits until it is safe to
// switch off. If the VM counted the status request itself as in flight, or
// didn't notice that its own stop was announced, the wait would never end.
func TestAnnouncedStopOfEntryVMBecomesSafe(t *testing.T) {
	c := startCluster(t, clusterOptions{})
	c.waitLinked()
	leaving := c.entries[2]
	c.putItem(c.entries[0].address, "stops/disk", config.Stop{
		ID: "disk", Subject: config.StopVM, Address: leaving.address, By: "night shift",
	}, 0)
	waitFor(t, "the stop to be safe", func() bool {
		st := c.status(leaving.address)
		return len(st.Stops) == 1 && st.Stops[0].SafeToStop()
	})
	for _, e := range c.entries {
		waitFor(t, e.name+" to list only the other entry VMs", func() bool {
			for _, listed := range c.entriesAt(e.address) {
				if listed.Address == leaving.address {
					return false
				}
			}
			return true
		})
	}
}

func TestStatusShowsTheWholeSystem(t *testing.T) {
	c := startCluster(t, clusterOptions{})
	c.waitLinked()
	st := c.status(c.entries[1].address)
	assert.Equal(t, len(st.VMs), 3)
	assert.Equal(t, len(st.Stores), 3)
	for _, vm := range st.VMs {
		assert.Equal(t, vm.Revision, st.Revision)
	}
}
