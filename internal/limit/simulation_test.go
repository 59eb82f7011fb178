package limit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/config"
)

// The simulation compares ways to enforce a contract's rate over nine entry
// VMs, in steps of simulated time: the two splits, run by the real code, and an
// owner per contract, chosen by hashing, that each VM asks before it admits a
// request.
const (
	simVMs      = 9
	simStep     = 10 * time.Millisecond
	simRate     = 90.0
	simEvent    = 10 * time.Second
	simSeconds  = 20 // measured after the event
	simExchange = time.Second
	// simDeadAfter is when peers consider a silent VM dead, simDemandTTL how
	// long its reported demand counts, simListedFor how long the platform lists
	// it.
	simDeadAfter = 3 * time.Second
	simDemandTTL = 3 * time.Second
	simListedFor = 10 * time.Second
)

// simSplit is a Split, or simOwner.
type simSplit string

const simOwner simSplit = "owner by hashing"

// simCase gives the request rate at each VM, and what happens to the last VM at
// simEvent.
type simCase struct {
	name  string
	rates func(vm int) float64
	event simEventKind
	// Bounds for SplitByDemand: how far the mean rate may be above and below
	// the contract's.
	over, under float64
}

type simEventKind string

const (
	noEvent simEventKind = ""
	joins   simEventKind = "joins"
	leaves  simEventKind = "leaves"
	killed  simEventKind = "killed"
	cutOff  simEventKind = "cut off"
)

func sameAtEachVM(int) float64 { return 30 }

func allCallersAt(target int) func(int) float64 {
	return func(vm int) float64 {
		if vm == target {
			return 270
		}
		return 0
	}
}

var simCases = []simCase{
	{"callers even", sameAtEachVM, noEvent, 0.05, 0.05},
	{"one VM gets all", allCallersAt(0), noEvent, 0.05, 0.1},
	{"a VM joins", sameAtEachVM, joins, 0.05, 0.05},
	{"a VM leaves", sameAtEachVM, leaves, 0.05, 0.05},
	{"a VM is killed", sameAtEachVM, killed, 0.05, 0.15},
	{"the VM with all is killed, its callers go to the first", allCallersAt(simVMs - 1), killed, 0.05, 0.5},
	{"a VM is cut off", sameAtEachVM, cutOff, 0.05, 0.05},
	{"the VM with all is cut off", allCallersAt(simVMs - 1), cutOff, 0.15, 0.95},
}

type simulation struct {
	split             simSplit
	tc                simCase
	now               time.Time
	elapsed           time.Duration
	random            *rand.Rand
	vms               [simVMs]*Customers
	reports           [simVMs]PeerDemand
	reportedAt        [simVMs]time.Duration
	owner             *Bucket
	fallback          [simVMs]*Bucket // used by a VM that can't reach the owner
	admittedPerSecond [simSeconds]float64
}

var simContract = config.Contract{Customer: "c", RequestsPerSecond: simRate, Burst: 9}

func newSimulation(split simSplit, tc simCase) *simulation {
	s := &simulation{split: split, tc: tc, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 2))}
	for i := range s.vms {
		s.vms[i] = NewCustomers(Split(split))
		s.fallback[i] = NewBucket(simRate/simVMs, 1, s.now)
	}
	s.owner = NewBucket(simRate, 9, s.now)
	return s
}

func (s *simulation) lastVM() int { return simVMs - 1 }

// isServing says whether a VM takes requests now.
func (s *simulation) isServing(vm int) bool {
	after := s.elapsed >= simEvent
	switch {
	case vm != s.lastVM():
		return true
	case s.tc.event == joins:
		return after
	case s.tc.event == leaves || s.tc.event == killed:
		return !after
	}
	return true
}

func (s *simulation) isListed(vm int) bool {
	if vm == s.lastVM() && s.tc.event == killed {
		return s.elapsed < simEvent+simListedFor
	}
	return s.isServing(vm)
}

// canReach says whether two VMs can communicate.
func (s *simulation) canReach(a, b int) bool {
	return s.tc.event != cutOff || s.elapsed < simEvent || (a == s.lastVM()) == (b == s.lastVM())
}

