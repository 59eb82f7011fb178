// Package directory is the shared table of targets: what the VM list says of
// them, what this process has in flight at each, and how they behaved. Routing
// decisions themselves are in package routing.
package directory

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/routing"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// unlistedGrace is how long a target that vanished from the VM list is still
// used. The list lags and may lose a row, while the target goes on serving.
const unlistedGrace = 15 * time.Second

// Options are the settings of a Table.
type Options struct {
	// Node names this process; subsets of large pools are drawn by it.
	Node string
	// Zone is this process's availability zone.
	Zone     string
	Policy   routing.Policy
	Ejection routing.Ejection
	// FetchReports asks targets that have not reported for a while for their
	// load. A policy that doesn't weigh reports needs none: 32 targets of a pool
	// asked each second cost a node several times what it may spend on control.
	FetchReports bool
	// NoEjection keeps every target in use: for the baselines.
	NoEjection bool
}

// Table holds the targets of all pools.
//
// Lock order: Table.applying before Table.mu before Pool.mu. No lock is held
// during I/O.
type Table struct {
	opts Options

	// applying is held while a VM list or the planned stops are put in place.
	// An Update that began with the stops of before would otherwise undo a
	// SetStops beside it, and a stopped target would get work until the next
	// Update, which never comes while the VM list is down. It guards last.
	applying sync.Mutex
	last     []backing.VM // the list as taken in last; never changed

	mu      sync.RWMutex // guards pools and stopped
	pools   map[string]*Pool
	stopped map[string]bool // addresses under a planned stop
}

// New makes an empty table.
func New(opts Options) *Table {
	return &Table{opts: opts, pools: map[string]*Pool{}, stopped: map[string]bool{}}
}

// Pool holds the targets of one pool.
type Pool struct {
	name string
	opts *Options

	mu      sync.Mutex // guards what follows, and all fields of the targets
	targets map[string]*entry
	missing int      // targets that the VM list lacks
	usable  []*entry // the subset that this process works with, by address
	random  *rand.Rand
	full    float64 // most calls that a target reported to run at once
}

// entry is one target. Pool.mu guards it.
type entry struct {
	vm         backing.VM
	unlisted   time.Time // since when the VM list lacks it; zero while listed
	stopped    bool
	down       bool // refused the last connection; back when a probe succeeds
	reason     routing.Reason
	health     routing.Health
	inFlight   int
	report     *targetapi.LoadReport
	reportAt   time.Time
	ownAtRep   int
	quarantine int // suspects of this process that run here
}

// Update takes in what the VM list says. Targets that it no longer lists stay
// for a while.
func (t *Table) Update(vms []backing.VM, now time.Time) {
	t.applying.Lock()
	defer t.applying.Unlock()
	if sameList(vms, t.last) && !t.anyMissing() {
		return
	}
	t.last = vms
	byPool := map[string][]backing.VM{}
	for _, vm := range vms {
		if vm.Role == backing.RoleTarget {
			byPool[vm.Pool] = append(byPool[vm.Pool], vm)
		}
	}
	for name := range byPool {
		t.ensure(name)
	}
	for _, p := range t.all() {
		p.update(byPool[p.name], t.stops(), now)
	}
}

// sameList says that the list is the very one that was taken in last, which a
// VM list that has not changed gives. Going through 12,000 rows each second
// would cost more than a node may spend on control.
func sameList(a, b []backing.VM) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// anyMissing says that targets wait to be forgotten.
func (t *Table) anyMissing() bool {
	for _, p := range t.all() {
		p.mu.Lock()
		missing := p.missing
		p.mu.Unlock()
		if missing > 0 {
			return true
		}
	}
	return false
}

func (t *Table) ensure(name string) *Pool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[name]
	if p == nil {
		p = &Pool{
			name: name, opts: &t.opts, targets: map[string]*entry{},
			random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		}
		t.pools[name] = p
	}
	return p
}

