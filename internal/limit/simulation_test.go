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

// The simulation compares ways to hold a contract's rate over nine entry VMs,
// in steps of simulated time: the two splits by the real code, and an owner per
// contract, found by hashing, whom each VM asks before it lets a request in.
const (
	simVMs      = 9
	simStep     = 10 * time.Millisecond
	simRate     = 90.0
	simEvent    = 10 * time.Second
	simSeconds  = 20 // measured from the event on
	simExchange = time.Second
	// simDeath is when peers take a silent VM for dead, simMemory how long its
	// demand counts, simListed how long the platform lists it.
	simDeath  = 3 * time.Second
	simMemory = 3 * time.Second
	simListed = 10 * time.Second
)

// simSplit is a Split, or the owner.
type simSplit string

const simOwner simSplit = "owner by hashing"

// simCase says who asks how much, and what happens at simEvent to the last VM.
type simCase struct {
	name  string
	rates func(vm int) float64
	event simChange
	// bounds of by-demand: mean over and under.
	over, under float64
}

type simChange string

const (
	nothing simChange = ""
	joins   simChange = "joins"
	leaves  simChange = "leaves"
	killed  simChange = "killed"
	cutOff  simChange = "cut off"
)

func evenly(int) float64 { return 30 }

func allAt(place int) func(int) float64 {
	return func(vm int) float64 {
		if vm == place {
			return 270
		}
		return 0
	}
}

var simCases = []simCase{
	{"callers even", evenly, nothing, 0.05, 0.05},
	{"one VM gets all", allAt(0), nothing, 0.05, 0.1},
	{"a VM joins", evenly, joins, 0.05, 0.05},
	{"a VM leaves", evenly, leaves, 0.05, 0.05},
	{"a VM is killed", evenly, killed, 0.05, 0.15},
	{"the VM with all is killed, its callers go to the first", allAt(simVMs - 1), killed, 0.05, 0.5},
	{"a VM is cut off", evenly, cutOff, 0.05, 0.05},
	{"the VM with all is cut off", allAt(simVMs - 1), cutOff, 0.15, 0.95},
}

type simulation struct {
	split simSplit
	tc    simCase
	now   time.Time
	since time.Duration
	dice  *rand.Rand
	vms   [simVMs]*Customers
	told  [simVMs]PeerDemand
	heard [simVMs]time.Duration
	owner *Bucket
	own   [simVMs]*Bucket // what each falls back to without the owner
	per   [simSeconds]float64
}

var simContract = config.Contract{Customer: "c", RequestsPerSecond: simRate, Burst: 9}

func newSimulation(split simSplit, tc simCase) *simulation {
	s := &simulation{split: split, tc: tc, now: time.Unix(1000, 0), dice: rand.New(rand.NewPCG(1, 2))}
	for i := range s.vms {
		s.vms[i] = NewCustomers(Split(split))
		s.own[i] = NewBucket(simRate/simVMs, 1, s.now)
	}
	s.owner = NewBucket(simRate, 9, s.now)
	return s
}

func (s *simulation) last() int { return simVMs - 1 }

// serves says whether a VM takes requests now.
func (s *simulation) serves(vm int) bool {
	after := s.since >= simEvent
	switch {
	case vm != s.last():
		return true
	case s.tc.event == joins:
		return after
	case s.tc.event == leaves || s.tc.event == killed:
		return !after
	}
	return true
}

func (s *simulation) listed(vm int) bool {
	if vm == s.last() && s.tc.event == killed {
		return s.since < simEvent+simListed
	}
	return s.serves(vm)
}

// reaches says whether two VMs hear each other.
func (s *simulation) reaches(a, b int) bool {
	return s.tc.event != cutOff || s.since < simEvent || (a == s.last()) == (b == s.last())
}

func (s *simulation) view(vm int) PeerView {
	var v PeerView
	for other := range s.vms {
		if other == vm || !s.listed(other) && s.since-s.heard[other] > 0 && !s.serves(other) {
			continue
		}
		fresh := s.since-s.heard[other] < simMemory && s.told[other] != nil
		if !s.reaches(vm, other) {
			fresh = s.since < simEvent+simMemory && fresh
		}
		if !fresh {
			v.Unknown++
			continue
		}
		v.Peers = append(v.Peers, s.told[other])
		if other < vm {
			v.Rank++
		}
	}
	return v
}

func (s *simulation) exchange(vm int) {
	if !s.serves(vm) {
		return
	}
	s.told[vm], s.heard[vm] = s.vms[vm].Demands(s.now), s.since
	s.vms[vm].Rebalance(s.view(vm), s.now)
}

func (s *simulation) admit(vm int) bool {
	if s.split != simOwner {
		_, got, _ := s.vms[vm].Admit(simContract, 0, s.now)
		return got == Admitted
	}
	const owner = simVMs - 1 // the worst case: the VM that the event is about
	asked := owner
	if s.tc.event == killed && s.since >= simEvent+simDeath || s.tc.event == leaves && s.since >= simEvent || s.tc.event == joins {
		asked = 0 // the next one by hashing
	}
	if s.reaches(vm, asked) && s.serves(asked) {
		ok, _ := s.owner.Take(1, s.now)
		return ok
	}
	ok, _ := s.own[vm].Take(1, s.now)
	return ok
}

func (s *simulation) run() held {
	for s.since = 0; s.since < simEvent+simSeconds*time.Second; s.since += simStep {
		s.now = s.now.Add(simStep)
		for vm := range s.vms {
			if s.since%simExchange == time.Duration(vm)*100*time.Millisecond {
				s.exchange(vm)
			}
			s.arrive(vm)
		}
	}
	total := 0.0
	for _, n := range s.per {
		total += n
	}
	return held{total/(simRate*simSeconds) - 1, slices.Max(s.per[:])/simRate - 1, slices.Min(s.per[:])/simRate - 1}
}

// arrive draws the requests of one step. Those of a VM that is gone come to the
// first one.
func (s *simulation) arrive(vm int) {
	expected := s.tc.rates(vm) * simStep.Seconds()
	for ; expected > 0; expected-- {
		if s.dice.Float64() >= expected {
			continue
		}
		at := vm
		if !s.serves(vm) {
			at = 0
		}
		if s.admit(at) && s.since >= simEvent {
			s.per[int((s.since-simEvent)/time.Second)]++
		}
	}
}

// held is by how much the rate was missed.
type held struct{ mean, most, least float64 }

func (h held) String() string {
	return fmt.Sprintf("%+.0f%% (seconds %+.0f%% to %+.0f%%)", 100*h.mean, 100*h.least, 100*h.most)
}

func TestSplitsHoldTheRateInSimulation(t *testing.T) {
	for _, tc := range simCases {
		t.Run(tc.name, func(t *testing.T) {
			got := map[simSplit]held{}
			for _, split := range []simSplit{simSplit(SplitByDemand), simSplit(SplitEven), simOwner} {
				got[split] = newSimulation(split, tc).run()
			}
			t.Logf("| %s | %s | %s | %s |", tc.name, got[simSplit(SplitByDemand)], got[simSplit(SplitEven)], got[simOwner])
			mine := got[simSplit(SplitByDemand)]
			assert.Assert(t, mine.mean <= tc.over && mine.mean >= -tc.under, "%s", mine)
			assert.Assert(t, !math.IsNaN(mine.mean))
		})
	}
}
