package test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/platform/standin"
)

const (
	// plannedDuration is how long the planned work goes on; VANILLAGATE_LONG sets another
	// duration. With start and the last shutdown a test takes about 15 s.
	plannedDuration = 6 * time.Second
	// plannedRate is in requests per second: about twenty are in flight at any time.
	plannedRate = 60
	// minGrace is the shortest grace period that the settings get, in seconds. The longest
	// request and the callers' outdated addresses need 4 s.
	minGrace = 6
	// initialGrace is the grace period that the stand-in writes into the settings at first,
	// in seconds.
	initialGrace = 8
	// settingsReadDelay is the longest time after which a process has applied changed
	// settings without having been sent SIGHUP.
	settingsReadDelay = 2500 * time.Millisecond
	// vmsPerRestart is the number of VMs of which at most one is being restarted at a time.
	vmsPerRestart = 3
	// spareService is the second service to which bookings may be sent.
	spareService = "spare-desk"
)

// plannedSeeds returns the seeds to test. CI uses the default ones. VANILLAGATE_SEED sets
// another one, and VANILLAGATE_SEEDS the number of consecutive seeds from there on.
func plannedSeeds(t *testing.T) []uint64 {
	t.Helper()
	if os.Getenv("VANILLAGATE_SEED") == "" && os.Getenv("VANILLAGATE_SEEDS") == "" {
		return []uint64{2, 3}
	}
	n := 1
	if text := os.Getenv("VANILLAGATE_SEEDS"); text != "" {
		parsed, err := strconv.Atoi(text)
		assert.NilError(t, err)
		n = parsed
	}
	var seeds []uint64
	for i := range n {
		seeds = append(seeds, testSeed(t)+uint64(i))
	}
	return seeds
}

func plannedDurationOf(t *testing.T) time.Duration {
	t.Helper()
	if os.Getenv("VANILLAGATE_LONG") == "" {
		return plannedDuration
	}
	return longRunDuration(t)
}

// Runs planned work on the platform's VMs, compressed into seconds: settings files are
// rewritten, and for a moment are incomplete or missing; processes get bursts of SIGHUP, also
// while they start and shut down; VMs are restarted one after the other, some with a second
// SIGTERM during the shutdown; configurations follow one another. All of it overlaps. Since all
// of this is planned, each caller must get a complete answer or be told, correctly, that nothing
// ran. Guards against processes that end at one of these events or close connections too early,
// so that callers get an incomplete answer or none.
func TestPlatformPlannedWork(t *testing.T) {
	t.Parallel()
	for _, seed := range plannedSeeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runPlannedWork(t, seed)
		})
	}
}

func runPlannedWork(t *testing.T, seed uint64) {
	t.Helper()
	w := newPlannedWork(t, seed)
	t.Cleanup(w.saveLogs)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	callers := &standin.Callers{Site: w.edges.site, VMs: w.edges.vms, PerSecond: plannedRate, LongRequests: true, StaleAddresses: true}
	done := make(chan standin.Tally, 1)
	go func() { done <- callers.Run(ctx, time.Hour) }() // runs until ctx is cancelled
	w.runAll()
	cancel()
	tally := <-done
	w.check(tally, callers.FailedRequests())
}

// gracePeriodChange is a grace period and when it was written into a settings file.
type gracePeriodChange struct {
	grace time.Duration
	since time.Time
}

