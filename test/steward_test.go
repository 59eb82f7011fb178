package test

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/command/order"
	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/query/status"
	"github.com/vanillagate/vanillagate/internal/relay"
	"github.com/vanillagate/vanillagate/internal/standin/fleet"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// leaseTerm is the lease term of the stewards in these tests.
const leaseTerm = 2 * time.Second

// steward is a vgsteward process and the relay between it and the table service.
type steward struct {
	*process
	table *relay.Relay
}

func (c *cluster) startSteward(name string) *steward {
	c.t.Helper()
	r := c.startRelay(c.fleetFile.Table)
	return &steward{table: r, process: launch(c.t, name, "vgsteward",
		"--table-url", "http://"+r.Address(), "--objects-url", "http://"+c.objectsRelay.Address(),
		"--vm-list-url", "http://"+c.fleetFile.VMList, "--zone", "a", "--region", "r1",
		"--peer-listen", fmt.Sprintf("127.0.0.1:%d", freePorts(1)), "--peer-keys", peerKeys, "--config-period", "500ms",
		"--lease-term", leaseTerm.String(), "--period", "100ms", "--loads-at-once", "2", "--log-level", "debug",
	)}
}

// setWantedVersion changes the model version that the engines should serve.
func (c *cluster) setWantedVersion(version string) config.Revision {
	c.t.Helper()
	address := c.entries[0].address
	state := stateAt(address)
	pool := state.Pools["llm"]
	pool.Version = version
	return c.putItem(address, "pools/llm", pool, state.LastChanges[config.ItemKey(config.KindPool, "llm")].Revision)
}

// servedVersions returns the model version that each engine reports to serve.
func (c *cluster) servedVersions() map[string]string {
	served := map[string]string{}
	orderClient := order.NewClient()
	for _, address := range c.targets("llm") {
		report, err := orderClient.Report(c.t.Context(), address)
		if err == nil && len(report.Data) > 0 {
			served[address] = report.Data[0].Version
		}
	}
	return served
}

func (c *cluster) allServe(version string) bool {
	n := 0
	for _, v := range c.servedVersions() {
		if v == version {
			n++
		}
	}
	return n == len(c.targets("llm"))
}

// engineLease returns the holder and the token of the lease on the engine pool, as an entry VM
// reports them to operators.
func (c *cluster) engineLease() (holder string, token uint64) {
	got := callAdminAPI(c.entries[0].address, http.MethodGet, "status", nil, nil)
	var st status.Status
	if got.err != nil || json.Unmarshal(got.body, &st) != nil {
		return "", 0
	}
	for _, l := range st.Leases {
		if l.Pool == "llm" && !l.Released {
			return string(l.Holder), l.Token
		}
	}
	return "", 0
}

// leaseHolder returns the steward that holds the lease, or nil. It compares the holder with the
// incarnation that each steward has logged.
func (c *cluster) leaseHolder(all ...*steward) *steward {
	held, _ := c.engineLease()
	for _, s := range all {
		if held != "" && strings.Contains(s.logs(), `"incarnation":"`+held) {
			return s
		}
	}
	return nil
}

func slowModelLoads(checks bool) func(*fleet.File) {
	return func(f *fleet.File) {
		for i := range f.Pools {
			if f.Pools[i].Pool == "llm" {
				f.Pools[i].Engine.ModelLoadMS = 300
				f.Pools[i].ChecksFencing = checks
			}
		}
	}
}

// The steward that holds the lease on the engines is paused, as during a VM migration, just when another
// model version is configured. Its lease expires and the other steward takes over. When it continues, the
// reports and the lease in its memory are outdated. Whether or not the engines check fencing tokens, the
// configured version must be served in the end, and no caller may get an answer of another version.
func TestPausedStewardGivesNoOrdersWithoutItsLease(t *testing.T) {
	t.Parallel()
	for _, checks := range []bool{true, false} {
		t.Run("engines check "+strconv.FormatBool(checks), func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, clusterOptions{entries: 1, editFleet: slowModelLoads(checks)})
			one, two := c.startSteward("steward one"), c.startSteward("steward two")
			c.setWantedVersion("2")
			waitFor(t, "the engines to serve version 2", func() bool { return c.allServe("2") })
			var paused *steward
			waitFor(t, "a steward to hold the lease", func() bool { paused = c.leaseHolder(one, two); return paused != nil })
			other := one
			if paused == one {
				other = two
			}
			_, before := c.engineLease()
			paused.signal(t, syscall.SIGSTOP)
			stopped := time.Now()
			c.setWantedVersion("3")
			waitFor(t, "the other steward to have version 3 served", func() bool { return c.allServe("3") })
			took := time.Since(stopped)
			assert.Assert(t, c.leaseHolder(one, two) == other)
			_, after := c.engineLease()
			assert.Assert(t, after > before, "token %d after %d", after, before)
			given := countOrders(paused.logs())
			paused.signal(t, syscall.SIGCONT)
			l := startLoad(c, 2, nil)
			c.setWantedVersion("4")
			waitFor(t, "version 4 to be served", func() bool { return c.allServe("4") })
			l.stop() // not checked: requests were refused while the engines loaded the model
			assert.Equal(t, countOrders(paused.logs()), given, "the paused steward gave orders:\n%s", lastLines(paused.logs(), 10))
			assert.Equal(t, sendNow(c.entries[0].address, pipelineRequest("Q", 8)).output(t), wholeText("Q", 8))
			t.Logf("version 3 served %d ms after the holder was paused (lease term %s), token %d to %d", took.Milliseconds(), leaseTerm, before, after)
		})
	}
}

