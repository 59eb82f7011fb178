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

// leaseTerm is how long a lease lasts in these tests.
const leaseTerm = 2 * time.Second

// steward is one vgsteward process and the relay before its table service.
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

// wants has another version of the model wanted for the engines.
func (c *cluster) wants(version string) config.Revision {
	c.t.Helper()
	address := c.entries[0].address
	state := stateAt(address)
	pool := state.Pools["llm"]
	pool.Version = version
	return c.putItem(address, "pools/llm", pool, state.LastChanges[config.ItemKey(config.KindPool, "llm")].Revision)
}

// versions are what the engines say that they serve.
func (c *cluster) versions() map[string]string {
	served := map[string]string{}
	asker := order.NewClient()
	for _, address := range c.targets("llm") {
		report, err := asker.Report(c.t.Context(), address)
		if err == nil && len(report.Data) > 0 {
			served[address] = report.Data[0].Version
		}
	}
	return served
}

func (c *cluster) allServe(version string) bool {
	n := 0
	for _, v := range c.versions() {
		if v == version {
			n++
		}
	}
	return n == len(c.targets("llm"))
}

// lease gives the holder of the engines' lease and its token, as the operators
// see them.
func (c *cluster) lease() (holder string, token uint64) {
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

// holder finds which of the stewards holds the lease by what each logged of
// its own incarnation.
func (c *cluster) holder(all ...*steward) *steward {
	held, _ := c.lease()
	for _, s := range all {
		if held != "" && strings.Contains(s.logs(), `"incarnation":"`+held) {
			return s
		}
	}
	return nil
}

func slowLoads(checks bool) func(*fleet.File) {
	return func(f *fleet.File) {
		for i := range f.Pools {
			if f.Pools[i].Pool == "llm" {
				f.Pools[i].Engine.ModelLoadMS = 300
				f.Pools[i].ChecksFencing = checks
			}
		}
	}
}

// A steward that holds the lease of the engines is paused, as a VM is that is
// moved, right when another version is wanted. Its lease lapses and another
// takes over. When it goes on it has reports and a lease in its memory that
// are long out of date. At engines that check fencing tokens and at those that
// ignore them, the wanted version must be served in the end, and no user may
// get an answer of a version that isn't in force.
func TestPausedStewardFindsOutBeforeItOrders(t *testing.T) {
	t.Parallel()
	for _, checks := range []bool{true, false} {
		t.Run("engines check "+strconv.FormatBool(checks), func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, clusterOptions{entries: 1, editFleet: slowLoads(checks)})
			one, two := c.startSteward("steward one"), c.startSteward("steward two")
			c.wants("2")
			waitFor(t, "the engines to serve version 2", func() bool { return c.allServe("2") })
			var paused *steward
			waitFor(t, "a holder", func() bool { paused = c.holder(one, two); return paused != nil })
			other := one
			if paused == one {
				other = two
			}
			_, before := c.lease()
			paused.signal(t, syscall.SIGSTOP)
			stopped := time.Now()
			c.wants("3")
			waitFor(t, "the other steward to have version 3 served", func() bool { return c.allServe("3") })
			took := time.Since(stopped)
			assert.Assert(t, c.holder(one, two) == other)
			_, after := c.lease()
			assert.Assert(t, after > before, "token %d after %d", after, before)
			given := ordersIn(paused.logs())
			paused.signal(t, syscall.SIGCONT)
			l := startLoad(c, 2, nil)
			c.wants("4")
			waitFor(t, "version 4 to be served", func() bool { return c.allServe("4") })
			l.stop() // its requests were refused while the engines loaded
			assert.Equal(t, ordersIn(paused.logs()), given, "the paused steward gave orders:\n%s", lastLines(paused.logs(), 10))
			assert.Equal(t, sendNow(c.entries[0].address, pipelineRequest("Q", 8)).output(t), wholeText("Q", 8))
			t.Logf("version 3 served %d ms after the holder stopped (term %s), token %d to %d", took.Milliseconds(), leaseTerm, before, after)
		})
	}
}

// ordersIn counts the orders that a steward says it gave.
func ordersIn(logs string) int { return strings.Count(logs, "order given") }

// An order of an earlier holder was on its way for long and arrives when
// another holds the lease. Engines that check fencing refuse it. Those that
// don't load the old version; until the holder has put that right no user may
// get an answer from there.
func TestEnginesThatIgnoreFencingEndAsWanted(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 1, editFleet: slowLoads(false)})
	c.startSteward("steward one")
	c.startSteward("steward two")
	c.wants("2")
	waitFor(t, "the engines to serve version 2", func() bool { return c.allServe("2") })
	victim := c.targets("llm")[0]
	late := order.Order{SetModel: &targetapi.SetModelRequest{Model: "m1", Version: "1", Role: "both"}}
	var wrong failureList
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
				wrong.add(fault)
			}
		}
	})
	result, err := order.NewClient().Send(t.Context(), victim, late, 1, "late-order")
	assert.NilError(t, err)
	assert.Equal(t, result, order.Done)
	arrived := time.Now()
	waitFor(t, "version 2 to be served again", func() bool { return c.allServe("2") })
	t.Logf("wanted version served again %d ms after the old order", time.Since(arrived).Milliseconds())
	close(done)
	sending.Wait()
	wrong.checkEmpty(t)
}

// The steward that holds the lease is stopped as planned while an engine loads
// a model on its order. It gives no further order, hands the lease back, and
// ends with exit code 0; the other goes on at once, without waiting for the
// lease to lapse, and what was begun is not begun anew.
func TestPlannedStopOfStewardHoldingALease(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 1, editFleet: slowLoads(true)})
	one, two := c.startSteward("steward one"), c.startSteward("steward two")
	c.wants("2")
	waitFor(t, "the engines to serve version 2", func() bool { return c.allServe("2") })
	var leaving *steward
	waitFor(t, "a holder", func() bool { leaving = c.holder(one, two); return leaving != nil })
	_, before := c.lease()
	c.wants("3")
	waitFor(t, "the first engines to be loaded and the next to load", func() bool { return slices.Contains(slices.Collect(maps.Values(c.versions())), "3") })
	assert.Assert(t, !c.allServe("3"))
	stopped := time.Now()
	leaving.signal(t, syscall.SIGTERM)
	assert.Equal(t, leaving.waitExit(t, waitTimeout), 0)
	gone := time.Since(stopped)
	waitFor(t, "version 3 to be served", func() bool { return c.allServe("3") })
	took := time.Since(stopped)
	waitFor(t, "the other to hold the lease", func() bool { _, token := c.lease(); return token > before })
	t.Logf("gone after %d ms, the other had version 3 served everywhere after %d ms (term %s)", gone.Milliseconds(), took.Milliseconds(), leaseTerm)
	assert.Assert(t, took < leaseTerm)
	assert.Assert(t, strings.Contains(leaving.logs(), "leases released"))
	assert.Equal(t, ordersIn(one.logs())+ordersIn(two.logs()), 2*len(c.targets("llm")))
	assert.Equal(t, sendNow(c.entries[0].address, pipelineRequest("Q", 8)).output(t), wholeText("Q", 8))
}