// A VM shuts down while many callers keep sending to its address for longer than they were
// told to, so that there is always a request in flight. Guards against a process that waits for
// a moment without any: it accepts requests until its grace period is over and aborts the last
// ones, so that streams break off and bookings run whose callers get no answer.
func TestPlatformStoppingVMTakesNoMoreThanItCanFinish(t *testing.T) {
	t.Parallel()
	e := startEdgeSite(t, 3)
	callers := &standin.Callers{Site: e.site, VMs: e.vms, PerSecond: plannedRate, LongRequests: true, OnlyAddress: e.vms[0].RequestAddress()}
	done := make(chan standin.Tally, 1)
	go func() { done <- callers.Run(context.Background(), (1+initialGrace)*time.Second) }()
	time.Sleep(time.Second)
	e.processes[0].signal(t, syscall.SIGTERM)
	assert.Equal(t, e.processes[0].waitExit(t, initialGrace*time.Second), 0)
	tally := <-done
	t.Log(tally)
	notSent := 0
	for _, failed := range callers.FailedRequests() {
		if failed.NotSent() {
			notSent++
			continue
		}
		t.Error(failed)
	}
	assert.Equal(t, tally.Failed, 0)
	assert.Equal(t, tally.Lost, notSent)
	assert.Assert(t, tally.Answered > plannedRate, "too few requests were answered for a meaningful result: %v", tally)
	assert.Assert(t, tally.WrongAnswers == 0 && tally.RanTwice == 0 && tally.FalseRefusals == 0, "%v", tally)
}

// The platform sends SIGHUP for changed settings while the process still reads them for the
// first time. Guards against a process that handles the signal only later: it would end, and its
// VM would serve nobody until it is started again.
func TestPlatformSettingsChangeWhileTheyAreRead(t *testing.T) {
	t.Parallel()
	e := newEdgeSite(t, 1)
	path := e.vms[0].Settings
	assert.NilError(t, os.Rename(path, path+".whole"))
	assert.NilError(t, syscall.Mkfifo(path, 0o600))
	e.start(0)
	var pipe *os.File
	waitFor(t, "the process to open its settings", func() bool {
		var err error
		pipe, err = os.OpenFile(path, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		return err == nil
	})
	for range 5 {
		e.processes[0].signal(t, syscall.SIGHUP)
	}
	text, err := os.ReadFile(path + ".whole")
	assert.NilError(t, err)
	assert.NilError(t, os.Rename(path+".whole", path))
	_, err = pipe.Write(text)
	assert.NilError(t, err)
	assert.NilError(t, pipe.Close())
	e.waitReady(0)
}

// A VM gets SIGTERM again and again until its process has ended. Guards against a process that
// stops handling the signal before its very end: the last signal would kill it, and its exit
// status would report a failure although nothing was cut.
func TestPlatformRepeatedTerminationSignals(t *testing.T) {
	t.Parallel()
	e := newEdgeSite(t, 12) // whether a signal comes that late is chance, hence many VMs
	e.startAll()
	until := time.Now().Add(initialGrace * time.Second)
	for _, run := range e.processes {
		for time.Now().Before(until) && run.cmd.Process.Signal(syscall.SIGTERM) == nil {
			e.terminateAll()
		}
	}
	for _, run := range e.processes {
		assert.Check(t, run.waitExit(t, initialGrace*time.Second) == 0, "%s: %s", run.name, run.cmd.ProcessState)
	}
}

// terminateAll sends SIGTERM to all processes; those that have ended are ignored.
func (e *edgeSite) terminateAll() {
	for _, run := range e.processes {
		_ = run.cmd.Process.Signal(syscall.SIGTERM)
	}
}

// plannedWork runs several kinds of planned work on a site at once. Each kind has its own random
// number generator, so that a seed gives the same sequence for each of them.
type plannedWork struct {
	t        *testing.T
	seed     uint64
	edges    *edgeSite
	deadline time.Time
	began    time.Time
	// settingsMu guards each VM's settings file. It is also held while a process starts, as
	// the platform starts no process while its settings file is incomplete.
	settingsMu      []sync.Mutex
	initialSettings []string // contents of the settings files at the start
	// graceHistory holds the grace periods that each settings file has had.
	graceHistory [][]gracePeriodChange

	mu         sync.Mutex // guards the fields below and edges.processes
	started    []*process
	terminated map[*process]bool // the processes that were sent SIGTERM
	failures   []string
	events     []string
}

func newPlannedWork(t *testing.T, seed uint64) *plannedWork {
	t.Helper()
	vms := 3 + int(seed%4)
	w := &plannedWork{
		t: t, seed: seed, edges: startEdgeSite(t, vms), settingsMu: make([]sync.Mutex, vms), terminated: map[*process]bool{},
	}
	w.started = append(w.started, w.edges.processes...)
	for _, vm := range w.edges.vms {
		text, err := os.ReadFile(vm.Settings)
		assert.NilError(t, err)
		w.initialSettings = append(w.initialSettings, string(text))
		w.graceHistory = append(w.graceHistory, []gracePeriodChange{{grace: initialGrace * time.Second}})
	}
	w.addSpareDesk()
	return w
}

// addSpareDesk starts a second service for bookings. The first configuration sends it nothing.
func (w *plannedWork) addSpareDesk() {
	site := w.edges.site
	for i := range 2 {
		desk := &standin.Target{
			ID: fmt.Sprintf("i-spare-%d", i), Service: spareService, Zone: fmt.Sprintf("zone-%c", 'a'+i), Slots: 6,
			WorkTime: 10 * time.Millisecond, SlowFactor: 25,
		}
		assert.NilError(w.t, desk.Start("127.0.0.1:0"))
		site.Desks = append(site.Desks, desk)
		site.Store.Put("servers", desk.ID, desk.Entry("ready", 1))
	}
}

// runAll runs all kinds of work until the deadline, and until every VM is ready again.
func (w *plannedWork) runAll() {
	w.began = time.Now()
	w.deadline = w.began.Add(plannedDurationOf(w.t))
	var running sync.WaitGroup
	stream := uint64(0)
	random := func() *rand.Rand {
		stream++
		return rand.New(rand.NewPCG(w.seed, stream))
	}
	groups := max(len(w.edges.vms)/vmsPerRestart, 1)
	for group := range groups {
		r := random()
		running.Go(func() { w.restartInTurn(r, group, groups) })
	}
	for _, kind := range []func(*rand.Rand){w.sendReloadSignals, w.rewriteSettings, w.rewriteSettings, w.publishConfigurations} {
		r := random()
		running.Go(func() { kind(r) })
	}
	running.Wait()
}

// sleepAndContinue sleeps for a random time of at most longest, and reports whether the deadline
// is still ahead.
func (w *plannedWork) sleepAndContinue(r *rand.Rand, longest time.Duration) bool {
	time.Sleep(randomDuration(r, 0, longest))
	return time.Now().Before(w.deadline)
}

// randomDuration returns a random duration between low and high, both included.
func randomDuration(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)+1))
}

