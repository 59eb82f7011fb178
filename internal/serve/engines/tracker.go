// Package engines tracks, across all processes, the prompts that model engines are reading. A long
// prompt blocks an engine for up to a second, and a single process sees only a few of an engine's
// prompts, so it would consider nearly all engines idle. Therefore each engine has a tracker, one
// of the VMs with the most CPU, which is asked before a prompt is sent to the engine. The
// state is soft: while processes see different members, two trackers each hold a part of it, and if
// a tracker doesn't answer, the prompt is sent without asking.
//
// A tracker also hands out the requests that an engine with a limited rate takes, cold or in need, and, for
// these, of targets of other services.
//
// Trackers also learn from the responses that all processes observe how long engines take, and how the
// engines differ in that; see docs/design/engine-pace.md.
package engines

import (
	"context"
	"math"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/ratelimit"
)

const methodClaim = "engines.claim"

const (
	// claimTimeout bounds one call to a tracker, which the request waits for.
	claimTimeout = 40 * time.Millisecond
	// unresponsivePause is how long a tracker that didn't answer is not asked again.
	unresponsivePause = time.Second
	// maxCurveAge is how long a curve received from a tracker is used.
	maxCurveAge = 20 * time.Second
	// maxSamples is the number of samples kept per service to be sent with the next claim.
	maxSamples = 8
	// maxPrefill is the longest time that a prompt counts as being read. The longest prompts take some 10 s
	// at the slowest engine; callers may state any number of tokens.
	maxPrefill = 30 * time.Second
	// UnlimitedWait is the limit of a claim that is granted whatever the wait.
	UnlimitedWait = time.Hour
)

// Sample is an observed response: the tokens that its engine had to read, the seconds to its first
// event, and the engine's pace in percent, 0 if it stated none.
type Sample struct {
	Tokens  int     `json:"t"`
	Seconds float64 `json:"s"`
	Percent int     `json:"p,omitempty"`
}

// Claim asks whether a prompt may be sent to an engine.
type Claim struct {
	Service string
	// Target is the ID of the engine, or of a target of another service that limits its rate.
	Target string
	// Born is the incarnation of the engine, 0 if it is unknown.
	Born int64
	// Tokens is the number of tokens that an engine will have to read.
	Tokens int
	// Limit is the longest acceptable wait at the engine.
	Limit time.Duration
	// Rate is how many requests a second the target takes from all processes.
	Rate ratelimit.Rate
	// Rank is the request's priority; 0 is the most urgent. Less urgent ones leave a part of a limited
	// rate to those before them.
	Rank int
	// LastResort means that no other engine is left, so that the claim isn't refused because the engine
	// rejects requests.
	LastResort bool
}

// Answer is the tracker's answer to a Claim.
type Answer struct {
	// Taken is set if the claim was granted and the prompt counts in the engine's schedule.
	Taken bool
	// Wait is how long the engine will be busy with earlier prompts.
	Wait time.Duration
	// Pace is the engine's pace at present; 0 if the tracker doesn't know it.
	Pace float64
	// OverRate is set if the claim was refused because the target already got as many requests as it
	// takes. Wait is then the time until it takes the next one of the first rank.
	OverRate bool
	// Rejecting is set if the claim was refused because the engine rejects this share of its requests.
	Rejecting float64
}

// claimCall is the wire format of a Claim. Times are in milliseconds.
type claimCall struct {
	Service string   `json:"service"`
	Target  string   `json:"engine"`
	Born    int64    `json:"born,omitempty"`
	Tokens  int      `json:"tokens"`
	Limit   int64    `json:"limit"`
	Cold    float64  `json:"cold,omitempty"`
	Rank    int      `json:"rank,omitempty"`
	Stated  float64  `json:"stated,omitempty"`
	Samples []Sample `json:"samples,omitempty"`
	// LastResort is Claim.LastResort.
	LastResort bool `json:"last,omitempty"`
}

