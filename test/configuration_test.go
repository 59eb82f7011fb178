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

// laterKey takes the place of the customer's key.
const laterKey = "another-key-of-the-tests"

// stateAt is the configuration that one entry VM goes by; nil while it doesn't
// serve.
func stateAt(address string) *config.State {
	if !httpOK("http://" + address + "/readyz") {
		return nil
	}
	got := operate(address, http.MethodGet, "config", nil, nil)
	state := &config.State{}
	if got.err != nil || json.Unmarshal(got.body, state) != nil {
		return nil
	}
	return state
}

// change is a call of an operator that changes an item.
func change(address, by, id, path string, item any, expect config.Revision) reply {
	return operate(address, http.MethodPut, path, item, map[string]string{
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

// revisionWatch checks all the time that no entry VM goes back behind a
// revision that it went by before, also when its VM is replaced.
type revisionWatch struct {
	wrong failureList
	done  chan struct{}
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
			w.wrong.add(fmt.Sprintf("%s went back from revision %d to %d", address, highest, state.Revision))
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

func (w *revisionWatch) never(t *testing.T) {
	t.Helper()
	w.stop()
	w.wrong.checkEmpty(t)
}

// inForceWithin measures how long a revision takes to be in force at the
// given entry VMs.
func inForceWithin(t *testing.T, since time.Time, revision config.Revision, addresses ...string) time.Duration {
	t.Helper()
	for _, address := range addresses {
		waitFor(t, fmt.Sprintf("revision %d at %s", revision, address), func() bool {
			state := stateAt(address)
			return state != nil && state.Revision >= revision
		})
	}
	return time.Since(since)
}

func rival(by string, n int) config.Contract {
	c := config.Contract{Customer: "rival", KeyHashes: []string{hashOf(by)}, InFlight: 100 + n, Share: 1 + n}
	return c
}

// Two operators of two shifts read the same contract and change it at the same
// moment through two entry VMs. One of them must be told that he lost, by whom
// and at which revision, and nothing of what he wanted may be in force.
func TestRaceOfTwoShifts(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{})
	c.waitLinked()
	watch := watchRevisions(c)
	last := config.Revision(0)
	longest := time.Duration(0)
	for round := range 12 {
		got := make([]reply, 2)
		wanted := make([]config.Contract, 2)
		shifts := []string{"day shift", "night shift"}
		began := time.Now()
		var both sync.WaitGroup
		for i, by := range shifts {
			wanted[i] = rival(by, 2*round+i)
			both.Go(func() {
				got[i] = change(c.entries[i].address, by, fmt.Sprintf("%d-%s", round, by), "contracts/rival", wanted[i], last)
			})
		}
		both.Wait()
		winner := 0
		if got[0].status != http.StatusOK {
			winner = 1
		}
		revision := got[winner].accepted(t)
		lost := got[1-winner]
		assert.Equal(t, lost.status, http.StatusPreconditionFailed, "%s", lost.body)
		says := fmt.Sprintf("%s changed this item at revision %d (change %d-%s)", shifts[winner], revision, round, shifts[winner])
		assert.Assert(t, strings.Contains(lost.problem.Detail, says), "%q does not say %q", lost.problem.Detail, says)
		assert.Assert(t, last == 0 || revision == last+1, "revision %d after %d", revision, last)
		longest = max(longest, inForceWithin(t, began, revision, c.addresses()...))
		for _, address := range c.addresses() {
			assert.DeepEqual(t, stateAt(address).Contracts["rival"], wanted[winner])
		}
		last = revision
	}
	watch.never(t)
	t.Logf("12 races, in force everywhere after %d ms at most", longest.Milliseconds())
	assert.Assert(t, longest < maxPropagationDelay)
}

// The table service takes every second change in and its answer gets lost.
// Operators who are told that nobody knows send the change again. Each change
// must stand exactly once, and what was said to have changed nothing must not
// be there.
func TestLostAnswerOfAnAcceptance(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{})
	c.waitLinked()
	watch := watchRevisions(c)
	base := stateAt(c.entries[0].address).Revision
	const changes = 8
	again := 0
	for i := range changes {
		name := fmt.Sprintf("customer-%d", i)
		item := config.Contract{Customer: name, Share: i + 1}
		c.setFault(fault.ScopeTable, fault.Fault{LoseAnswerShare: 0.5})
		got := change(c.entries[i%3].address, "day shift", "change-"+name, "contracts/"+name, item, 0)
		c.setFault(fault.ScopeTable, fault.Fault{})
		if got.status != http.StatusOK {
			again++
			assert.Equal(t, got.status, http.StatusServiceUnavailable, "%s", got.body)
			stands := base + config.Revision(i) + 1
			if got.problem.Execution == "not_run" {
				stands--
			}
			got = change(c.entries[(i+1)%3].address, "day shift", "change-"+name, "contracts/"+name, item, 0)
			assert.Assert(t, got.accepted(t) >= stands)
		}
		assert.Equal(t, got.accepted(t), base+config.Revision(i)+1)
	}
	assert.Assert(t, c.tableStats().LostAnswers > changes, "no answers were lost")
	inForceWithin(t, time.Now(), base+changes, c.addresses()...)
	for _, address := range c.addresses() {
		state := stateAt(address)
		assert.Equal(t, state.Revision, base+changes)
		for i := range changes {
			assert.Equal(t, state.Contracts[fmt.Sprintf("customer-%d", i)].Share, i+1)
		}
	}
	watch.never(t)
	t.Logf("%d changes, %d sent again by their operator, %d answers lost", changes, again, c.tableStats().LostAnswers)
}

// rotateKey gives the customer another key in place of the one he has.
func (c *cluster) rotateKey(address string) config.Revision {
	c.t.Helper()
	last := stateAt(address).LastChanges[config.ItemKey(config.KindContract, customer)].Revision
	item := config.Contract{Customer: customer, KeyHashes: []string{hashOf(laterKey)}}
	return change(address, "night shift", "rotate", "contracts/"+customer, item, last).accepted(c.t)
}

// withKey sends a small request under a key and gives the status.
func withKey(address, key string) int {
	r := pipelineRequest("K", 4)
	r.headers = map[string]string{"Authorization": "Bearer " + key}
	return sendNow(address, r).status
}

// snapshotRevision is the revision of the snapshot in the object store.
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

// A customer's key got into wrong hands. An operator replaces it, and right
// after that the table service goes down. During the outage the entry VMs are
// replaced one after another; each begins with a snapshot in which the old key
// still stands. It must not open any door again.
func TestStoreGoesDownRightAfterAcceptance(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{})
	c.waitLinked()
	old := c.snapshotHas(stateAt(c.entries[0].address).Revision)
	c.setFault(fault.ScopeObjects, fault.Fault{Refuse: true}) // keeps the snapshot as it is
	watch := watchRevisions(c)
	began := time.Now()
	revision := c.rotateKey(c.entries[0].address)
	c.setFault(fault.ScopeTable, fault.Fault{Down: true})
	took := inForceWithin(t, began, revision, c.addresses()...)
	t.Logf("in force everywhere after %d ms, with the table service down", took.Milliseconds())
	assert.Assert(t, took < maxPropagationDelay)
	c.setFault(fault.ScopeObjects, fault.Fault{})
	assert.Assert(t, old < revision)
	for i := range c.entries {
		e := c.entries[i]
		e.kill(t)
		started := time.Now()
		next := c.restart(e)
		opened := 0
		waitFor(t, "the new VM to serve", func() bool {
			if withKey(next.address, customerKey) == http.StatusOK {
				opened++
			}
			return withKey(next.address, laterKey) == http.StatusOK
		})
		assert.Equal(t, opened, 0, "the old key opened the new VM")
		t.Logf("replaced VM serves after %d ms", time.Since(started).Milliseconds())
		c.waitLinked()
		assert.Equal(t, withKey(next.address, customerKey), http.StatusUnauthorized)
	}
	watch.never(t)
}

// snapshotHas waits until the snapshot holds a revision.
func (c *cluster) snapshotHas(revision config.Revision) config.Revision {
	c.t.Helper()
	waitFor(c.t, "the snapshot", func() bool { return c.snapshotRevision() >= revision })
	return c.snapshotRevision()
}

// All entry VMs are lost while the table service is down, and one comes back
// before the others: nobody can tell it what is in force but the snapshot.
func TestLastSnapshotIsInForceWhereNobodyAnswers(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{})
	revision := stateAt(c.entries[0].address).Revision
	c.snapshotHas(revision)
	c.setFault(fault.ScopeTable, fault.Fault{Down: true})
	for _, e := range c.entries {
		e.kill(t)
	}
	began := time.Now()
	next := c.restart(c.entries[0])
	c.waitReady(next)
	t.Logf("serves by the snapshot after %d ms", time.Since(began).Milliseconds())
	assert.Equal(t, stateAt(next.address).Revision, revision)
	assert.Equal(t, sendNow(next.address, pipelineRequest("Q", 4)).output(t), wholeText("Q", 4))
}

