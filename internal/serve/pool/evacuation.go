package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
)

// Evacuation is an operator's order that nothing more be sent to the targets of an
// availability zone. It stands until it is withdrawn.
type Evacuation struct {
	Zone string
	// Revision of the order, growing with each change of any.
	Revision uint64
}

// EvacuationChange is one change of these orders.
type EvacuationChange struct {
	Evacuation
	// Withdrawn tells that the order is gone.
	Withdrawn bool
}

// evacuations are the orders in force. They are as of newest, and of any later
// revision up to revision.
type evacuations struct {
	byZone   map[string]Evacuation
	newest   uint64
	revision uint64
}

// ApplyEvacuations takes in changes in their order and the revision up to which
// they go. Changes that are known already are passed over.
func (t *Table) ApplyEvacuations(changes []EvacuationChange, upTo uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := maps.Clone(t.evacuations.byZone)
	newest := t.evacuations.newest
	for _, c := range changes {
		if c.Revision <= t.evacuations.revision {
			continue
		}
		newest = max(newest, c.Revision)
		if c.Withdrawn {
			delete(next, c.Zone)
			continue
		}
		next[c.Zone] = c.Evacuation
	}
	t.setEvacuations(next, newest, now)
	t.evacuations.revision = max(t.evacuations.revision, upTo)
}

// ResetEvacuations takes in all orders as of a revision.
func (t *Table) ResetEvacuations(list []Evacuation, asOf uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if asOf < t.evacuations.revision {
		return
	}
	next := byZone(list)
	newest := t.evacuations.newest
	if !maps.Equal(next, t.evacuations.byZone) {
		newest = asOf
	}
	t.setEvacuations(next, newest, now)
	t.evacuations.revision = asOf
}

// ResetEvacuationsFromPeer takes in a peer's orders, their newest change and the revision up
// to which the peer knows all. It tells whether they are newer than what is known here.
func (t *Table) ResetEvacuationsFromPeer(list []Evacuation, newest, upTo uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if newest <= t.evacuations.newest {
		return false
	}
	t.setEvacuations(byZone(list), newest, now)
	t.evacuations.revision = max(t.evacuations.revision, upTo)
	return true
}

func byZone(list []Evacuation) map[string]Evacuation {
	zones := make(map[string]Evacuation, len(list))
	for _, e := range list {
		zones[e.Zone] = e
	}
	return zones
}

// Evacuations lists the orders in force by zone, the revision of the last change of
// any, and the revision up to which all changes are known.
func (t *Table) Evacuations() (list []Evacuation, newest, upTo uint64) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	list = slices.Collect(maps.Values(t.evacuations.byZone))
	slices.SortFunc(list, func(a, b Evacuation) int { return cmp.Compare(a.Zone, b.Zone) })
	return list, t.evacuations.newest, t.evacuations.revision
}

// setEvacuations puts orders in force. The caller holds mu.
func (t *Table) setEvacuations(next map[string]Evacuation, newest uint64, now time.Time) {
	before := t.evacuations.byZone
	t.evacuations.byZone = next
	t.evacuations.newest = newest
	changed := map[string]bool{}
	for zone, e := range next {
		if _, known := before[zone]; !known {
			changed[zone] = true
			t.log.Warn("Zone is evacuated.", zap.String("zone", zone), zap.Uint64("revision", e.Revision),
				zap.Int("calls_under_way", t.callsByZone()[zone]))
		}
	}
	for zone := range before {
		if _, kept := next[zone]; !kept {
			changed[zone] = true
			t.log.Info("Zone is back in use.", zap.String("zone", zone), zap.Uint64("revision", newest))
		}
	}
	if len(changed) > 0 {
		t.updateEvacuated(changed, now)
	}
}

// updateEvacuated has the targets of zones follow the orders in force. The caller
// holds mu.
func (t *Table) updateEvacuated(zones map[string]bool, now time.Time) {
	touched := touches{}
	for _, targets := range []map[string]*Target{t.byID, t.lapsed} {
		for _, target := range targets {
			if zones[target.Zone] {
				target.setEvacuated(t.evacuated(target.Zone), now)
				touched.add(target)
			}
		}
	}
	t.refresh(touched)
}

// evacuated tells whether a zone is. The caller holds mu.
func (t *Table) evacuated(zone string) bool {
	_, found := t.evacuations.byZone[zone]
	return found
}

// Zones lists the zones that have targets or are evacuated.
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

// CallsByZone counts this process's calls under way at the targets of each zone.
func (t *Table) CallsByZone() map[string]int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.callsByZone()
}

// callsByZone is CallsByZone. The caller holds mu.
func (t *Table) callsByZone() map[string]int {
	calls := map[string]int{}
	for _, targets := range []map[string]*Target{t.byID, t.lapsed} {
		for _, target := range targets {
			calls[target.Zone] += target.calls()
		}
	}
	return calls
}

func (t *Target) setEvacuated(evacuated bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.evacuated && !evacuated {
		t.away = now
	}
	t.evacuated = evacuated
}

// Evacuated tells whether nothing may be sent to the target because of its zone.
func (t *Target) Evacuated() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evacuated
}

func (t *Target) calls() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inFlight
}
