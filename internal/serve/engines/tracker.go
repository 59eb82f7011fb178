// Package engines keeps account of the prompts that model engines are reading, over all
// processes. A long prompt keeps an engine from all others for up to a second, and one
// process alone sees a few of an engine's prompts: it would take nearly all engines for
// idle. So each engine has a tracker, one of the stronger processes, that is asked
// before a prompt is sent there. The account is soft state: when members are seen
// differently two processes keep a part of it each, and when a tracker doesn't answer
// the prompt is sent without having asked.
//
// Trackers also learn from all processes' answers how long engines take.
package engines

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/derived"
	"github.com/vanillagate/vanillagate/internal/member"
	"github.com/vanillagate/vanillagate/internal/peer"
)

const methodClaim = "engines.claim"

const (
	// claimTimeout bounds one question, which the request waits for.
	claimTimeout = 40 * time.Millisecond
	// silence is for how long a tracker that didn't answer isn't asked.
	silence = time.Second
	// curveAge is how long a curve stands that a tracker told.
	curveAge = 20 * time.Second
	// maxSamples are the answers kept for the next questions.
	maxSamples = 8
)

// Sample is one answer: the tokens that its engine had to read, and the seconds to its
// first event.
type Sample struct {
	Tokens  int     `json:"t"`
	Seconds float64 `json:"s"`
}

// Claim asks whether a prompt may be sent to an engine.
type Claim struct {
	Service string
	Engine  string
	// Tokens that the engine will have to read.
	Tokens int
	// Limit is the longest wait with which the engine is still taken.
	Limit time.Duration
	// ColdPerSecond is how many requests a second a cold engine bears; 0 for a warm one.
	ColdPerSecond float64
}

// Answer is what became of a claim.
type Answer struct {
	// Taken tells that the prompt is in the engine's account.
	Taken bool
	// Wait is how long the engine reads others' prompts before.
	Wait time.Duration
	// Cold tells that the engine got as many requests as it bears while cold.
	Cold bool
}

// TrackerRateShare is the part of what a cold engine bears that its tracker hands out. The
// rest is for those whom the tracker doesn't answer, and for a second tracker while
// members are seen differently.
const TrackerRateShare = 0.6

// claimCall is a Claim on the wire. Times are in ms.
type claimCall struct {
	Service string   `json:"service"`
	Engine  string   `json:"engine"`
	Tokens  int      `json:"tokens"`
	Limit   int64    `json:"limit"`
	Cold    float64  `json:"cold,omitempty"`
	Samples []Sample `json:"samples,omitempty"`
}

// claimAnswer is an Answer on the wire.
type claimAnswer struct {
	Taken bool  `json:"taken,omitempty"`
	Wait  int64 `json:"wait,omitempty"`
	Cold  bool  `json:"cold,omitempty"`
	Curve Curve `json:"curve"`
}

// Tracker asks the trackers of engines, and is one for some of them itself. It is safe
// for concurrent use.
type Tracker struct {
	log     *zap.Logger
	network peer.Network
	able    derived.Value[*peer.View, []candidate]

	mu      sync.Mutex // guards what follows; a leaf
	account *account
	fits    map[string]*fit // by service
	samples map[string][]Sample
	curves  map[string]told
	silent  map[peer.Incarnation]time.Time // until when
}

// candidate is a process that may be a tracker, and its hash.
type candidate struct {
	id   peer.Incarnation
	hash uint64
}

type told struct {
	curve Curve
	at    time.Time
}

// New makes a tracker. Call before the network starts.
func New(log *zap.Logger, network peer.Network) *Tracker {
	t := &Tracker{
		log: log, network: network, account: newAccount(), fits: map[string]*fit{},
		samples: map[string][]Sample{}, curves: map[string]told{}, silent: map[peer.Incarnation]time.Time{},
	}
	peer.HandleCall(network, methodClaim, func(c claimCall) (any, error) { return t.serve(c, time.Now()), nil })
	return t
}

