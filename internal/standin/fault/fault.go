// Package fault holds the faults of the stand-ins, which are switched on and
// off while they run.
package fault

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Scopes of the platform's services. A pool's scope is PoolScope, a target's
// is TargetScope.
const (
	ScopeTable   = "table"
	ScopeObjects = "objects"
	ScopeVMList  = "vm_list"
)

// PoolScope names all targets of a pool.
func PoolScope(pool string) string { return "pool:" + pool }

// TargetScope names one target by its IP:port.
func TargetScope(address string) string { return "target:" + address }

// Fault is what is wrong. The zero value is health.
type Fault struct {
	// Down closes the listener and all connections.
	Down bool `json:"down,omitempty"`
	// Refuse answers 503 without running anything.
	Refuse bool `json:"refuse,omitempty"`
	// DelayMS is waited before a call runs.
	DelayMS int `json:"delay_ms,omitempty"`
	// LoseAnswerShare of the calls take effect and get no answer: their
	// connection is closed.
	LoseAnswerShare float64 `json:"lose_answer_share,omitempty"`
	// StraggleFactor stretches the time that work takes; zero counts as 1.
	StraggleFactor float64 `json:"straggle_factor,omitempty"`
	// DropStreamAfterTokens cuts a stream behind so many tokens; zero never.
	DropStreamAfterTokens int `json:"drop_stream_after_tokens,omitempty"`
	// WrongIdentityShare of the answers carry another request's identity.
	WrongIdentityShare float64 `json:"wrong_identity_share,omitempty"`
	// CrashMarker in a request's body crashes the target that runs it.
	CrashMarker string `json:"crash_marker,omitempty"`
	// RestartMS is how long a crashed target stays down; zero means 1000.
	RestartMS int `json:"restart_ms,omitempty"`
}

const defaultRestart = time.Second

// Delay is DelayMS as a duration.
func (f Fault) Delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }

// Restart is how long a crash lasts.
func (f Fault) Restart() time.Duration {
	if f.RestartMS <= 0 {
		return defaultRestart
	}
	return time.Duration(f.RestartMS) * time.Millisecond
}

// EffectiveStraggleFactor is by how much work is stretched, never below 1/1000.
func (f Fault) EffectiveStraggleFactor() float64 {
	if f.StraggleFactor == 0 {
		return 1
	}
	return max(f.StraggleFactor, 0.001)
}

// join is what a target suffers from its own fault and its pool's together.
func (f Fault) join(g Fault) Fault {
	f.Down = f.Down || g.Down
	f.Refuse = f.Refuse || g.Refuse
	f.DelayMS += g.DelayMS
	f.LoseAnswerShare = max(f.LoseAnswerShare, g.LoseAnswerShare)
	f.StraggleFactor = f.EffectiveStraggleFactor() * g.EffectiveStraggleFactor()
	f.DropStreamAfterTokens = firstOf(f.DropStreamAfterTokens, g.DropStreamAfterTokens)
	f.WrongIdentityShare = max(f.WrongIdentityShare, g.WrongIdentityShare)
	f.CrashMarker = firstOf(f.CrashMarker, g.CrashMarker)
	f.RestartMS = firstOf(f.RestartMS, g.RestartMS)
	return f
}

func firstOf[T comparable](a, b T) T {
	var zero T
	if a != zero {
		return a
	}
	return b
}

// Set holds the faults in force by scope, and the seeded dice that decide
// which calls suffer. Use NewSet.
type Set struct {
	// changes lets one Put and its watchers end before the next begins: a
	// watcher that read an older fault must not act behind one that read a
	// newer, or a listener would stay closed though its fault was cleared. It
	// is taken before mu and before the watchers' locks.
	changes sync.Mutex

	mu       sync.Mutex // guards all below; a leaf
	faults   map[string]Fault
	watchers []func()
	dice     *rand.Rand
}

// NewSet is a set without faults.
func NewSet(seed uint64) *Set {
	return &Set{faults: map[string]Fault{}, dice: rand.New(rand.NewPCG(seed, seed))}
}

// Put replaces the fault of a scope; the zero Fault clears it.
func (s *Set) Put(scope string, f Fault) {
	s.changes.Lock()
	defer s.changes.Unlock()
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

// Watch has f called after every Put. It must not Put itself.
func (s *Set) Watch(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers = append(s.watchers, f)
}

// Combined joins the faults of the scopes.
func (s *Set) Combined(scopes ...string) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	var joined Fault
	for _, scope := range scopes {
		if f, found := s.faults[scope]; found {
			joined = joined.join(f)
		}
	}
	return joined
}

// All copies the faults in force.
func (s *Set) All() map[string]Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]Fault, len(s.faults))
	for scope, f := range s.faults {
		all[scope] = f
	}
	return all
}

// Sample throws the dice: true for the given share of calls.
func (s *Set) Sample(share float64) bool {
	if share <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dice.Float64() < share
}
