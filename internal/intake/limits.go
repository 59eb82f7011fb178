package intake

import (
	"runtime/debug"
	"syscall"
)

const (
	// requestShare is the fraction of a process's memory that the requests of callers may hold.
	requestShare = 4
	// memoryLimitPercent is the share of the memory from which on garbage is collected more often. The rest is for what
	// the limit doesn't cover, such as the program itself.
	memoryLimitPercent = 70
	percent            = 100
)

// Limits are those of a process. The zero value stands for the memory of the machine.
type Limits struct {
	// MemoryBytes is the memory; 0 means unknown.
	MemoryBytes int
}

// WithDefaults replaces unknown limits by those of the system.
func (l Limits) WithDefaults() Limits {
	if l.MemoryBytes == 0 {
		l.MemoryBytes = machineMemory()
	}
	return l
}

// CollectInTime has garbage collected more often from memoryLimitPercent of the memory on.
func (l Limits) CollectInTime() {
	debug.SetMemoryLimit(int64(l.WithDefaults().MemoryBytes) / percent * memoryLimitPercent)
}

// NewMemory returns the limit on the memory of requests.
func (l Limits) NewMemory() *Memory {
	return NewMemory(int64(l.WithDefaults().MemoryBytes / requestShare))
}

// MaxBody is the largest limit on bodies with which one request is always served while there are no others, if it
// holds its body copies times.
func (l Limits) MaxBody(copies int) int {
	// A body that grows is held twice for a moment.
	return l.WithDefaults().MemoryBytes / requestShare / max(copies, 2)
}

// assumedMemory stands for the memory of a machine that doesn't tell.
const assumedMemory = 256 << 20

func machineMemory() int {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return assumedMemory
	}
	return int(uint64(info.Totalram) * uint64(info.Unit))
}
