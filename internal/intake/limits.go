package intake

import (
	"runtime/debug"
	"syscall"

	"github.com/vanillagate/vanillagate/internal/connlimit"
)

const (
	// requestShare is the fraction of a process's memory that the requests of callers may hold, connectionShare that of
	// their connections without requests.
	requestShare    = 4
	connectionShare = 4
	// connectionBytes is the memory of a connection without a large request: its goroutine, its buffers, and the
	// connection to a target that a request needs.
	connectionBytes = 24 << 10
	// tlsBytes is what TLS adds to that: its buffers and the state of its handshake.
	tlsBytes = 40 << 10
	// reservedFDs of a process are for files. callerPercent of the others are for callers: each of their requests may
	// need a connection to a target, and there are those to the store and to other processes.
	reservedFDs   = 200
	callerPercent = 40
	// memoryLimitPercent is the share of the memory from which on garbage is collected more often. The rest is for what
	// the limit doesn't cover, such as the program itself.
	memoryLimitPercent = 70
	percent            = 100
	// minConnections are always allowed.
	minConnections = 16
)

// Limits are those of a process. The zero value stands for the memory of the machine and the descriptors that the
// system allows the process.
type Limits struct {
	// MemoryBytes is the memory, MaxFDs the maximum number of open descriptors. 0 means unknown.
	MemoryBytes, MaxFDs int
	// TLS means that callers' connections use TLS.
	TLS bool
}

// WithDefaults replaces unknown limits by those of the system.
func (l Limits) WithDefaults() Limits {
	if l.MemoryBytes == 0 {
		l.MemoryBytes = machineMemory()
	}
	if l.MaxFDs == 0 {
		l.MaxFDs = allowedFDs()
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

// NewConnections returns the limit on connections.
func (l Limits) NewConnections() *connlimit.Limiter {
	return connlimit.New(l.WithDefaults().connections())
}

func (l Limits) connections() int {
	each := connectionBytes
	if l.TLS {
		each += tlsBytes
	}
	byMemory := l.MemoryBytes / connectionShare / each
	byFDs := (l.MaxFDs - reservedFDs) * callerPercent / percent
	return max(min(byMemory, byFDs), minConnections)
}

// MaxBody is the largest limit on bodies with which one request is always served while there are no others, if it
// holds its body copies times.
func (l Limits) MaxBody(copies int) int {
	// A body that grows is held twice for a moment.
	return l.WithDefaults().MemoryBytes / requestShare / max(copies, 2)
}

// Values that stand for limits that the system doesn't tell.
const (
	assumedMemory = 256 << 20
	assumedFDs    = 1024
)

func machineMemory() int {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return assumedMemory
	}
	return int(uint64(info.Totalram) * uint64(info.Unit))
}

func allowedFDs() int {
	var allowed syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &allowed); err != nil {
		return assumedFDs
	}
	return int(min(allowed.Cur, 1<<20))
}
