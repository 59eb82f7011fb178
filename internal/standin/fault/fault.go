// Package fault holds the faults that are injected into the stand-ins. They can
// be set and cleared while the stand-ins run.
package fault

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Scopes of the platform's services. PoolScope and TargetScope return those of
// pools and targets.
const (
	ScopeTable   = "table"
	ScopeObjects = "objects"
	ScopeVMList  = "vm_list"
)

// PoolScope returns the scope of all targets of a pool.
func PoolScope(pool string) string { return "pool:" + pool }

// TargetScope returns the scope of the target with the address IP:port.
func TargetScope(address string) string { return "target:" + address }

// Fault describes the faults to inject. The zero value injects none.
type Fault struct {
	// Down closes the listener and all connections.
	Down bool `json:"down,omitempty"`
	// Refuse answers every call with 503 without running it.
	Refuse bool `json:"refuse,omitempty"`
	// DelayMS is the delay in milliseconds before a call runs.
	DelayMS int `json:"delay_ms,omitempty"`
	// LoseAnswerShare is the share of calls, from 0 to 1, that run but whose
	// connection is closed without an answer.
	LoseAnswerShare float64 `json:"lose_answer_share,omitempty"`
	// StraggleFactor multiplies the time that work takes; zero means 1.
	StraggleFactor float64 `json:"straggle_factor,omitempty"`
	// DropStreamAfterTokens cuts a stream after this number of tokens; zero
	// means never.
	DropStreamAfterTokens int `json:"drop_stream_after_tokens,omitempty"`
	// WrongIdentityShare is the share of answers, from 0 to 1, that carry the ID
	// of another request.
	WrongIdentityShare float64 `json:"wrong_identity_share,omitempty"`
	// CrashMarker is a text that crashes the target that receives it in a
	// request's body; empty means none.
	CrashMarker string `json:"crash_marker,omitempty"`
	// RestartMS is how long a crashed target stays down; zero means 1000.
	RestartMS int `json:"restart_ms,omitempty"`
}

const defaultRestart = time.Second

// Delay returns DelayMS as a duration.
func (f Fault) Delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }

// Restart returns how long a crashed target stays down.
func (f Fault) Restart() time.Duration {
	if f.RestartMS <= 0 {
		return defaultRestart
	}
	return time.Duration(f.RestartMS) * time.Millisecond
}

// EffectiveStraggleFactor returns the factor by which work is slowed down, at
// least 1/1000.
func (f Fault) EffectiveStraggleFactor() float64 {
	if f.StraggleFactor == 0 {
		return 1
	}
	return max(f.StraggleFactor, 0.001)
}

// combine returns the combined effect of two faults, such as those of a target
// and its pool.
func (f Fault) combine(g Fault) Fault {
	f.Down = f.Down || g.Down
	f.Refuse = f.Refuse || g.Refuse
	f.DelayMS += g.DelayMS
	f.LoseAnswerShare = max(f.LoseAnswerShare, g.LoseAnswerShare)
	f.StraggleFactor = f.EffectiveStraggleFactor() * g.EffectiveStraggleFactor()
	f.DropStreamAfterTokens = firstNonZero(f.DropStreamAfterTokens, g.DropStreamAfterTokens)
	f.WrongIdentityShare = max(f.WrongIdentityShare, g.WrongIdentityShare)
	f.CrashMarker = firstNonZero(f.CrashMarker, g.CrashMarker)
	f.RestartMS = firstNonZero(f.RestartMS, g.RestartMS)
	return f
}

func firstNonZero[T comparable](a, b T) T {
	var zero T
	if a != zero {
		return a
	}
	return b
}

// Set holds the faults in force by scope, and the seeded random generator that
// decides which calls are affected. Create it with NewSet.
type Set struct {
	// putMu serializes calls of Put, including their watchers: if a watcher
	// that read an older fault acted after one that read a newer fault, a
	// listener would stay closed although its fault was cleared. It is taken
	// before mu and before the watchers' locks.
	putMu sync.Mutex

	mu       sync.Mutex // guards all fields below; no other lock is taken while it is held
	faults   map[string]Fault
	watchers []func()
	rng      *rand.Rand
}

// NewSet creates a set without faults.
func NewSet(seed uint64) *Set {
	return &Set{faults: map[string]Fault{}, rng: rand.New(rand.NewPCG(seed, seed))}
}

// Put replaces the fault of a scope and calls the watchers. The zero Fault
// clears it.
func (s *Set) Put(scope string, f Fault) {
	s.putMu.Lock()
	defer s.putMu.Unlock()
	for _, watcher := range s.replace(scope, f) {
		watcher()
	}
}

func (s *Set) replace(scope string, f Fault) []func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[scope] = f
	if f == (Fault{}) {
		delete(s.faults, scope)
	}
	return s.watchers
}

// Watch registers f to be called after every change by Put. f must not call
// Put.
func (s *Set) Watch(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers = append(s.watchers, f)
}

// Combined returns the combined faults of the scopes.
func (s *Set) Combined(scopes ...string) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	var combined Fault
	for _, scope := range scopes {
		if f, found := s.faults[scope]; found {
			combined = combined.combine(f)
		}
	}
	return combined
}

// All returns a copy of the faults in force by scope.
func (s *Set) All() map[string]Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]Fault, len(s.faults))
	for scope, f := range s.faults {
		all[scope] = f
	}
	return all
}

// Sample returns true for a random selection of calls of the given share.
func (s *Set) Sample(share float64) bool {
	if share <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < share
}