// countOrders counts the log lines with which a steward reports an order that it gave.
func countOrders(logs string) int { return strings.Count(logs, "order given") }

// A delayed order of an earlier lease holder arrives when another steward holds the lease. Engines that
// check fencing tokens refuse it; those that don't load the old version. Until the lease holder has
// corrected that, no caller may get an answer of such an engine.
func TestEnginesThatIgnoreFencingReachTheWantedVersion(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 1, editFleet: slowModelLoads(false)})
	c.startSteward("steward one")
	c.startSteward("steward two")
	c.setWantedVersion("2")
	waitFor(t, "the engines to serve version 2", func() bool { return c.allServe("2") })
	victim := c.targets("llm")[0]
	late := order.Order{SetModel: &targetapi.SetModelRequest{Model: "m1", Version: "1", Role: "both"}}
	var failures failureList
	var sending sync.WaitGroup
	done := make(chan struct{})
	sending.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			default:
			}
			ref := "V" + strconv.Itoa(i)
			if fault := replyError(sendNow(c.entries[0].address, pipelineRequest(ref, 8)), wholeText(ref, 8)); fault != "" {
				failures.add(fault)
			}
		}
	})
	result, err := order.NewClient().Send(t.Context(), victim, late, 1, "late-order")
	assert.NilError(t, err)
	assert.Equal(t, result, order.Done)
	arrived := time.Now()
	waitFor(t, "version 2 to be served again", func() bool { return c.allServe("2") })
	t.Logf("configured version served again %d ms after the outdated order", time.Since(arrived).Milliseconds())
	close(done)
	sending.Wait()
	failures.checkEmpty(t)
}

// The steward that holds the lease gets SIGTERM while an engine loads a model on its order. It must give no
// further orders, release the lease and end with exit code 0. The other steward must continue at once,
// without waiting for the lease to expire, and must not repeat orders that were given.
func TestPlannedStopOfStewardHoldingALease(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 1, editFleet: slowModelLoads(true)})
	one, two := c.startSteward("steward one"), c.startSteward("steward two")
	c.setWantedVersion("2")
	waitFor(t, "the engines to serve version 2", func() bool { return c.allServe("2") })
	var stopping *steward
	waitFor(t, "a steward to hold the lease", func() bool { stopping = c.leaseHolder(one, two); return stopping != nil })
	_, before := c.engineLease()
	c.setWantedVersion("3")
	waitFor(t, "some engine to serve version 3", func() bool { return slices.Contains(slices.Collect(maps.Values(c.servedVersions())), "3") })
	assert.Assert(t, !c.allServe("3"))
	stopped := time.Now()
	stopping.signal(t, syscall.SIGTERM)
	assert.Equal(t, stopping.waitExit(t, waitTimeout), 0)
	gone := time.Since(stopped)
	waitFor(t, "version 3 to be served", func() bool { return c.allServe("3") })
	took := time.Since(stopped)
	waitFor(t, "the other steward to hold the lease", func() bool { _, token := c.engineLease(); return token > before })
	t.Logf("ended after %d ms, version 3 served by all engines after %d ms (lease term %s)", gone.Milliseconds(), took.Milliseconds(), leaseTerm)
	assert.Assert(t, took < leaseTerm)
	assert.Assert(t, strings.Contains(stopping.logs(), "leases released"))
	// A steward logs an order when its engine has answered, which may be after the engine
	// serves the version.
	wantOrders := 2 * len(c.targets("llm"))
	orders := func() int { return countOrders(one.logs()) + countOrders(two.logs()) }
	waitFor(t, "all orders to be logged", func() bool { return orders() >= wantOrders })
	assert.Equal(t, orders(), wantOrders)
	assert.Equal(t, sendNow(c.entries[0].address, pipelineRequest("Q", 8)).output(t), wholeText("Q", 8))
}
