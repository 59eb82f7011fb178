package test

import (
	"bytes"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	totalKillVMs     = 4
	totalKillStreams = 48
	totalKillTries   = 4
	// outageTime is how long no VM runs.
	outageTime = 600 * time.Millisecond
)

// totalKill is a run in which all VMs are killed at once while streams are open.
type totalKill struct {
	*streamSoak
	streams []*soakStream
}

// firstStart is the line of the settings that says that the whole system starts for the first time.
const firstStart = "bootstrap = true\n"

// newTotalKill starts VMs and engines of the given versions.
func newTotalKill(t *testing.T, versions ...string) *totalKill {
	s := newStreamSite(startFirstTime(t, totalKillVMs), 1)
	for _, version := range versions {
		for range enginesPerVersion {
			s.startEngine(version)
		}
	}
	time.Sleep(time.Second)
	return &totalKill{streamSoak: s}
}

// startFirstTime is startEdgeSite with settings that say that the whole system starts for the first time.
func startFirstTime(t *testing.T, n int) *edgeSite {
	edges := newEdgeSite(t, n)
	for _, vm := range edges.vms {
		text, err := os.ReadFile(vm.Settings)
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(vm.Settings, append([]byte(firstStart), text...), 0o600))
	}
	edges.startAll()
	time.Sleep(3500 * time.Millisecond) // until all processes know each other and the retry budget knows its members
	return edges
}

// endFirstStart removes from the settings of a VM that the whole system starts for the first time.
func (e *edgeSite) endFirstStart(i int) {
	text, err := os.ReadFile(e.vms[i].Settings)
	assert.NilError(e.t, err)
	assert.NilError(e.t, os.WriteFile(e.vms[i].Settings, bytes.TrimPrefix(text, []byte(firstStart)), 0o600))
}

// begin has callers read a part of their streams and leave.
func (k *totalKill) begin() {
	var running sync.WaitGroup
	for i := range totalKillStreams {
		c := &soakStream{name: fmt.Sprint("stream-", i), versions: map[string]bool{}}
		k.streams = append(k.streams, c)
		running.Go(func() { k.attempt(c, i%totalKillVMs, c.name+"-0", 8) })
		time.Sleep(10 * time.Millisecond) // so that VMs see the load of each other's
	}
	running.Wait()
	for _, c := range k.streams {
		assert.Equal(k.t, c.events, 8, c.name)
	}
	for version := range k.engines {
		assert.Assert(k.t, k.begunAt()[version] >= totalKillStreams/8, "%v", k.begunAt())
	}
}

// removeVersion removes the entries of a version's engines, which go on running.
func (k *totalKill) removeVersion(version string) {
	for _, engine := range k.engines[version] {
		k.edges.site.Store.Delete("servers", engine.ID)
	}
}

// killAll kills all VMs at once and starts them again; meanwhile runs while there is none.
func (k *totalKill) killAll(meanwhile func()) {
	for _, process := range k.edges.processes {
		process.kill(k.t)
	}
	if meanwhile != nil {
		meanwhile()
	}
	time.Sleep(outageTime)
	for i := range k.edges.vms {
		k.edges.endFirstStart(i)
		k.edges.start(i)
	}
}

