package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/serve/revision"
)

// Evacuation is an operator's order to send no more requests to the targets of an availability
// zone. It is in force until it is withdrawn.
type Evacuation struct {
	Zone string
	// Revision of the order. It grows with each change of any order.
	Revision revision.Revision
}

// EvacuationChange is one change of the evacuation orders.
type EvacuationChange struct {
	Evacuation
	// Withdrawn is set if the order was withdrawn.
	Withdrawn bool
}

// evacuations holds the evacuation orders in force. lastChange is the revision of the last change
// to them; synced is the revision up to which all changes are known. The orders are the same at
// every revision between the two.
type evacuations struct {
	byZone map[string]Evacuation
	// lost holds orders that were in force when the store came back from a copy that lacks them, each with the time
	// until which it stays in force unless it is written again.
	lost       map[string]time.Time
	lastChange revision.Revision
	synced     revision.Revision
}

// lostOrderTTL is how long an order stays in force that a restored store has lost. Operators write again what was lost.
const lostOrderTTL = 10 * time.Second

// ApplyEvacuations applies changes in revision order. upTo is the revision up to which the changes
// are complete. Changes that are already known are skipped.
func (t *Table) ApplyEvacuations(changes []EvacuationChange, upTo revision.Revision, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := maps.Clone(t.evacuations.byZone)
	lastChange, lost := t.evacuations.lastChange, t.evacuations.lost
	for _, c := range changes {
		if c.Revision <= t.evacuations.synced {
			continue
		}
		lastChange = max(lastChange, c.Revision)
		lost = withoutZone(lost, c.Zone)
		if c.Withdrawn {
			delete(next, c.Zone)
			continue
		}
		next[c.Zone] = c.Evacuation
	}
	t.setEvacuations(next, lost, lastChange, now)
	t.evacuations.synced = max(t.evacuations.synced, upTo)
}

// ResetEvacuations replaces all orders by the complete list as of a revision. A list older than
// what is known is ignored.
func (t *Table) ResetEvacuations(list []Evacuation, asOf revision.Revision, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if asOf < t.evacuations.synced {
		return
	}
	next := byZone(list)
	lastChange := t.evacuations.lastChange
	// In a new era, also a list that is the same replaces what peers know from the era before.
	if !maps.Equal(next, t.evacuations.byZone) || asOf.Era() > lastChange.Era() {
		lastChange = asOf
	}
	t.setEvacuations(next, t.lostEvacuations(next, asOf, now), lastChange, now)
	t.evacuations.synced = asOf
}

// ResetEvacuationsFromPeer replaces all orders by a peer's, given the revision of their last change
// and the revision up to which the peer knows all changes. It reports whether they were newer than
// those known here; older ones are ignored.
func (t *Table) ResetEvacuationsFromPeer(list []Evacuation, lastChange, upTo revision.Revision, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if lastChange <= t.evacuations.lastChange {
		return false
	}
	next := byZone(list)
	t.setEvacuations(next, t.lostEvacuations(next, lastChange, now), lastChange, now)
	t.evacuations.synced = max(t.evacuations.synced, upTo)
	return true
}

func byZone(list []Evacuation) map[string]Evacuation {
	zones := make(map[string]Evacuation, len(list))
	for _, e := range list {
		zones[e.Zone] = e
	}
	return zones
}

// Evacuations returns the orders in force sorted by zone, the revision of the last change of any
// order, and the revision up to which all changes are known.
func (t *Table) Evacuations() (list []Evacuation, lastChange, upTo revision.Revision) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	list = slices.Collect(maps.Values(t.evacuations.byZone))
	slices.SortFunc(list, func(a, b Evacuation) int { return cmp.Compare(a.Zone, b.Zone) })
	return list, t.evacuations.lastChange, t.evacuations.synced
}

// lostEvacuations returns the orders that stay in force although a list as of a revision lacks them: those that were
// in force when the store came back from a copy. The caller holds mu.
func (t *Table) lostEvacuations(next map[string]Evacuation, asOf revision.Revision, now time.Time) map[string]time.Time {
	lost := map[string]time.Time{}
	keep := func(zone string, until time.Time) {
		if _, found := next[zone]; !found {
			lost[zone] = until
		}
	}
	if before := t.evacuations.synced; before.Era() > 0 && asOf.Era() > before.Era() {
		for zone := range t.evacuations.byZone {
			keep(zone, now.Add(lostOrderTTL))
		}
	}
	for zone, until := range t.evacuations.lost {
		keep(zone, until)
	}
	return lost
}

