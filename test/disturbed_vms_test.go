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
	// disturbanceCount is the number of faults.
	disturbanceCount
)

// disturber disturbs the VMs of a site and knows which of them bounds hold for.
type disturber struct {
	edges *edgeSite
	// frozenTime is how long a frozen VM stands still.
	frozenTime time.Duration

	mu sync.Mutex // guards the fields below; no other lock is taken while it is held
	// disturbedAt is when the last fault of each VM began or ended; running has those that get requests.
	disturbedAt []time.Time
	running     []bool
}

func newDisturber(edges *edgeSite, frozenTime time.Duration) *disturber {
	f := &disturber{edges: edges, frozenTime: frozenTime, disturbedAt: make([]time.Time, len(edges.vms)), running: make([]bool, len(edges.vms))}
	for i := range f.running {
		f.running[i] = true
	}
	return f
}

// disturb kills, stops or freezes a VM and has it serve again.
func (f *disturber) disturb(vm int, fault disturbance) {
	t, process := f.edges.t, f.edges.processes[vm]
	f.mark(vm, fault == frozen) // requests are sent to a frozen VM
	switch fault {
	case killed:
		process.kill(t)
	case stopped:
		process.signal(t, syscall.SIGTERM)
		process.waitExit(t, waitTimeout)
	case frozen:
		process.signal(t, syscall.SIGSTOP)
		time.Sleep(f.frozenTime)
		process.signal(t, syscall.SIGCONT)
		f.mark(vm, true)
		return
	}
	time.Sleep(200 * time.Millisecond)
	f.edges.start(vm)
	f.edges.waitReady(vm)
	f.mark(vm, true)
}

func (f *disturber) mark(vm int, running bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disturbedAt[vm] = time.Now()
	f.running[vm] = running
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

// inTouch reports whether a VM had been undisturbed for the contact time.
func (f *disturber) inTouch(vm int, at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return at.Sub(f.disturbedAt[vm]) > undisturbedTime
}
