package test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/entry"
	"github.com/vanillagate/vanillagate/internal/relay"
	"github.com/vanillagate/vanillagate/internal/standin/fault"
	"github.com/vanillagate/vanillagate/internal/standin/fleet"
)

// maxPropagationDelay is how long it may take until a change or an announced stop is applied
// everywhere, which is specified as "a few seconds".
const maxPropagationDelay = 3 * time.Second

func newStop(id, target string) config.Stop {
	return config.Stop{ID: id, Subject: config.StopTarget, Address: target, By: "night shift", At: time.Now().UTC()}
}

// announceStop announces a stop at one entry VM.
func announceStop(t *testing.T, address string, stop config.Stop, expect config.Revision) entry.Accepted {
	t.Helper()
	got := callAdminAPI(address, http.MethodPut, "stops/"+stop.ID, stop, map[string]string{"If-Match": strconv.FormatUint(uint64(expect), 10)})
	assert.NilError(t, got.err)
	assert.Assert(t, got.status == http.StatusOK || got.status == http.StatusAccepted, "%s", got.body)
	var a entry.Accepted
	assert.NilError(t, json.Unmarshal(got.body, &a))
	return a
}

// setVMState changes the state of a VM that the VM list reports once its lag has passed.
func (c *cluster) setVMState(address, state string) {
	c.t.Helper()
	raw, err := json.Marshal(fleet.StateRequest{Address: address, State: state})
	assert.NilError(c.t, err)
	resp, err := client.Post("http://"+c.controlAddress+"/vms/state", "application/json", bytes.NewReader(raw))
	assert.NilError(c.t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Assert(c.t, resp.StatusCode < 300)
}

// A target's VM is about to be replaced. A request that is sent there after the announcement may be
// cut when the VM is switched off. The announcement comes in different ways, and each time
// something else is broken: the VM list lags, the table service is down or silent, only one entry VM
// reaches the table, or the VM list is down and reports nothing.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	t.Parallel()
	ownTableRelay := func(c *cluster, i int) []string {
		if i == 0 {
			return nil
		}
		r := c.startRelay(c.fleetFile.Table)
		c.extraRelays = append(c.extraRelays, r)
		return []string{"--table-url", "http://" + r.Address()}
	}
	operator := func(t *testing.T, c *cluster, target string) {
		announceStop(t, c.entries[0].address, newStop("S", target), 0)
	}
	tests := []struct {
		name        string
		options     clusterOptions
		injectFault func(c *cluster)
		announce    func(t *testing.T, c *cluster, target string)
		within      time.Duration
	}{
		{name: "operator", announce: operator, within: maxPropagationDelay},
		{
			name: "VM list that lags", within: maxPropagationDelay + 1500*time.Millisecond,
			options:  clusterOptions{editFleet: func(f *fleet.File) { f.VMListLagMS = 1500 }},
			announce: func(_ *testing.T, c *cluster, target string) { c.setVMState(target, "leaving") },
		},
		{
			name: "table service down", within: maxPropagationDelay,
			injectFault: func(c *cluster) { c.setFault(fault.ScopeTable, fault.Fault{Down: true}) },
			announce:    operator,
		},
		{
			name: "table service silent", within: maxPropagationDelay,
			injectFault: func(c *cluster) { c.tableRelay.SetFaults(relay.Faults{FreezeToCaller: true}) },
			announce:    operator,
		},
		{
			name: "at one VM, the others cut off from the table", within: maxPropagationDelay, options: clusterOptions{flagsFor: ownTableRelay},
			injectFault: func(c *cluster) {
				for _, r := range c.extraRelays {
					r.SetFaults(relay.Faults{RefuseConnections: true})
					r.ResetConnections()
				}
			},
			announce: operator,
		},
		{
			name: "VM list and table service down", within: maxPropagationDelay,
			injectFault: func(c *cluster) {
				c.setFault(fault.ScopeVMList, fault.Fault{Down: true})
				c.setFault(fault.ScopeTable, fault.Fault{Down: true})
			},
			announce: operator,
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			change := tc.options.editFleet
			tc.options.editFleet = func(f *fleet.File) {
				useOneZone(f)
				if change != nil {
					change(f)
				}
			}
			c := startCluster(t, tc.options)
			c.waitLinked()
			for _, pool := range []string{"llm", "booking"} {
				c.checkStop(t, pool, tc.injectFault, tc.announce, tc.within)
				if tc.name != "operator" {
					break
				}
			}
		})
	}
}

// busiestTarget returns the target of a pool that gets requests from the most entry VMs.
func (l *loadGenerator) busiestTarget(pool string) string {
	best, most := "", 0
	for _, target := range l.c.targets(pool) {
		if n := len(l.lastStartByEntry(target)); n > most {
			best, most = target, n
		}
	}
	return best
}

// useOneZone puts all targets into one zone, so that no entry VM prefers some of them and each entry
// VM sends requests to every target.
func useOneZone(f *fleet.File) {
	for i := range f.Pools {
		f.Pools[i].Zones = zones[:1]
	}
}