func (t *Table) all() []*Pool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	pools := make([]*Pool, 0, len(t.pools))
	for _, p := range t.pools {
		pools = append(pools, p)
	}
	return pools
}

func (t *Table) stops() map[string]bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.stopped
}

// SetStops replaces the addresses under a planned stop. They get no new work
// from now on; what they have goes on to its end.
func (t *Table) SetStops(addresses map[string]bool) {
	t.applying.Lock()
	defer t.applying.Unlock()
	t.mu.Lock()
	t.stopped = addresses
	t.mu.Unlock()
	for _, p := range t.all() {
		p.setStops(addresses)
	}
}

// Pool gives the pool of a name; nil where there is none.
func (t *Table) Pool(name string) *Pool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.pools[name]
}

func (p *Pool) update(vms []backing.VM, stops map[string]bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, vm := range vms {
		e := p.targets[vm.Address]
		if e == nil {
			e = &entry{}
			p.targets[vm.Address] = e
		}
		e.vm = vm
		e.unlisted = time.Time{}
		e.stopped = stops[vm.Address]
	}
	p.forgetUnlisted(vms, now)
	p.chooseSubset()
}

// forgetUnlisted drops the targets that the list has lacked for long enough, and
// at once those that are down besides. Callers hold p.mu.
func (p *Pool) forgetUnlisted(vms []backing.VM, now time.Time) {
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.Address] = true
	}
	p.missing = 0
	for address, e := range p.targets {
		if listed[address] {
			continue
		}
		if e.unlisted.IsZero() {
			e.unlisted = now
		}
		if now.Sub(e.unlisted) > unlistedGrace || (e.down && e.inFlight == 0) {
			delete(p.targets, address)
			continue
		}
		p.missing++
	}
}

func (p *Pool) setStops(stops map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, e := range p.targets {
		e.stopped = stops[address]
	}
	p.chooseSubset()
}

// chooseSubset draws the targets to work with out of those that aren't
// leaving. Callers hold p.mu.
func (p *Pool) chooseSubset() {
	members := make([]routing.Member, 0, len(p.targets))
	for address, e := range p.targets {
		if !e.leaving() {
			members = append(members, routing.Member{Address: address, SameZone: e.vm.Zone == p.opts.Zone})
		}
	}
	members = routing.Subset(p.opts.Node, members, routing.SubsetSize)
	p.usable = p.usable[:0]
	for _, m := range members {
		p.usable = append(p.usable, p.targets[m.Address])
	}
	sort.Slice(p.usable, func(i, j int) bool { return p.usable[i].vm.Address < p.usable[j].vm.Address })
}

func (e *entry) leaving() bool {
	return e.stopped || e.vm.State == backing.VMLeaving
}

// TargetStatus is what an operator sees of one target.
type TargetStatus struct {
	Address  string
	Pool     string
	Zone     string
	InFlight int
	Leaving  bool
	// OutOfUse says why no new work goes there; empty while in use.
	OutOfUse string
}

// Status lists all targets by pool and address.
func (t *Table) Status(now time.Time) []TargetStatus {
	var list []TargetStatus
	for _, p := range t.all() {
		list = append(list, p.status(now)...)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Pool != list[j].Pool {
			return list[i].Pool < list[j].Pool
		}
		return list[i].Address < list[j].Address
	})
	return list
}

func (p *Pool) status(now time.Time) []TargetStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]TargetStatus, 0, len(p.targets))
	for address, e := range p.targets {
		list = append(list, TargetStatus{
			Address: address, Pool: p.name, Zone: e.vm.Zone, InFlight: e.inFlight,
			Leaving: e.leaving(), OutOfUse: e.outOfUse(now),
		})
	}
	return list
}

func (e *entry) outOfUse(now time.Time) string {
	switch {
	case e.down:
		return "refuses connections"
	case now.Before(e.health.EjectedUntil):
		return string(e.reason)
	default:
		return ""
	}
}
