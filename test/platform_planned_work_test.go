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
	// plannedFor is how long planned work goes on; VANILLAGATE_LONG sets another
	// time. A test with the start and the last leaving takes some 15 s.
	plannedFor = 6 * time.Second
	// plannedRate is in requests a second: some twenty are under way at any time.
	plannedRate = 60
	// shortestGrace is the least grace period that the settings get, in seconds.
	// The longest request and the callers' old answers need 4 s.
	shortestGrace = 6
	// firstGrace is what the stand-in writes into the settings at first.
	firstGrace = 8
	// reread is within what time a process takes over settings without being told.
	reread = 2500 * time.Millisecond
	// leaveOneIn is of how many VMs one leaves at a time at most.
	leaveOneIn = 3
	// spareService is the second one to which bookings may go.
	spareService = "spare-desk"
)

// plannedSeeds are those that CI runs. VANILLAGATE_SEED runs another one instead,
// VANILLAGATE_SEEDS so many from there on.
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
		seeds = append(seeds, seedOf(t)+uint64(i))
	}
	return seeds
}

func plannedTime(t *testing.T) time.Duration {
	t.Helper()
	if os.Getenv("VANILLAGATE_LONG") == "" {
		return plannedFor
	}
	return longOf(t)
}

// An ordinary day of platform and operators, made short: settings are rewritten,
// for a moment half written or gone, and processes told so in bursts, also while
// they start and leave; VMs leave one after the other and come back; asked twice
// to leave, they leave once; configurations follow one another. All of it
// overlaps. It is work that was planned, so each caller gets a whole answer or is
// told truly that nothing ran. A process that any of it ends, or that closes
// connections too early, leaves callers with half an answer or none.
func TestPlatformPlannedWork(t *testing.T) {
	t.Parallel()
	for _, seed := range plannedSeeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			playPlannedWork(t, seed)
		})
	}
}

func playPlannedWork(t *testing.T, seed uint64) {
	t.Helper()
	w := newPlannedWork(t, seed)
	t.Cleanup(w.keepLogs)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	callers := &standin.Callers{Site: w.edges.site, VMs: w.edges.vms, PerSecond: plannedRate, LongRequests: true, StaleAddresses: true}
	done := make(chan standin.Tally, 1)
	go func() { done <- callers.Run(ctx, time.Hour) }() // until cancelled
	w.goOn()
	cancel()
	tally := <-done
	w.check(tally, callers.FailedRequests())
}

// graceSince is a grace period and since when a settings file has it.
type graceSince struct {
	grace time.Duration
	since time.Time
}

// A VM leaves while many callers hold its address longer than they were told, as
// some do. They come all the time, so that there is no moment at which nothing is
// under way. A process that waits for one goes on taking requests until its time is
// over, and breaks off those that it took last: streams end in their middle, and a
// booking has run whose caller hears nothing.
func TestPlatformLeavingVMTakesNoMoreThanItCanFinish(t *testing.T) {
	t.Parallel()
	e := startEdges(t, 3)
	callers := &standin.Callers{Site: e.site, VMs: e.vms, PerSecond: plannedRate, LongRequests: true, OnlyAddress: e.vms[0].RequestAddress()}
	done := make(chan standin.Tally, 1)
	go func() { done <- callers.Run(context.Background(), (1+firstGrace)*time.Second) }()
	time.Sleep(time.Second)
	e.processes[0].signal(t, syscall.SIGTERM)
	assert.Equal(t, e.processes[0].waitExit(t, firstGrace*time.Second), 0)
	tally := <-done
	t.Log(tally)
	notSent := 0
	for _, miss := range callers.FailedRequests() {
		if miss.NotSent() {
			notSent++
			continue
		}
		t.Error(miss)
	}
	assert.Equal(t, tally.Failed, 0)
	assert.Equal(t, tally.Lost, notSent)
	assert.Assert(t, tally.Answered > plannedRate, "too little was served to say anything: %v", tally)
	assert.Assert(t, tally.WrongAnswers == 0 && tally.RanTwice == 0 && tally.FalseRefusals == 0, "%v", tally)
}

