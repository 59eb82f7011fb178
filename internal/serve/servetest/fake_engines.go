package servetest

import (
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/place"
)

// CopyBehaviour is how a simulated engine reacts when another engine copies from it.
type CopyBehaviour int

// The behaviours. The zero value lets others copy.
const (
	LetsCopy CopyBehaviour = iota
	// RefusesCopy: the other engine reads the parts itself.
	RefusesCopy
	// LetsCopyLate: the copy takes LateCopy longer.
	LetsCopyLate
)

// LateCopy is the additional time of a copy from an engine with the behaviour LetsCopyLate.
const LateCopy = 200 * time.Millisecond

// FakeEngines simulates model engines that keep the parts of the prompts that they have read, and
// copy parts from each other. Each reads one prompt at a time. The zero value has no engines; an
// engine comes into being with its first prompt.
type FakeEngines struct {
	// TokensPerMS is how many tokens an engine reads in a millisecond, CopyTime how long a copy takes.
	TokensPerMS float64
	CopyTime    time.Duration

	mu      sync.Mutex // guards the fields below
	engines map[string]*fakeEngine
	parts   map[string]bool
	tokens  EngineTokens
}

// EngineTokens counts tokens of shared parts: those that were read although an engine had read them
// before, and those that were copied.
type EngineTokens struct{ ReadAgain, Copied int }

type fakeEngine struct {
	// parts has the time from which on the engine holds a part.
	parts     map[string]time.Time
	busyUntil time.Time
	behaviour CopyBehaviour
}

// engine returns the engine at an address. The caller holds mu.
func (f *FakeEngines) engine(address string) *fakeEngine {
	if f.engines == nil {
		f.engines, f.parts = map[string]*fakeEngine{}, map[string]bool{}
	}
	if f.engines[address] == nil {
		f.engines[address] = &fakeEngine{parts: map[string]time.Time{}}
	}
	return f.engines[address]
}

// SetBehaviour sets how an engine reacts when others copy from it.
func (f *FakeEngines) SetBehaviour(address string, b CopyBehaviour) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engine(address).behaviour = b
}

// Forget empties the cache of an engine, as an eviction or a restart does.
func (f *FakeEngines) Forget(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.engine(address).parts)
}

// Tokens returns the counts so far.
func (f *FakeEngines) Tokens() EngineTokens {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tokens
}

// Read has an engine read a prompt, copying what it can from the source, and returns at the first
// event. source is empty if nothing is copied.
func (f *FakeEngines) Read(address, source string, p place.Prompt) {
	time.Sleep(time.Until(f.start(address, source, p)))
}

// start counts the tokens and returns when the engine has read the prompt.
func (f *FakeEngines) start(address, source string, p place.Prompt) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	engine := f.engine(address)
	begin := time.Now()
	if engine.busyUntil.After(begin) {
		begin = engine.busyUntil
	}
	read, took := p.UnsharedTokens(), time.Duration(0)
	var added []string
	for _, part := range p.Parts[:max(len(p.Parts)-1, 0)] {
		if _, held := engine.parts[part.ID]; held {
			continue
		}
		added = append(added, part.ID)
		switch from := f.engine(source); {
		case source != "" && from.copies(part.ID, begin):
			f.tokens.Copied += part.Tokens
			took = max(took, f.CopyTime)
			if from.behaviour == LetsCopyLate {
				took = f.CopyTime + LateCopy
			}
			continue
		case f.parts[part.ID]:
			f.tokens.ReadAgain += part.Tokens
		}
		f.parts[part.ID] = true
		read += part.Tokens
	}
	took += time.Duration(float64(read) / f.TokensPerMS * float64(time.Millisecond))
	engine.busyUntil = begin.Add(took)
	for _, id := range added {
		engine.parts[id] = engine.busyUntil
	}
	return engine.busyUntil
}

// copies reports whether other engines can copy a part at a time.
func (e *fakeEngine) copies(part string, at time.Time) bool {
	since, held := e.parts[part]
	return held && !at.Before(since) && e.behaviour != RefusesCopy
}