// takeUp has the callers take their streams up until they have the given number of events. It returns how many did, by
// the version that began them.
func (k *totalKill) takeUp(round string, until int) map[string]int {
	var running sync.WaitGroup
	for i, c := range k.streams {
		running.Go(func() {
			for n := 0; n < totalKillTries && c.events < until; n++ {
				vm := (i + n + 1) % totalKillVMs
				k.edges.waitReady(vm)
				k.attempt(c, vm, fmt.Sprintf("%s-%s-%d", c.name, round, n), until)
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	running.Wait()
	whole := map[string]int{}
	for _, c := range k.streams {
		assert.Check(k.t, len(c.versions) == 1, "%s has %v", c.name, c.versions)
		if c.events == until {
			whole[c.version]++
		}
	}
	k.t.Logf("went on: %v of %v", whole, k.begunAt())
	return whole
}

// begunAt returns how many streams began at each version.
func (k *totalKill) begunAt() map[string]int {
	begun := map[string]int{}
	for _, c := range k.streams {
		begun[c.version]++
	}
	return begun
}

// Guards against streams that nobody knows anymore once all VMs were killed at once, also twice in a row.
func TestPlatformStreamsGoOnAfterAllVMsWereKilled(t *testing.T) {
	t.Parallel()
	k := newTotalKill(t, "v1", "v2")
	k.begin()
	time.Sleep(time.Second)
	for i, until := range []int{14, versionedEvents} {
		k.killAll(nil)
		whole := k.takeUp(fmt.Sprint("round", i), until)
		assert.Assert(t, 4*(whole["v1"]+whole["v2"]) >= 3*totalKillStreams, "%v", whole)
		time.Sleep(time.Second)
	}
}

// Guards against streams that go on at the only version in sight after their own left just before all VMs were killed.
func TestPlatformStreamsOfAVersionThatLeftBeforeAllVMsWereKilledAreRefused(t *testing.T) {
	t.Parallel()
	k := newTotalKill(t, "v1")
	k.begin()
	for range enginesPerVersion {
		k.startEngine("v2")
	}
	time.Sleep(300 * time.Millisecond)
	k.removeVersion("v1")
	time.Sleep(100 * time.Millisecond)
	k.killAll(nil)
	assert.Equal(t, k.takeUp("again", versionedEvents)["v1"], 0)
}

// Guards against streams that go on at the only version in sight after their own left while no VM ran.
func TestPlatformStreamsOfAVersionThatLeftWhileNoVMRanAreRefused(t *testing.T) {
	t.Parallel()
	k := newTotalKill(t, "v1", "v2")
	k.begin()
	time.Sleep(time.Second)
	k.killAll(func() { k.removeVersion("v1") })
	whole := k.takeUp("again", versionedEvents)
	assert.Equal(t, whole["v1"], 0)
	assert.Assert(t, 4*whole["v2"] >= 3*k.begunAt()["v2"], "%v", whole)
}

// Guards against refusals of streams of the only version after all VMs were killed.
func TestPlatformStreamsOfTheOnlyVersionGoOnAfterAllVMsWereKilled(t *testing.T) {
	t.Parallel()
	k := newTotalKill(t, "v1")
	k.begin()
	k.killAll(nil)
	assert.Equal(t, k.takeUp("again", versionedEvents)["v1"], totalKillStreams)
}

// tableOrigins is the table of the store in which the origins of streams are kept.
const tableOrigins = "vanillagate-origins"

// Guards against origins that the store loses when it comes back from a copy.
func TestPlatformStreamsGoOnAfterARestoreAndAllVMsWereKilled(t *testing.T) {
	t.Parallel()
	k := newTotalKill(t, "v1", "v2")
	before := k.edges.site.Store.Copy()
	k.begin()
	time.Sleep(time.Second)
	k.edges.site.Store.Restore(before)
	time.Sleep(3 * time.Second)
	k.killAll(nil)
	whole := k.takeUp("again", versionedEvents)
	assert.Assert(t, 4*(whole["v1"]+whole["v2"]) >= 3*totalKillStreams, "%v", whole)
}

// Guards against guesses where an earlier release, or an operator who removed the table, left no rows.
func TestPlatformStreamsWithoutRowsInTheStoreAreRefused(t *testing.T) {
	t.Parallel()
	k := newTotalKill(t, "v1")
	k.begin()
	k.killAll(func() {
		for _, row := range k.edges.site.Store.Rows(tableOrigins) {
			k.edges.site.Store.Delete(tableOrigins, row.Key)
		}
		k.removeVersion("v1")
		for range enginesPerVersion {
			k.startEngine("v2")
		}
	})
	whole := k.takeUp("again", versionedEvents)
	assert.Equal(t, whole["v1"], 0)
}
