package pool

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/routing"
	"github.com/vanillagate/vanillagate/internal/serve/revision"
)

// Table holds the targets of all services.
//
// Lock order: Table.mu, then Target.mu, then statements.mu.
type Table struct {
	log      *zap.Logger
	ejection routing.Ejection
	// noConnectBackoff disables the backoff after failed connections.
	noConnectBackoff bool

	mu sync.RWMutex // guards the fields below
	// byID holds the targets in the list. lapsed holds targets whose entries are missing from the
	// list since a store outage; they stay in use for LapsedGracePeriod. services covers both.
	byID     map[string]*Target
	lapsed   map[string]*Target
	services map[string]*service
	// byAddress holds the targets of byID and lapsed by their addresses. Its lists are replaced, not changed.
	byAddress map[string][]*Target
	left      leftVersions
	// startedLate means that targets may have left before this process first had the list, at loadedAt.
	startedLate bool
	loadedAt    time.Time
	// generation grows with every change of a ready set.
	generation uint64
	// synced is the revision up to which all changes are known, lastChange that of the last change
	// to a target: the store's revision also grows with changes of other things. byID is the list
	// at lastChange and at every later revision up to synced.
	synced     revision.Revision
	lastChange revision.Revision
	loaded     bool
	changeLog  changeLog
	// evacuations holds the evacuated zones, whose targets get no requests.
	evacuations evacuations
	// logged counts the target changes of the current apply call that were logged or left out of
	// the log.
	logged int
	// restoring is set while the list of a store that has come back from a copy is applied.
	restoring bool
	// recoveredAt is when the store's list became available again after the last outage, zero if
	// there was none.
	recoveredAt time.Time
	onLeave     []func(*Target)
	members     atomic.Int64
	// onUnreachable is set before the first call, onRateChange before the first Apply.
	onUnreachable []func(*Target)
	onRateChange  func(*Target)
	onLeaving     func(Run)
	// statements holds what runs have stated, also some that aren't in the list.
	statements map[Run]*statements
	// earlierStarts holds the targets whose rows name earlier starts, by ID.
	earlierStarts map[string]*Target
}

// LapsedGracePeriod is how long targets whose entries lapsed during a store outage stay in use,
// counted from the store's recovery. A target whose entry is still missing then is treated as gone.
// The users' bound is about two seconds: a target that did stop must get no requests two seconds
// after its stop was seen. The period is shorter because calls on their way and a late sweep need
// some of that time.
const LapsedGracePeriod = 1650 * time.Millisecond

// New returns an empty table.
func New(log *zap.Logger) *Table {
	return &Table{
		log: log, ejection: defaultEjection(),
		byID: map[string]*Target{}, lapsed: map[string]*Target{}, services: map[string]*service{}, byAddress: map[string][]*Target{}, left: leftVersions{},
		evacuations: evacuations{byZone: map[string]Evacuation{}}, statements: map[Run]*statements{}, earlierStarts: map[string]*Target{},
	}
}

// defaultEjection returns routing's defaults with the ejection of stragglers disabled: the calls
// here differ in size by two orders of magnitude, so the mean of five call times says little.
func defaultEjection() routing.Ejection {
	e := routing.DefaultEjection()
	e.SlowFactor = 1e9
	return e
}

// DisableConnectBackoff keeps sending requests to targets that refuse connections, for
// measurements. Call it before the first Apply.
func (t *Table) DisableConnectBackoff() { t.noConnectBackoff = true }

// OnLeave registers a function that is called with each target that is removed from the list, is
// replaced by a new run or starts to drain. fn must not call the Table. Call it before the first
// Apply.
func (t *Table) OnLeave(fn func(*Target)) { t.onLeave = append(t.onLeave, fn) }

// OnUnreachable registers a function that is called with each target to which no connection could be
// established. Call it before the first Begin.
func (t *Table) OnUnreachable(fn func(*Target)) { t.onUnreachable = append(t.onUnreachable, fn) }

// LastChangeRevision returns the revision of the last known change to a target.
func (t *Table) LastChangeRevision() revision.Revision {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.lastChange
}

// SetMemberCount sets the number of processes that send requests to the targets, this one included.
func (t *Table) SetMemberCount(n int) { t.members.Store(int64(n)) }

// Loaded reports whether the complete list has ever been read.
func (t *Table) Loaded() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.loaded
}

// IsSuperseded reports whether the list has come to name another start of a target under its ID. That may have an earlier
// Born, if the clock of its machine went back.
func (t *Table) IsSuperseded(target *Target) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	current := t.byID[target.ID]
	return current != nil && target.Born != 0 && current.Born != 0 && current.Born != target.Born
}