func (w *plannedWork) logEvent(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, time.Now().Format(time.StampMicro)+" "+fmt.Sprintf(format, args...))
}

func (w *plannedWork) addFailure(format string, args ...any) {
	w.logEvent("failure: "+format, args...)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures = append(w.failures, fmt.Sprintf(format, args...))
}

func (w *plannedWork) currentProcess(i int) *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.edges.processes[i]
}

// signalVM sends a signal to the VM's current process, if it is running.
func (w *plannedWork) signalVM(i int, sig syscall.Signal) {
	err := w.currentProcess(i).cmd.Process.Signal(sig)
	if err != nil && !errors.Is(err, os.ErrProcessDone) {
		w.addFailure("cannot send %v to VM %d: %v", sig, i, err)
	}
}

// pickVMs returns one VM, a random number of VMs, or all, in random order.
func (w *plannedWork) pickVMs(r *rand.Rand) []int {
	order := r.Perm(len(w.edges.vms))
	switch r.IntN(3) {
	case 0:
		return order[:1]
	case 1:
		return order[:1+r.IntN(len(order))]
	default:
		return order
	}
}

// sendReloadSignals sends bursts of SIGHUP to VMs, whether or not their settings have changed.
func (w *plannedWork) sendReloadSignals(r *rand.Rand) {
	for w.sleepAndContinue(r, time.Second) {
		vms := w.pickVMs(r)
		n, pause := 1+r.IntN(15), randomDuration(r, 0, 30*time.Millisecond)
		w.logEvent("SIGHUP %d times to VMs %v, every %s", n, vms, pause)
		for range n {
			for _, i := range vms {
				w.signalVM(i, syscall.SIGHUP)
			}
			time.Sleep(pause)
		}
	}
}

