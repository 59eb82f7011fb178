package test

import (
	"context"
	"net/http"
	"os/exec"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/platform/standin"
)

// edgeSite is a stand-in for the users' platform with real entry processes (vgedge).
type edgeSite struct {
	t         *testing.T
	site      *standin.Site
	vms       []standin.VM
	processes []*process
}

// newEdgeSite creates a site with n VMs and starts no processes on them.
func newEdgeSite(t *testing.T, n int) *edgeSite {
	t.Helper()
	site, err := standin.NewSite("127.0.0.1")
	assert.NilError(t, err)
	t.Cleanup(site.Close)
	base, err := standin.FreeLoopback(n)
	assert.NilError(t, err)
	vms, err := site.WriteVMSettings(t.TempDir(), base, n)
	assert.NilError(t, err)
	return &edgeSite{t: t, site: site, vms: vms, processes: make([]*process, n)}
}

// startEdgeSite creates a site with a running process on each of its n VMs.
func startEdgeSite(t *testing.T, n int) *edgeSite {
	t.Helper()
	e := newEdgeSite(t, n)
	e.startAll()
	time.Sleep(3500 * time.Millisecond) // until all processes know each other and the retry budget knows its members
	return e
}

// startAll starts a process on each VM and waits until all are ready.
func (e *edgeSite) startAll() {
	e.t.Helper()
	for i := range e.vms {
		e.start(i)
	}
	for i := range e.vms {
		e.waitReady(i)
	}
}

func (e *edgeSite) start(i int) {
	e.t.Helper()
	e.startPrepared(i, func(*exec.Cmd) {})
}

// startPrepared starts the process of a VM with a command that prepare may change.
func (e *edgeSite) startPrepared(i int, prepare func(*exec.Cmd)) {
	e.t.Helper()
	e.processes[i] = launchCommand(e.t, e.vms[i].Name, func(cmd *exec.Cmd) {
		cmd.Env = append(cmd.Environ(), "VANILLAGATE_SETTINGS="+e.vms[i].Settings)
		prepare(cmd)
	}, "vgedge", "--peer-keys="+peerKeys, "--metrics=9464/metrics")
}

func (e *edgeSite) waitReady(i int) {
	e.t.Helper()
	limit := time.Now().Add(waitTimeout)
	for time.Now().Before(limit) {
		select {
		case <-e.processes[i].done:
			e.t.Fatalf("%s has ended before it was ready", e.vms[i].Name)
		default:
		}
		if e.vms[i].IsReady() {
			return
		}
		time.Sleep(pollInterval)
	}
	e.t.Fatalf("%s isn't ready in time", e.vms[i].Name)
}

// runCallers sends requests for some time while meanwhile runs, and checks that no answer is wrong,
// no request ran twice and none was wrongly reported as not run.
func (e *edgeSite) runCallers(perSecond float64, d time.Duration, meanwhile func()) standin.Tally {
	e.t.Helper()
	callers := &standin.Callers{Site: e.site, VMs: e.vms, PerSecond: perSecond}
	done := make(chan standin.Tally, 1)
	go func() { done <- callers.Run(context.Background(), d) }()
	if meanwhile != nil {
		meanwhile()
	}
	tally := <-done
	e.t.Log(tally)
	assert.Equal(e.t, tally.WrongAnswers, 0)
	assert.Equal(e.t, tally.RanTwice, 0)
	assert.Equal(e.t, tally.FalseRefusals, 0)
	return tally
}

// launchWithEnv is launch with additional environment variables.
func launchWithEnv(t *testing.T, name, binary string, environment []string, args ...string) *process {
	t.Helper()
	return launchCommand(t, name, func(cmd *exec.Cmd) { cmd.Env = append(cmd.Environ(), environment...) }, binary, args...)
}

func TestPlatformSteadyLoad(t *testing.T) {
	t.Parallel()
	e := startEdgeSite(t, 3)
	tally := e.runCallers(60, 5*time.Second, nil)
	assert.Assert(t, tally.Attainment() > 0.98, "%v", tally)
}

// The platform sends SIGHUP to each process when its settings have changed. Guards against a
// process that ends at this signal and so aborts the requests that it serves.
func TestPlatformSettingsChangeUnderLoad(t *testing.T) {
	t.Parallel()
	e := startEdgeSite(t, 3)
	tally := e.runCallers(60, 4*time.Second, func() {
		for range 5 {
			time.Sleep(500 * time.Millisecond)
			for _, run := range e.processes {
				run.signal(t, syscall.SIGHUP)
			}
		}
	})
	assert.Assert(t, tally.Attainment() > 0.98, "%v", tally)
	for _, run := range e.processes {
		select {
		case <-run.done:
			t.Errorf("%s ended at SIGHUP", run.name)
		default:
		}
	}
}