// ListRecovered records that the list is available again after a store outage, during which entries
// of healthy targets may have lapsed.
func (t *Table) ListRecovered(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recoveredAt = now
}

// Apply applies changes in revision order. upTo is the revision up to which the changes are
// complete. Changes that are already known are skipped: a peer or a repeated read may be behind.
func (t *Table) Apply(changes []Change, upTo revision.Revision, now time.Time) {
	t.mu.Lock()
	unseen := changes[:0:0]
	for _, c := range changes {
		if c.Revision > t.synced {
			unseen = append(unseen, c)
		}
	}
	retired := t.apply(unseen, &t.changeLog, now)
	t.changeLog.trim(len(t.byID), now)
	t.synced = max(t.synced, upTo)
	t.mu.Unlock()
	t.notifyRetired(retired)
}

// Reset replaces the list by the complete one that the store has as of a revision. Targets that are
// not in it are removed.
func (t *Table) Reset(entries []Entry, asOf revision.Revision, now time.Time) {
	t.mu.Lock()
	if asOf < t.synced {
		t.mu.Unlock()
		return
	}
	retired := t.reset(entries, asOf, now)
	t.synced = asOf
	t.mu.Unlock()
	t.notifyRetired(retired)
}

// ResetFromPeer replaces the list by the complete one of peers, which is the store's as of a
// revision; some of its entries may be newer. A list that is no newer than what is known here is
// ignored: removed targets must not come back through a peer that is behind.
func (t *Table) ResetFromPeer(entries []Entry, asOf revision.Revision, now time.Time) {
	t.mu.Lock()
	if t.loaded && asOf <= t.lastChange {
		t.mu.Unlock()
		return
	}
	retired := t.reset(entries, asOf, now)
	t.synced = max(t.synced, asOf)
	t.mu.Unlock()
	t.notifyRetired(retired)
}

// reset replaces the list and returns the targets that left use. The caller holds mu.
func (t *Table) reset(entries []Entry, asOf revision.Revision, now time.Time) []*Target {
	present := make(map[string]bool, len(entries))
	changes := make([]Change, 0, len(entries))
	for _, e := range entries {
		present[e.ID] = true
		changes = append(changes, Change{Entry: e})
	}
	for id := range t.byID {
		if !present[id] {
			changes = append(changes, Change{Entry: Entry{ID: id, Revision: asOf}, Removed: true})
		}
	}
	before := t.lastChange
	if t.loaded && before.Era() > 0 && asOf.Era() > before.Era() {
		t.log.Warn("Store has come back from a copy.", zap.Stringer("before", before), zap.Stringer("revision", asOf))
		// Entries that the copy lacks may be written again, like those that lapse in an outage.
		t.recoveredAt = now
		t.restoring = true
		defer func() { t.restoring = false }()
	}
	retired := t.apply(changes, nil, now)
	// Single entries newer than the list don't make the whole list newer.
	t.lastChange = max(before, asOf)
	t.changeLog.startFrom(t.lastChange)
	if !t.loaded {
		t.loaded, t.loadedAt = true, now
		t.log.Info("List of targets is known.", zap.Int("targets", len(t.byID)), zap.Stringer("revision", asOf))
	}
	return retired
}

func (t *Table) notifyRetired(retired []*Target) {
	for _, target := range retired {
		for _, fn := range t.onLeave {
			fn(target)
		}
	}
}

// apply applies changes and returns the targets that left use. Applied changes are added to history,
// unless it is nil. The caller holds mu.
func (t *Table) apply(changes []Change, history *changeLog, now time.Time) []*Target {
	var retired []*Target
	touched := changedIDs{}
	t.logged = 0
	for _, c := range changes {
		old := t.byID[c.ID]
		t.lastChange = max(t.lastChange, c.Revision)
		if old != nil && old.newestRow() >= c.Revision {
			continue
		}
		if old != nil {
			c.Entry = c.withVersionOf(old.entry)
		}
		intern(&c.Entry)
		if history != nil {
			history.add(c, now)
		}
		touched.add(old)
		if old != nil && isEarlierStart(c, old) {
			t.holdBack(old, c, now)
			continue
		}
		if out := t.applyChange(old, c, now); out != nil {
			retired = append(retired, out)
		}
		touched.add(t.byID[c.ID])
	}
	t.updateServices(touched)
	if t.logged > maxLoggedChanges {
		t.log.Info("More targets changed.", zap.Int("changes", t.logged-maxLoggedChanges), zap.Int("targets", len(t.byID)),
			zap.Stringer("revision", t.lastChange))
	}
	return retired
}

