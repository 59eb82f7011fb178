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

// edgeSite is a stand-in of the users' platform with real entry processes.
type edgeSite struct {
	t         *testing.T
	site      *standin.Site
	vms       []standin.VM
	processes []*process
}

// newEdges has a site's VMs, on which nothing runs yet.
func newEdges(t *testing.T, n int) *edgeSite {
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

func startEdges(t *testing.T, n int) *edgeSite {
	t.Helper()
	e := newEdges(t, n)
	e.startAll()
	time.Sleep(3500 * time.Millisecond) // until all know each other and the budget its members
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
	e.startAfter(i, func(*exec.Cmd) {})
}

// startAfter starts a process after prepare has changed how.
func (e *edgeSite) startAfter(i int, prepare func(*exec.Cmd)) {
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
			e.t.Fatalf("%s has ended", e.vms[i].Name)
		default:
		}
		if e.vms[i].IsReady() {
			return
		}
		time.Sleep(pollInterval)
	}
	e.t.Fatalf("%s isn't ready", e.vms[i].Name)
}

// load runs callers beside something that happens.
func (e *edgeSite) load(perSecond float64, d time.Duration, meanwhile func()) standin.Tally {
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

func launchWith(t *testing.T, name, binary string, environment []string, args ...string) *process {
	t.Helper()
	return launchCommand(t, name, func(cmd *exec.Cmd) { cmd.Env = append(cmd.Environ(), environment...) }, binary, args...)
}

func TestPlatformCalmLoad(t *testing.T) {
	t.Parallel()
	e := startEdges(t, 3)
	tally := e.load(60, 5*time.Second, nil)
	assert.Assert(t, tally.Attainment() > 0.98, "%v", tally)
}

// The platform tells each process that its settings have changed, some as soon as
// they run. A process that ends at this signal breaks off what it serves.
func TestPlatformSettingsChangeUnderLoad(t *testing.T) {
	t.Parallel()
	e := startEdges(t, 3)
	tally := e.load(60, 4*time.Second, func() {
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
			t.Errorf("%s ended", run.name)
		default:
		}
	}
}

// Processes are killed one after the other and start again. What they had is
// lost, but nothing runs twice, and callers that come back are served by the
// others.
func TestPlatformProcessesAreKilled(t *testing.T) {
	t.Parallel()
	e := startEdges(t, 4)
	tally := e.load(60, 8*time.Second, func() {
		for i := range 3 {
			time.Sleep(1500 * time.Millisecond)
			e.processes[i].kill(t)
			time.Sleep(300 * time.Millisecond)
			e.start(i)
		}
	})
	assert.Assert(t, tally.Attainment() > 0.8, "%v", tally)
}

// A process stands still for three seconds and goes on with what it had. Its
// requests may be too late then; nothing of them runs twice.
func TestPlatformProcessStandsStill(t *testing.T) {
	t.Parallel()
	e := startEdges(t, 4)
	tally := e.load(60, 8*time.Second, func() {
		time.Sleep(1500 * time.Millisecond)
		e.processes[1].signal(t, syscall.SIGSTOP)
		time.Sleep(3 * time.Second)
		e.processes[1].signal(t, syscall.SIGCONT)
	})
	assert.Assert(t, tally.Attainment() > 0.7, "%v", tally)
}

// Operators stop one VM after the other and start it again. No caller notices.
func TestPlatformRollingStop(t *testing.T) {
	t.Parallel()
	e := startEdges(t, 4)
	tally := e.load(60, 14*time.Second, func() {
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

// All processes are killed at the same moment, right after a configuration was
// accepted, and start again. They serve within seconds, by the new one.
func TestPlatformAllProcessesAreKilled(t *testing.T) {
	t.Parallel()
	e := startEdges(t, 3)
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
	tally := e.load(40, 4*time.Second, nil)
	assert.Assert(t, tally.Attainment() > 0.95, "%v", tally)
}

// The store is away while targets fail and a process is replaced.
func TestPlatformStoreAwayBesideOtherTrouble(t *testing.T) {
	t.Parallel()
	e := startEdges(t, 4)
	var n atomic.Int64
	tally := e.load(60, 9*time.Second, func() {
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

func TestPlatformSettingsThatCannotBeUsed(t *testing.T) {
	t.Parallel()
	p := launchWith(t, "no settings", "vgedge", []string{"VANILLAGATE_SETTINGS="}, "--peer-keys="+peerKeys)
	assert.Equal(t, p.waitExit(t, waitTimeout), 2)
	p = launchWith(t, "no file", "vgedge", []string{"VANILLAGATE_SETTINGS=/nowhere/settings.toml"}, "--peer-keys="+peerKeys)
	assert.Equal(t, p.waitExit(t, waitTimeout), 2)
	p = launchWith(t, "short key", "vgedge", []string{"VANILLAGATE_SETTINGS=/nowhere/settings.toml"}, "--peer-keys=short")
	assert.Equal(t, p.waitExit(t, waitTimeout), 2)
}
