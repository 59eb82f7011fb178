// Package suspect finds the request that crashes each target that runs it.
//
// When a target dies with requests in flight, each of them is suspected.
// Suspects are told to the peers before a second try. One process owns a
// suspect and is the only one to try it again, alone of all suspects on its
// target, so that a second crash convicts the one that caused it and no other.
// A convicted request gets its final answer at once, at every entry VM, under
// whatever key it is sent again.
package suspect

import (
	"hash/fnv"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Fingerprint identifies a request by its content. The caller's key does not
// count: a caller may send the same request again with a new key.
type Fingerprint string

// FingerprintOf hashes the parts of a request that decide what its targets do.
func FingerprintOf(parts ...string) Fingerprint {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	return Fingerprint(strconv.FormatUint(h.Sum64(), 16))
}

// Crash is one death of a target while it ran the request.
type Crash struct {
	Address string    `json:"address"`
	At      time.Time `json:"at"`
	// Owner is the process that may try the request again, since OwnedAt.
	Owner   string    `json:"owner"`
	OwnedAt time.Time `json:"owned_at"`
}

// Evidence is what one process knows of a request.
type Evidence struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Crashes     []Crash     `json:"crashes,omitempty"`
	// ClearedAt is when the request last ran alone and came back whole; zero
	// for never. It voids the crashes before it.
	ClearedAt time.Time `json:"cleared_at,omitzero"`
}

// Verdict says what is held against a request.
type Verdict string

// The verdicts.
const (
	// Clear: nothing is known against the request.
	Clear Verdict = "clear"
	// Suspected: a target died under it once.
	Suspected Verdict = "suspected"
	// Convicted: two targets died under it.
	Convicted Verdict = "convicted"
)

// Permission says how a request may run now.
type Permission string

// The leaves.
const (
	// Unrestricted: like any other request.
	Unrestricted Permission = "free"
	// Isolated: as the only try of this suspect, and on a target without another
	// suspect. Done ends it.
	Isolated Permission = "alone"
	// MustWait: another try of it has to end first, here or at another process.
	MustWait Permission = "wait"
	// Denied: it is convicted.
	Denied Permission = "never"
)

const (
	// crashesToConvict is how many targets a request may cost.
	crashesToConvict = 2
	// sameCrash is how close two reports of a target's death have to be to
	// count as one: several entry VMs see the same one.
	sameCrash = time.Second
	// PropagationDelay is how long evidence takes to reach the peers. An owner waits it
	// out: another process may be reporting the same death, or losing a second
	// target to the same request, right now.
	PropagationDelay = 100 * time.Millisecond
	// ownerTerm is how long a process owns a suspect. One that died or whose
	// caller left would otherwise keep an innocent request from running for as
	// long as evidence counts.
	ownerTerm = 30 * time.Second
	// deathTerm is how long no suspect is sent to a target that died.
	deathTerm = 10 * time.Second
	// EvidenceTTL is how long evidence counts.
	EvidenceTTL = 10 * time.Minute
	// maxRecords bounds the table. The oldest go first.
	maxRecords = 4096
)

// Table holds the evidence of this process and what its peers told.
type Table struct {
	self string

	mu       sync.Mutex // guards what follows; a leaf
	records  map[Fingerprint]*record
	deaths   map[string]time.Time // last death of each target by address
	watchers map[Fingerprint]map[*func()]bool
}

type record struct {
	crashes   []Crash
	clearedAt time.Time
	// trial says that this process runs the suspect now.
	trial  bool
	seenAt time.Time
}

// NewTable makes an empty table for a process.
func NewTable(self string) *Table {
	return &Table{
		self: self, records: map[Fingerprint]*record{}, deaths: map[string]time.Time{},
		watchers: map[Fingerprint]map[*func()]bool{},
	}
}

// Check gives the verdict on a request.
func (t *Table) Check(f Fingerprint, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.verdict(f, now)
}

// CrashCount counts the targets that died under a request.
func (t *Table) CrashCount(f Fingerprint, now time.Time) int {
	return len(t.CrashedTargets(f, now))
}

// CrashedTargets lists the targets that died under a request.
func (t *Table) CrashedTargets(f Fingerprint, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.current(f, now)
	if r == nil {
		return nil
	}
	list := make([]string, 0, len(r.crashes))
	for _, c := range r.crashes {
		list = append(list, c.Address)
	}
	return list
}

func (t *Table) verdict(f Fingerprint, now time.Time) Verdict {
	r := t.current(f, now)
	if r == nil {
		return Clear
	}
	return r.verdict()
}

// current gives the record of a request, nil where there is none that still counts.
// The caller holds mu.
func (t *Table) current(f Fingerprint, now time.Time) *record {
	r := t.records[f]
	if r == nil || now.Sub(r.seenAt) > EvidenceTTL {
		return nil
	}
	return r
}

func (r *record) verdict() Verdict {
	switch {
	case len(r.crashes) >= crashesToConvict:
		return Convicted
	case len(r.crashes) > 0:
		return Suspected
	default:
		return Clear
	}
}

// Ask says how a request may run now. Evidence that is not nil has to be told
// to the peers: this process took over a suspect whose owner's time is up.
func (t *Table) Ask(f Fingerprint, now time.Time) (Permission, *Evidence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch t.verdict(f, now) {
	case Clear:
		return Unrestricted, nil
	case Convicted:
		return Denied, nil
	}
	r := t.records[f]
	held := &r.crashes[0]
	switch {
	case now.Sub(held.OwnedAt) > ownerTerm:
		held.Owner, held.OwnedAt = t.self, now
		return MustWait, r.evidence(f)
	case held.Owner != t.self || r.trial || now.Sub(held.OwnedAt) < PropagationDelay:
		return MustWait, nil
	default:
		r.trial = true
		return Isolated, nil
	}
}

