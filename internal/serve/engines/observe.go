package engines

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

const methodObserve = "engines.observe"

// maxPendingObservations is the number of observations that are being sent at once. Further ones are
// dropped: a link that is blocked would else keep a goroutine for each first event.
const maxPendingObservations = 64

// observeCall is the wire format of an Observation. The answer is empty and isn't awaited.
type observeCall struct {
	Service string  `json:"service"`
	Target  string  `json:"engine"`
	Born    int64   `json:"born,omitempty"`
	Tokens  int     `json:"t,omitempty"`
	Seconds float64 `json:"s,omitempty"`
	Percent int     `json:"p,omitempty"`
	// Rejected is Observation.Rejected.
	Rejected bool `json:"r,omitempty"`
}

// paceTracking is the part of a Tracker that learns and announces the paces of engines.
type paceTracking struct {
	// disabled means that all engines count as nominal. It is set before the network starts.
	disabled bool
	pending  atomic.Int64
	// refusals is the number of claims that this tracker refused only because of an engine's pace.
	refusals atomic.Int64

	mu        sync.RWMutex // guards the fields below; no other lock is taken while it is held
	announced announcedPaces
	// busyUntil is until when engines read prompts according to their trackers' latest answers.
	busyUntil map[string]time.Time
}

// DisablePace treats all engines as nominal, for measurements. Call it before the network starts.
func (t *Tracker) DisablePace() { t.paceTracking.disabled = true }

// ClaimsRefusedByPace returns how many claims this process refused as a tracker because the engine
// was slower than usual.
func (t *Tracker) ClaimsRefusedByPace() int64 { return t.paceTracking.refusals.Load() }

// Observe sends an observation to the engine's tracker. It doesn't wait, and an observation that is
// lost isn't sent again.
func (t *Tracker) Observe(o Observation) {
	if t.paceTracking.disabled {
		o.Tokens, o.Seconds, o.Percent = 0, 0, 0
	}
	if t.paceTracking.disabled && t.rejectionTracking.disabled {
		return
	}
	now := time.Now()
	tracker, answering := t.trackerOf(o.Target, now)
	switch {
	case !answering:
		return
	case tracker == t.network.Self().Incarnation:
		t.handleObserve(observeCall(o), now)
		return
	case t.paceTracking.pending.Add(1) > maxPendingObservations:
		t.paceTracking.pending.Add(-1)
		return
	}
	go func() {
		defer t.paceTracking.pending.Add(-1)
		ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
		defer cancel()
		// A process of an earlier release doesn't know the method. The engine then counts as nominal.
		_ = t.network.Call(ctx, tracker, methodObserve, observeCall(o), nil)
	}()
}

