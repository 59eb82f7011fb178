package claim

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/backing/memory"
	"github.com/vanillagate/vanillagate/internal/peer"
)

// TestMain runs the models with a fixed seed, so that the result is
// reproducible, and with enough checks and steps to find deliberately inserted
// faults. Flags override these settings.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.steps": "120"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// phase is the progress of a request in the model.
type phase int

const (
	placing    phase = iota // its claim is being written
	granted                 // it may be sent to a target
	dispatched              // it was sent and has no answer yet
	answered                // it ran and its answer is known
	settling                // outcome or release is being written
	givingUp                // its claim is being released without having been used
	ended
)

// modelRequest is one request at some entry process; all use the same
// idempotency key.
type modelRequest struct {
	*claimCall
	phase phase
	grant Grant
	// write is the pending write; it may be sent many times.
	write backing.Write
	row   Row // what write records
	// executionNumber is the execution that produced the answer.
	executionNumber int
	// releaseCertain is set if the claim was certainly not written, or was
	// released.
	releaseCertain bool
}

// inTransitRequest is a request on its way to a target.
type inTransitRequest struct {
	from  *modelRequest
	token Token
}

// machine runs requests through the real decisions of this package one step at
// a time, in any order, while messages are lost, delayed and duplicated.
type machine struct {
	store         *memory.Store
	checksFencing bool // the targets check fencing tokens and takeover is allowed
	silent        bool // the holder appears silent to the other requests
	requests      []*modelRequest
	// delayedWrites are writes without an answer that may still take effect.
	delayedWrites []backing.Write
	inTransit     []inTransitRequest
	// executions are the tokens of the executions at the targets, in order.
	executions []Token
	highest    Token
	byToken    map[Token]string
	replayed   string
}

const maxRequests = 5

func newMachine(checksFencing bool) *machine {
	return &machine{store: memory.New(), checksFencing: checksFencing, byToken: map[Token]string{}}
}

// Arrive adds a request: a first one or a repetition, at any entry process.
func (m *machine) Arrive(t *rapid.T) {
	if len(m.requests) >= maxRequests {
		return
	}
	id := fmt.Sprintf("r%d", len(m.requests))
	req := Request{
		Identity:    Identity{Customer: "granite", IdempotencyKey: "k"},
		RequestID:   id,
		Incarnation: peer.Incarnation(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "entry")),
		Fingerprint: "f",
	}
	claims := &Claims{objects: m.store.Objects(), silence: newSilenceDetector(m.clock()), background: newBackgroundJobs()}
	first := backing.Write{Row: backing.Row{Key: req.rowKey(), Body: encodeRow(heldRow(req))}, If: backing.IfAbsent}
	c := &claimCall{Claims: claims, req: req, takeOverAllowed: m.checksFencing, write: first}
	m.requests = append(m.requests, &modelRequest{claimCall: c, phase: placing})
}

// clock makes any holder appear silent from the second observation on if the
// model says so: silenceTimeout may pass between any two steps.
func (m *machine) clock() func() time.Time {
	at := time.Unix(0, 0)
	return func() time.Time {
		if m.silent {
			at = at.Add(silenceTimeout)
		}
		return at
	}
}

// Silence sets whether holders appear silent from now on.
func (m *machine) Silence(t *rapid.T) { m.silent = rapid.Bool().Draw(t, "silent") }

// pick draws a request in one of the phases, or returns nil if there is none.
func (m *machine) pick(t *rapid.T, phases ...phase) *modelRequest {
	var fit []*modelRequest
	for _, r := range m.requests {
		for _, p := range phases {
			if r.phase == p {
				fit = append(fit, r)
			}
		}
	}
	if len(fit) == 0 {
		return nil
	}
	return rapid.SampledFrom(fit).Draw(t, "request")
}

// write sends one write with a randomly drawn result.
func (m *machine) write(t *rapid.T, w backing.Write) writeResult {
	switch rapid.SampledFrom([]string{"answered", "answered", "answered", "lost", "late", "late", "refused"}).Draw(t, "result") {
	case "lost":
		m.apply(w)
		return writeResult{err: backing.ErrUnknown}
	case "late":
		m.delayedWrites = append(m.delayedWrites, w)
		return writeResult{err: backing.ErrUnknown}
	case "refused":
		return writeResult{err: backing.ErrNotRun}
	default:
		return m.apply(w)
	}
}

func (m *machine) apply(w backing.Write) writeResult {
	conflicts, err := m.store.Commit(context.Background(), []backing.Write{w})
	if err != nil {
		return writeResult{err: err}
	}
	if len(conflicts) > 0 {
		return writeResult{found: conflicts[0].Found}
	}
	return writeResult{applied: true}
}

