package crashes

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/wait"
)

// Register keeps convictions outside of the processes. Operators lift a conviction by removing it there.
type Register interface {
	// Load returns all convictions kept, and the era of the register. A register that comes back from a copy, without
	// what was written since or with what was removed since, is in a later era.
	Load(ctx context.Context) (list []Conviction, era uint64, err error)
	// Save keeps a conviction, Remove removes one.
	Save(ctx context.Context, c Conviction) error
	Remove(ctx context.Context, c Conviction) error
}

const (
	// keepPeriod is how often a collector saves new convictions, loadPeriod how often it reads the register.
	keepPeriod = time.Second
	loadPeriod = time.Minute
	// settleTime is how long after its start a process can't be a collector for this: it doesn't know all
	// members.
	settleTime = 1500 * time.Millisecond
	// firstLoads is how often a process tries to read the register at its start.
	firstLoads = 5
	// registerTimeout limits the calls of the register in one period.
	registerTimeout = 2 * time.Second
)

// keeper keeps the convictions of a collector in the register. Its methods but add are called by one
// goroutine.
type keeper struct {
	log      *zap.Logger
	register Register
	// kept are the convictions that are known to be in the register, by key.
	kept     map[string]Conviction
	loadedAt time.Time
	// era is that of the register when it was last read.
	era uint64

	mu sync.Mutex // guards pending; no other lock is taken while it is held
	// pending are the convictions that wait to be saved, or removed, by key.
	pending map[string]Conviction
}

func newKeeper(log *zap.Logger, register Register) *keeper {
	return &keeper{log: log, register: register, kept: map[string]Conviction{}, pending: map[string]Conviction{}}
}

// add has a conviction saved, or removed if it is lifted.
func (k *keeper) add(c Conviction) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.register != nil && len(k.pending) < maxConvictions {
		k.pending[c.Key()] = c
	}
}

// forget forgets what the register holds: another process is the collector.
func (k *keeper) forget() {
	clear(k.kept)
	k.loadedAt = time.Time{}
}

// load reads the register. It returns the convictions found, and those that others have removed. Those that a register
// in a new era lacks were lost with it and not removed.
func (k *keeper) load(ctx context.Context, now time.Time) (found, removed []Conviction) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	found, era, err := k.register.Load(ctx)
	if err != nil {
		k.log.Warn("Convictions can't be read from the store.", zap.Error(err))
		return nil, nil
	}
	found = slices.DeleteFunc(found, func(c Conviction) bool { return !k.usable(c) })
	restored := !k.loadedAt.IsZero() && era != k.era
	k.loadedAt, k.era = now, era
	present := map[string]Conviction{}
	for _, c := range found {
		present[c.Key()] = c
	}
	for key, c := range k.kept {
		if _, still := present[key]; !still && !restored {
			removed = append(removed, c)
		}
	}
	k.kept = present
	return found, removed
}

// usable reports whether a conviction that was found in the register can be used.
func (k *keeper) usable(c Conviction) bool {
	if !c.valid() {
		k.log.Warn("Conviction in the store is none; ignored.", zap.Int("traits", len(c.Traits)), zap.Uint64("revision", c.Revision))
		return false
	}
	return true
}

// savePending saves what waits for it and reports whether nothing is left.
func (k *keeper) savePending(ctx context.Context) bool {
	k.mu.Lock()
	list := slices.Collect(maps.Values(k.pending))
	k.mu.Unlock()
	for _, c := range list {
		call := k.register.Save
		if c.Lifted {
			call = k.register.Remove
		}
		if err := call(ctx, c); err != nil {
			k.log.Warn("Conviction can't be kept in the store; tried again.", zap.String("conviction", c.Key()), zap.Error(err))
			return false
		}
		k.saved(c)
	}
	return true
}

// saved records that the register has a conviction, or no longer has it.
func (k *keeper) saved(c Conviction) {
	k.mu.Lock()
	if k.pending[c.Key()].Revision == c.Revision {
		delete(k.pending, c.Key())
	}
	k.mu.Unlock()
	if c.Lifted {
		delete(k.kept, c.Key())
		return
	}
	k.kept[c.Key()] = c
}

// runKeeper keeps the convictions of this process in the register while it is a collector.
func (d *Detector) runKeeper(ctx context.Context) {
	if d.keeper.register == nil {
		return
	}
	if d.afterRestart {
		d.loadAtStart(ctx)
	}
	if !wait.For(ctx, settleTime) {
		return
	}
	for wait.For(ctx, keepPeriod) {
		if !d.isCollector() {
			d.keeper.forget()
			continue
		}
		d.keepConvictions(ctx, time.Now())
	}
}

// loadAtStart reads the convictions that may have been made before this process started.
func (d *Detector) loadAtStart(ctx context.Context) {
	for range firstLoads {
		now := time.Now()
		found, _ := d.keeper.load(ctx, now)
		if !d.keeper.loadedAt.IsZero() {
			d.adopt(found, now)
			return
		}
		if !wait.For(ctx, keepPeriod) {
			return
		}
	}
}

func (d *Detector) keepConvictions(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if !d.keeper.savePending(ctx) || now.Sub(d.keeper.loadedAt) < loadPeriod {
		return
	}
	found, removed := d.keeper.load(ctx, now)
	d.mu.Lock()
	removed = slices.DeleteFunc(removed, func(c Conviction) bool { return !d.convictions.inForce(c) })
	lifted := d.nextRevisions(verdicts{lifted: removed})
	d.mu.Unlock()
	d.announce(append(found, lifted...), now)
	d.saveUnkept()
}

// saveUnkept has the convictions saved that this process knows and the register lacks: the collector that
// made them may have ended before it saved them, or the register has lost them. It has those removed that the
// register has although they are lifted.
func (d *Detector) saveUnkept() {
	if d.keeper.loadedAt.IsZero() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, c := range d.convictions.byKey {
		if _, found := d.keeper.kept[key]; found == c.Lifted {
			d.keeper.add(c.Conviction)
		}
	}
}