// The platform tells a process that its settings have changed while it still reads
// them for the first time. A process that catches the signal only later ends, and
// its VM serves nobody until it is started again.
func TestPlatformSettingsChangeWhileTheyAreRead(t *testing.T) {
	t.Parallel()
	e := newEdges(t, 1)
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

// A VM is asked to leave again and again until it has left. A process that stops
// catching the signal before its very end is ended by the last one: whoever looks at
// its exit code takes a stop that cut nothing for a failure.
func TestPlatformAskedToLeaveUntilItHasLeft(t *testing.T) {
	t.Parallel()
	e := newEdges(t, 12) // each meets the moment by chance only
	e.startAll()
	until := time.Now().Add(firstGrace * time.Second)
	for _, run := range e.processes {
		for time.Now().Before(until) && run.cmd.Process.Signal(syscall.SIGTERM) == nil {
			e.askAll()
		}
	}
	for _, run := range e.processes {
		assert.Check(t, run.waitExit(t, firstGrace*time.Second) == 0, "%s: %s", run.name, run.cmd.ProcessState)
	}
}

// askAll asks all processes to leave; those that have left don't mind.
func (e *edgeSite) askAll() {
	for _, run := range e.processes {
		_ = run.cmd.Process.Signal(syscall.SIGTERM)
	}
}

// plannedWork is a site on which planned work of several kinds goes on at once.
// Each kind has its own random numbers, so that a seed gives the same sequence of
// each.
type plannedWork struct {
	t     *testing.T
	seed  uint64
	edges *edgeSite
	until time.Time
	began time.Time
	// files guard the VMs' settings files, held also while a process starts: the
	// platform starts none without its settings.
	files []sync.Mutex
	texts []string // of the settings files at the beginning
	// graces are the grace periods that each file has had.
	graces [][]graceSince

	mu     sync.Mutex // guards what follows, and the runs of edges
	all    []*process
	asked  map[*process]bool // those that got SIGTERM
	wrong  []string
	events []string
}

func newPlannedWork(t *testing.T, seed uint64) *plannedWork {
	t.Helper()
	vms := 3 + int(seed%4)
	w := &plannedWork{
		t: t, seed: seed, edges: startEdges(t, vms), files: make([]sync.Mutex, vms), asked: map[*process]bool{},
	}
	w.all = append(w.all, w.edges.processes...)
	for _, vm := range w.edges.vms {
		text, err := os.ReadFile(vm.Settings)
		assert.NilError(t, err)
		w.texts = append(w.texts, string(text))
		w.graces = append(w.graces, []graceSince{{grace: firstGrace * time.Second}})
	}
	w.addSpareDesk()
	return w
}

// addSpareDesk starts a second service for bookings, to which no configuration
// sends any yet.
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

// goOn has all kinds of work go on until the time is over and every VM is back.
func (w *plannedWork) goOn() {
	w.began = time.Now()
	w.until = w.began.Add(plannedTime(w.t))
	var kinds sync.WaitGroup
	stream := uint64(0)
	random := func() *rand.Rand {
		stream++
		return rand.New(rand.NewPCG(w.seed, stream))
	}
	lanes := max(len(w.edges.vms)/leaveOneIn, 1)
	for lane := range lanes {
		r := random()
		kinds.Go(func() { w.leaveInTurn(r, lane, lanes) })
	}
	for _, kind := range []func(*rand.Rand){w.signalOn, w.rewriteOn, w.rewriteOn, w.publishOn} {
		r := random()
		kinds.Go(func() { kind(r) })
	}
	kinds.Wait()
}

// on tells whether there is time left after a pause of at most so long.
func (w *plannedWork) on(r *rand.Rand, longest time.Duration) bool {
	time.Sleep(between(r, 0, longest))
	return time.Now().Before(w.until)
}

func between(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)+1))
}

func (w *plannedWork) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, time.Now().Format(time.StampMicro)+" "+fmt.Sprintf(format, args...))
}

func (w *plannedWork) fault(format string, args ...any) {
	w.note("wrong: "+format, args...)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wrong = append(w.wrong, fmt.Sprintf(format, args...))
}

func (w *plannedWork) run(i int) *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.edges.processes[i]
}

// tell sends a signal to whatever process a VM has now, if any runs.
func (w *plannedWork) tell(i int, sig syscall.Signal) {
	err := w.run(i).cmd.Process.Signal(sig)
	if err != nil && !errors.Is(err, os.ErrProcessDone) {
		w.fault("%v to VM %d: %v", sig, i, err)
	}
}

// some picks one VM, some or all.
func (w *plannedWork) some(r *rand.Rand) []int {
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

// signalOn tells VMs in bursts that their settings have changed, though they
// may not have.
func (w *plannedWork) signalOn(r *rand.Rand) {
	for w.on(r, time.Second) {
		vms := w.some(r)
		n, pause := 1+r.IntN(15), between(r, 0, 30*time.Millisecond)
		w.note("%d times SIGHUP to %v, pause %s", n, vms, pause)
		for range n {
			for _, i := range vms {
				w.tell(i, syscall.SIGHUP)
			}
			time.Sleep(pause)
		}
	}
}

// rewriteOn gives VMs other settings, or spoils the file for a moment.
func (w *plannedWork) rewriteOn(r *rand.Rand) {
	for w.on(r, 800*time.Millisecond) {
		how, told := r.IntN(3), r.IntN(2) == 0
		moment := between(r, time.Millisecond, 400*time.Millisecond)
		cut := r.Float64()
		for _, i := range w.some(r) {
			grace := time.Duration(shortestGrace+r.IntN(5)) * time.Second
			w.rewrite(i, w.otherSettings(r, i, grace), grace, how, cut, moment, told)
		}
	}
}

// graceOf is the longest grace period by which a VM's process may go now.
func (w *plannedWork) graceOf(i int) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	longest := time.Duration(0)
	old := time.Now().Add(-reread)
	for n, g := range w.graces[i] {
		last := n == len(w.graces[i])-1
		if last || w.graces[i][n+1].since.After(old) {
			longest = max(longest, g.grace)
		}
	}
	return longest
}