// claimAnswer is the wire format of an Answer.
type claimAnswer struct {
	Taken bool  `json:"taken,omitempty"`
	Wait  int64 `json:"wait,omitempty"`
	// OverRate is Answer.OverRate.
	OverRate bool    `json:"cold,omitempty"`
	Curve    Curve   `json:"curve"`
	Pace     float64 `json:"pace,omitempty"`
	// Rejecting is Answer.Rejecting.
	Rejecting float64 `json:"rejecting,omitempty"`
}

// Tracker asks the trackers of engines, and acts as the tracker for some of them. It is safe for
// concurrent use.
type Tracker struct {
	log     *zap.Logger
	network peer.Network
	owners  peer.Owners

	paceTracking      paceTracking
	rejectionTracking rejectionTracking

	mu              sync.Mutex // guards the fields below; no other lock is taken while it is held
	engineStates    engineStates
	announcement    announcement
	prefillSchedule *prefillSchedule
	rateBuckets     rateBuckets
	fits            map[string]*fit // by service
	samples         map[string][]Sample
	curves          map[string]receivedCurve
	unresponsive    map[peer.Incarnation]time.Time // until when the process is not asked
}

type receivedCurve struct {
	curve Curve
	at    time.Time
}

// New returns a tracker. Call it before the network starts.
func New(log *zap.Logger, network peer.Network) *Tracker {
	t := &Tracker{
		log: log, network: network, prefillSchedule: newPrefillSchedule(), rateBuckets: rateBuckets{}, fits: map[string]*fit{},
		samples: map[string][]Sample{}, curves: map[string]receivedCurve{}, unresponsive: map[peer.Incarnation]time.Time{},
		engineStates: engineStates{}, paceTracking: paceTracking{announced: newAnnouncedPaces(), busyUntil: map[string]time.Time{}},
		rejectionTracking: rejectionTracking{announced: map[string]announcedRejection{}, rejectedAt: map[string]time.Time{}},
	}
	peer.HandleCall(network, methodClaim, func(c claimCall) (any, error) { return t.handleClaim(c, time.Now()), nil })
	peer.HandleCall(network, methodObserve, func(c observeCall) (any, error) {
		t.handleObserve(c, time.Now())
		return nil, nil
	})
	network.Subscribe(peer.TopicEnginePace, t.handlePaceItem)
	return t
}

// RecordSample keeps a response for the trackers to learn from. The engine must have read no other
// prompt before it.
func (t *Tracker) RecordSample(service string, s Sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if list := t.samples[service]; len(list) < maxSamples {
		t.samples[service] = append(list, s)
	}
}

// Curve returns the curve of a service's engines that a tracker sent last; false if there is none
// or it is too old.
func (t *Tracker) Curve(service string, now time.Time) (Curve, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	received, found := t.curves[service]
	return received.curve, found && now.Sub(received.at) < maxCurveAge
}

// Claim asks an engine's tracker; false if it didn't answer or isn't asked at present.
func (t *Tracker) Claim(ctx context.Context, c Claim) (Answer, bool) {
	now := time.Now()
	tracker, answering := t.trackerOf(c.Target, now)
	if !answering {
		return Answer{}, false
	}
	call := claimCall{
		Service: c.Service, Target: c.Target, Born: c.Born, Tokens: c.Tokens, Limit: c.Limit.Milliseconds(),
		Cold: c.Rate.Cold, Stated: c.Rate.Stated, Rank: c.Rank, Samples: t.takeSamples(c.Service),
		LastResort: c.LastResort,
	}
	answer, err := t.callTracker(ctx, tracker, call)
	if err != nil {
		if ctx.Err() == nil {
			t.markUnresponsive(tracker, err, now)
		}
		return Answer{}, false
	}
	t.mu.Lock()
	t.curves[c.Service] = receivedCurve{curve: answer.Curve, at: now}
	t.mu.Unlock()
	t.paceTracking.recordWait(c, answer, now)
	return Answer{
		Taken: answer.Taken, Wait: time.Duration(answer.Wait) * time.Millisecond, Pace: answer.Pace, OverRate: answer.OverRate,
		Rejecting: answer.Rejecting,
	}, true
}