// rewriteSettings gives VMs other settings, in some cases after the file was incomplete or
// missing for a moment.
func (w *plannedWork) rewriteSettings(r *rand.Rand) {
	for w.sleepAndContinue(r, 800*time.Millisecond) {
		breakage, signalled := r.IntN(3), r.IntN(2) == 0
		brokenFor := randomDuration(r, time.Millisecond, 400*time.Millisecond)
		keptShare := r.Float64()
		for _, i := range w.pickVMs(r) {
			grace := time.Duration(minGrace+r.IntN(5)) * time.Second
			w.rewriteFile(i, w.randomSettings(r, i, grace), grace, breakage, keptShare, brokenFor, signalled)
		}
	}
}

// longestGrace returns the longest grace period that a VM's process may apply now.
func (w *plannedWork) longestGrace(i int) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	longest := time.Duration(0)
	old := time.Now().Add(-settingsReadDelay)
	for n, g := range w.graceHistory[i] {
		last := n == len(w.graceHistory[i])-1
		if last || w.graceHistory[i][n+1].since.After(old) {
			longest = max(longest, g.grace)
		}
	}
	return longest
}

// rewriteFile writes settings into a VM's file. Before that, the file is incomplete (breakage 0)
// or missing (breakage 1) for brokenFor. If signalled is set, the process gets SIGHUP for each
// change.
func (w *plannedWork) rewriteFile(i int, text string, grace time.Duration, breakage int, keptShare float64, brokenFor time.Duration, signalled bool) {
	w.settingsMu[i].Lock()
	defer w.settingsMu[i].Unlock()
	path := w.edges.vms[i].Settings
	var err error
	switch breakage {
	case 0:
		w.logEvent("settings of VM %d incomplete for %s, signalled=%v", i, brokenFor, signalled)
		err = os.WriteFile(path, []byte(text[:int(keptShare*float64(len(text)))]), 0o600)
	case 1:
		w.logEvent("settings of VM %d missing for %s, signalled=%v", i, brokenFor, signalled)
		err = os.Remove(path)
	default:
		w.logEvent("settings of VM %d rewritten, signalled=%v", i, signalled)
		brokenFor = 0
	}
	if signalled && brokenFor > 0 {
		w.signalVM(i, syscall.SIGHUP)
	}
	time.Sleep(brokenFor)
	err = errors.Join(err, os.WriteFile(path, []byte(text), 0o600))
	w.mu.Lock()
	w.graceHistory[i] = append(w.graceHistory[i], gracePeriodChange{grace, time.Now()})
	w.mu.Unlock()
	if signalled {
		w.signalVM(i, syscall.SIGHUP)
	}
	if err != nil {
		w.addFailure("cannot rewrite the settings of VM %d: %v", i, err)
	}
}

// reloadableSetting matches the settings that the platform may change while a process runs.
var reloadableSetting = regexp.MustCompile(`(?m)^(grace-period-s|ttl_max_s|retry-budget-ratio|budget-window-s|retry-budget-slack) = .*$`)

// randomSettings returns a VM's settings with random values for those that may change.
func (w *plannedWork) randomSettings(r *rand.Rand, i int, grace time.Duration) string {
	values := map[string]any{
		"grace-period-s": grace.Seconds(), "ttl_max_s": 1 + r.IntN(5), "retry-budget-ratio": 0.1 + 0.1*float64(r.IntN(4)),
		"budget-window-s": 5 + r.IntN(10), "retry-budget-slack": 20 + r.IntN(60),
	}
	return reloadableSetting.ReplaceAllStringFunc(w.initialSettings[i], func(line string) string {
		name := reloadableSetting.FindStringSubmatch(line)[1]
		return fmt.Sprintf("%s = %v", name, values[name])
	})
}