func (w *plannedWork) rewrite(i int, text string, grace time.Duration, how int, cut float64, moment time.Duration, told bool) {
	w.files[i].Lock()
	defer w.files[i].Unlock()
	path := w.edges.vms[i].Settings
	var err error
	switch how {
	case 0:
		w.note("settings of %d half written for %s, told=%v", i, moment, told)
		err = os.WriteFile(path, []byte(text[:int(cut*float64(len(text)))]), 0o600)
	case 1:
		w.note("settings of %d gone for %s, told=%v", i, moment, told)
		err = os.Remove(path)
	default:
		w.note("settings of %d rewritten, told=%v", i, told)
		moment = 0
	}
	if told && moment > 0 {
		w.tell(i, syscall.SIGHUP)
	}
	time.Sleep(moment)
	err = errors.Join(err, os.WriteFile(path, []byte(text), 0o600))
	w.mu.Lock()
	w.graces[i] = append(w.graces[i], graceSince{grace, time.Now()})
	w.mu.Unlock()
	if told {
		w.tell(i, syscall.SIGHUP)
	}
	if err != nil {
		w.fault("settings of %d: %v", i, err)
	}
}

// setting matches the values that the platform may change.
var setting = regexp.MustCompile(`(?m)^(grace-period-s|ttl_max_s|retry-budget-ratio|budget-window-s|retry-budget-slack) = .*$`)

// otherSettings draws other values for a VM.
func (w *plannedWork) otherSettings(r *rand.Rand, i int, grace time.Duration) string {
	values := map[string]any{
		"grace-period-s": grace.Seconds(), "ttl_max_s": 1 + r.IntN(5), "retry-budget-ratio": 0.1 + 0.1*float64(r.IntN(4)),
		"budget-window-s": 5 + r.IntN(10), "retry-budget-slack": 20 + r.IntN(60),
	}
	return setting.ReplaceAllStringFunc(w.texts[i], func(line string) string {
		name := setting.FindStringSubmatch(line)[1]
		return fmt.Sprintf("%s = %v", name, values[name])
	})
}

