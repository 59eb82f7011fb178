package crashes

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/wait"
)

// Fate is what is known of the process that had a call.
type Fate string

// The fates.
const (
	// Runs means that the process still runs.
	Runs Fate = "runs"
	// Ended means that it has ended, whoever has its address now.
	Ended Fate = "ended"
	// Unknown means that neither is known yet.
	Unknown Fate = "unknown"
)

const (
	// firstReprobe and maxReprobe bound the time between two probes of a target of which it isn't known whether it has
	// ended; it doubles each time. watchTime is how long it is probed.
	firstReprobe = 100 * time.Millisecond
	maxReprobe   = 800 * time.Millisecond
	watchTime    = 20 * time.Second
	// maxWatches limits the targets that are watched.
	maxWatches = 1024
)

// start is one start of a target.
type start struct {
	target, address string
	born            int64
}

// brokenCall is a call that ended without its answer.
type brokenCall struct {
	Call
	at time.Time
	// unanswered means that the call ended on this side while the target was silent.
	unanswered bool
}

// watch follows one start of a target after calls to it have broken.
type watch struct {
	detector *Detector
	start    start
	// calls is guarded by Detector.mu.
	calls []brokenCall
	// probes counts the probes. unreachable is set once no connection was established. Both are of the time since the
	// target was last known to run.
	probes      int
	unreachable bool
}

// Broke records that the connection of a call broke. If its target has ended, that is reported as a crash: at once, or
// when the target can be reached again.
func (d *Detector) Broke(c Call) { d.follow(brokenCall{Call: c, at: time.Now()}) }

// Unanswered records that a call was given up while its target was silent. If no connection to the target is established,
// this is followed up as by Broke.
func (d *Detector) Unanswered(c Call) {
	d.follow(brokenCall{Call: c, at: time.Now(), unanswered: true})
}

func (d *Detector) follow(c brokenCall) {
	key := start{target: c.Target, address: c.Address, born: c.Born}
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.watches[key]
	switch {
	case w == nil && len(d.watches) >= maxWatches:
		d.log.Warn("Too many targets to watch; whether this one died isn't known.", zap.String("target", c.Target), zap.String("request", c.RequestID))
	case w == nil:
		w = &watch{detector: d, start: key, calls: []brokenCall{c}}
		d.watches[key] = w
		go w.run(d.baseCtx)
	case len(w.calls) < maxRunsPerCrash:
		w.calls = append(w.calls, c)
	}
}

// run probes the target until its fate is known.
func (w *watch) run(ctx context.Context) {
	began := time.Now()
	delay := probeDelay
	for wait.For(ctx, delay) {
		calls := w.snapshot()
		fate := w.probe(ctx, calls)
		switch {
		case fate == Ended:
			w.reportAll()
			return
		case fate == Runs && w.settle(len(calls)):
			return
		case fate == Runs:
			delay = probeDelay // for calls that broke meanwhile
		case time.Since(began) > watchTime:
			w.giveUp()
			return
		default:
			delay = min(max(2*delay, firstReprobe), maxReprobe)
		}
	}
}

// probe determines the fate of the target that had the calls. The list is asked last: it may lag, and name an earlier
// start than the one that had them.
func (w *watch) probe(ctx context.Context, calls []brokenCall) Fate {
	fate := w.probeAddress(ctx, calls)
	if superseded := calls[0].Superseded; fate == Unknown && superseded != nil && superseded() {
		return Ended
	}
	return fate
}

// probeAddress opens a connection, and asks whoever accepts it.
func (w *watch) probeAddress(ctx context.Context, calls []brokenCall) Fate {
	w.probes++
	err := w.detector.probe(w.start.address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		if slices.ContainsFunc(calls, func(c brokenCall) bool { return !c.CutOff }) {
			return Ended
		}
		w.unreachable = true
		return Unknown
	case err != nil:
		w.unreachable = true
		return Unknown
	}
	// Somebody accepts connections at the address.
	silent := w.unreachable || slices.ContainsFunc(calls, func(c brokenCall) bool { return c.Silent })
	for _, c := range calls {
		if c.Ask != nil && (!c.unanswered || w.unreachable) {
			return c.Ask(ctx, silent)
		}
	}
	return Runs
}

func (w *watch) snapshot() []brokenCall {
	d := w.detector
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(w.calls)
}

// settle forgets the first n calls, under which the target didn't die. It reports whether these were all.
func (w *watch) settle(n int) bool {
	d := w.detector
	d.mu.Lock()
	defer d.mu.Unlock()
	w.calls = w.calls[n:]
	w.probes, w.unreachable = 0, false
	if len(w.calls) == 0 {
		delete(d.watches, w.start)
	}
	return len(w.calls) == 0
}

// end ends the watch and returns its calls.
func (w *watch) end() []brokenCall {
	d := w.detector
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.watches, w.start)
	return w.calls
}

// reportAll reports that the target has crashed under all calls. If its port refused connections as soon as it had ended
// the connection of a call, that was the crash. Otherwise it crashed at some time since it was last heard of.
func (w *watch) reportAll() {
	for _, c := range w.end() {
		if c.HeardAt.IsZero() || w.probes == 1 && c.EndedByTarget {
			w.detector.Crashed(c.Call)
			continue
		}
		w.detector.reportCrash(c.Call, c.HeardAt, latest(c.HeardAt, c.at))
	}
}

func (w *watch) giveUp() {
	calls := w.end()
	w.detector.log.Info("Whether a target has died under its requests isn't known.", zap.String("target", w.start.target),
		zap.Int64("born", w.start.born), zap.String("address", w.start.address), zap.Bool("was_unreachable", w.unreachable), zap.Int("requests", len(calls)))
}