func (s *simulation) view(vm int) PeerView {
	var v PeerView
	for other := range s.vms {
		if other == vm || !s.isListed(other) && s.elapsed-s.reportedAt[other] > 0 && !s.isServing(other) {
			continue
		}
		fresh := s.elapsed-s.reportedAt[other] < simDemandTTL && s.reports[other] != nil
		if !s.canReach(vm, other) {
			fresh = s.elapsed < simEvent+simDemandTTL && fresh
		}
		if !fresh {
			v.Unknown++
			continue
		}
		v.Peers = append(v.Peers, s.reports[other])
		if other < vm {
			v.Rank++
		}
	}
	return v
}

func (s *simulation) exchange(vm int) {
	if !s.isServing(vm) {
		return
	}
	s.reports[vm], s.reportedAt[vm] = s.vms[vm].Demands(s.now), s.elapsed
	s.vms[vm].Rebalance(s.view(vm), s.now)
}

func (s *simulation) admit(vm int) bool {
	if s.split != simOwner {
		_, decision, _ := s.vms[vm].Admit(simContract, 0, s.now)
		return decision == Admitted
	}
	const owner = simVMs - 1 // worst case: the VM that the event happens to
	contacted := owner
	if s.tc.event == killed && s.elapsed >= simEvent+simDeadAfter || s.tc.event == leaves && s.elapsed >= simEvent || s.tc.event == joins {
		contacted = 0 // the next one by hashing
	}
	if s.canReach(vm, contacted) && s.isServing(contacted) {
		ok, _ := s.owner.Take(1, s.now)
		return ok
	}
	ok, _ := s.fallback[vm].Take(1, s.now)
	return ok
}

func (s *simulation) run() rateError {
	for s.elapsed = 0; s.elapsed < simEvent+simSeconds*time.Second; s.elapsed += simStep {
		s.now = s.now.Add(simStep)
		for vm := range s.vms {
			if s.elapsed%simExchange == time.Duration(vm)*100*time.Millisecond {
				s.exchange(vm)
			}
			s.arrive(vm)
		}
	}
	total := 0.0
	for _, n := range s.admittedPerSecond {
		total += n
	}
	return rateError{total/(simRate*simSeconds) - 1, slices.Max(s.admittedPerSecond[:])/simRate - 1, slices.Min(s.admittedPerSecond[:])/simRate - 1}
}

// arrive draws the requests of one step. Those of a VM that is gone go to the
// first VM.
func (s *simulation) arrive(vm int) {
	expected := s.tc.rates(vm) * simStep.Seconds()
	for ; expected > 0; expected-- {
		if s.random.Float64() >= expected {
			continue
		}
		at := vm
		if !s.isServing(vm) {
			at = 0
		}
		if s.admit(at) && s.elapsed >= simEvent {
			s.admittedPerSecond[int((s.elapsed-simEvent)/time.Second)]++
		}
	}
}

// rateError is the relative deviation from the contract's rate: over the whole
// time, and in the seconds with the most and the fewest admitted requests.
type rateError struct{ mean, most, least float64 }

func (e rateError) String() string {
	return fmt.Sprintf("%+.0f%% (seconds %+.0f%% to %+.0f%%)", 100*e.mean, 100*e.least, 100*e.most)
}

func TestSplitsKeepContractRateInSimulation(t *testing.T) {
	for _, tc := range simCases {
		t.Run(tc.name, func(t *testing.T) {
			got := map[simSplit]rateError{}
			for _, split := range []simSplit{simSplit(SplitByDemand), simSplit(SplitEven), simOwner} {
				got[split] = newSimulation(split, tc).run()
			}
			t.Logf("| %s | %s | %s | %s |", tc.name, got[simSplit(SplitByDemand)], got[simSplit(SplitEven)], got[simOwner])
			byDemand := got[simSplit(SplitByDemand)]
			assert.Assert(t, byDemand.mean <= tc.over && byDemand.mean >= -tc.under, "%s", byDemand)
			assert.Assert(t, !math.IsNaN(byDemand.mean))
		})
	}
}