// Done ends what Ask allowed as Alone.
func (t *Table) Done(f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[f]; r != nil {
		r.trial = false
	}
}

// MayGoOn says whether a try that was let in may still run.
func (t *Table) MayGoOn(f Fingerprint, leave Permission, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	verdict := t.verdict(f, now)
	if leave == Unrestricted || verdict != Suspected {
		return verdict == Clear
	}
	return t.records[f].crashes[0].Owner == t.self
}

// Watch has fn called after each change of the evidence against a request,
// until the returned function is called.
func (t *Table) Watch(f Fingerprint, fn func()) (stop func()) {
	key := &fn
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.watchers[f] == nil {
		t.watchers[f] = map[*func()]bool{}
	}
	t.watchers[f][key] = true
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.watchers[f], key)
		if len(t.watchers[f]) == 0 {
			delete(t.watchers, f)
		}
	}
}

// tell calls the watchers of a request. Call without mu.
func (t *Table) tell(f Fingerprint) {
	t.mu.Lock()
	var all []func()
	for fn := range t.watchers[f] {
		all = append(all, *fn)
	}
	t.mu.Unlock()
	for _, fn := range all {
		fn()
	}
}

// Crashed notes that a target died under the request, and gives the evidence
// to tell the peers.
func (t *Table) Crashed(f Fingerprint, address string, now time.Time) Evidence {
	defer t.tell(f)
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.get(f, now)
	t.add(r, Crash{Address: address, At: now, Owner: t.self, OwnedAt: now})
	return *r.evidence(f)
}

func (r *record) evidence(f Fingerprint) *Evidence {
	return &Evidence{Fingerprint: f, Crashes: append([]Crash(nil), r.crashes...), ClearedAt: r.clearedAt}
}

// Cleared notes that a suspect came back whole, and gives the evidence to tell
// the peers. A conviction stands.
func (t *Table) Cleared(f Fingerprint, now time.Time) Evidence {
	defer t.tell(f)
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.get(f, now)
	r.clear(now)
	return *r.evidence(f)
}

func (r *record) clear(at time.Time) {
	if len(r.crashes) >= crashesToConvict || !at.After(r.clearedAt) {
		return
	}
	r.clearedAt = at
	kept := r.crashes[:0]
	for _, c := range r.crashes {
		if c.At.After(at) {
			kept = append(kept, c)
		}
	}
	r.crashes = kept
}

// MergeEvidence takes in a peer's evidence.
func (t *Table) MergeEvidence(e Evidence, now time.Time) {
	defer t.tell(e.Fingerprint)
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.get(e.Fingerprint, now)
	r.clear(e.ClearedAt)
	for _, c := range e.Crashes {
		t.add(r, c)
	}
}

// get gives the record, a new one in place of one that no longer counts.
func (t *Table) get(f Fingerprint, now time.Time) *record {
	r := t.records[f]
	if r != nil && now.Sub(r.seenAt) > EvidenceTTL {
		*r = record{trial: r.trial}
	}
	if r == nil {
		t.makeRoom()
		r = &record{}
		t.records[f] = r
	}
	r.seenAt = now
	return r
}

func (t *Table) makeRoom() {
	if len(t.records) < maxRecords {
		return
	}
	var oldest Fingerprint
	for f, r := range t.records {
		if oldest == "" || r.seenAt.Before(t.records[oldest].seenAt) {
			oldest = f
		}
	}
	delete(t.records, oldest)
}

// add notes a crash. A clearing that is later than the crash voids it, in
// whatever order the two arrive.
func (t *Table) add(r *record, c Crash) {
	if t.deaths[c.Address].Before(c.At) {
		t.deaths[c.Address] = c.At
	}
	if !c.At.After(r.clearedAt) {
		return
	}
	for i := range r.crashes {
		known := &r.crashes[i]
		if known.Address == c.Address && known.At.Sub(c.At).Abs() < sameCrash {
			known.join(c)
			return
		}
	}
	r.crashes = append(r.crashes, c)
}

// join settles who owns a crash that several processes report: whoever took it
// over last, and of those that claim it at the same time the lesser name.
func (c *Crash) join(other Crash) {
	later := other.OwnedAt.Sub(c.OwnedAt)
	if later >= ownerTerm || (later > -ownerTerm && other.Owner < c.Owner) {
		c.Owner, c.OwnedAt = other.Owner, other.OwnedAt
	}
}

// DiedRecently says whether a target died a short while ago, as far as is known here.
// All processes hear the same deaths, so that they leave out the same targets.
func (t *Table) DiedRecently(address string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, found := t.deaths[address]
	if found && now.Sub(at) >= deathTerm {
		delete(t.deaths, address)
	}
	return found && now.Sub(at) < deathTerm
}

// Report is one row for operators.
type Report struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Verdict     Verdict     `json:"verdict"`
	Crashes     int         `json:"crashes"`
}

// List gives the suspected and convicted requests.
func (t *Table) List(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Report
	for f, r := range t.records {
		if v := r.verdict(); v != Clear && now.Sub(r.seenAt) <= EvidenceTTL {
			list = append(list, Report{Fingerprint: f, Verdict: v, Crashes: len(r.crashes)})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Fingerprint < list[j].Fingerprint })
	return list
}
