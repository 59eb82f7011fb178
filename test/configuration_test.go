package test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/backing/objects"
	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/entry"
	"github.com/vanillagate/vanillagate/internal/query/snapshot"
	"github.com/vanillagate/vanillagate/internal/standin/fault"
)

// replacementKey replaces the customer's key.
const replacementKey = "another-key-of-the-tests"

// stateAt returns the configuration that one entry VM has in force; nil while
// it isn't ready.
func stateAt(address string) *config.State {
	if !httpOK("http://" + address + "/readyz") {
		return nil
	}
	got := callAdminAPI(address, http.MethodGet, "config", nil, nil)
	state := &config.State{}
	if got.err != nil || json.Unmarshal(got.body, state) != nil {
		return nil
	}
	return state
}

// changeItem writes a configuration item under an operator's name and a change
// ID.
func changeItem(address, by, id, path string, item any, expect config.Revision) reply {
	return callAdminAPI(address, http.MethodPut, path, item, map[string]string{
		"If-Match": strconv.FormatUint(uint64(expect), 10), "X-Operator": by, "Change-Id": id,
	})
}

func (r reply) accepted(t *testing.T) config.Revision {
	t.Helper()
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusOK, "%s", r.body)
	var a entry.Accepted
	assert.NilError(t, json.Unmarshal(r.body, &a))
	return a.Revision
}

// revisionWatch polls the entry VMs and records every return to an older
// revision, also across the replacement of a VM.
type revisionWatch struct {
	regressions failureList
	done        chan struct{}
}

func watchRevisions(c *cluster) *revisionWatch {
	w := &revisionWatch{done: make(chan struct{})}
	for _, address := range c.addresses() {
		go w.watch(address)
	}
	c.t.Cleanup(w.stop)
	return w
}

func (w *revisionWatch) watch(address string) {
	highest := config.Revision(0)
	for {
		select {
		case <-w.done:
			return
		case <-time.After(pollInterval):
		}
		state := stateAt(address)
		if state == nil {
			continue
		}
		if state.Revision < highest {
			w.regressions.add(fmt.Sprintf("%s returned from revision %d to %d", address, highest, state.Revision))
		}
		highest = max(highest, state.Revision)
	}
}

func (w *revisionWatch) stop() {
	select {
	case <-w.done:
	default:
		close(w.done)
	}
}

func (w *revisionWatch) assertNoRegression(t *testing.T) {
	t.Helper()
	w.stop()
	w.regressions.checkEmpty(t)
}

// timeUntilInForce waits until the revision is in force at the given entry VMs
// and returns the time elapsed since the given start.
func timeUntilInForce(t *testing.T, since time.Time, revision config.Revision, addresses ...string) time.Duration {
	t.Helper()
	for _, address := range addresses {
		waitFor(t, fmt.Sprintf("revision %d at %s", revision, address), func() bool {
			state := stateAt(address)
			return state != nil && state.Revision >= revision
		})
	}
	return time.Since(since)
}

func rivalContract(by string, n int) config.Contract {
	c := config.Contract{Customer: "rival", KeyHashes: []string{hashOf(by)}, InFlight: 100 + n, Share: 1 + n}
	return c
}

// Two operators read the same contract and change it at the same moment through
// two entry VMs. The one whose change is rejected must be told who changed the
// item and at which revision, and no part of the rejected change may be in
// force.
func TestConcurrentChangesOfOneItemConflict(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{})
	c.waitLinked()
	watch := watchRevisions(c)
	last := config.Revision(0)
	longest := time.Duration(0)
	for round := range 12 {
		got := make([]reply, 2)
		wanted := make([]config.Contract, 2)
		operators := []string{"day shift", "night shift"}
		start := time.Now()
		var both sync.WaitGroup
		for i, by := range operators {
			wanted[i] = rivalContract(by, 2*round+i)
			both.Go(func() {
				got[i] = changeItem(c.entries[i].address, by, fmt.Sprintf("%d-%s", round, by), "contracts/rival", wanted[i], last)
			})
		}
		both.Wait()
		winner := 0
		if got[0].status != http.StatusOK {
			winner = 1
		}
		revision := got[winner].accepted(t)
		conflict := got[1-winner]
		assert.Equal(t, conflict.status, http.StatusPreconditionFailed, "%s", conflict.body)
		wantDetail := fmt.Sprintf("%s changed this item at revision %d (change %d-%s)", operators[winner], revision, round, operators[winner])
		assert.Assert(t, strings.Contains(conflict.problem.Detail, wantDetail), "%q does not say %q", conflict.problem.Detail, wantDetail)
		assert.Assert(t, last == 0 || revision == last+1, "revision %d after %d", revision, last)
		longest = max(longest, timeUntilInForce(t, start, revision, c.addresses()...))
		for _, address := range c.addresses() {
			assert.DeepEqual(t, stateAt(address).Contracts["rival"], wanted[winner])
		}
		last = revision
	}
	watch.assertNoRegression(t)
	t.Logf("12 rounds, in force everywhere after %d ms at most", longest.Milliseconds())
	assert.Assert(t, longest < maxPropagationDelay)
}