// An entry VM stands still for a while, as VMs do when they are moved. While
// it does, a customer's key is replaced. Requests with the old key wait at its
// door; when it goes on it must not let them in by the contract that it still
// has in memory, also when the table service can't be asked.
func TestFrozenVMDoesNotBringAnOldContractBack(t *testing.T) {
	t.Parallel()
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprintf("table down %t", down), func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, clusterOptions{})
			c.waitLinked()
			frozen := c.entries[2]
			assert.Equal(t, withKey(frozen.address, customerKey), http.StatusOK)
			watch := watchRevisions(c)
			frozen.signal(t, syscall.SIGSTOP)
			stopped := time.Now()
			began := time.Now()
			revision := c.rotateKey(c.entries[0].address)
			inForceWithin(t, began, revision, c.entries[0].address, c.entries[1].address)
			if down {
				c.setFault(fault.ScopeTable, fault.Fault{Down: true})
			}
			code, out := c.vgctl("contract", "wait", "--timeout", "2s", strconv.Itoa(int(revision)))
			assert.Equal(t, code, 5, "%s", out)
			for i, want := range []string{"yes", "yes", "no answer"} {
				assert.Equal(t, c.says(out, c.entries[i].address), want, "%s", out)
			}
			const waiting = 20
			var got [waiting]int
			var all sync.WaitGroup
			for i := range got {
				all.Go(func() { got[i] = withKey(frozen.address, customerKey) })
			}
			waitFor(t, "the VM to have stood still for long", func() bool { return time.Since(stopped) > 2500*time.Millisecond })
			frozen.signal(t, syscall.SIGCONT)
			thawed := time.Now()
			all.Wait()
			for _, status := range got {
				assert.Equal(t, status, http.StatusUnauthorized, "%v", got)
			}
			took := inForceWithin(t, thawed, revision, frozen.address)
			t.Logf("in force there %d ms after it went on", took.Milliseconds())
			code, out = c.vgctl("contract", "wait", "--timeout", "20s", strconv.Itoa(int(revision)))
			assert.Equal(t, code, 0, "%s", out)
			for _, e := range c.entries {
				assert.Equal(t, c.says(out, e.address), "yes", "%s", out)
			}
			watch.never(t)
		})
	}
}

// vgctl runs the operators' desk against the first entry VM.
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

// says finds what a table of vgctl says in the last columns of a VM's row.
func (c *cluster) says(out, address string) string {
	for line := range strings.Lines(out) {
		fields := strings.Fields(line)
		if len(fields) > 3 && fields[0] == address {
			return strings.Join(fields[3:], " ")
		}
	}
	return ""
}