// publishConfigurations publishes one configuration after the other. All of them allow the
// requests that callers send, and give them the time that they need.
func (w *plannedWork) publishConfigurations(r *rand.Rand) {
	for w.sleepAndContinue(r, 1500*time.Millisecond) {
		idle := 500 + r.IntN(15_000)
		timeout := 4000 + r.IntN(4000)
		keys := []string{standin.TeamKey, fmt.Sprintf("another-key-of-the-team-%d", r.IntN(100))}
		weight := r.IntN(101)
		added := r.IntN(2) == 0
		w.logEvent("configuration: idle timeout %d ms, timeout %d ms, weight %d, key added %v", idle, timeout, weight, added)
		w.edges.site.Publish(func(config map[string]any) {
			config["limits"].(map[string]any)["idle-timeout-ms"] = idle
			config["services"] = append(config["services"].([]any), map[string]any{"name": spareService, "max-connections": 100})
			for _, route := range config["routes"].([]any) {
				changeRoute(route.(map[string]any), timeout, weight)
			}
			if added {
				config["tenants"] = []any{map[string]any{"name": "team", "api-keys": keys}}
			}
		})
	}
}

// changeRoute sets a route's timeout and, for bookings, splits the traffic between the two
// services.
func changeRoute(route map[string]any, timeout, weight int) {
	route["timeout-ms"] = timeout
	if route["name"] != "book" {
		return
	}
	delete(route, "service")
	route["traffic-split"] = []any{
		map[string]any{"service": "desk", "weight": weight},
		map[string]any{"service": spareService, "weight": 100 - weight},
	}
}

// restartInTurn restarts the VMs of one group, every groups-th VM, one after the other.
func (w *plannedWork) restartInTurn(r *rand.Rand, group, groups int) {
	var groupVMs []int
	for i := group; i < len(w.edges.vms); i += groups {
		groupVMs = append(groupVMs, i)
	}
	for w.sleepAndContinue(r, 700*time.Millisecond) {
		w.restartVM(r, groupVMs[r.IntN(len(groupVMs))])
	}
}

// restartVM stops one VM and starts it again, with SIGHUP before, during and after the shutdown
// and in some cases a second SIGTERM.
func (w *plannedWork) restartVM(r *rand.Rand, i int) {
	before, during := r.IntN(4), r.IntN(6)
	pause := randomDuration(r, 0, 3*time.Millisecond)
	spread := randomDuration(r, time.Millisecond, 4*time.Second)
	again, againAfter := r.IntN(2) == 0, randomDuration(r, 0, 4*time.Second)
	after, afterPause := r.IntN(6), randomDuration(r, 0, 40*time.Millisecond)
	run := w.currentProcess(i)
	w.logEvent("VM %d stops: SIGHUP %d times before and %d times within %s, SIGTERM again %v after %s", i, before, during, spread, again, againAfter)
	for range before {
		w.signalVM(i, syscall.SIGHUP)
		time.Sleep(pause)
	}
	w.mu.Lock()
	w.terminated[run] = true
	w.mu.Unlock()
	stoppedAt, grace := time.Now(), w.longestGrace(i)
	w.signalVM(i, syscall.SIGTERM)
	var signals sync.WaitGroup
	signals.Go(func() {
		for range during {
			time.Sleep(spread / time.Duration(during))
			w.signalVM(i, syscall.SIGHUP)
		}
	})
	if again {
		signals.Go(func() {
			time.Sleep(againAfter)
			_ = run.cmd.Process.Signal(syscall.SIGTERM) // the process may have ended
		})
	}
	w.waitStopped(run, stoppedAt, grace)
	w.startUntilReady(i, after, afterPause)
	signals.Wait()
}

// waitStopped waits until a process has ended, and records a failure unless it does so within
// its grace period and with exit code 0.
func (w *plannedWork) waitStopped(run *process, stoppedAt time.Time, grace time.Duration) {
	select {
	case <-run.done:
		w.logEvent("%s has ended after %s", run.name, time.Since(stoppedAt))
		if code := run.cmd.ProcessState.ExitCode(); code != 0 {
			w.addFailure("%s got SIGTERM and ended with %s", run.name, run.cmd.ProcessState)
		}
	case <-time.After(time.Until(stoppedAt.Add(grace))):
		w.addFailure("%s is still running %s after SIGTERM", run.name, grace)
		_ = run.cmd.Process.Kill()
		<-run.done
	}
}

