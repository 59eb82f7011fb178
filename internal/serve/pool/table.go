package pool

import (
	"math"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/routing"
)

// Table holds the targets of all services.
//
// Lock order: Table.mu, then Target.mu.
type Table struct {
	log      *zap.Logger
	ejection routing.Ejection
	// keepTrying means that targets that take no connection aren't left alone.
	keepTrying bool

	mu sync.RWMutex // guards what follows
	// byID is what the list says, lapsed what it lacks since an outage and is
	// used on for a while; services has both.
	byID     map[string]*Target
	lapsed   map[string]*Target
	services map[string]*service
	// generation grows with every change of a ready set.
	generation uint64
	// revision up to which all changes are known, newest that of the last change
	// itself: the list's revision grows with changes of other things too. byID is
	// the list as of newest, and any later revision up to revision.
	revision uint64
	newest   uint64
	known    bool
	recent   recent
	// evacuations are the zones whose targets get nothing.
	evacuations evacuations
	// logged is how many changes of those that are being taken in were logged or left out.
	logged int
	// backAt is when the list came back after an outage, zero outside one's
	// aftermath.
	backAt  time.Time
	onLeave []func(*Target)
}

// LapsedGracePeriod is how long entries that lapsed while the list was away may take
// to come back. The users' bound is about two seconds; what is still missing
// then is gone. One that has left after all must get nothing two seconds after
// its end was seen, so that a call on its way and a late look need some of that.
const LapsedGracePeriod = 1650 * time.Millisecond

// New makes an empty table.
func New(log *zap.Logger) *Table {
	return &Table{
		log: log, ejection: defaultEjection(),
		byID: map[string]*Target{}, lapsed: map[string]*Target{}, services: map[string]*service{},
		evacuations: evacuations{byZone: map[string]Evacuation{}},
	}
}

// defaultEjection is the product's, but for stragglers: calls here differ in
// size by two orders of magnitude, so that a mean over five of them says little.
func defaultEjection() routing.Ejection {
	e := routing.DefaultEjection()
	e.SlowFactor = 1e9
	return e
}

// DisableConnectBackoff has targets that take no connection tried on, for measurements. Call
// before the first Apply.
func (t *Table) DisableConnectBackoff() { t.keepTrying = true }

// OnLeave has fn called with each target that leaves the list, starts anew or
// begins to drain. fn must not call the Table. Call before the first Apply.
func (t *Table) OnLeave(fn func(*Target)) { t.onLeave = append(t.onLeave, fn) }

// LastChangeRevision is the revision of the last change known.
func (t *Table) LastChangeRevision() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.newest
}

// Loaded tells whether a whole list was ever read.
func (t *Table) Loaded() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.known
}

// ListRecovered notes that the list answers again after an outage, in which entries
// of sound targets may have lapsed.
func (t *Table) ListRecovered(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.backAt = now
}

// Apply takes in changes in their order and the revision up to which they go.
// Older ones than those known are passed over: a peer or a reread may be behind.
func (t *Table) Apply(changes []Change, upTo uint64, now time.Time) {
	t.mu.Lock()
	fresh := changes[:0:0]
	for _, c := range changes {
		if c.Revision > t.revision {
			fresh = append(fresh, c)
		}
	}
	left := t.apply(fresh, &t.recent, now)
	t.recent.trim(len(t.byID), now)
	t.revision = max(t.revision, upTo)
	t.mu.Unlock()
	t.tell(left)
}

// Reset takes in the whole list as of a revision, as the store has it: what
// isn't in it is gone.
func (t *Table) Reset(entries []Entry, asOf uint64, now time.Time) {
	t.mu.Lock()
	if asOf < t.revision {
		t.mu.Unlock()
		return
	}
	left := t.reset(entries, asOf, now)
	t.revision = asOf
	t.mu.Unlock()
	t.tell(left)
}

// ResetFromPeer takes in peers' whole list, which is the store's as of a revision; parts of it
// may be newer. One that is no newer than what is known here is passed over: what has gone
// must not come back by a peer that is behind.
func (t *Table) ResetFromPeer(entries []Entry, asOf uint64, now time.Time) {
	t.mu.Lock()
	if t.known && asOf <= t.newest {
		t.mu.Unlock()
		return
	}
	left := t.reset(entries, asOf, now)
	t.revision = max(t.revision, asOf)
	t.mu.Unlock()
	t.tell(left)
}

// reset returns the targets that got out of use. The caller holds mu.
func (t *Table) reset(entries []Entry, asOf uint64, now time.Time) []*Target {
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
	before := t.newest
	left := t.apply(changes, nil, now)
	// Entries that are newer than the rest of the list don't make the whole newer.
	t.newest = max(before, asOf)
	t.recent.restart(t.newest)
	if !t.known {
		t.known = true
		t.log.Info("List of targets is known.", zap.Int("targets", len(t.byID)), zap.Uint64("revision", asOf))
	}
	return left
}