// The table service applies writes but loses half of its answers. Operators who
// are told that the outcome is unknown send the change again. Each change must
// be applied exactly once, and a change reported as not_run must not have been
// applied.
func TestConfigChangeWithLostTableAnswerAppliesOnce(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{})
	c.waitLinked()
	watch := watchRevisions(c)
	base := stateAt(c.entries[0].address).Revision
	const changes = 8
	resent := 0
	for i := range changes {
		name := fmt.Sprintf("customer-%d", i)
		item := config.Contract{Customer: name, Share: i + 1}
		c.setFault(fault.ScopeTable, fault.Fault{LoseAnswerShare: 0.5})
		got := changeItem(c.entries[i%3].address, "day shift", "change-"+name, "contracts/"+name, item, 0)
		c.setFault(fault.ScopeTable, fault.Fault{})
		if got.status != http.StatusOK {
			resent++
			assert.Equal(t, got.status, http.StatusServiceUnavailable, "%s", got.body)
			minRevision := base + config.Revision(i) + 1
			if got.problem.Execution == "not_run" {
				minRevision--
			}
			got = changeItem(c.entries[(i+1)%3].address, "day shift", "change-"+name, "contracts/"+name, item, 0)
			assert.Assert(t, got.accepted(t) >= minRevision)
		}
		assert.Equal(t, got.accepted(t), base+config.Revision(i)+1)
	}
	assert.Assert(t, c.tableStats().LostAnswers > changes, "no answers were lost")
	timeUntilInForce(t, time.Now(), base+changes, c.addresses()...)
	for _, address := range c.addresses() {
		state := stateAt(address)
		assert.Equal(t, state.Revision, base+changes)
		for i := range changes {
			assert.Equal(t, state.Contracts[fmt.Sprintf("customer-%d", i)].Share, i+1)
		}
	}
	watch.assertNoRegression(t)
	t.Logf("%d changes, %d resent by their operator, %d answers lost", changes, resent, c.tableStats().LostAnswers)
}

// rotateKey replaces the customer's key.
func (c *cluster) rotateKey(address string) config.Revision {
	c.t.Helper()
	last := stateAt(address).LastChanges[config.ItemKey(config.KindContract, customer)].Revision
	item := config.Contract{Customer: customer, KeyHashes: []string{hashOf(replacementKey)}}
	return changeItem(address, "night shift", "rotate", "contracts/"+customer, item, last).accepted(c.t)
}

// statusWithKey sends a small request with an API key and returns the status.
func statusWithKey(address, key string) int {
	r := pipelineRequest("K", 4)
	r.headers = map[string]string{"Authorization": "Bearer " + key}
	return sendNow(address, r).status
}

// snapshotRevision returns the revision of the snapshot in the object store, 0
// if it can't be read.
func (c *cluster) snapshotRevision() config.Revision {
	store := objects.New(backing.StoreConfig{
		URL: "http://" + c.fleetFile.Objects, Region: "local", AccessKey: "vanillagate", SecretKey: "vanillagate",
		HTTP: backing.DefaultHTTPConfig(),
	})
	state, err := snapshot.Read(c.t.Context(), store)
	if err != nil {
		return 0
	}
	return state.Revision
}

// A customer's key has leaked. An operator replaces it, and right afterwards
// the table service fails. During the outage the entry VMs are replaced one
// after another; each starts from a snapshot that still contains the old key.
// The old key must stay rejected.
func TestRotatedKeyStaysRejectedDuringTableOutage(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{})
	c.waitLinked()
	old := c.waitForSnapshot(stateAt(c.entries[0].address).Revision)
	c.setFault(fault.ScopeObjects, fault.Fault{Refuse: true}) // keeps the snapshot as it is
	watch := watchRevisions(c)
	start := time.Now()
	revision := c.rotateKey(c.entries[0].address)
	c.setFault(fault.ScopeTable, fault.Fault{Down: true})
	took := timeUntilInForce(t, start, revision, c.addresses()...)
	t.Logf("in force everywhere after %d ms, with the table service down", took.Milliseconds())
	assert.Assert(t, took < maxPropagationDelay)
	c.setFault(fault.ScopeObjects, fault.Fault{})
	assert.Assert(t, old < revision)
	for i := range c.entries {
		e := c.entries[i]
		e.kill(t)
		started := time.Now()
		next := c.restart(e)
		oldKeyAccepted := 0
		waitFor(t, "the new VM to serve", func() bool {
			if statusWithKey(next.address, customerKey) == http.StatusOK {
				oldKeyAccepted++
			}
			return statusWithKey(next.address, replacementKey) == http.StatusOK
		})
		assert.Equal(t, oldKeyAccepted, 0, "the replaced VM accepted the old key")
		t.Logf("replaced VM serves after %d ms", time.Since(started).Milliseconds())
		c.waitLinked()
		assert.Equal(t, statusWithKey(next.address, customerKey), http.StatusUnauthorized)
	}
	watch.assertNoRegression(t)
}