// LateWrite applies a delayed write if its condition still holds.
func (m *machine) LateWrite(t *rapid.T) {
	if len(m.delayedWrites) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.delayedWrites)-1).Draw(t, "write")
	w := m.delayedWrites[i]
	m.delayedWrites = append(m.delayedWrites[:i:i], m.delayedWrites[i+1:]...)
	m.apply(w)
}

// Place makes one attempt to write a claim.
func (m *machine) Place(t *rapid.T) {
	r := m.pick(t, placing)
	if r == nil {
		return
	}
	out, again := r.handleResult(context.Background(), m.write(t, r.claimCall.write))
	if again {
		return
	}
	switch out.Result {
	case Claimed:
		m.grantClaim(t, r, out.Grant)
	case Taken:
		m.replay(t, r, out)
	case NotRun:
		r.phase = ended
		r.releaseCertain = true
	case Unknown:
		m.giveUp(r)
	default:
		t.Fatalf("claim ended with result %d", out.Result)
	}
}

func (m *machine) grantClaim(t *rapid.T, r *modelRequest, grant Grant) {
	if other, found := m.byToken[grant.Token]; found {
		t.Fatalf("token %d was given to %s and %s", grant.Token, other, r.req.RequestID)
	}
	m.byToken[grant.Token] = r.req.RequestID
	r.grant = grant
	r.phase = granted
}

// replay checks that all callers that get a recorded answer get the same one,
// and that it is the answer of an execution.
func (m *machine) replay(t *rapid.T, r *modelRequest, out Outcome) {
	if !out.Finished {
		return // the caller will repeat the request
	}
	r.phase = ended
	if out.Err != nil {
		t.Fatalf("recorded answer: %v", out.Err)
	}
	if len(m.executions) == 0 {
		t.Fatal("an answer is recorded but nothing ran")
	}
	body := string(out.Answer.Body)
	if m.replayed != "" && m.replayed != body {
		t.Fatalf("one caller got %q, another %q", m.replayed, body)
	}
	m.replayed = body
}

// skipMostly makes the actions that end a request rare, so that not all
// requests end early.
func skipMostly(t *rapid.T) bool { return rapid.IntRange(0, 3).Draw(t, "rare") > 0 }

// GiveUp is a caller's deadline passing while its claim is being written.
func (m *machine) GiveUp(t *rapid.T) {
	if skipMostly(t) {
		return
	}
	if r := m.pick(t, placing); r != nil {
		m.giveUp(r)
	}
}

func (m *machine) giveUp(r *modelRequest) {
	r.phase = givingUp
	r.write = giveUpWrite(r.req)
	if r.outcomeWithoutAnswer().Result == NotRun {
		r.phase = ended
		r.releaseCertain = true
	}
}

// GiveBack makes one attempt to release a claim that was never used.
func (m *machine) GiveBack(t *rapid.T) {
	r := m.pick(t, givingUp)
	if r == nil {
		return
	}
	result := m.write(t, r.write)
	if result.err != nil {
		return
	}
	next, done := nextGiveUpWrite(result, r.write, r.req)
	r.write = next
	if done {
		r.phase = ended
		r.releaseCertain = true
	}
}

// Send dispatches a request to a target. It may be in transit for any time.
func (m *machine) Send(t *rapid.T) {
	r := m.pick(t, granted)
	if r == nil {
		return
	}
	r.phase = dispatched
	m.inTransit = append(m.inTransit, inTransitRequest{from: r, token: r.grant.Token})
}

// NotSent is a target that refuses the connection, so that the request
// certainly did not run.
func (m *machine) NotSent(t *rapid.T) {
	r := m.pick(t, granted)
	if r == nil {
		return
	}
	m.startSettling(r, Row{State: Released})
}

// Deliver lets a target run a request or refuse it because of its fencing
// token.
func (m *machine) Deliver(t *rapid.T) {
	if len(m.inTransit) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.inTransit)-1).Draw(t, "request in transit")
	l := m.inTransit[i]
	m.inTransit = append(m.inTransit[:i:i], m.inTransit[i+1:]...)
	if m.checksFencing && l.token < m.highest {
		return
	}
	m.highest = max(m.highest, l.token)
	m.executions = append(m.executions, l.token)
	if l.from.phase == dispatched && rapid.Bool().Draw(t, "answer arrives") {
		l.from.executionNumber = len(m.executions)
		l.from.phase = answered
	}
}

// Answer starts recording an outcome.
func (m *machine) Answer(t *rapid.T) {
	r := m.pick(t, answered)
	if r == nil {
		return
	}
	recorded := newRecordedAnswer(r.grant, Answer{Status: 200, Body: fmt.Append(nil, "execution ", r.executionNumber)})
	m.startSettling(r, Row{State: Finished, Outcome: &recorded})
}