// maxLoggedChanges is the number of changes that one apply call logs individually. Without the
// limit, a release or a mass crash in a large pool would write thousands of lines on each VM.
const maxLoggedChanges = 16

// logChange logs a change of one target, unless the limit is reached. The caller holds mu.
func (t *Table) logChange(message string, fields ...zap.Field) {
	t.logged++
	if t.logged <= maxLoggedChanges {
		t.log.Info(message, fields...)
	}
}

// applyChange applies one change and returns the target that left use because of it, if any. The
// caller holds mu.
func (t *Table) applyChange(old *Target, c Change, now time.Time) *Target {
	switch {
	case c.Removed && old == nil:
		return nil
	case c.Removed:
		return t.remove(old, now)
	case old != nil && sameRun(old.entry, c.Entry):
		return old.update(c.Entry, now)
	}
	if back := t.lapsed[c.ID]; back != nil && sameRun(back.entry, c.Entry) {
		delete(t.lapsed, c.ID)
		t.byID[c.ID] = back
		return back.update(c.Entry, now)
	}
	stated := t.statementsOfNew(Run{ID: c.ID, Born: c.Born, Address: c.Address}, now)
	if c.State == Draining {
		stated.leave(now)
	}
	target := &Target{
		ID: c.ID, Born: c.Born, Service: c.Service, Address: c.Address, Zone: c.Zone, Version: c.Version, hash: routing.RendezvousScore(c.ID), log: t.log, members: &t.members, onRateChange: t.onRateChange, entry: c.Entry,
		evacuated: t.evacuated(c.Zone), coldUntil: now.Add(c.ColdLeft), statements: stated,
		restored: t.pauseAfterRestore(stated, c.Revision, now), displaced: displacement{rowAt: now},
	}
	t.byID[c.ID] = target
	t.addAddress(target)
	if t.loaded { // the first list is logged as a whole
		t.logChange("Target is new.", zap.String("target", c.ID), zap.String("service", c.Service),
			zap.String("address", c.Address), zap.String("version", c.Version), zap.String("state", string(c.State)),
			zap.Bool("leaving", stated.isLeaving()), zap.Stringer("revision", c.Revision))
	}
	if old != nil {
		t.retire(old, now)
	}
	return old
}

// remove removes a target. If its entry lapsed during a store outage, the target stays in use for
// LapsedGracePeriod, since the entry may reappear: otherwise a list that is empty after the outage
// would take every healthy target out of use.
func (t *Table) remove(old *Target, now time.Time) *Target {
	delete(t.byID, old.ID)
	old.mu.Lock()
	lapses := old.entry.State == Ready && !old.statements.isLeaving() && !t.recoveredAt.IsZero() && now.Sub(t.recoveredAt) < LapsedGracePeriod
	if lapses {
		old.lapsesAt = t.recoveredAt.Add(LapsedGracePeriod)
	}
	old.mu.Unlock()
	if lapses {
		if earlier := t.lapsed[old.ID]; earlier != nil {
			t.retire(earlier, now) // another run, which nothing else holds any more
		}
		t.lapsed[old.ID] = old
		t.log.Warn("Target's entry lapsed while the list was away.", zap.String("target", old.ID))
		return nil
	}
	t.retire(old, now)
	t.logChange("Target was removed.", zap.String("target", old.ID), zap.String("service", old.Service))
	return old
}

// update applies a new entry of the same run. It returns the target if it starts to drain. A target that
// leaves doesn't become ready again in the same run.
func (target *Target) update(e Entry, now time.Time) *Target {
	target.mu.Lock()
	defer target.mu.Unlock()
	began := e.State == Draining && target.statements.leave(now)
	if target.entry.State == Draining {
		e.State = Draining
	}
	if e.Revision.Version() > target.entry.Revision.Version() {
		target.restored = pause{} // the entry has been written since
	}
	target.entry = e
	target.displaced.rowChanged(now)
	target.earlier = earlierStart{}
	target.coldUntil = now.Add(e.ColdLeft)
	target.lapsesAt = time.Time{}
	if began {
		return target
	}
	return nil
}

// entryForPeers returns the target's entry as it is sent to peers: with the remaining cold time as
// of now.
func (target *Target) entryForPeers(now time.Time) Entry {
	target.mu.Lock()
	defer target.mu.Unlock()
	if target.earlier.entry.Revision > target.entry.Revision {
		return target.earlier.entry // the row that the list has
	}
	e := target.entry
	e.ColdLeft = max(target.coldUntil.Sub(now), 0)
	return e
}

