// Package suspect finds requests that crash the targets that run them.
//
// When a target crashes with requests in flight, each of them is suspected. Suspects are
// announced to the peers before a second attempt. One process owns a suspect and is the only
// one to run it again, on a target without other suspects, so that a second crash convicts the
// request that caused it and no other. A convicted request is answered at once with its final
// error at every entry VM, under whatever key it is resent.
package suspect

import (
	"hash/fnv"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Fingerprint identifies a request by its content. The caller's idempotency key isn't part of
// it: a caller may resend the same request with a new key.
type Fingerprint string

// FingerprintOf hashes the parts of a request that determine what its targets do.
func FingerprintOf(parts ...string) Fingerprint {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	return Fingerprint(strconv.FormatUint(h.Sum64(), 16))
}

// Crash is the crash of one target while it ran the request.
type Crash struct {
	Address string    `json:"address"`
	At      time.Time `json:"at"`
	// Owner is the process that may run the request again, since OwnedAt.
	Owner   string    `json:"owner"`
	OwnedAt time.Time `json:"owned_at"`
}

// Evidence is what one process knows about a request.
type Evidence struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Crashes     []Crash     `json:"crashes,omitempty"`
	// ClearedAt is when the request last completed while it ran isolated; zero for never.
	// Crashes before it no longer count.
	ClearedAt time.Time `json:"cleared_at,omitzero"`
}

// Verdict is the assessment of a request.
type Verdict string

// The verdicts.
const (
	// Clear: no crash is known.
	Clear Verdict = "clear"
	// Suspected: one target crashed while running it.
	Suspected Verdict = "suspected"
	// Convicted: two targets crashed while running it.
	Convicted Verdict = "convicted"
)

// Permission says how a request may run now.
type Permission string

// The permissions.
const (
	// Unrestricted: like any other request.
	Unrestricted Permission = "free"
	// Isolated: as the only attempt of this suspect, and on a target without another suspect.
	// Table.ReleasePermission ends the permission.
	Isolated Permission = "alone"
	// MustWait: another attempt of it has to end first, in this or another process.
	MustWait Permission = "wait"
	// Denied: it is convicted.
	Denied Permission = "never"
)

const (
	// crashesToConvict is the number of crashes that convict a request.
	crashesToConvict = 2
	// crashDedupWindow is the time within which two reports of the crash of a target count as
	// one: several entry VMs see the same crash.
	crashDedupWindow = time.Second
	// PropagationDelay is how long evidence takes to reach the peers. An owner waits that long
	// before it runs the request again, because another process may be reporting the same
	// crash, or losing a second target to the same request, at that moment.
	PropagationDelay = 100 * time.Millisecond
	// ownershipTimeout is how long a process owns a suspect. Without it, an owner that died or
	// whose caller left would keep an innocent request from running for as long as the
	// evidence counts.
	ownershipTimeout = 30 * time.Second
	// deadTargetTimeout is how long no suspect is sent to a target that crashed.
	deadTargetTimeout = 10 * time.Second
	// EvidenceTTL is how long evidence counts.
	EvidenceTTL = 10 * time.Minute
	// maxRecords limits the table. The oldest record is evicted first.
	maxRecords = 4096
)

// Table holds the evidence that this process has collected and received from its peers.
type Table struct {
	self string

	mu       sync.Mutex // guards the fields below; no other lock is taken while it is held
	records  map[Fingerprint]*record
	deaths   map[string]time.Time // time of the last crash of each target, by address
	watchers map[Fingerprint]map[*func()]bool
}

type record struct {
	crashes   []Crash
	clearedAt time.Time
	// running is set while this process runs the suspect.
	running bool
	seenAt  time.Time
}

// NewTable creates an empty table of the process named self.
func NewTable(self string) *Table {
	return &Table{
		self: self, records: map[Fingerprint]*record{}, deaths: map[string]time.Time{},
		watchers: map[Fingerprint]map[*func()]bool{},
	}
}

// Check returns the verdict on a request.
func (t *Table) Check(f Fingerprint, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.verdict(f, now)
}

// CrashCount returns the number of targets that crashed while running a request.
func (t *Table) CrashCount(f Fingerprint, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.current(f, now); r != nil {
		return len(r.crashes)
	}
	return 0
}

func (t *Table) verdict(f Fingerprint, now time.Time) Verdict {
	r := t.current(f, now)
	if r == nil {
		return Clear
	}
	return r.verdict()
}

// current returns the record of a request; nil if there is none or its evidence has expired.
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