// RecordSample keeps an answer of an engine that read no other prompt before, for the trackers
// to learn from.
func (t *Tracker) RecordSample(service string, s Sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if list := t.samples[service]; len(list) < maxSamples {
		t.samples[service] = append(list, s)
	}
}

// Curve gives what trackers have learnt of a service's engines lately.
func (t *Tracker) Curve(service string, now time.Time) (Curve, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	told, found := t.curves[service]
	return told.curve, found && now.Sub(told.at) < curveAge
}

// Claim asks an engine's tracker; false where it didn't answer.
func (t *Tracker) Claim(ctx context.Context, c Claim) (Answer, bool) {
	now := time.Now()
	tracker, answering := t.trackerOf(c.Engine, now)
	if !answering {
		return Answer{}, false
	}
	call := claimCall{
		Service: c.Service, Engine: c.Engine, Tokens: c.Tokens, Limit: c.Limit.Milliseconds(),
		Cold: c.ColdPerSecond, Samples: t.takeSamples(c.Service),
	}
	answer, err := t.ask(ctx, tracker, call)
	if err != nil {
		if ctx.Err() == nil {
			t.leaveAlone(tracker, err, now)
		}
		return Answer{}, false
	}
	t.mu.Lock()
	t.curves[c.Service] = told{curve: answer.Curve, at: now}
	t.mu.Unlock()
	return Answer{Taken: answer.Taken, Wait: time.Duration(answer.Wait) * time.Millisecond, Cold: answer.Cold}, true
}

// leaveAlone has a tracker that didn't answer not asked for a while.
func (t *Tracker) leaveAlone(tracker peer.Incarnation, err error, now time.Time) {
	t.log.Debug("Engine's tracker didn't answer.", zap.String("member", string(tracker)), zap.Error(err))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent[tracker] = now.Add(silence)
}

func (t *Tracker) ask(ctx context.Context, tracker peer.Incarnation, call claimCall) (claimAnswer, error) {
	if tracker == t.network.Self().Incarnation {
		return t.serve(call, time.Now()), nil
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

// trackerOf is the process that an engine ranks first; false while that one doesn't
// answer.
func (t *Tracker) trackerOf(engine string, now time.Time) (peer.Incarnation, bool) {
	able := t.able.Get(t.network.View(), candidates)
	var first peer.Incarnation
	best := uint64(0)
	at := member.Hash(engine)
	for _, c := range able {
		if rank := member.RendezvousScore(at, c.hash); first == "" || rank > best {
			first, best = c.id, rank
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return first, first != "" && !now.Before(t.silent[first])
}

// candidates are the processes that may be trackers.
func candidates(v *peer.View) []candidate {
	var list []candidate
	for _, id := range peer.SelectByCPU(v.Alive()) {
		list = append(list, candidate{id: id, hash: member.Hash(string(id))})
	}
	return list
}

// serve answers a claim of this or another process.
func (t *Tracker) serve(call claimCall, now time.Time) claimAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.fits[call.Service]
	if f == nil {
		f = newFit()
		t.fits[call.Service] = f
	}
	for _, s := range call.Samples {
		f.add(s.Tokens, s.Seconds)
	}
	curve := f.curve()
	if call.Cold > 0 && !t.account.spare(call.Engine, TrackerRateShare*call.Cold, now) {
		return claimAnswer{Cold: true, Curve: curve}
	}
	reading := time.Duration(curve.PrefillTime(call.Tokens) * float64(time.Second))
	wait, taken := t.account.take(call.Engine, reading, time.Duration(call.Limit)*time.Millisecond, now)
	if taken && call.Cold > 0 {
		t.account.spend(call.Engine)
	}
	return claimAnswer{Taken: taken, Wait: wait.Milliseconds(), Curve: curve}
}

// Sweep forgets what no longer matters. Call it about once a second.
func (t *Tracker) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.account.sweep(now)
	for id, until := range t.silent {
		if now.After(until) {
			delete(t.silent, id)
		}
	}
}
