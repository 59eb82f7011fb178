// Package leaveout names the mechanisms of the serving core that can be disabled one at a time, to
// measure what each contributes (ablation). In production none is disabled.
package leaveout

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanism is the name of a mechanism that can be disabled.
type Mechanism string

// The mechanisms, each with what it does.
const (
	// Sharing: one process, the gatherer, batches the stage items of all processes for a shard of
	// targets. Without it each process batches only its own.
	Sharing Mechanism = "sharing"
	// Reservations: a request is refused before its first stage if its stages can't finish in time.
	// Without them all requests are accepted.
	Reservations Mechanism = "reservations"
	// Reserve: capacity is kept for more urgent requests that may still arrive.
	Reserve Mechanism = "reserve"
	// LeastShare: each kind of request gets at least a minimum share of what it asks for.
	LeastShare Mechanism = "least-share"
	// TeamShares: while a shard is contended, a team gets at most its share of what its rank gets.
	TeamShares Mechanism = "team-shares"
	// DueOrder: items are processed in the order of their due times. Without it they are processed
	// in the order of arrival.
	DueOrder Mechanism = "due-order"
	// ShortCalls: while few items wait, a call carries no more items than the most urgent of them
	// has time for.
	ShortCalls Mechanism = "short-calls"
	// SpareTarget: the last free target of a shard is kept for urgent items.
	SpareTarget Mechanism = "spare-target"
	// OwnZone: an item waits for a target in the zone of its inputs.
	OwnZone Mechanism = "own-zone"
	// OneZone: at a large site, all stages of a chain run in one zone.
	OneZone Mechanism = "one-zone"
	// Affinity: requests with the same shared prompt go to the engine that has already read it.
	Affinity Mechanism = "affinity"
	// SlowTargets: slow stage targets are skipped.
	SlowTargets Mechanism = "slow-targets"
	// EarlyRelease: inputs are released as soon as they have been fetched.
	EarlyRelease Mechanism = "early-release"
	// LearntEngines: the engines' times to the first event are learned.
	LearntEngines Mechanism = "learnt-engines"
	// Failover: a gatherer that doesn't answer is replaced. Without it, items wait for their
	// gatherer.
	Failover Mechanism = "failover"
	// Allocators: a result is released at the process that requested it from the target. Without
	// it, the release goes to the process that the reader considers the gatherer now.
	Allocators Mechanism = "allocators"
	// StrongOnly: VMs with little CPU don't become gatherers.
	StrongOnly Mechanism = "strong-only"
	// LeavingAlone: a target that refused a connection gets no requests for a while.
	LeavingAlone Mechanism = "leaving-alone"
	// Watchers: a few processes read the store's changes on behalf of all.
	Watchers Mechanism = "watchers"
	// Containment: a request that crashes its targets is not retried at further targets.
	Containment Mechanism = "containment"
	// EngineAccounts: before a process sends a prompt to an engine, it asks the engine's tracker
	// what the engine reads for other processes.
	EngineAccounts Mechanism = "engine-accounts"
	// EnginePace: engines that are faster or slower than others are chosen and claimed by their pace.
	// Without it all engines count as alike.
	EnginePace Mechanism = "engine-pace"
	// EngineRejections: engines that reject many requests are avoided, and rejected requests go to more
	// engines. Without it each process finds out by itself which engines reject.
	EngineRejections Mechanism = "engine-rejections"
	// Warmup: the request rate to a target that is cold or has stated a rate is bounded across all processes.
	Warmup Mechanism = "warmup"
	// FewKept: the number of idle connections to a target is bounded by the number that it accepts.
	FewKept Mechanism = "few-kept"
	// ResponseBounds: answers that are too large or too slow where they carry no result are given up.
	ResponseBounds Mechanism = "response-bounds"
	// PromptCopies: engines copy the shared parts of prompts from engines that have read them.
	PromptCopies Mechanism = "prompt-copies"
	// ReturnPlaces: a shard holds capacity for requests that it refused, for when they come back.
	ReturnPlaces Mechanism = "return-places"
)

// All returns all mechanisms.
func All() []Mechanism {
	return []Mechanism{
		Sharing, Reservations, Reserve, LeastShare, TeamShares, ReturnPlaces, DueOrder, ShortCalls, SpareTarget, OwnZone, OneZone, Affinity, PromptCopies,
		SlowTargets, EarlyRelease, LearntEngines, Failover, Allocators, StrongOnly, LeavingAlone, Watchers, Containment, EngineAccounts, EnginePace,
		EngineRejections, Warmup, FewKept, ResponseBounds,
	}
}

// Set is a set of disabled mechanisms. The zero value disables none.
type Set struct{ mechanisms []Mechanism }

// Of returns a set of mechanisms.
func Of(mechanisms ...Mechanism) Set { return Set{mechanisms: mechanisms} }

// Has reports whether a mechanism is disabled.
func (s Set) Has(m Mechanism) bool { return slices.Contains(s.mechanisms, m) }

// With returns the set with one more mechanism.
func (s Set) With(m Mechanism) Set { return Of(append(slices.Clone(s.mechanisms), m)...) }

// Parse parses mechanism names separated by commas. The empty text is the empty set.
func Parse(text string) (Set, error) {
	var s Set
	for _, name := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' }) {
		m := Mechanism(strings.TrimSpace(name))
		if !slices.Contains(All(), m) {
			return Set{}, fmt.Errorf("unknown mechanism %q; known mechanisms: %v", m, All())
		}
		s.mechanisms = append(s.mechanisms, m)
	}
	return s, nil
}
