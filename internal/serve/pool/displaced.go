package pool

import (
	"slices"
	"time"

	"go.uber.org/zap"
)

// An address belongs to one target. If two entries name it, at most one of them is right: the other one was left by a
// target that is gone, or by another writer.

const (
	// minDisplacedPause and maxDisplacedPause limit how long a target gets no requests after another one has answered
	// in its place. The pause doubles until the target answers itself, or its entry changes.
	minDisplacedPause = time.Second
	maxDisplacedPause = time.Minute
	// sharedAddressPause is the pause of a target at whose address another one answers. It is far longer than the time
	// between two answers of a target in use.
	sharedAddressPause = 30 * time.Second
)

// displacement is what answers tell of whether a target is at its address. The zero value knows nothing.
type displacement struct {
	pause pause
	// rowAt is when the target's entry was last received, answeredAt when the target last answered.
	rowAt, answeredAt time.Time
}

// misdirected records that another target has answered in this one's place. Requests that were sent before the pause
// don't lengthen it. It reports whether that is new.
func (d *displacement) misdirected(now time.Time) (began bool) {
	if now.Before(d.pause.until) {
		return false
	}
	began = d.pause.length == 0
	length := min(max(2*d.pause.length, minDisplacedPause), maxDisplacedPause)
	d.pause = pause{until: now.Add(length), length: length}
	return began
}

// answered records that the target has answered.
func (d *displacement) answered(now time.Time) { d.pause, d.answeredAt = pause{}, now }

// otherAnswered records that another target has answered at the address to a request that was sent at sentAt. That
// proves nothing if this target's entry came, or it answered, after that. It reports whether it is new.
func (d *displacement) otherAnswered(sentAt, now time.Time) (began bool) {
	if !d.rowAt.Before(sentAt) || !d.answeredAt.Before(sentAt) {
		return false
	}
	began = d.pause.length == 0
	d.pause.extend(now, sharedAddressPause)
	return began
}

// rowChanged records that the target's entry has changed.
func (d *displacement) rowChanged(now time.Time) {
	*d = displacement{rowAt: now, answeredAt: d.answeredAt}
}

// addAddress records the address of a target that comes into use. The caller holds mu.
func (t *Table) addAddress(target *Target) {
	t.byAddress[target.Address] = append(t.byAddress[target.Address], target)
}

// removeAddress removes a target that was added. The caller holds mu.
func (t *Table) removeAddress(target *Target) {
	// A new list, since others may be reading this one.
	kept := slices.DeleteFunc(slices.Clone(t.byAddress[target.Address]), func(other *Target) bool { return other == target })
	if len(kept) == 0 {
		delete(t.byAddress, target.Address)
		return
	}
	t.byAddress[target.Address] = kept
}

// answeredAtAddress records that a target has answered a request that was sent at sentAt, and that others whose
// entries name its address don't have it.
func (t *Table) answeredAtAddress(target *Target, sentAt, now time.Time) {
	target.mu.Lock()
	target.displaced.answered(now)
	target.mu.Unlock()
	t.mu.RLock()
	all := t.byAddress[target.Address]
	t.mu.RUnlock()
	if len(all) < 2 {
		return
	}
	for _, other := range all {
		if other == target {
			continue
		}
		other.mu.Lock()
		began := other.displaced.otherAnswered(sentAt, now)
		other.mu.Unlock()
		if began {
			t.logDisplaced(other)
		}
	}
}

// recordMisdirected records that another target has answered in a target's place.
func (t *Table) recordMisdirected(target *Target, now time.Time) {
	target.mu.Lock()
	began := target.displaced.misdirected(now)
	target.mu.Unlock()
	if began {
		t.logDisplaced(target)
	}
}

func (t *Table) logDisplaced(target *Target) {
	t.log.Warn("Target isn't at the address in its entry; another one is.", zap.String("target", target.ID),
		zap.String("service", target.Service), zap.String("address", target.Address), zap.Stringer("revision", target.lastRow()))
}

// isDisplaced reports whether the target gets no requests because another one is at its address.
func (t *Target) isDisplaced(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.displaced.pause.until)
}