// startUntilReady starts a VM's process and soon sends it SIGHUP, reloads times. A process that
// the signal ends is started again, as the platform does.
func (w *plannedWork) startUntilReady(i, reloads int, pause time.Duration) {
	w.settingsMu[i].Lock()
	defer w.settingsMu[i].Unlock()
	limit := time.Now().Add(waitTimeout)
	for !w.tryStart(i, reloads, pause, limit) {
		reloads = 0
	}
}

// tryStart starts the process and waits until it is ready. It returns false if SIGHUP ended the
// process before it could handle any signal.
func (w *plannedWork) tryStart(i, reloads int, pause time.Duration, limit time.Time) bool {
	w.mu.Lock()
	w.edges.start(i)
	run := w.edges.processes[i]
	w.started = append(w.started, run)
	w.mu.Unlock()
	w.logEvent("VM %d starts again, SIGHUP %d times every %s", i, reloads, pause)
	for range reloads {
		time.Sleep(pause)
		w.signalVM(i, syscall.SIGHUP)
	}
	for !w.edges.vms[i].IsReady() {
		select {
		case <-run.done:
			w.logEvent("%s ended with %s during its start", run.name, run.cmd.ProcessState)
			return !endedBeforeSignalHandler(run)
		default:
		}
		if time.Now().After(limit) {
			w.addFailure("VM %d isn't ready in time", i)
			return true
		}
		time.Sleep(pollInterval)
	}
	return true
}

// endedBeforeSignalHandler reports whether SIGHUP ended a process before its first log line. In
// the few milliseconds until the Go runtime and the packages are initialised, nothing can handle
// the signal; the process isn't listening yet and has read no request, so no caller is affected.
// TestPlatformSettingsChangeWhileTheyAreRead checks that the signal is handled before the
// settings are read.
func endedBeforeSignalHandler(run *process) bool {
	status, known := run.cmd.ProcessState.Sys().(syscall.WaitStatus)
	return known && status.Signaled() && status.Signal() == syscall.SIGHUP && run.logs() == ""
}

// check reports all failures, of the processes and of the callers' requests.
func (w *plannedWork) check(tally standin.Tally, failedRequests []standin.FailedRequest) {
	t := w.t
	t.Log(tally)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, run := range w.started {
		select {
		case <-run.done:
			if endedBeforeSignalHandler(run) {
				t.Logf("SIGHUP ended %s before it could handle the signal", run.name)
			} else if !w.terminated[run] {
				w.failures = append(w.failures, fmt.Sprintf("%s got no SIGTERM and ended with %s", run.name, run.cmd.ProcessState))
			}
		default:
		}
	}
	for _, wrong := range w.failures {
		t.Error(wrong)
	}
	for _, failed := range failedRequests {
		t.Log(failed)
	}
	assert.Check(t, tally.Lost == 0, "%v", tally)
	assert.Check(t, tally.Failed == 0, "%v", tally)
	assert.Check(t, tally.WrongAnswers == 0 && tally.RanTwice == 0 && tally.FalseRefusals == 0, "%v", tally)
	assert.Check(t, tally.Answered > tally.Requests*9/10, "too few requests were answered for a meaningful result: %v", tally)
	if !t.Failed() {
		return
	}
	t.Logf("to reproduce, set VANILLAGATE_SEED=%d", w.seed)
	for _, event := range w.events {
		t.Log(event)
	}
}

// saveLogs writes the logs of all processes of a failed run into the directory that
// VANILLAGATE_KEEP names.
func (w *plannedWork) saveLogs() {
	folder := os.Getenv("VANILLAGATE_KEEP")
	if folder == "" || !w.t.Failed() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for n, run := range w.started {
		path := filepath.Join(folder, fmt.Sprintf("seed-%d-%02d-%s-%d.log", w.seed, n, run.name, run.cmd.Process.Pid))
		if err := os.WriteFile(path, []byte(run.logs()), 0o600); err != nil {
			w.t.Log(err)
		}
	}
}