// publishOn puts other configurations in force. All of them allow what callers
// send, and leave it the time that it needs.
func (w *plannedWork) publishOn(r *rand.Rand) {
	for w.on(r, 1500*time.Millisecond) {
		idle := 500 + r.IntN(15_000)
		timeout := 4000 + r.IntN(4000)
		keys := []string{standin.TeamKey, fmt.Sprintf("another-key-of-the-team-%d", r.IntN(100))}
		weight := r.IntN(101)
		added := r.IntN(2) == 0
		w.note("configuration: idle %d ms, timeout %d ms, weight %d, key added %v", idle, timeout, weight, added)
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

// leaveInTurn has every lanes-th VM leave and come back, one after the other.
func (w *plannedWork) leaveInTurn(r *rand.Rand, lane, lanes int) {
	var mine []int
	for i := lane; i < len(w.edges.vms); i += lanes {
		mine = append(mine, i)
	}
	for w.on(r, 700*time.Millisecond) {
		w.leave(r, mine[r.IntN(len(mine))])
	}
}

// leave has one VM leave and come back, told of settings before, during and
// after, and asked to leave once more.
func (w *plannedWork) leave(r *rand.Rand, i int) {
	before, during := r.IntN(4), r.IntN(6)
	pause := between(r, 0, 3*time.Millisecond)
	spread := between(r, time.Millisecond, 4*time.Second)
	again, againAfter := r.IntN(2) == 0, between(r, 0, 4*time.Second)
	after, afterPause := r.IntN(6), between(r, 0, 40*time.Millisecond)
	run := w.run(i)
	w.note("%d leaves: SIGHUP %d times before and %d times within %s, SIGTERM again %v after %s", i, before, during, spread, again, againAfter)
	for range before {
		w.tell(i, syscall.SIGHUP)
		time.Sleep(pause)
	}
	w.mu.Lock()
	w.asked[run] = true
	w.mu.Unlock()
	asked, grace := time.Now(), w.graceOf(i)
	w.tell(i, syscall.SIGTERM)
	var more sync.WaitGroup
	more.Go(func() {
		for range during {
			time.Sleep(spread / time.Duration(during))
			w.tell(i, syscall.SIGHUP)
		}
	})
	if again {
		more.Go(func() {
			time.Sleep(againAfter)
			_ = run.cmd.Process.Signal(syscall.SIGTERM) // it may have ended
		})
	}
	w.ended(run, asked, grace)
	w.comeBack(i, after, afterPause)
	more.Wait()
}

// ended waits until a process has left, in time and well.
func (w *plannedWork) ended(run *process, asked time.Time, grace time.Duration) {
	select {
	case <-run.done:
		w.note("%s has left after %s", run.name, time.Since(asked))
		if code := run.cmd.ProcessState.ExitCode(); code != 0 {
			w.fault("%s was asked to leave and ended with %s", run.name, run.cmd.ProcessState)
		}
	case <-time.After(time.Until(asked.Add(grace))):
		w.fault("%s still runs %s after SIGTERM", run.name, grace)
		_ = run.cmd.Process.Kill()
		<-run.done
	}
}

// comeBack starts a VM's process again and tells it soon that its settings have
// changed. One that ends at the signal is started again, as the platform does.
func (w *plannedWork) comeBack(i, told int, pause time.Duration) {
	w.files[i].Lock()
	defer w.files[i].Unlock()
	limit := time.Now().Add(waitTimeout)
	for !w.startAgain(i, told, pause, limit) {
		told = 0
	}
}

// startAgain gives false for a process that a signal has ended before it could
// catch any.
func (w *plannedWork) startAgain(i, told int, pause time.Duration, limit time.Time) bool {
	w.mu.Lock()
	w.edges.start(i)
	run := w.edges.processes[i]
	w.all = append(w.all, run)
	w.mu.Unlock()
	w.note("%d starts again, SIGHUP %d times every %s", i, told, pause)
	for range told {
		time.Sleep(pause)
		w.tell(i, syscall.SIGHUP)
	}
	for !w.edges.vms[i].IsReady() {
		select {
		case <-run.done:
			w.note("%s ended with %s while it started", run.name, run.cmd.ProcessState)
			return !endedTooYoung(run)
		default:
		}
		if time.Now().After(limit) {
			w.fault("VM %d isn't ready", i)
			return true
		}
		time.Sleep(pollInterval)
	}
	return true
}

// endedTooYoung tells that SIGHUP ended a process before its first line. Until the
// Go runtime and the packages are up, some ms, nothing can catch the signal; the
// process listens nowhere yet and has read no request, so that no caller notices.
// That the signal is caught before the settings are read is checked by
// TestPlatformSettingsChangeWhileTheyAreRead.
func endedTooYoung(run *process) bool {
	status, known := run.cmd.ProcessState.Sys().(syscall.WaitStatus)
	return known && status.Signaled() && status.Signal() == syscall.SIGHUP && run.logs() == ""
}

// check is the reckoning.
func (w *plannedWork) check(tally standin.Tally, misses []standin.FailedRequest) {
	t := w.t
	t.Log(tally)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, run := range w.all {
		select {
		case <-run.done:
			if endedTooYoung(run) {
				t.Logf("%s ended at SIGHUP before it could catch it", run.name)
			} else if !w.asked[run] {
				w.wrong = append(w.wrong, fmt.Sprintf("%s wasn't asked to leave and ended with %s", run.name, run.cmd.ProcessState))
			}
		default:
		}
	}
	for _, wrong := range w.wrong {
		t.Error(wrong)
	}
	for _, miss := range misses {
		t.Log(miss)
	}
	assert.Check(t, tally.Lost == 0, "%v", tally)
	assert.Check(t, tally.Failed == 0, "%v", tally)
	assert.Check(t, tally.WrongAnswers == 0 && tally.RanTwice == 0 && tally.FalseRefusals == 0, "%v", tally)
	assert.Check(t, tally.Answered > tally.Requests*9/10, "too little was served to say anything: %v", tally)
	if !t.Failed() {
		return
	}
	t.Logf("again with VANILLAGATE_SEED=%d", w.seed)
	for _, event := range w.events {
		t.Log(event)
	}
}

// keepLogs writes the logs of all processes of a failed run into the folder that
// VANILLAGATE_KEEP names.
func (w *plannedWork) keepLogs() {
	folder := os.Getenv("VANILLAGATE_KEEP")
	if folder == "" || !w.t.Failed() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for n, run := range w.all {
		path := filepath.Join(folder, fmt.Sprintf("seed-%d-%02d-%s-%d.log", w.seed, n, run.name, run.cmd.Process.Pid))
		if err := os.WriteFile(path, []byte(run.logs()), 0o600); err != nil {
			w.t.Log(err)
		}
	}
}
