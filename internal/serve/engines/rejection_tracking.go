package engines

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// reportAcceptsFor is how long a process reports accepted requests, too, after an engine has rejected one of
// its requests. Where no engine rejects, no further messages are sent.
const reportAcceptsFor = 5 * time.Second

// rejectionTracking is the part of a Tracker that announces which engines reject requests.
type rejectionTracking struct {
	// disabled means that no engine counts as rejecting. It is set before the network starts.
	disabled bool

	mu        sync.RWMutex // guards the fields below; no other lock is taken while it is held
	announced map[string]announcedRejection
	// rejectedAt is when engines last rejected a request of this process.
	rejectedAt map[string]time.Time
}

// announcedRejection is the share of rejected requests that a tracker has announced for an engine.
type announcedRejection struct {
	born   int64
	share  float64
	origin peer.Incarnation
	at     time.Time
}

// DisableRejections treats all engines as if they rejected no requests, for measurements. Call it before the
// network starts.
func (t *Tracker) DisableRejections() { t.rejectionTracking.disabled = true }

// ObserveRejection reports to the engine's tracker that the engine rejected a request.
func (t *Tracker) ObserveRejection(service string, target *pool.Target) {
	r := &t.rejectionTracking
	if r.disabled {
		return
	}
	r.mu.Lock()
	r.rejectedAt[target.ID] = time.Now()
	r.mu.Unlock()
	t.Observe(Observation{Service: service, Target: target.ID, Born: target.Born, Rejected: true})
}

// ReportsAccepts reports whether accepted requests are reported, because the engine rejects others.
func (t *Tracker) ReportsAccepts(target *pool.Target, now time.Time) bool {
	r := &t.rejectionTracking
	if r.disabled {
		return false
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	at, rejected := r.rejectedAt[target.ID]
	return rejected && now.Sub(at) < reportAcceptsFor || r.announced[target.ID].share > 0
}

// AnyRejecting reports whether an engine of any service is announced as rejecting requests.
func (t *Tracker) AnyRejecting() bool {
	r := &t.rejectionTracking
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.announced) > 0
}

// SetRejections sets the share of rejected requests in engines' views. It returns a summary over all views.
func (t *Tracker) SetRejections(views []pool.View, now time.Time) ServiceRejections {
	r := &t.rejectionTracking
	if r.disabled || len(views) == 0 {
		return ServiceRejections{}
	}
	interval := announceInterval(1 + len(t.network.View().Members))
	r.mu.RLock()
	defer r.mu.RUnlock()
	if len(r.announced) == 0 {
		return ServiceRejections{}
	}
	s := ServiceRejections{Least: 1}
	for i := range views {
		v := &views[i]
		if a, found := r.announced[v.ID]; found && a.born == v.Born {
			v.Rejecting = announcedShare(a.share, now.Sub(a.at), interval)
		}
		s.Mean += v.Rejecting / float64(len(views))
		s.Least = min(s.Least, v.Rejecting)
	}
	return s
}

// Rejecting returns the announced share of an engine's rejected requests; 0 if it is low.
func (t *Tracker) Rejecting(target *pool.Target, now time.Time) float64 {
	views := []pool.View{{Target: target}}
	t.SetRejections(views, now)
	return views[0].Rejecting
}

// receive replaces what a tracker announced. The newest announcement of an engine's latest incarnation counts.
func (r *rejectionTracking) receive(origin peer.Incarnation, entries []announcedEngine, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.announced, func(_ string, a announcedRejection) bool { return a.origin == origin })
	for _, e := range entries {
		if e.Rejected < minAnnouncedRejection || !(e.Rejected <= 1) || e.Born < r.announced[e.Target].born {
			continue
		}
		r.announced[e.Target] = announcedRejection{born: e.Born, share: e.Rejected, origin: origin, at: now}
	}
}

// sweep removes what has decayed.
func (r *rejectionTracking) sweep(interval time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.announced, func(_ string, a announcedRejection) bool {
		return announcedShare(a.share, now.Sub(a.at), interval) == 0
	})
	maps.DeleteFunc(r.rejectedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= reportAcceptsFor })
}

