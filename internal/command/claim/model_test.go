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

// TestMain has the models draw from one seed, deep enough to find the faults
// that were put in by hand, unless flags say otherwise. The verdict is then the
// same each time.
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

// phase is how far a request of the model is.
type phase int

const (
	placing    phase = iota // its claim is being placed
	granted                 // it may be sent
	dispatched              // it was sent, no answer yet
	answered                // it ran and its answer is known
	settlingUp              // outcome or release is being written
	givingBack              // its claim is being given up
	over
)

// modelRequest is one request of a caller at some entry process, all under the
// same idempotency key.
type modelRequest struct {
	*claiming
	phase phase
	grant Grant
	// write is under way or to be made; it may be made many times.
	write backing.Write
	row   Row // what write records
	// result of the execution that the answer tells of.
	ran int
	// freed says that its claim was certainly not placed, or was given up.
	freed bool
}

// letter is a message to a target.
type letter struct {
	from  *modelRequest
	token Token
}

// machine lets requests step through the real decisions of this package, one
// at a time and in any order, while messages are lost, delayed and doubled.
type machine struct {
	store    *memory.Store
	checks   bool // the targets check fencing tokens, and takeover is allowed
	silent   bool // as far as takers see, the holder is
	requests []*modelRequest
	// late are writes whose sender was told nothing and that may yet take
	// effect.
	late    []backing.Write
	letters []letter
	// executions lists the tokens of the executions at the targets.
	executions []Token
	highest    Token
	byToken    map[Token]string
	replayed   string
}

const maxRequests = 5

func newMachine(checks bool) *machine {
	return &machine{store: memory.New(), checks: checks, byToken: map[Token]string{}}
}

// Arrive is a caller asking, again or elsewhere.
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
	claims := &Claims{objects: m.store.Objects(), silence: newSilence(m.clock()), later: newLater()}
	first := backing.Write{Row: backing.Row{Key: req.rowKey(), Body: encodeRow(heldBy(req))}, If: backing.IfAbsent}
	c := &claiming{Claims: claims, req: req, takeOverAllowed: m.checks, write: first}
	m.requests = append(m.requests, &modelRequest{claiming: c, phase: placing})
}

// clock has any holder look silent from the second look on, if the model says
// so: a term may pass between any two steps.
func (m *machine) clock() func() time.Time {
	at := time.Unix(0, 0)
	return func() time.Time {
		if m.silent {
			at = at.Add(silentTerm)
		}
		return at
	}
}

// Silence has terms pass, or not, from now on.
func (m *machine) Silence(t *rapid.T) { m.silent = rapid.Bool().Draw(t, "silent") }

// pick draws a request in one of the phases; nil if there is none.
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

// write makes one write with a fate.
func (m *machine) write(t *rapid.T, w backing.Write) placed {
	switch rapid.SampledFrom([]string{"answered", "answered", "answered", "lost", "late", "late", "refused"}).Draw(t, "fate") {
	case "lost":
		m.apply(w)
		return placed{err: backing.ErrUnknown}
	case "late":
		m.late = append(m.late, w)
		return placed{err: backing.ErrUnknown}
	case "refused":
		return placed{err: backing.ErrNotRun}
	default:
		return m.apply(w)
	}
}

func (m *machine) apply(w backing.Write) placed {
	conflicts, err := m.store.Commit(context.Background(), []backing.Write{w})
	if err != nil {
		return placed{err: err}
	}
	if len(conflicts) > 0 {
		return placed{found: conflicts[0].Found}
	}
	return placed{done: true}
}

// LateWrite has a delayed write take effect, if its condition still holds.
func (m *machine) LateWrite(t *rapid.T) {
	if len(m.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.late)-1).Draw(t, "write")
	w := m.late[i]
	m.late = append(m.late[:i:i], m.late[i+1:]...)
	m.apply(w)
}

// Place makes one try to place a claim.
func (m *machine) Place(t *rapid.T) {
	r := m.pick(t, placing)
	if r == nil {
		return
	}
	out, again := r.take(context.Background(), m.write(t, r.claiming.write))
	if again {
		return
	}
	switch out.Result {
	case Claimed:
		m.take(t, r, out.Grant)
	case Taken:
		m.replay(t, r, out)
	case NotRun:
		r.phase = over
		r.freed = true
	case Unknown:
		m.giveUp(r)
	default:
		t.Fatalf("claim ended as %d", out.Result)
	}
}

func (m *machine) take(t *rapid.T, r *modelRequest, grant Grant) {
	if other, found := m.byToken[grant.Token]; found {
		t.Fatalf("token %d was given to %s and %s", grant.Token, other, r.req.RequestID)
	}
	m.byToken[grant.Token] = r.req.RequestID
	r.grant = grant
	r.phase = granted
}

// replay checks that each caller that gets a recorded answer gets the same
// one, and that it is of an execution.
func (m *machine) replay(t *rapid.T, r *modelRequest, out Outcome) {
	if !out.Finished {
		return // it asks again
	}
	r.phase = over
	if out.Err != nil {
		t.Fatalf("recorded answer: %v", out.Err)
	}
	if len(m.executions) == 0 {
		t.Fatal("an answer is recorded and nothing ran")
	}
	body := string(out.Answer.Body)
	if m.replayed != "" && m.replayed != body {
		t.Fatalf("one caller got %q, another %q", m.replayed, body)
	}
	m.replayed = body
}

