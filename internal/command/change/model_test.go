package change

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/backing/memory"
	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/query/changes"
)

// TestMain runs the model with a fixed seed, so that the result is
// reproducible, and with enough checks and steps to find deliberately inserted
// faults. Flags override these settings.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "150", "rapid.steps": "40"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// machine is a store that loses, delays and refuses calls while several
// submissions interleave. It uses real submissions.
type machine struct {
	t             *rapid.T
	store         *memory.Store
	delayedWrites [][]backing.Write
	depth         int
	next          int
	finalOutcomes map[string]Outcome // by change ID; accepted, conflicting and invalid ones
	requests      map[string]Request
	// submissions counts the submissions of each change, unchanged those of
	// them that reported that nothing was changed.
	submissions map[string]int
	unchanged   map[string]int
}

// maxDepth is the maximum nesting depth of submissions.
const maxDepth = 3

func (m *machine) Get(ctx context.Context, key backing.Key) (*backing.Row, error) {
	m.maybeInterleave("before a read")
	if rapid.IntRange(0, 19).Draw(m.t, "read fails") == 0 {
		return nil, backing.ErrUnknown
	}
	return m.store.Get(ctx, key)
}

func (m *machine) Scan(ctx context.Context, partition, after string, limit int) ([]backing.Row, error) {
	m.maybeInterleave("before a scan")
	return m.store.Scan(ctx, partition, after, limit)
}

func (m *machine) Commit(ctx context.Context, writes []backing.Write) ([]backing.Conflict, error) {
	m.maybeInterleave("before a write")
	switch rapid.SampledFrom([]string{"answered", "answered", "lost", "late", "refused"}).Draw(m.t, "result") {
	case "lost":
		_, _ = m.store.Commit(ctx, writes)
		return nil, backing.ErrUnknown
	case "late":
		m.delayedWrites = append(m.delayedWrites, writes)
		return nil, backing.ErrUnknown
	case "refused":
		return nil, backing.ErrNotRun
	default:
		return m.store.Commit(ctx, writes)
	}
}

// maybeInterleave may apply a delayed write or run another submission in the
// middle of a submission.
func (m *machine) maybeInterleave(when string) {
	if m.depth == 0 || m.depth >= maxDepth || rapid.IntRange(0, 4).Draw(m.t, when) > 0 {
		return
	}
	if rapid.Bool().Draw(m.t, "late write") {
		m.LateWrite(m.t)
		return
	}
	m.Submit(m.t)
}

// LateWrite applies a delayed write if its condition still holds.
func (m *machine) LateWrite(t *rapid.T) {
	if len(m.delayedWrites) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.delayedWrites)-1).Draw(t, "write")
	writes := m.delayedWrites[i]
	m.delayedWrites = append(m.delayedWrites[:i:i], m.delayedWrites[i+1:]...)
	_, _ = m.store.Commit(context.Background(), writes)
}

// Submit submits a change of one of two items, or an earlier request again.
func (m *machine) Submit(t *rapid.T) {
	req := m.drawRequest(t)
	m.depth++
	m.submissions[req.ID]++
	tries := rapid.IntRange(1, 6).Draw(t, "tries")
	s := New(m, config.NewState)
	s.wait = func(context.Context, time.Duration) bool { tries--; return tries > 0 }
	out := s.Submit(context.Background(), req)
	m.depth--
	m.recordOutcome(t, req, out)
}

func (m *machine) drawRequest(t *rapid.T) Request {
	if m.next > 0 && rapid.Bool().Draw(t, "again") {
		return m.requests[fmt.Sprint(rapid.IntRange(0, m.next-1).Draw(t, "which"))]
	}
	id := fmt.Sprint(m.next)
	m.next++
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "item")
	state, _, err := changes.CatchUp(context.Background(), m.store, config.NewState())
	if err != nil {
		t.Fatal(err)
	}
	expect := state.LastChanges[config.ItemKey(config.KindContract, name)].Revision
	if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
		expect = 0
	}
	req := contractRequest(id, name, m.next, expect)
	m.requests[id] = req
	return req
}