func (t *Table) tell(left []*Target) {
	for _, target := range left {
		for _, fn := range t.onLeave {
			fn(target)
		}
	}
}

// apply returns the targets that got out of use. What is taken in is kept for peers, if
// kept isn't nil. The caller holds mu.
func (t *Table) apply(changes []Change, kept *recent, now time.Time) []*Target {
	var left []*Target
	touched := touches{}
	t.logged = 0
	for _, c := range changes {
		old := t.byID[c.ID]
		t.newest = max(t.newest, c.Revision)
		if old != nil && (old.entry.Revision >= c.Revision || earlierRun(c, old)) {
			continue
		}
		intern(&c.Entry)
		if kept != nil {
			kept.add(c, now)
		}
		touched.add(old)
		if out := t.change(old, c, now); out != nil {
			left = append(left, out)
		}
		touched.add(t.byID[c.ID])
	}
	t.refresh(touched)
	if t.logged > mostLogged {
		t.log.Info("More targets have changed.", zap.Int("changes", t.logged-mostLogged), zap.Int("targets", len(t.byID)),
			zap.Uint64("revision", t.newest))
	}
	return left
}

// mostLogged is how many changes that are taken in at once are logged one by one. A release
// or a herd of crashes in a large pool would else write thousands of lines on each VM.
const mostLogged = 16

// logChange logs a change of one target. The caller holds mu.
func (t *Table) logChange(message string, fields ...zap.Field) {
	t.logged++
	if t.logged <= mostLogged {
		t.log.Info(message, fields...)
	}
}

// earlierRun tells whether a change is of a run before the one that is known: a
// report may be delayed on its way to the store until its target has started
// again, and names an address that it no longer has.
func earlierRun(c Change, known *Target) bool {
	return !c.Removed && c.Born != 0 && c.Born < known.Born
}

// change applies one change and returns the target that got out of use by it,
// if any. The caller holds mu.
func (t *Table) change(old *Target, c Change, now time.Time) *Target {
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
	t.byID[c.ID] = &Target{
		ID: c.ID, Born: c.Born, Service: c.Service, Address: c.Address, Zone: c.Zone, hash: routing.RendezvousScore(c.ID), entry: c.Entry,
		evacuated: t.evacuated(c.Zone), coldUntil: now.Add(c.ColdLeft),
	}
	if t.known { // the first list is logged as a whole
		t.logChange("Target is new.", zap.String("target", c.ID), zap.String("service", c.Service),
			zap.String("address", c.Address), zap.String("state", string(c.State)), zap.Uint64("revision", c.Revision))
	}
	if old != nil {
		old.leave()
	}
	return old
}

// remove takes a target out. One whose entry lapsed while the list was away is
// used on for the time in which its entry may come back: a list that returns
// empty would else take every sound target out of use.
func (t *Table) remove(old *Target, now time.Time) *Target {
	delete(t.byID, old.ID)
	old.mu.Lock()
	lapses := old.entry.State == Ready && !t.backAt.IsZero() && now.Sub(t.backAt) < LapsedGracePeriod
	if lapses {
		old.lapsesAt = t.backAt.Add(LapsedGracePeriod)
	}
	old.mu.Unlock()
	if lapses {
		t.lapsed[old.ID] = old
		t.log.Warn("Target's entry lapsed while the list was away.", zap.String("target", old.ID))
		return nil
	}
	old.leave()
	t.logChange("Target is gone.", zap.String("target", old.ID), zap.String("service", old.Service))
	return old
}

// update takes in a new entry of the same run and returns the target if it
// begins to drain.
func (target *Target) update(e Entry, now time.Time) *Target {
	target.mu.Lock()
	defer target.mu.Unlock()
	began := target.entry.State == Ready && e.State != Ready
	// What has said that it leaves doesn't come back in the same run.
	if target.entry.State == Draining {
		e.State = Draining
	}
	target.entry = e
	target.coldUntil = now.Add(e.ColdLeft)
	target.lapsesAt = time.Time{}
	if began {
		return target
	}
	return nil
}

// told is the target's entry as peers are told of it.
func (target *Target) told(now time.Time) Entry {
	target.mu.Lock()
	defer target.mu.Unlock()
	e := target.entry
	e.ColdLeft = max(target.coldUntil.Sub(now), 0)
	return e
}

func (target *Target) leave() {
	target.mu.Lock()
	defer target.mu.Unlock()
	target.gone = true
}