// handleObserve handles an observation of this or another process.
func (t *Tracker) handleObserve(call observeCall, now time.Time) {
	if t.paceTracking.disabled && t.rejectionTracking.disabled {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	expected := 0.0
	if f := t.fits[call.Service]; f != nil && call.Percent == 0 && call.Seconds > 0 {
		expected = f.expect(call.Tokens)
	}
	state := t.engineStates.observe(Observation(call), expected, now)
	if state == nil {
		return
	}
	t.observeOutcome(state, call, now)
	if usual := state.pace.usual(); paceChanged(state.logged, usual) {
		t.log.Info("Engine's usual pace changed.", zap.String("service", state.service), zap.String("target", call.Target),
			zap.Int64("born", state.born), zap.Float64("pace", roundPace(usual)), zap.Float64("before", roundPace(state.logged)),
			zap.Bool("stated", state.pace.last > 0))
		state.logged = usual
	}
}

// announce publishes the usual paces of the engines that this process tracks, if they have changed or
// the last announcement is old.
func (t *Tracker) announce(now time.Time) {
	t.mu.Lock()
	uneven := t.engineStates.announced(now)
	t.mu.Unlock()
	self := t.network.Self().Incarnation
	var own []announcedEngine
	for _, e := range uneven {
		// An engine's tracker changes with the members. Its new one announces it then.
		if tracker, _ := t.trackerOf(e.Target, now); tracker == self {
			own = append(own, e)
		}
	}
	own = mostAnnounced(own)
	members := 1 + len(t.network.View().Members)
	t.mu.Lock()
	due := t.announcement.updateWithRejections(own, members, now)
	version := t.announcement.version
	t.mu.Unlock()
	if !due {
		return
	}
	ttl := announceTTL(members)
	if err := t.network.Publish(peer.TopicEnginePace, string(self), version, ttl, announcementItem{Engines: own}); err != nil {
		t.log.Warn("Failed to announce the paces of engines.", zap.Int("engines", len(own)), zap.Error(err))
	}
	t.receiveAnnouncement(self, own, now, ttl) // own items aren't delivered
}

// handlePaceItem stores the paces that another tracker has announced.
func (t *Tracker) handlePaceItem(item peer.Item) {
	var body announcementItem
	if err := json.Unmarshal(item.Body, &body); err != nil {
		t.log.Warn("A peer's announcement of engines' paces can't be decoded.", zap.String("member", string(item.Origin)), zap.Error(err))
		return
	}
	t.receiveAnnouncement(item.Origin, body.Engines, time.Now(), item.TTL)
}

func (t *Tracker) receivePaces(origin peer.Incarnation, entries []paceEntry, expires time.Time) {
	p := &t.paceTracking
	p.mu.Lock()
	defer p.mu.Unlock()
	p.announced.receive(origin, entries, expires)
}

func (t *Tracker) sweepPaces(now time.Time) {
	t.rejectionTracking.sweep(announceInterval(1+len(t.network.View().Members)), now)
	p := &t.paceTracking
	p.mu.Lock()
	defer p.mu.Unlock()
	p.announced.sweep(now)
	maps.DeleteFunc(p.busyUntil, func(_ string, until time.Time) bool { return now.After(until) })
}

// recordWait stores what a tracker answered of an engine's wait, to which a granted claim adds its own
// prompt.
func (p *paceTracking) recordWait(c Claim, answer claimAnswer, now time.Time) {
	if p.disabled || answer.OverRate || answer.Rejecting > 0 {
		return
	}
	wait := time.Duration(answer.Wait) * time.Millisecond
	if answer.Taken {
		pace := answer.Pace
		if pace == 0 {
			pace = 1
		}
		wait += time.Duration(pace * answer.Curve.PrefillTime(c.Tokens) * float64(time.Second))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busyUntil[c.Target] = now.Add(wait)
}

// AddWaits adds to the views the tokens that engines have to read for other processes, as far as trackers
// have told this one lately. secondsPerToken is the time that a nominal engine takes for a token.
// Without it, all processes prefer the same few fast engines, however busy these are.
func (t *Tracker) AddWaits(views []pool.View, secondsPerToken float64, now time.Time) {
	p := &t.paceTracking
	p.mu.RLock()
	defer p.mu.RUnlock()
	for i := range views {
		v := &views[i]
		if wait := p.busyUntil[v.ID].Sub(now); wait > 0 {
			v.Tokens = max(v.Tokens, int(wait.Seconds()/(secondsPerToken*v.Pace)))
		}
	}
}

// UsualPace returns the announced usual pace of an engine, 1 if it counts as nominal.
func (t *Tracker) UsualPace(target *pool.Target) float64 {
	p := &t.paceTracking
	if p.disabled {
		return 1
	}
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.announced.usual(target.ID, target.Born)
}

// SetPaces sets the paces of engines' views: the usual ones or those at present. It reports whether
// any of them differs from 1.
func (t *Tracker) SetPaces(views []pool.View, usualOnly bool, now time.Time) (uneven bool) {
	p := &t.paceTracking
	if p.disabled {
		return false
	}
	p.mu.RLock()
	defer p.mu.RUnlock()
	for i := range views {
		v := &views[i]
		v.Pace = 1
		if len(p.announced.byTarget) > 0 {
			v.Pace = p.announced.usual(v.ID, v.Born)
		}
		if stated, known := StatedPace(v.Report.Percent); known && !usualOnly {
			v.Pace = paceNow(v.Pace, stated, now.Sub(v.Report.At))
		}
		uneven = uneven || v.Pace != 1
	}
	return uneven
}

// Uneven reports whether an engine of any service is announced as fast or slow.
func (t *Tracker) Uneven() bool {
	p := &t.paceTracking
	p.mu.RLock()
	defer p.mu.RUnlock()
	return len(p.announced.byTarget) > 0
}
