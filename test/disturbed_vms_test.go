package test

import (
	"sync"
	"syscall"
	"time"
)

// disturbance is a way in which a VM fails.
type disturbance int

const (
	killed disturbance = iota
	stopped
	frozen
	// disturbanceCount is the number of faults above, from which most runs draw.
	disturbanceCount
	// frozenThenKilled is the fault of a VM that stands still before it is gone.
	frozenThenKilled = disturbanceCount
)

// downTime is how long a VM is down before it is started again.
const downTime = 200 * time.Millisecond

// disturber disturbs the VMs of a site and knows which of them bounds hold for.
type disturber struct {
	edges *edgeSite
	// frozenTime is how long a frozen VM stands still.
	frozenTime time.Duration
	// strict makes processes errors that have ended by themselves, or with a failure after SIGTERM.
	strict bool
	// faulty holds a lock for each VM during its faults. Several are taken in ascending order, and before mu.
	faulty []sync.Mutex

	mu sync.Mutex // guards the fields below; no other lock is taken while it is held
	// disturbedAt is when the last fault of each VM began or ended; running has those that get requests.
	disturbedAt []time.Time
	running     []bool
}

func newDisturber(edges *edgeSite, frozenTime time.Duration) *disturber {
	n := len(edges.vms)
	f := &disturber{edges: edges, frozenTime: frozenTime, faulty: make([]sync.Mutex, n), disturbedAt: make([]time.Time, n), running: make([]bool, n)}
	for i := range f.running {
		f.running[i] = true
	}
	return f
}

// disturb kills, stops or freezes a VM and has it serve again.
func (f *disturber) disturb(vm int, fault disturbance) {
	f.faulty[vm].Lock()
	defer f.faulty[vm].Unlock()
	f.checkRuns(vm)
	t, process := f.edges.t, f.edges.processes[vm]
	f.mark(vm, fault == frozen || fault == frozenThenKilled) // requests are sent to a frozen VM
	switch fault {
	case killed:
		process.kill(t)
	case frozenThenKilled:
		process.signal(t, syscall.SIGSTOP)
		time.Sleep(f.frozenTime)
		f.mark(vm, false)
		process.kill(t)
	case stopped:
		process.signal(t, syscall.SIGTERM)
		if code := process.waitExit(t, waitTimeout); code != 0 && f.strict {
			t.Errorf("%s ended with %d after SIGTERM", process.name, code)
		}
	case frozen:
		process.signal(t, syscall.SIGSTOP)
		time.Sleep(f.frozenTime)
		process.signal(t, syscall.SIGCONT)
		f.mark(vm, true)
		return
	}
	time.Sleep(downTime)
	f.edges.start(vm)
	f.edges.waitReady(vm)
	f.mark(vm, true)
}

// killAll kills all VMs at once, calls meanwhile, if it isn't nil, while they are down, and has them serve again. It
// returns when they do.
func (f *disturber) killAll(meanwhile func()) {
	var starting sync.WaitGroup
	for vm := range f.faulty {
		f.faulty[vm].Lock()
		defer f.faulty[vm].Unlock()
	}
	for vm := range f.faulty {
		f.checkRuns(vm)
		f.mark(vm, false)
		_ = f.edges.processes[vm].cmd.Process.Kill()
	}
	for vm := range f.faulty {
		<-f.edges.processes[vm].done
	}
	if meanwhile != nil {
		meanwhile()
	}
	time.Sleep(downTime)
	for vm := range f.faulty {
		starting.Go(func() {
			f.edges.start(vm)
			f.edges.waitReady(vm)
			f.mark(vm, true)
		})
	}
	starting.Wait()
}

// checkRuns checks that the process of a VM hasn't ended by itself. The caller holds its lock of faulty.
func (f *disturber) checkRuns(vm int) {
	process := f.edges.processes[vm]
	select {
	case <-process.done:
		if f.strict {
			f.edges.t.Errorf("%s has ended by itself: %s", process.name, process.cmd.ProcessState)
		}
	default:
	}
}

// checkAllRun checks that no process has ended by itself.
func (f *disturber) checkAllRun() {
	for vm := range f.faulty {
		f.faulty[vm].Lock()
		f.checkRuns(vm)
		f.faulty[vm].Unlock()
	}
}

func (f *disturber) mark(vm int, running bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disturbedAt[vm] = time.Now()
	f.running[vm] = running
}

// markFor marks a VM that gets requests as disturbed for at least some time.
func (f *disturber) markFor(vm int, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disturbedAt[vm] = time.Now().Add(d)
	f.running[vm] = true
}

// firstRunning returns the first VM that gets requests, out of those that next returns one after the other.
func (f *disturber) firstRunning(next func() int) int {
	for {
		vm := next()
		f.mu.Lock()
		running := f.running[vm]
		f.mu.Unlock()
		if running {
			return vm
		}
		time.Sleep(time.Millisecond)
	}
}

// sinceFault returns the time since a fault of a VM has begun or ended.
func (f *disturber) sinceFault(vm int) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.disturbedAt[vm])
}

// inTouch reports whether a VM had been undisturbed for the contact time.
func (f *disturber) inTouch(vm int, at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return at.Sub(f.disturbedAt[vm]) > undisturbedTime
}