func (target *Target) markGone() {
	target.mu.Lock()
	defer target.mu.Unlock()
	target.gone = true
}

// Sweep drops the lapsed targets whose entries didn't reappear in time. It returns the number of
// those that may still reappear.
func (t *Table) Sweep(now time.Time) int {
	t.mu.Lock()
	var retired []*Target
	touched := changedIDs{}
	for id, target := range t.lapsed {
		if target.mayReturn(now) {
			continue
		}
		delete(t.lapsed, id)
		t.retire(target, now)
		touched.add(target)
		retired = append(retired, target)
		t.log.Info("Lapsed target was dropped: its entry did not reappear.", zap.String("target", id))
	}
	retired = append(retired, t.adoptEarlierStarts(touched, now)...)
	t.updateServices(touched)
	t.sweepStatements(now)
	t.sweepLostEvacuations(now)
	lapsed := len(t.lapsed)
	t.mu.Unlock()
	t.notifyRetired(retired)
	return lapsed
}

// updateServices updates the per-service lists for the changed targets. The caller holds mu.
func (t *Table) updateServices(touched changedIDs) {
	for name, ids := range touched {
		s := t.services[name]
		if s == nil {
			s = &service{ready: &ReadySet{}}
		}
		t.services[name] = s.withChanges(ids, func(id string) *Target {
			for _, target := range []*Target{t.byID[id], t.lapsed[id]} {
				if target != nil && target.Service == name {
					return target
				}
			}
			return nil
		})
		t.generation++
	}
}

// ReadySet returns the ready targets of a service.
func (t *Table) ReadySet(service string) *ReadySet {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if s := t.services[service]; s != nil {
		return s.ready
	}
	return &ReadySet{}
}

// Generation returns a number that grows with every change of a ready set.
func (t *Table) Generation() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.generation
}

// Views returns the targets of a service that may get requests now. An ejected target has Weight 0.
func (t *Table) Views(service string, now time.Time) []View {
	return t.ViewsOf(t.targetsOf(service), now)
}

func (t *Table) targetsOf(service string) []*Target {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if s := t.services[service]; s != nil {
		return s.targets
	}
	return nil
}

// Candidates returns targets of a service that may get a request now. For a large service they are
// a group chosen by name, the same in all processes: examining thousands of targets for each
// request costs more than the better choice is worth. If no target of the group may get requests,
// Candidates returns those of the whole service. all reports whether the whole service was
// examined.
func (t *Table) Candidates(service, name string, now time.Time) (views []View, all bool) {
	t.mu.RLock()
	var group []*Target
	if s := t.services[service]; s != nil {
		group = s.group(name)
		all = len(group) == len(s.targets)
	}
	t.mu.RUnlock()
	if views = t.ViewsOf(group, now); len(views) > 0 || all {
		return views, all
	}
	return t.Views(service, now), true
}

// Count holds the target counts of a service.
type Count struct {
	// Usable targets may get requests now. Of these, Out are ejected after failures, Cold report
	// themselves as cold, and RateLimited have stated a request rate.
	Usable, Out, Cold, RateLimited int
	// Leaving targets have said that they leave. Resting ones want no requests from this process for some time.
	// Rejecting ones have only rejected the latest requests.
	Leaving, Resting, Rejecting int
	// Displaced targets get no requests because another one answers at their address.
	Displaced int
	// Calls is the number of this process's calls in flight to the usable targets.
	Calls int
}

// Count returns the target counts of a service.
func (t *Table) Count(service string, now time.Time) Count {
	var c Count
	for _, target := range t.targetsOf(service) {
		target.statements.addTo(&c, now)
		if target.isDisplaced(now) {
			c.Displaced++
		}
		if !target.usable(now) {
			continue
		}
		v := target.view(now, t.ejection)
		c.Usable++
		c.Calls += v.InFlight
		if v.Weight == 0 {
			c.Out++
		}
		if now.Before(v.ColdUntil) {
			c.Cold++
		}
		if v.RateLimit > 0 {
			c.RateLimited++
		}
	}
	return c
}

// ViewsOf returns views of those of the given targets that may get requests now.
func (t *Table) ViewsOf(targets []*Target, now time.Time) []View {
	views := make([]View, 0, len(targets))
	for _, target := range targets {
		if target.usable(now) {
			views = append(views, target.view(now, t.ejection))
		}
	}
	return views
}