// checkStop runs load on the cluster, injects a fault, announces a stop of the busiest target of a
// pool, and checks that the target gets no new request later than within after the announcement.
func (c *cluster) checkStop(t *testing.T, pool string, injectFault func(*cluster), announce func(*testing.T, *cluster, string), within time.Duration) {
	t.Helper()
	if pool != "llm" {
		announce = func(t *testing.T, c *cluster, target string) {
			announceStop(t, c.entries[1].address, newStop("S-"+pool, target), 0)
		}
	}
	l := startLoad(c, 3, nil)
	l.waitServed(40, c.addresses()...)
	target := l.busiestTarget(pool)
	assert.Assert(t, len(l.lastStartByEntry(target)) >= 2, "too few entry VMs send requests to %s", target)
	if injectFault != nil {
		injectFault(c)
	}
	announced := time.Now()
	announce(t, c, target)
	answered := time.Since(announced)
	waitFor(t, "the propagation delay to pass", func() bool { return time.Since(announced) > within })
	l.waitServed(50, c.addresses()...)
	l.stopAndCheck(t)
	for from, last := range l.lastStartByEntry(target) {
		took := last.Sub(announced)
		t.Logf("%s: last new request from %s %d ms after the announcement began (answered after %d ms)", target, from, took.Milliseconds(), answered.Milliseconds())
		assert.Assert(t, took < within, "%s sent a request to %s %s after the announcement", from, target, took)
	}
}

// A stop was announced and ended some time ago. The same target is stopped again with the same stop
// ID, this time while the table service is down. Guards against the earlier end of the stop hiding
// the new announcement.
func TestStopAnnouncedAgainDuringAnOutage(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{editFleet: useOneZone})
	c.waitLinked()
	first := announceStop(t, c.entries[0].address, newStop("S", c.targets("llm")[0]), 0)
	ended := callAdminAPI(c.entries[1].address, http.MethodDelete, "stops/S", nil, map[string]string{"If-Match": strconv.FormatUint(uint64(first.Revision), 10)})
	assert.Equal(t, ended.status, http.StatusOK, "%s", ended.body)
	var a entry.Accepted
	assert.NilError(t, json.Unmarshal(ended.body, &a))
	c.waitInForce(a.Revision)
	c.checkStop(t, "llm", func(c *cluster) { c.setFault(fault.ScopeTable, fault.Fault{Down: true}) },
		func(t *testing.T, c *cluster, target string) {
			assert.Assert(t, announceStop(t, c.entries[0].address, newStop("S", target), a.Revision).Announced)
		}, maxPropagationDelay)
}

// An operator announces a stop at one entry VM while the table service is down, and that VM fails.
// The announcement must not be lost: the target gets no new requests, not even from the replacement
// VM, and the stop is in force once the table service is back.
func TestAnnouncedStopSurvivesTheVMThatAcceptedIt(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{editFleet: useOneZone})
	c.waitLinked()
	target := c.targets("llm")[0]
	c.setFault(fault.ScopeTable, fault.Fault{Down: true})
	assert.Assert(t, announceStop(t, c.entries[0].address, newStop("S", target), 0).Announced)
	c.entries[0].kill(t)
	next := c.restart(c.entries[0])
	c.waitReady(next)
	c.waitLinked()
	l := startLoad(c, 2, nil)
	l.waitServed(60, c.addresses()...)
	assert.Equal(t, len(l.lastStartByEntry(target)), 0)
	c.setFault(fault.ScopeTable, fault.Fault{})
	for _, e := range c.entries {
		waitFor(t, "the stop to be in force at "+e.address, func() bool { return stopInForce(e.address, "S") })
	}
	l.waitServed(20, c.addresses()...)
	l.stopAndCheck(t)
	assert.Equal(t, len(l.lastStartByEntry(target)), 0)
}

func stopInForce(address, id string) bool {
	got := callAdminAPI(address, http.MethodGet, "config", nil, nil)
	var state config.State
	if got.err != nil || json.Unmarshal(got.body, &state) != nil {
		return false
	}
	_, found := state.Stops[id]
	return found
}

// An operator's announcement is refused, because another stop with the same ID was announced before
// or because it has an unknown field. As the operator is told that nothing was applied, the target
// must stay in use.
func TestRefusedStopTakesNothingOutOfUse(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{editFleet: useOneZone})
	c.waitLinked()
	targets := c.targets("llm")
	announceStop(t, c.entries[0].address, newStop("S", targets[0]), 0)
	conflicting := callAdminAPI(c.entries[1].address, http.MethodPut, "stops/S", newStop("S", targets[1]), map[string]string{"If-Match": "0"})
	assert.Equal(t, conflicting.status, http.StatusPreconditionFailed, "%s", conflicting.body)
	bad := map[string]string{"id": "T", "on": "target", "address": targets[2], "raeson": "a misspelt field"}
	refused := callAdminAPI(c.entries[1].address, http.MethodPut, "stops/T", bad, map[string]string{"If-Match": "0"})
	assert.Equal(t, refused.status, http.StatusBadRequest, "%s", refused.body)
	refusedAt := time.Now()
	l := startLoad(c, 2, nil)
	for _, target := range targets[1:3] {
		waitFor(t, "new requests at "+target, func() bool {
			last := l.lastStartByEntry(target)
			for _, at := range last {
				if at.Before(refusedAt) {
					return false
				}
			}
			return len(last) == len(c.entries)
		})
	}
	l.stopAndCheck(t)
}