func (m *machine) startSettling(r *modelRequest, row Row) {
	row.Holder, row.Fingerprint = r.req.holder(), r.req.Fingerprint
	r.row = row
	r.write = settleWrite(r.grant, row)
	r.phase = settling
}

// Settle makes one attempt to write an outcome or a release.
func (m *machine) Settle(t *rapid.T) {
	r := m.pick(t, settling)
	if r == nil {
		return
	}
	result := m.write(t, r.write)
	if result.err != nil {
		return
	}
	r.phase = ended
	finish := settleResult(result, r.grant, r.row.State)
	if finish == Superseded && r.row.State == Finished && !m.checksFencing {
		t.Fatalf("the outcome of %s can't be recorded", r.req.RequestID)
	}
}

// Crash ends a request at any point. Its messages and writes stay in transit.
func (m *machine) Crash(t *rapid.T) {
	if skipMostly(t) {
		return
	}
	if r := m.pick(t, placing, granted, dispatched, answered, settling, givingUp); r != nil {
		r.phase = ended
	}
}

// Check verifies the invariants: without fencing the request runs at most once,
// and executions never go back to an older token.
func (m *machine) Check(t *rapid.T) {
	m.checkReleasedClaims(t)
	if !m.checksFencing && len(m.executions) > 1 {
		t.Fatalf("executed %d times", len(m.executions))
	}
	for i := 1; i < len(m.executions); i++ {
		if m.executions[i] <= m.executions[i-1] {
			t.Fatalf("executed under tokens %v", m.executions)
		}
	}
}

// checkReleasedClaims checks that a released claim is not written again by a
// late write: nobody would ever finish it, and the key would be refused
// forever. With takeover this can happen, and the next request takes the claim
// over.
func (m *machine) checkReleasedClaims(t *rapid.T) {
	if m.checksFencing {
		return
	}
	row, err := m.store.Get(context.Background(), Identity{Customer: "granite", IdempotencyKey: "k"}.rowKey())
	if err != nil || row == nil {
		return
	}
	found, err := decodeRow(row)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range m.requests {
		if r.releaseCertain && found.State == Held && found.Holder == r.req.holder() {
			t.Fatalf("the claim of %s is held after it was given up", r.req.RequestID)
		}
	}
}

// Callers repeat a request at any entry VM while processes crash or are paused
// between any two steps, and writes are lost or take effect late. On targets
// that ignore fencing tokens the request runs at most once, even if a claim was
// released in between. All callers that get a recorded answer get the same one.
func TestModelAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(rapid.StateMachineActions(newMachine(false))) })
}

// The same with targets that check fencing tokens and with takeover of a silent
// holder's claim: no execution under an older token follows one under a newer
// token.
func TestModelFencing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(rapid.StateMachineActions(newMachine(true))) })
}

func TestDecide(t *testing.T) {
	mine := Request{RequestID: "r1", Incarnation: "a", Fingerprint: "f"}
	row := func(id string, state State, f Fingerprint) Row {
		return Row{Holder: Holder{RequestID: id, Incarnation: "a"}, State: state, Fingerprint: f}
	}
	cases := []struct {
		name  string
		found Row
		facts Facts
		want  Decision
	}{
		{"own, after a lost answer", row("r1", Held, "f"), Facts{}, Proceed},
		{"held by another", row("r2", Held, "f"), Facts{}, Wait},
		{"silent, targets ignore tokens", row("r2", Held, "f"), Facts{HolderSilent: true}, Wait},
		{"not silent, targets check tokens", row("r2", Held, "f"), Facts{TakeOverAllowed: true}, Wait},
		{"silent, targets check tokens", row("r2", Held, "f"), Facts{TakeOverAllowed: true, HolderSilent: true}, TakeOver},
		{"released", row("r2", Released, "f"), Facts{}, Reclaim},
		{"released, other content", row("r2", Released, "g"), Facts{}, Reclaim},
		{"finished", row("r2", Finished, "f"), Facts{TakeOverAllowed: true, HolderSilent: true}, Replay},
		{"other content", row("r2", Held, "g"), Facts{}, Refuse},
		{"finished, other content", row("r2", Finished, "g"), Facts{}, Refuse},
	}
	for _, c := range cases {
		if got := Decide(c.found, mine, c.facts); got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}
}

// Rows in the store may have been written by other releases of the software or
// by hand, so decoding must tolerate any content.
func FuzzDecodeRow(f *testing.F) {
	f.Add(encodeRow(heldRow(Request{RequestID: "r"})))
	f.Add([]byte(`{"state":"finished","outcome":{"status":200,"object":"x"}}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		row, err := decodeRow(&backing.Row{Body: raw})
		if err != nil {
			if !errors.Is(err, backing.ErrUnknown) {
				t.Fatal(err)
			}
			return
		}
		if _, err := json.Marshal(row); err != nil {
			t.Fatal(err)
		}
	})
}