// sweepLostEvacuations drops the lost orders that haven't been written again in time. The caller holds mu.
func (t *Table) sweepLostEvacuations(now time.Time) {
	kept := t.evacuations.lost
	for zone, until := range t.evacuations.lost {
		if !now.Before(until) {
			kept = withoutZone(kept, zone)
		}
	}
	if len(kept) < len(t.evacuations.lost) {
		t.setEvacuations(t.evacuations.byZone, kept, t.evacuations.lastChange, now)
	}
}

// withoutZone returns the map without a zone. It doesn't change the map.
func withoutZone(lost map[string]time.Time, zone string) map[string]time.Time {
	if _, found := lost[zone]; !found {
		return lost
	}
	kept := maps.Clone(lost)
	delete(kept, zone)
	return kept
}

// setEvacuations replaces the orders in force, and those that are lost. The caller holds mu.
func (t *Table) setEvacuations(next map[string]Evacuation, lost map[string]time.Time, lastChange revision.Revision, now time.Time) {
	before := t.evacuatedZones()
	t.evacuations.byZone, t.evacuations.lost = next, lost
	t.evacuations.lastChange = lastChange
	after := t.evacuatedZones()
	changed := map[string]bool{}
	for zone := range after {
		if !before[zone] {
			changed[zone] = true
			t.log.Warn("Zone is evacuated.", zap.String("zone", zone), zap.Stringer("revision", next[zone].Revision),
				zap.Int("calls_under_way", t.callsByZone()[zone]))
		}
	}
	for zone := range before {
		if !after[zone] {
			changed[zone] = true
			t.log.Info("Zone is back in use.", zap.String("zone", zone), zap.Stringer("revision", lastChange))
		}
	}
	if len(changed) > 0 {
		t.updateEvacuated(changed, now)
	}
}

// evacuatedZones returns the zones that an order evacuates, also a lost one. The caller holds mu.
func (t *Table) evacuatedZones() map[string]bool {
	zones := make(map[string]bool, len(t.evacuations.byZone))
	for zone := range t.evacuations.byZone {
		zones[zone] = true
	}
	for zone := range t.evacuations.lost {
		zones[zone] = true
	}
	return zones
}

// updateEvacuated applies the orders in force to the targets of the given zones. The caller holds
// mu.
func (t *Table) updateEvacuated(zones map[string]bool, now time.Time) {
	touched := changedIDs{}
	for _, targets := range []map[string]*Target{t.byID, t.lapsed} {
		for _, target := range targets {
			if zones[target.Zone] {
				target.setEvacuated(t.evacuated(target.Zone), now)
				touched.add(target)
			}
		}
	}
	t.updateServices(touched)
}

// evacuated reports whether a zone is evacuated. The caller holds mu.
func (t *Table) evacuated(zone string) bool {
	_, found := t.evacuations.byZone[zone]
	_, lost := t.evacuations.lost[zone]
	return found || lost
}

// Zones returns the zones that have targets or are evacuated, sorted.
func (t *Table) Zones() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	zones := map[string]bool{}
	for zone := range t.evacuations.byZone {
		zones[zone] = true
	}
	for _, target := range t.byID {
		zones[target.Zone] = true
	}
	return slices.Sorted(maps.Keys(zones))
}

// CallsByZone returns the number of this process's calls in flight to the targets of each zone.
func (t *Table) CallsByZone() map[string]int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.callsByZone()
}

// callsByZone implements CallsByZone. The caller holds mu.
func (t *Table) callsByZone() map[string]int {
	callsInFlight := map[string]int{}
	for _, targets := range []map[string]*Target{t.byID, t.lapsed} {
		for _, target := range targets {
			callsInFlight[target.Zone] += target.callsInFlight()
		}
	}
	return callsInFlight
}

func (t *Target) setEvacuated(evacuated bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.evacuated && !evacuated {
		t.unobservedUntil = now
	}
	t.evacuated = evacuated
}

// Evacuated reports whether the target's zone is evacuated, so that the target gets no requests.
func (t *Target) Evacuated() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evacuated
}

func (t *Target) callsInFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inFlight
}
