// Package directory tracks the targets of all pools: their rows in the VM list,
// the calls that this process has in flight at each, and their health. The
// routing policies are in package routing.
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

// unlistedGrace is how long a target that disappeared from the VM list is still
// used. The list lags and may lose a row while the target keeps serving.
const unlistedGrace = 15 * time.Second

// Options are the settings of a Table.
type Options struct {
	// Node identifies this process. It determines which subset of a large pool the
	// process uses.
	Node string
	// Zone is this process's availability zone.
	Zone     string
	Policy   routing.Policy
	Ejection routing.Ejection
	// FetchReports polls targets whose last load report is stale. Leave it off for
	// a policy that ignores load reports: polling 32 targets of a pool each second
	// costs a node several times its budget for control traffic.
	FetchReports bool
	// NoEjection disables outlier ejection. Baseline experiments use it.
	NoEjection bool
}

// Table holds the targets of all pools.
//
// Lock order: Table.updateMu before Table.mu before Pool.mu. No lock is held
// during I/O.
type Table struct {
	opts Options

	// updateMu serializes Update and SetStops. Otherwise an Update that had read
	// the old stops could overwrite those of a concurrent SetStops, and a stopped
	// target would get work until the next Update, which never comes while the VM
	// list is down. It guards lastList.
	updateMu sync.Mutex
	lastList []backing.VM // the most recently applied list; never modified

	mu      sync.RWMutex // guards pools and stopped
	pools   map[string]*Pool
	stopped map[string]bool // addresses with a planned stop
}

// New returns an empty table.
func New(opts Options) *Table {
	return &Table{opts: opts, pools: map[string]*Pool{}, stopped: map[string]bool{}}
}

// Pool holds the targets of one pool.
type Pool struct {
	name string
	opts *Options

	mu            sync.Mutex // guards the fields below, and all fields of the targets
	targets       map[string]*targetState
	unlistedCount int            // targets that are missing from the VM list
	subset        []*targetState // the subset that this process uses, sorted by address
	random        *rand.Rand
	maxRunning    float64 // highest number of concurrent calls that any target reported
}

// targetState is what this process knows of one target. Pool.mu guards it.
type targetState struct {
	vm               backing.VM
	unlistedSince    time.Time // when it disappeared from the VM list; zero while listed
	stopped          bool
	down             bool // refused the last connection; cleared when a probe succeeds
	ejectReason      routing.Reason
	health           routing.Health
	inFlight         int
	report           *targetapi.LoadReport
	reportAt         time.Time
	inFlightAtReport int
	quarantined      int // suspected requests of this process that are running here
}

// Update applies a VM list. Targets that are no longer listed are kept for a
// grace period.
func (t *Table) Update(vms []backing.VM, now time.Time) {
	t.updateMu.Lock()
	defer t.updateMu.Unlock()
	if isSameSlice(vms, t.lastList) && !t.hasUnlisted() {
		return
	}
	t.lastList = vms
	byPool := map[string][]backing.VM{}
	for _, vm := range vms {
		if vm.Role == backing.RoleTarget {
			byPool[vm.Pool] = append(byPool[vm.Pool], vm)
		}
	}
	for name := range byPool {
		t.getOrCreatePool(name)
	}
	for _, p := range t.allPools() {
		p.update(byPool[p.name], t.stoppedAddresses(), now)
	}
}

// isSameSlice reports whether both slices share their backing array. The VM list
// client returns the same slice while the list is unchanged. Processing 12,000
// rows each second would exceed a node's budget for control traffic.
func isSameSlice(a, b []backing.VM) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// hasUnlisted reports whether any known target is missing from the VM list.
func (t *Table) hasUnlisted() bool {
	for _, p := range t.allPools() {
		p.mu.Lock()
		missing := p.unlistedCount
		p.mu.Unlock()
		if missing > 0 {
			return true
		}
	}
	return false
}

func (t *Table) getOrCreatePool(name string) *Pool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[name]
	if p == nil {
		p = &Pool{
			name: name, opts: &t.opts, targets: map[string]*targetState{},
			random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		}
		t.pools[name] = p
	}
	return p
}

func (t *Table) allPools() []*Pool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	pools := make([]*Pool, 0, len(t.pools))
	for _, p := range t.pools {
		pools = append(pools, p)
	}
	return pools
}

func (t *Table) stoppedAddresses() map[string]bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.stopped
}

// SetStops replaces the addresses with a planned stop. They get no new calls from
// now on; calls in flight run to completion.
func (t *Table) SetStops(addresses map[string]bool) {
	t.updateMu.Lock()
	defer t.updateMu.Unlock()
	t.mu.Lock()
	t.stopped = addresses
	t.mu.Unlock()
	for _, p := range t.allPools() {
		p.setStops(addresses)
	}
}

// Pool returns the pool with the given name, or nil if there is none.
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
			e = &targetState{}
			p.targets[vm.Address] = e
		}
		e.vm = vm
		e.unlistedSince = time.Time{}
		e.stopped = stops[vm.Address]
	}
	p.removeUnlisted(vms, now)
	p.chooseSubset()
}

// removeUnlisted removes the targets whose grace period has passed, and without
// waiting for it those that are also down and idle. Callers hold p.mu.
func (p *Pool) removeUnlisted(vms []backing.VM, now time.Time) {
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.Address] = true
	}
	p.unlistedCount = 0
	for address, e := range p.targets {
		if listed[address] {
			continue
		}
		if e.unlistedSince.IsZero() {
			e.unlistedSince = now
		}
		if now.Sub(e.unlistedSince) > unlistedGrace || (e.down && e.inFlight == 0) {
			delete(p.targets, address)
			continue
		}
		p.unlistedCount++
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

// chooseSubset selects the targets that this process uses among those that aren't
// draining. Callers hold p.mu.
func (p *Pool) chooseSubset() {
	members := make([]routing.Member, 0, len(p.targets))
	for address, e := range p.targets {
		if !e.draining() {
			members = append(members, routing.Member{Address: address, SameZone: e.vm.Zone == p.opts.Zone})
		}
	}
	members = routing.Subset(p.opts.Node, members, routing.SubsetSize)
	p.subset = p.subset[:0]
	for _, m := range members {
		p.subset = append(p.subset, p.targets[m.Address])
	}
	sort.Slice(p.subset, func(i, j int) bool { return p.subset[i].vm.Address < p.subset[j].vm.Address })
}

func (e *targetState) draining() bool {
	return e.stopped || e.vm.State == backing.VMLeaving
}

// TargetStatus is the state of one target as shown to operators.
type TargetStatus struct {
	Address  string
	Pool     string
	Zone     string
	InFlight int
	Leaving  bool
	// OutOfUse is the reason why the target gets no new calls; empty while in use.
	OutOfUse string
}

// Status lists all targets, sorted by pool and address.
func (t *Table) Status(now time.Time) []TargetStatus {
	var list []TargetStatus
	for _, p := range t.allPools() {
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
			Leaving: e.draining(), OutOfUse: e.outOfUse(now),
		})
	}
	return list
}

func (e *targetState) outOfUse(now time.Time) string {
	switch {
	case e.down:
		return "refuses connections"
	case now.Before(e.health.EjectedUntil):
		return string(e.ejectReason)
	default:
		return ""
	}
}
