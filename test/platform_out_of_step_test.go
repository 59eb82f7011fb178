package test

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/platform/standin"
)

const (
	// awayVM is the VM that is out of step.
	awayVM = totalKillVMs - 1
	// joinTime is from the start of a new version's engines until streams begin, passTime from there until the VMs
	// that pass them on are killed.
	joinTime = 600 * time.Millisecond
	passTime = 900 * time.Millisecond
	// wakeLead is how long before the VM goes on callers send it their requests.
	wakeLead = 50 * time.Millisecond
	// cutTime is how long it is cut off from the store and all others after that.
	cutTime = 2 * time.Second
)

// awayRun is a run in which a VM stands still while engines of a new version join and streams begin there.
type awayRun struct {
	*totalKill
	// killed is how many VMs pass the streams on and are killed.
	killed int
}

func (k *awayRun) signal(vm int, s syscall.Signal) { k.edges.processes[vm].signal(k.t, s) }

// beginElsewhere has callers begin streams at the VMs that are killed under them.
func (k *awayRun) beginElsewhere() *sync.WaitGroup {
	var running sync.WaitGroup
	for i := range totalKillStreams {
		c := &soakStream{name: fmt.Sprint("stream-", i), path: standin.SlowPath, versions: map[string]bool{}}
		k.streams = append(k.streams, c)
		running.Go(func() { k.attempt(c, i%k.killed, c.name+"-0", versionedEvents) })
	}
	return &running
}

// cutOff runs fn while the VM reaches neither the store nor the other VMs, and for cutTime.
func (k *awayRun) cutOff(fn func()) {
	away := k.edges.vms[awayVM].IP
	k.edges.site.Store.SetFault(func(ip string) standin.Fault {
		if ip == away {
			return standin.NoResponse
		}
		return standin.NoFault
	})
	for vm := k.killed; vm < awayVM; vm++ {
		k.signal(vm, syscall.SIGSTOP)
	}
	fn()
	time.Sleep(cutTime)
	k.edges.site.Store.SetFault(nil)
	for vm := k.killed; vm < awayVM; vm++ {
		k.signal(vm, syscall.SIGCONT)
	}
}

// run has the VM stand still for some time, and returns how many of its callers' streams went on, by version.
func (k *awayRun) run(standstill time.Duration, cut bool) map[string]int {
	stoppedAt := time.Now()
	k.signal(awayVM, syscall.SIGSTOP)
	for range 2 * enginesPerVersion {
		k.startEngine("v2")
	}
	time.Sleep(joinTime)
	begun := k.beginElsewhere()
	time.Sleep(passTime)
	for vm := range k.killed {
		k.edges.processes[vm].kill(k.t)
	}
	begun.Wait()
	time.Sleep(time.Until(stoppedAt.Add(standstill - wakeLead)))
	var whole map[string]int
	var callers sync.WaitGroup
	callers.Go(func() { whole = k.takeUpAt(awayVM) })
	time.Sleep(wakeLead)
	if cut {
		k.cutOff(func() { k.signal(awayVM, syscall.SIGCONT) })
	} else {
		k.signal(awayVM, syscall.SIGCONT)
	}
	callers.Wait()
	return whole
}

// takeUpAt has the callers take their streams up at one VM. It returns how many went on, by version.
func (k *awayRun) takeUpAt(vm int) map[string]int {
	var running sync.WaitGroup
	for _, c := range k.streams {
		running.Go(func() {
			for n := 1; n <= totalKillTries && c.events < versionedEvents; n++ {
				pause := k.attempt(c, vm, fmt.Sprintf("%s-%d", c.name, n), versionedEvents)
				time.Sleep(max(pause, 300*time.Millisecond))
			}
		})
	}
	running.Wait()
	whole := map[string]int{}
	joined := 0
	for _, c := range k.streams {
		if len(c.versions) > 1 {
			joined++
		}
		if c.events == versionedEvents {
			whole[c.version]++
		}
	}
	k.t.Logf("went on: %v of %v, %d joined", whole, k.begunAt(), joined)
	assert.Check(k.t, joined == 0, "%d streams have events of two versions", joined)
	return whole
}

// Guards against streams that a VM resumes at the only version it has seen, because others joined while it was away.
func TestPlatformVMThatWasAwayWhileAVersionJoinedMixesNoStreams(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name       string
		standstill time.Duration
		killed     int
		cut        bool
		// goOn means that the streams must go on: the VM reaches the store, and others have their records.
		goOn bool
	}{
		{name: "stopped", killed: 1, standstill: joinTime + passTime, goOn: true},
		{name: "stopped for a long time", killed: 1, standstill: 4500 * time.Millisecond, goOn: true},
		{name: "all others are killed", killed: awayVM, standstill: joinTime + passTime},
		{name: "cut off afterwards", killed: 1, standstill: joinTime + passTime, cut: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			k := &awayRun{totalKill: newTotalKill(t, "v1"), killed: c.killed}
			for range enginesPerVersion {
				k.startEngine("v1")
			}
			time.Sleep(300 * time.Millisecond)
			whole := k.run(c.standstill, c.cut)
			if c.goOn {
				assert.Assert(t, 4*(whole["v1"]+whole["v2"]) >= 3*totalKillStreams, "%v", whole)
			}
		})
	}
}