// ByAddress returns the target of a service at an address; nil if there is none. If several entries name the address,
// one whose target isn't known to be elsewhere is preferred.
func (t *Table) ByAddress(service, address string) *Target {
	t.mu.RLock()
	all := t.byAddress[address]
	t.mu.RUnlock()
	var found *Target
	for _, target := range all {
		if target.Service == service && (found == nil || found.isDisplaced(time.Now())) {
			found = target
		}
	}
	return found
}

// Find returns the target of a service with an ID; nil if there is none.
func (t *Table) Find(service, id string) *Target {
	targets := t.targetsOf(service)
	at, found := slices.BinarySearchFunc(targets, id, func(t *Target, id string) int { return cmp.Compare(t.ID, id) })
	if !found {
		return nil
	}
	return targets[at]
}

// Entries returns the entries of the store's list in no particular order and the revision as of
// which they are, for peers that don't have the list.
func (t *Table) Entries(now time.Time) (list []Entry, asOf revision.Revision) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	list = make([]Entry, 0, len(t.byID))
	for _, target := range t.byID {
		list = append(list, target.entryForPeers(now))
	}
	return list, t.lastChange
}

// ChangesSince returns the changes of the list after a revision, and the revision that they lead
// to. known is false if some of these changes are no longer kept.
func (t *Table) ChangesSince(from revision.Revision, now time.Time) (list []Change, asOf revision.Revision, known bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	list, known = t.changeLog.since(from, now)
	return list, t.lastChange, known
}

// SyncedRevision returns the revision up to which all changes are known.
func (t *Table) SyncedRevision() revision.Revision {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.synced
}

// Begin records the start of a call to a target. tokens is the prompt's length, 0 for calls without
// a prompt.
func (t *Table) Begin(target *Target, tokens int, now time.Time) *Call {
	target.mu.Lock()
	defer target.mu.Unlock()
	target.inFlight++
	target.tokens += tokens
	return &Call{target: target, table: t, tokens: tokens, started: now}
}

// failureWeight is the weight of one call in the moving average of failures: about the last eight
// calls determine it.
const failureWeight = 0.125

func (t *Table) ended(c *Call, outcome Outcome, now time.Time) {
	t.recordOutcome(c, outcome, now)
	switch outcome {
	case Answered:
		t.answeredAtAddress(c.target, c.started, now)
	case Misdirected:
		t.recordMisdirected(c.target, now)
	case Failed:
		t.ejectIfFailing(c.target, now)
	case Unreachable:
		for _, fn := range t.onUnreachable {
			fn(c.target)
		}
	}
}

func (t *Table) recordOutcome(c *Call, outcome Outcome, now time.Time) {
	target := c.target
	target.mu.Lock()
	defer target.mu.Unlock()
	target.inFlight--
	target.tokens -= c.tokens
	c.tokens = 0
	switch outcome {
	case Unreachable:
		if !t.noConnectBackoff {
			target.backOff(now)
		}
	case Full:
		target.countRejection(true, now)
	case Refused:
		target.countRejection(false, now)
	case Answered:
		target.connectBackoff = 0
		target.countAnswer()
		target.health.FailuresInRow = 0
		target.failureRate -= failureWeight * target.failureRate
	case Failed:
		target.health.FailuresInRow++
		target.failureRate += failureWeight * (1 - target.failureRate)
	}
}

// ejectIfFailing ejects a target that has failed too often, unless too many targets of its service
// are already out of use.
func (t *Table) ejectIfFailing(target *Target, now time.Time) {
	if !target.wouldEject(t.ejection, now) {
		return
	}
	count := t.Count(target.Service, now)
	target.mu.Lock()
	defer target.mu.Unlock()
	reason := t.ejection.EjectReason(target.health, 0, count.Out, count.Usable)
	if reason == routing.ReasonNone || now.Before(target.health.EjectedUntil) {
		return
	}
	target.health = t.ejection.Eject(target.health, now)
	t.log.Warn("Target out of use.", zap.String("target", target.ID), zap.String("service", target.Service),
		zap.String("reason", string(reason)), zap.Duration("for", target.health.EjectedUntil.Sub(now)))
}

// wouldEject reports whether a target would be ejected if no other target of its service were out
// of use.
func (target *Target) wouldEject(e routing.Ejection, now time.Time) bool {
	target.mu.Lock()
	defer target.mu.Unlock()
	return !now.Before(target.health.EjectedUntil) && e.EjectReason(target.health, 0, 0, math.MaxInt) != routing.ReasonNone
}