// observeOutcome records whether an engine accepted a request. The caller holds mu.
func (t *Tracker) observeOutcome(state *engineState, call observeCall, now time.Time) {
	if t.rejectionTracking.disabled {
		return
	}
	before := state.mostlyRejects
	state.rejections.add(call.Rejected, now)
	share := state.rejections.share(now)
	state.mostlyRejects = share >= MostlyRejecting || before && share >= minAnnouncedRejection
	if state.mostlyRejects != before {
		t.log.Info("Engine rejects requests, or no longer.", zap.String("service", state.service), zap.String("target", call.Target),
			zap.Int64("born", state.born), zap.Float64("share", roundPace(share)), zap.Bool("rejects", state.mostlyRejects))
	}
}

// refusesForRejections returns the share of requests that an engine rejects if a claim is refused because of
// it, else 0. Once in retryRejecting a claim is granted, so that the engine's recovery is noticed. The caller
// holds mu.
func (t *Tracker) refusesForRejections(call claimCall, now time.Time) float64 {
	state := t.engineStates[call.Target]
	if t.rejectionTracking.disabled || call.LastResort || state == nil || call.Born != state.born || !state.mostlyRejects {
		return 0
	}
	if now.Sub(state.triedAt) >= retryRejecting {
		state.triedAt = now
		return 0
	}
	return max(state.rejections.share(now), MostlyRejecting)
}

// announcedEngine is what a tracker announces of one incarnation of an engine: its pace, which is 1 if it
// counts as nominal, and the share of requests that it rejects, which is the fourth element on the wire and
// left out if it is low.
type announcedEngine struct {
	paceEntry
	Rejected float64
}

// MarshalJSON implements json.Marshaler.
func (e announcedEngine) MarshalJSON() ([]byte, error) {
	if e.Rejected == 0 {
		return json.Marshal(e.paceEntry)
	}
	return json.Marshal([]any{e.Target, e.Born, e.Pace, e.Rejected})
}

// UnmarshalJSON implements json.Unmarshaler. It ignores further elements.
func (e *announcedEngine) UnmarshalJSON(data []byte) error {
	if err := json.Unmarshal(data, &e.paceEntry); err != nil {
		return err
	}
	var elements []json.RawMessage
	if err := json.Unmarshal(data, &elements); err != nil || len(elements) <= paceElements {
		return err
	}
	return json.Unmarshal(elements[paceElements], &e.Rejected)
}

// paceElements is the number of elements of a paceEntry.
const paceElements = 3

// announcementItem is the body of the gossip item in which a tracker announces its engines.
type announcementItem struct {
	Engines []announcedEngine `json:"engines"`
}

// announced returns the engines that a tracker announces: those that are fast or slow, and those that
// reject requests.
func (s engineStates) announced(now time.Time) []announcedEngine {
	var list []announcedEngine
	paces := map[string]bool{}
	for _, e := range s.uneven() {
		paces[e.Target] = true
		list = append(list, announcedEngine{e, s[e.Target].announcedRejection(now)})
	}
	for target, state := range s {
		if share := state.announcedRejection(now); share > 0 && !paces[target] {
			list = append(list, announcedEngine{paceEntry{Target: target, Born: state.born, Pace: 1}, share})
		}
	}
	return list
}

// announcedRejection returns the share of rejected requests, 0 if it is too low to be announced.
func (s *engineState) announcedRejection(now time.Time) float64 {
	if share := roundPace(s.rejections.share(now)); share >= minAnnouncedRejection {
		return share
	}
	return 0
}

// updateWithRejections is update for engines some of which may reject requests. As long as any does, a new
// version is due at each interval, since shares decay at their receivers.
func (a *announcement) updateWithRejections(entries []announcedEngine, members int, now time.Time) bool {
	rejecting := slices.ContainsFunc(entries, func(e announcedEngine) bool { return e.Rejected > 0 })
	due := a.update(pacesOf(entries), members, now)
	if !due && (rejecting || a.rejecting) && (a.version == 0 || now.Sub(a.at) >= announceInterval(members)) {
		a.version++
		a.at = now
		due = true
	}
	if due {
		a.rejecting = rejecting
	}
	return due
}

// pacesOf returns the entries of engines that are fast or slow.
func pacesOf(entries []announcedEngine) []paceEntry {
	var list []paceEntry
	for _, e := range entries {
		if e.Pace != 1 {
			list = append(list, e.paceEntry)
		}
	}
	return list
}

// receiveAnnouncement stores what a tracker has announced.
func (t *Tracker) receiveAnnouncement(origin peer.Incarnation, entries []announcedEngine, now time.Time, ttl time.Duration) {
	t.rejectionTracking.receive(origin, entries, now)
	t.receivePaces(origin, pacesOf(entries), now.Add(ttl))
}