// markUnresponsive stops claims to a tracker that didn't answer for unresponsivePause.
func (t *Tracker) markUnresponsive(tracker peer.Incarnation, err error, now time.Time) {
	t.log.Debug("Engine's tracker didn't answer.", zap.String("member", string(tracker)), zap.Error(err))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unresponsive[tracker] = now.Add(unresponsivePause)
}

func (t *Tracker) callTracker(ctx context.Context, tracker peer.Incarnation, call claimCall) (claimAnswer, error) {
	if tracker == t.network.Self().Incarnation {
		return t.handleClaim(call, time.Now()), nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var answer claimAnswer
	err := t.network.Call(ctx, tracker, methodClaim, call, &answer)
	return answer, err
}

func (t *Tracker) takeSamples(service string) []Sample {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.samples[service]
	delete(t.samples, service)
	return list
}

// trackerOf returns the process that ranks first for an engine; false if there is none or if it
// didn't answer lately.
func (t *Tracker) trackerOf(engine string, now time.Time) (peer.Incarnation, bool) {
	first := t.owners.Of(t.network.View(), engine)
	t.mu.Lock()
	defer t.mu.Unlock()
	return first, first != "" && !now.Before(t.unresponsive[first])
}

// handleClaim answers a claim of this or another process.
func (t *Tracker) handleClaim(call claimCall, now time.Time) claimAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.fits[call.Service]
	if f == nil {
		f = newFit()
		t.fits[call.Service] = f
	}
	for _, s := range call.Samples {
		pace := 1.0
		if !t.paceTracking.disabled {
			pace, _ = StatedPace(s.Percent)
		}
		f.add(s.Tokens, s.Seconds, pace)
	}
	curve := f.curve()
	rate := ratelimit.Rate{Cold: call.Cold, Stated: call.Stated}
	answer := claimAnswer{Curve: curve}
	if answer.Rejecting = t.refusesForRejections(call, now); answer.Rejecting > 0 {
		return answer
	}
	if has, wait := t.rateBuckets.hasToken(call.Target, rate.Tracked(), call.Rank, now); !has {
		answer.OverRate, answer.Wait = true, wait.Milliseconds()
		return answer
	}
	usual, pace, known := t.engineStates.paces(call.Target, call.Born, now)
	if known && !t.paceTracking.disabled {
		answer.Pace = roundPace(pace)
	}
	limit := time.Duration(call.Limit) * time.Millisecond
	accepted := time.Duration(math.MaxInt64)
	if limit < UnlimitedWait {
		accepted = limit - curve.pacedPrefill(max(pace-usual, 0), call.Tokens)
	}
	wait, taken := t.prefillSchedule.reserve(call.Target, curve.pacedPrefill(pace, call.Tokens), accepted, now)
	if !taken && wait <= limit {
		t.paceTracking.refusals.Add(1)
	}
	if taken && rate.Limited() {
		t.rateBuckets.takeToken(call.Target)
	}
	answer.Taken, answer.Wait = taken, wait.Milliseconds()
	return answer
}

// Sweep removes expired state. Call it about once a second.
func (t *Tracker) Sweep(now time.Time) {
	t.sweepClaims(now)
	t.sweepPaces(now)
	if !t.paceTracking.disabled || !t.rejectionTracking.disabled {
		t.announce(now)
	}
}

func (t *Tracker) sweepClaims(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.engineStates.sweep(now)
	t.prefillSchedule.sweep(now)
	t.rateBuckets.sweep(now)
	for id, until := range t.unresponsive {
		if now.After(until) {
			delete(t.unresponsive, id)
		}
	}
}