// Sweep drops the targets whose entries didn't come back in time, and tells how many may
// still come back.
func (t *Table) Sweep(now time.Time) int {
	t.mu.Lock()
	var left []*Target
	touched := touches{}
	for id, target := range t.lapsed {
		if target.mayReturn(now) {
			continue
		}
		delete(t.lapsed, id)
		target.leave()
		touched.add(target)
		left = append(left, target)
		t.log.Info("Target's entry didn't come back.", zap.String("target", id))
	}
	t.refresh(touched)
	lapsed := len(t.lapsed)
	t.mu.Unlock()
	t.tell(left)
	return lapsed
}

// refresh brings the lists of services up to date with the targets touched. The caller
// holds mu.
func (t *Table) refresh(touched touches) {
	for name, ids := range touched {
		s := t.services[name]
		if s == nil {
			s = &service{ready: &ReadySet{}}
		}
		t.services[name] = s.with(ids, func(id string) *Target {
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

// ReadySet gives the targets of a service that are ready.
func (t *Table) ReadySet(service string) *ReadySet {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if s := t.services[service]; s != nil {
		return s.ready
	}
	return &ReadySet{}
}

// Generation grows with every change of a ready set.
func (t *Table) Generation() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.generation
}

// Views lists the targets of a service that may get work now. One that failed
// too often has Weight 0.
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

// Candidates lists targets of a service that may get some work now. Of a large service
// they are a part, chosen by a name that all processes choose alike by: looking at all
// of thousands for each request costs more than a better choice among them is worth.
// Where nobody in that part may get work they are all, which all tells.
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

// Count is how many targets of a service there are.
type Count struct {
	// Usable ones may get work now; of these Out failed too often, and Cold are so by
	// their own word.
	Usable, Out, Cold int
	// Calls are this process's calls under way at them.
	Calls int
}

// Count counts the targets of a service.
func (t *Table) Count(service string, now time.Time) Count {
	var c Count
	for _, target := range t.targetsOf(service) {
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
	}
	return c
}

// ViewsOf lists those of some targets that may get work now.
func (t *Table) ViewsOf(targets []*Target, now time.Time) []View {
	views := make([]View, 0, len(targets))
	for _, target := range targets {
		if target.usable(now) {
			views = append(views, target.view(now, t.ejection))
		}
	}
	return views
}

// ByAddress finds the target of a service at an address that may be used; nil
// where there is none.
func (t *Table) ByAddress(service, address string) *Target {
	for _, target := range t.targetsOf(service) {
		if target.Address == address {
			return target
		}
	}
	return nil
}

// Entries lists what the store's list holds, in no order, and the revision as of which it
// does, for peers that don't know it.
func (t *Table) Entries(now time.Time) (list []Entry, asOf uint64) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	list = make([]Entry, 0, len(t.byID))
	for _, target := range t.byID {
		list = append(list, target.told(now))
	}
	return list, t.newest
}

// ChangesSince lists the changes of the list after a revision, and the revision as of which
// it is then. known is false where not all of them are.
func (t *Table) ChangesSince(revision uint64, now time.Time) (list []Change, asOf uint64, known bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	list, known = t.recent.since(revision, now)
	return list, t.newest, known
}

// SyncedRevision is the revision up to which all changes are known.
func (t *Table) SyncedRevision() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.revision
}

// Begin notes a call at a target. tokens is its prompt's length, 0 for calls
// without one.
func (t *Table) Begin(target *Target, tokens int, now time.Time) *Call {
	target.mu.Lock()
	defer target.mu.Unlock()
	target.inFlight++
	target.tokens += tokens
	return &Call{target: target, table: t, tokens: tokens, started: now}
}

// failureWeight is how much one call counts in the moving share of failures:
// about the last eight calls decide.
const failureWeight = 0.125

func (t *Table) ended(c *Call, outcome Outcome, now time.Time) {
	t.note(c, outcome, now)
	if outcome == Failed {
		t.judge(c.target, now)
	}
}

func (t *Table) note(c *Call, outcome Outcome, now time.Time) {
	target := c.target
	target.mu.Lock()
	defer target.mu.Unlock()
	target.inFlight--
	target.tokens -= c.tokens
	c.tokens = 0
	switch outcome {
	case Unreachable:
		if !t.keepTrying {
			target.unreachable(now)
		}
	case Answered:
		target.downFor = 0
		target.health.FailuresInRow = 0
		target.failing -= failureWeight * target.failing
	case Failed:
		target.health.FailuresInRow++
		target.failing += failureWeight * (1 - target.failing)
	}
}

// judge takes a target out of use that has failed too often, unless too many of
// its service are out of use already.
func (t *Table) judge(target *Target, now time.Time) {
	if !target.suspicious(t.ejection, now) {
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

// suspicious tells whether a target would be ejected if its service had targets
// to spare.
func (target *Target) suspicious(e routing.Ejection, now time.Time) bool {
	target.mu.Lock()
	defer target.mu.Unlock()
	return !now.Before(target.health.EjectedUntil) && e.EjectReason(target.health, 0, 0, math.MaxInt) != routing.ReasonNone
}
