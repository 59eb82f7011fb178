package pool

import "time"

// pause is a time during which a target gets no requests. The zero value has ended.
type pause struct {
	until  time.Time
	length time.Duration
}

// extend makes the pause last for a time from now on, unless it already lasts longer.
func (p *pause) extend(now time.Time, length time.Duration) {
	if until := now.Add(length); until.After(p.until) {
		*p = pause{until: until, length: length}
	}
}

// Opening is when a service's targets take requests again.
type Opening struct {
	// Wait is the time until the first of them does; 0 if one does now.
	Wait time.Duration
	// Length is how long that target has taken none by then.
	Length time.Duration
}

// availability returns when this process may send the target the next request, as far as the target itself and the
// list say: after the pause returned, or never if ever is false. The caller holds mu.
func (t *Target) availability(now time.Time) (p pause, ever bool) {
	s := t.statements
	s.mu.Lock()
	defer s.mu.Unlock()
	lapsed := !t.lapsesAt.IsZero() && !now.Before(t.lapsesAt)
	if t.gone || s.leaving || t.earlier.leaving || t.entry.State != Ready || t.evacuated || lapsed {
		return pause{}, false
	}
	p = later(t.restored, s.rest)
	p = later(p, t.displaced.pause)
	p = later(p, s.streak.pause)
	return later(p, s.rejections.pauseAt(now)), true
}

func later(a, b pause) pause {
	if b.until.After(a.until) {
		return b
	}
	return a
}

// Declines reports whether the target takes no request from this process now. It is checked again right before a
// request is written: since the choice, the target may have said so to another request.
func (t *Target) Declines(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ever := t.availability(now)
	return !ever || now.Before(p.until)
}

// next returns the pause after which the target gets requests again. In addition to availability, this process
// doesn't call a target to which it could not connect for some time. The caller holds mu.
func (t *Target) next(now time.Time) (p pause, ever bool) {
	p, ever = t.availability(now)
	return later(p, pause{until: t.connectRetryAt, length: t.connectBackoff}), ever
}

func (t *Target) usable(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ever := t.next(now)
	return ever && !now.Before(p.until)
}

// NextOpening returns when the first target of a service takes requests again. It looks only at the targets for
// which eligible returns true. known is false if none of them will as far as is known.
func (t *Table) NextOpening(service string, now time.Time, eligible func(*Target) bool) (o Opening, known bool) {
	return OpeningOf(t.targetsOf(service), now, eligible)
}

// OpeningOf is NextOpening for a list of targets.
func OpeningOf(targets []*Target, now time.Time, eligible func(*Target) bool) (o Opening, known bool) {
	for _, target := range targets {
		if !eligible(target) {
			continue
		}
		target.mu.Lock()
		p, ever := target.next(now)
		target.mu.Unlock()
		if wait := max(p.until.Sub(now), 0); ever && (!known || wait < o.Wait) {
			o, known = Opening{Wait: wait, Length: p.length}, true
		}
	}
	return o, known
}

// AnyTarget makes NextOpening look at all targets.
func AnyTarget(*Target) bool { return true }