// recordOutcome records the outcome of a submission and checks that it is
// consistent with the earlier outcomes of the same change.
func (m *machine) recordOutcome(t *rapid.T, req Request, out Outcome) {
	before, found := m.finalOutcomes[req.ID]
	if found && before.Result == Accepted && out.Result == Accepted && before.Revision != out.Revision {
		t.Fatalf("change %s was accepted as revision %d and as revision %d", req.ID, before.Revision, out.Revision)
	}
	if found && before.Result == Accepted && (out.Result == Conflict || out.Result == Invalid) {
		t.Fatalf("change %s was accepted as revision %d and then refused", req.ID, before.Revision)
	}
	if out.Result == Unavailable {
		m.unchanged[req.ID]++
	}
	if out.Result == Accepted || out.Result == Conflict || out.Result == Invalid {
		m.finalOutcomes[req.ID] = out
	}
}

// Check verifies the invariants: revisions have no gaps or duplicates, no item
// is changed by a request that expected another revision, and every reported
// outcome remains true.
func (m *machine) Check(t *rapid.T) {
	state, applied, err := changes.CatchUp(context.Background(), m.store, config.NewState())
	if err != nil {
		t.Fatal(err)
	}
	revisionOf := map[string]config.Revision{}
	last := map[string]config.Revision{}
	for _, c := range applied {
		if other, found := revisionOf[c.ID]; found {
			t.Fatalf("change %s is stored at revisions %d and %d", c.ID, other, c.Revision)
		}
		revisionOf[c.ID] = c.Revision
		if expect := m.requests[c.ID].ExpectedRevision; expect != last[c.Name] {
			t.Fatalf("change %s expected revision %d and replaced revision %d", c.ID, expect, last[c.Name])
		}
		last[c.Name] = c.Revision
	}
	head, err := changes.Head(context.Background(), m.store)
	if err != nil || head != state.Revision {
		t.Fatalf("head is at revision %d, changes are at %d, error %v", head, state.Revision, err)
	}
	for id, n := range m.unchanged {
		if n == m.submissions[id] && revisionOf[id] != 0 {
			t.Fatalf("change %s: every submission reported that nothing was changed, but it is stored at revision %d", id, revisionOf[id])
		}
	}
	for id, out := range m.finalOutcomes {
		if out.Result == Accepted && revisionOf[id] != out.Revision {
			t.Fatalf("change %s: reported as accepted at revision %d, stored at %d", id, out.Revision, revisionOf[id])
		}
		if out.Result != Accepted && revisionOf[id] != 0 {
			t.Fatalf("change %s: reported as refused, stored at revision %d", id, revisionOf[id])
		}
	}
}

// Several operators change two contracts concurrently through entry processes
// that interleave at every step, while the store loses answers and applies
// writes late. A change reported as accepted is found under its revision, a
// refused one is never found, and no change overwrites one that its operator
// has not seen.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{t: t, store: memory.New(), finalOutcomes: map[string]Outcome{}, requests: map[string]Request{}, submissions: map[string]int{}, unchanged: map[string]int{}}
		t.Repeat(rapid.StateMachineActions(m))
	})
}

// Items come from operators' files. For any content Validate returns a list of
// errors or nothing, and an item that passes can be applied.
func FuzzValidate(f *testing.F) {
	for _, kind := range []config.Kind{config.KindContract, config.KindPool, config.KindPipeline, config.KindService, config.KindStop} {
		f.Add(string(kind), "a", []byte(`{"customer":"a","name":"a","id":"a"}`))
		f.Add(string(kind), "a", []byte(`null`))
	}
	f.Add("contract", "a", []byte(`{"customer":"a","balance":1e999}`))
	f.Fuzz(func(t *testing.T, kind, name string, body []byte) {
		req := Request{ID: "id", Kind: config.Kind(kind), Name: name, Body: body, By: "op"}
		if len(Validate(config.NewState(), req)) > 0 {
			return
		}
		change := config.Change{ID: "id", Revision: 1, Kind: req.Kind, Name: name, Body: body, By: "op"}
		if _, err := config.NewState().Apply(change); err != nil {
			t.Fatalf("accepted and can't be applied: %v", err)
		}
	})
}