// Processes are killed one after the other and start again. Their requests in flight are lost, but
// nothing runs twice, and callers that retry are served by the other processes.
func TestPlatformProcessesAreKilled(t *testing.T) {
	t.Parallel()
	e := startEdgeSite(t, 4)
	tally := e.runCallers(60, 8*time.Second, func() {
		for i := range 3 {
			time.Sleep(1500 * time.Millisecond)
			e.processes[i].kill(t)
			time.Sleep(300 * time.Millisecond)
			e.start(i)
		}
	})
	assert.Assert(t, tally.Attainment() > 0.8, "%v", tally)
}

// A process is paused for three seconds and then continues with the requests that it had. They may
// be too late by then, but none of them runs twice.
func TestPlatformProcessIsPaused(t *testing.T) {
	t.Parallel()
	e := startEdgeSite(t, 4)
	tally := e.runCallers(60, 8*time.Second, func() {
		time.Sleep(1500 * time.Millisecond)
		e.processes[1].signal(t, syscall.SIGSTOP)
		time.Sleep(3 * time.Second)
		e.processes[1].signal(t, syscall.SIGCONT)
	})
	assert.Assert(t, tally.Attainment() > 0.7, "%v", tally)
}

// Operators stop one VM after the other and start it again. No caller is affected.
func TestPlatformRollingStop(t *testing.T) {
	t.Parallel()
	e := startEdgeSite(t, 4)
	tally := e.runCallers(60, 14*time.Second, func() {
		for i := range 3 {
			time.Sleep(500 * time.Millisecond)
			e.processes[i].signal(t, syscall.SIGTERM)
			assert.Equal(t, e.processes[i].waitExit(t, 8*time.Second), 0)
			e.start(i)
			e.waitReady(i)
		}
	})
	assert.Equal(t, tally.Lost, 0)
	assert.Equal(t, tally.Failed, 0)
	assert.Assert(t, tally.Attainment() > 0.97, "%v", tally)
}

// All processes are killed at the same moment, right after a configuration was accepted, and start
// again. They serve within seconds, with the new configuration.
func TestPlatformAllProcessesAreKilled(t *testing.T) {
	t.Parallel()
	e := startEdgeSite(t, 3)
	e.site.Publish(func(config map[string]any) { config["tenants"] = []any{} })
	for _, p := range e.processes {
		p.kill(t)
	}
	for i := range e.processes {
		e.start(i)
	}
	for i := range e.processes {
		e.waitReady(i)
	}
	tally := e.runCallers(40, 4*time.Second, nil)
	assert.Assert(t, tally.Attainment() > 0.95, "%v", tally)
}

// The store doesn't respond while a target loses answers and a process is replaced.
func TestPlatformStoreOutageWithOtherFaults(t *testing.T) {
	t.Parallel()
	e := startEdgeSite(t, 4)
	var n atomic.Int64
	tally := e.runCallers(60, 9*time.Second, func() {
		time.Sleep(time.Second)
		e.site.Store.SetFault(func(string) standin.Fault { return standin.NoResponse })
		e.site.Desks[0].SetBehaviour(func(*http.Request) standin.Behaviour {
			if n.Add(1)%2 == 0 {
				return standin.LosesAnswer
			}
			return standin.Normal
		})
		e.processes[0].kill(t)
		e.start(0)
		time.Sleep(4 * time.Second)
		e.site.Store.SetFault(nil)
		e.site.Desks[0].SetBehaviour(nil)
	})
	assert.Assert(t, tally.Attainment() > 0.8, "%v", tally)
}

func TestPlatformUnusableSettings(t *testing.T) {
	t.Parallel()
	p := launchWithEnv(t, "no settings", "vgedge", []string{"VANILLAGATE_SETTINGS="}, "--peer-keys="+peerKeys)
	assert.Equal(t, p.waitExit(t, waitTimeout), 2)
	p = launchWithEnv(t, "no file", "vgedge", []string{"VANILLAGATE_SETTINGS=/nowhere/settings.toml"}, "--peer-keys="+peerKeys)
	assert.Equal(t, p.waitExit(t, waitTimeout), 2)
	p = launchWithEnv(t, "short key", "vgedge", []string{"VANILLAGATE_SETTINGS=/nowhere/settings.toml"}, "--peer-keys=short")
	assert.Equal(t, p.waitExit(t, waitTimeout), 2)
}