// waitForSnapshot waits until the snapshot contains a revision and returns the
// snapshot's revision.
func (c *cluster) waitForSnapshot(revision config.Revision) config.Revision {
	c.t.Helper()
	waitFor(c.t, "the snapshot", func() bool { return c.snapshotRevision() >= revision })
	return c.snapshotRevision()
}

// All entry VMs fail while the table service is down, and one comes back before
// the others: the snapshot is its only source of the configuration.
func TestEntryVMStartsFromSnapshotWithoutTableOrPeers(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{})
	revision := stateAt(c.entries[0].address).Revision
	c.waitForSnapshot(revision)
	c.setFault(fault.ScopeTable, fault.Fault{Down: true})
	for _, e := range c.entries {
		e.kill(t)
	}
	start := time.Now()
	next := c.restart(c.entries[0])
	c.waitReady(next)
	t.Logf("serves from the snapshot after %d ms", time.Since(start).Milliseconds())
	assert.Equal(t, stateAt(next.address).Revision, revision)
	assert.Equal(t, sendNow(next.address, pipelineRequest("Q", 4)).output(t), wholeText("Q", 4))
}

// An entry VM freezes for a while, as VMs do during a live migration. Meanwhile
// a customer's key is replaced, and requests with the old key queue at the
// frozen VM. When it resumes, it must not admit them by the contract that it
// still has in memory, also if the table service can't be read.
func TestResumedVMRejectsRotatedKey(t *testing.T) {
	t.Parallel()
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprintf("table down %t", down), func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, clusterOptions{})
			c.waitLinked()
			frozen := c.entries[2]
			assert.Equal(t, statusWithKey(frozen.address, customerKey), http.StatusOK)
			watch := watchRevisions(c)
			frozen.signal(t, syscall.SIGSTOP)
			frozenAt := time.Now()
			start := time.Now()
			revision := c.rotateKey(c.entries[0].address)
			timeUntilInForce(t, start, revision, c.entries[0].address, c.entries[1].address)
			if down {
				c.setFault(fault.ScopeTable, fault.Fault{Down: true})
			}
			code, out := c.vgctl("contract", "wait", "--timeout", "2s", strconv.Itoa(int(revision)))
			assert.Equal(t, code, 5, "%s", out)
			for i, want := range []string{"yes", "yes", "no answer"} {
				assert.Equal(t, c.lastColumns(out, c.entries[i].address), want, "%s", out)
			}
			const waiting = 20
			var got [waiting]int
			var all sync.WaitGroup
			for i := range got {
				all.Go(func() { got[i] = statusWithKey(frozen.address, customerKey) })
			}
			waitFor(t, "the VM to have been frozen for 2.5 s", func() bool { return time.Since(frozenAt) > 2500*time.Millisecond })
			frozen.signal(t, syscall.SIGCONT)
			resumed := time.Now()
			all.Wait()
			for _, status := range got {
				assert.Equal(t, status, http.StatusUnauthorized, "%v", got)
			}
			took := timeUntilInForce(t, resumed, revision, frozen.address)
			t.Logf("in force there %d ms after it resumed", took.Milliseconds())
			code, out = c.vgctl("contract", "wait", "--timeout", "20s", strconv.Itoa(int(revision)))
			assert.Equal(t, code, 0, "%s", out)
			for _, e := range c.entries {
				assert.Equal(t, c.lastColumns(out, e.address), "yes", "%s", out)
			}
			watch.assertNoRegression(t)
		})
	}
}

// vgctl runs the operators' command-line tool against the first entry VM.
func (c *cluster) vgctl(args ...string) (code int, out string) {
	c.t.Helper()
	cmd := exec.Command(binaryPath("vgctl"), args...)
	cmd.Env = append(os.Environ(), "VANILLAGATE_ENTRIES="+c.entries[0].address, "VANILLAGATE_OPERATOR_KEY="+operatorKey, "VANILLAGATE_OPERATOR=night")
	raw, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		assert.NilError(c.t, err)
	}
	return cmd.ProcessState.ExitCode(), string(raw)
}

// lastColumns returns the text after the third column of a VM's row in a table
// that vgctl printed.
func (c *cluster) lastColumns(out, address string) string {
	for line := range strings.Lines(out) {
		fields := strings.Fields(line)
		if len(fields) > 3 && fields[0] == address {
			return strings.Join(fields[3:], " ")
		}
	}
	return ""
}