// rare keeps what ends a request from ending all of them early.
func rare(t *rapid.T) bool { return rapid.IntRange(0, 3).Draw(t, "rare") > 0 }

// GiveUp is a caller's time running out while its claim is being placed.
func (m *machine) GiveUp(t *rapid.T) {
	if rare(t) {
		return
	}
	if r := m.pick(t, placing); r != nil {
		m.giveUp(r)
	}
}

func (m *machine) giveUp(r *modelRequest) {
	r.phase = givingBack
	r.write = givingUp(r.req)
	if r.gaveUp().Result == NotRun {
		r.phase = over
		r.freed = true
	}
}

// GiveBack makes one try to give up a claim that was never used.
func (m *machine) GiveBack(t *rapid.T) {
	r := m.pick(t, givingBack)
	if r == nil {
		return
	}
	result := m.write(t, r.write)
	if result.err != nil {
		return
	}
	next, done := gaveUp(result, r.write, r.req)
	r.write = next
	if done {
		r.phase = over
		r.freed = true
	}
}

// Send dispatches a request to a target. How long it is on its way is open.
func (m *machine) Send(t *rapid.T) {
	r := m.pick(t, granted)
	if r == nil {
		return
	}
	r.phase = dispatched
	m.letters = append(m.letters, letter{from: r, token: r.grant.Token})
}

// NotSent is a target that refuses the connection: certainly not run.
func (m *machine) NotSent(t *rapid.T) {
	r := m.pick(t, granted)
	if r == nil {
		return
	}
	m.settleLater(r, Row{State: Released})
}

// Deliver has a target run a request, or refuse it by its fencing token.
func (m *machine) Deliver(t *rapid.T) {
	if len(m.letters) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.letters)-1).Draw(t, "letter")
	l := m.letters[i]
	m.letters = append(m.letters[:i:i], m.letters[i+1:]...)
	if m.checks && l.token < m.highest {
		return
	}
	m.highest = max(m.highest, l.token)
	m.executions = append(m.executions, l.token)
	if l.from.phase == dispatched && rapid.Bool().Draw(t, "answer arrives") {
		l.from.ran = len(m.executions)
		l.from.phase = answered
	}
}

// Answer begins to record an outcome.
func (m *machine) Answer(t *rapid.T) {
	r := m.pick(t, answered)
	if r == nil {
		return
	}
	recorded := record(r.grant, Answer{Status: 200, Body: fmt.Append(nil, "execution ", r.ran)})
	m.settleLater(r, Row{State: Finished, Outcome: &recorded})
}

func (m *machine) settleLater(r *modelRequest, row Row) {
	row.Holder, row.Fingerprint = r.req.holder(), r.req.Fingerprint
	r.row = row
	r.write = settling(r.grant, row)
	r.phase = settlingUp
}

// Settle makes one try to write an outcome or a release.
func (m *machine) Settle(t *rapid.T) {
	r := m.pick(t, settlingUp)
	if r == nil {
		return
	}
	result := m.write(t, r.write)
	if result.err != nil {
		return
	}
	r.phase = over
	finish := settled(result, r.grant, r.row.State)
	if finish == Superseded && r.row.State == Finished && !m.checks {
		t.Fatalf("the outcome of %s can't be recorded", r.req.RequestID)
	}
}

// Crash ends a request at any point. What it sent stays on its way.
func (m *machine) Crash(t *rapid.T) {
	if rare(t) {
		return
	}
	if r := m.pick(t, placing, granted, dispatched, answered, settlingUp, givingBack); r != nil {
		r.phase = over
	}
}

// Check is the promise.
func (m *machine) Check(t *rapid.T) {
	m.checkFreed(t)
	if !m.checks && len(m.executions) > 1 {
		t.Fatalf("executed %d times", len(m.executions))
	}
	for i := 1; i < len(m.executions); i++ {
		if m.executions[i] <= m.executions[i-1] {
			t.Fatalf("executed under tokens %v", m.executions)
		}
	}
}

// checkFreed wants that a claim that was given up does not come to stand by
// a late write: nobody would ever finish it, and the key would be refused for
// good. Where claims are taken over it can happen, and the next one takes over
// from it.
func (m *machine) checkFreed(t *rapid.T) {
	if m.checks {
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
		if r.freed && found.State == Held && found.Holder == r.req.holder() {
			t.Fatalf("the claim of %s stands after it was given up", r.req.RequestID)
		}
	}
}

// Callers ask again at any entry VM while processes crash or are paused between
// any two steps, and writes are lost or take effect late. On targets that
// ignore fencing tokens the request runs once at most, also when a claim was
// released or given up between; every caller that gets a recorded answer gets
// the same one.
func TestModelAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(rapid.StateMachineActions(newMachine(false))) })
}

// The same where the targets check fencing tokens and a silent holder's claim
// is taken over: no execution under an older token follows one under a newer.
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

// Rows come from the store, where other releases and hands may have written.
func FuzzDecodeRow(f *testing.F) {
	f.Add(encodeRow(heldBy(Request{RequestID: "r"})))
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