// RequestPermission returns how a request may run now. If the evidence isn't nil, the caller
// must send it to the peers: this process took over a suspect whose owner's time is up.
func (t *Table) RequestPermission(f Fingerprint, now time.Time) (Permission, *Evidence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch t.verdict(f, now) {
	case Clear:
		return Unrestricted, nil
	case Convicted:
		return Denied, nil
	}
	r := t.records[f]
	first := &r.crashes[0]
	switch {
	case now.Sub(first.OwnedAt) > ownershipTimeout:
		first.Owner, first.OwnedAt = t.self, now
		return MustWait, r.evidence(f)
	case first.Owner != t.self || r.running || now.Sub(first.OwnedAt) < PropagationDelay:
		return MustWait, nil
	default:
		r.running = true
		return Isolated, nil
	}
}

// ReleasePermission ends the permission Isolated that RequestPermission granted.
func (t *Table) ReleasePermission(f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[f]; r != nil {
		r.running = false
	}
}

// MayContinue reports whether an attempt that was permitted to run earlier may continue, given
// the evidence received since.
func (t *Table) MayContinue(f Fingerprint, permission Permission, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	verdict := t.verdict(f, now)
	if permission == Unrestricted || verdict != Suspected {
		return verdict == Clear
	}
	return t.records[f].crashes[0].Owner == t.self
}

// Watch registers fn to be called after each change of the evidence on a request, until the
// returned function is called.
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

// notifyWatchers calls the watchers of a request. The caller must not hold mu.
func (t *Table) notifyWatchers(f Fingerprint) {
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

// RecordCrash records that a target crashed while running the request, and returns the
// evidence to send to the peers.
func (t *Table) RecordCrash(f Fingerprint, address string, now time.Time) Evidence {
	defer t.notifyWatchers(f)
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.getOrCreate(f, now)
	t.addCrash(r, Crash{Address: address, At: now, Owner: t.self, OwnedAt: now})
	return *r.evidence(f)
}

func (r *record) evidence(f Fingerprint) *Evidence {
	return &Evidence{Fingerprint: f, Crashes: append([]Crash(nil), r.crashes...), ClearedAt: r.clearedAt}
}

// RecordSuccess records that a suspect completed without a crash, and returns the evidence to
// send to the peers. A conviction remains.
func (t *Table) RecordSuccess(f Fingerprint, now time.Time) Evidence {
	defer t.notifyWatchers(f)
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.getOrCreate(f, now)
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

// MergeEvidence adds the evidence of a peer.
func (t *Table) MergeEvidence(e Evidence, now time.Time) {
	defer t.notifyWatchers(e.Fingerprint)
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.getOrCreate(e.Fingerprint, now)
	r.clear(e.ClearedAt)
	for _, c := range e.Crashes {
		t.addCrash(r, c)
	}
}

// getOrCreate returns the record of a request. It creates one if there is none, and empties
// one whose evidence has expired.
func (t *Table) getOrCreate(f Fingerprint, now time.Time) *record {
	r := t.records[f]
	if r != nil && now.Sub(r.seenAt) > EvidenceTTL {
		*r = record{running: r.running}
	}
	if r == nil {
		t.evictOldest()
		r = &record{}
		t.records[f] = r
	}
	r.seenAt = now
	return r
}

func (t *Table) evictOldest() {
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

// addCrash adds a crash to a record. A later clearing of the request voids it, in whatever
// order the two arrive.
func (t *Table) addCrash(r *record, c Crash) {
	if t.deaths[c.Address].Before(c.At) {
		t.deaths[c.Address] = c.At
	}
	if !c.At.After(r.clearedAt) {
		return
	}
	for i := range r.crashes {
		known := &r.crashes[i]
		if known.Address == c.Address && known.At.Sub(c.At).Abs() < crashDedupWindow {
			known.mergeOwner(c)
			return
		}
	}
	r.crashes = append(r.crashes, c)
}

// mergeOwner decides who owns a crash that several processes report: the process that took it
// over last, or the one with the smaller name if they took it over at the same time.
func (c *Crash) mergeOwner(other Crash) {
	later := other.OwnedAt.Sub(c.OwnedAt)
	if later >= ownershipTimeout || (later > -ownershipTimeout && other.Owner < c.Owner) {
		c.Owner, c.OwnedAt = other.Owner, other.OwnedAt
	}
}

// DiedRecently reports whether a target crashed a short while ago, as far as this process
// knows. All processes receive the same crashes, so they exclude the same targets.
func (t *Table) DiedRecently(address string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, found := t.deaths[address]
	if found && now.Sub(at) >= deadTargetTimeout {
		delete(t.deaths, address)
	}
	return found && now.Sub(at) < deadTargetTimeout
}

// Report is the summary of one request for operators.
type Report struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Verdict     Verdict     `json:"verdict"`
	// Crashes is the number of targets that crashed while running the request.
	Crashes int `json:"crashes"`
}

// List returns the suspected and convicted requests.
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
