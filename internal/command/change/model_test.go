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

// TestMain has the model draw from one seed, deep enough to find the faults
// that were put in by hand, unless flags say otherwise. The verdict is then the
// same each time.
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
// submissions run into each other. The submissions are the real ones.
type machine struct {
	t       *rapid.T
	store   *memory.Store
	late    [][]backing.Write
	depth   int
	next    int
	results map[string]Outcome // by change ID, of those that are final
	asked   map[string]Request
	// tries counts the submissions of a change, unchanged lists those that said
	// that they changed nothing.
	tries     map[string]int
	unchanged map[string]int
}

// maxDepth is how many submissions run within each other.
const maxDepth = 3

func (m *machine) Get(ctx context.Context, key backing.Key) (*backing.Row, error) {
	m.another("before a read")
	if rapid.IntRange(0, 19).Draw(m.t, "read fails") == 0 {
		return nil, backing.ErrUnknown
	}
	return m.store.Get(ctx, key)
}

func (m *machine) Scan(ctx context.Context, partition, after string, limit int) ([]backing.Row, error) {
	m.another("before a scan")
	return m.store.Scan(ctx, partition, after, limit)
}

func (m *machine) Commit(ctx context.Context, writes []backing.Write) ([]backing.Conflict, error) {
	m.another("before a write")
	switch rapid.SampledFrom([]string{"answered", "answered", "lost", "late", "refused"}).Draw(m.t, "fate") {
	case "lost":
		_, _ = m.store.Commit(ctx, writes)
		return nil, backing.ErrUnknown
	case "late":
		m.late = append(m.late, writes)
		return nil, backing.ErrUnknown
	case "refused":
		return nil, backing.ErrNotRun
	default:
		return m.store.Commit(ctx, writes)
	}
}

// another has something else happen in the middle of a submission.
func (m *machine) another(when string) {
	if m.depth == 0 || m.depth >= maxDepth || rapid.IntRange(0, 4).Draw(m.t, when) > 0 {
		return
	}
	if rapid.Bool().Draw(m.t, "late write") {
		m.LateWrite(m.t)
		return
	}
	m.Submit(m.t)
}

// LateWrite has a delayed write take effect, if its condition still holds.
func (m *machine) LateWrite(t *rapid.T) {
	if len(m.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.late)-1).Draw(t, "write")
	writes := m.late[i]
	m.late = append(m.late[:i:i], m.late[i+1:]...)
	_, _ = m.store.Commit(context.Background(), writes)
}

// Submit asks for a change of one of two items, or sends an earlier request
// again.
func (m *machine) Submit(t *rapid.T) {
	req := m.draw(t)
	m.depth++
	m.tries[req.ID]++
	tries := rapid.IntRange(1, 6).Draw(t, "tries")
	s := New(m, config.NewState)
	s.wait = func(context.Context, time.Duration) bool { tries--; return tries > 0 }
	out := s.Submit(context.Background(), req)
	m.depth--
	m.note(t, req, out)
}

func (m *machine) draw(t *rapid.T) Request {
	if m.next > 0 && rapid.Bool().Draw(t, "again") {
		return m.asked[fmt.Sprint(rapid.IntRange(0, m.next-1).Draw(t, "which"))]
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
	req := contract(id, name, m.next, expect)
	m.asked[id] = req
	return req
}

// note keeps what a submission said, and wants the same of a change that was
// accepted before.
func (m *machine) note(t *rapid.T, req Request, out Outcome) {
	before, found := m.results[req.ID]
	if found && before.Result == Accepted && out.Result == Accepted && before.Revision != out.Revision {
		t.Fatalf("change %s was accepted as %d and as %d", req.ID, before.Revision, out.Revision)
	}
	if found && before.Result == Accepted && (out.Result == Conflict || out.Result == Invalid) {
		t.Fatalf("change %s was accepted as %d and then refused", req.ID, before.Revision)
	}
	if out.Result == Unavailable {
		m.unchanged[req.ID]++
	}
	if out.Result == Accepted || out.Result == Conflict || out.Result == Invalid {
		m.results[req.ID] = out
	}
}

// Check is the promise: revisions without gap or double, no item changed by one
// who expected another revision, and each answer true for good.
func (m *machine) Check(t *rapid.T) {
	state, applied, err := changes.CatchUp(context.Background(), m.store, config.NewState())
	if err != nil {
		t.Fatal(err)
	}
	revisionOf := map[string]config.Revision{}
	last := map[string]config.Revision{}
	for _, c := range applied {
		if other, found := revisionOf[c.ID]; found {
			t.Fatalf("change %s stands at %d and %d", c.ID, other, c.Revision)
		}
		revisionOf[c.ID] = c.Revision
		if expect := m.asked[c.ID].ExpectedRevision; expect != last[c.Name] {
			t.Fatalf("change %s expected %d and replaced %d", c.ID, expect, last[c.Name])
		}
		last[c.Name] = c.Revision
	}
	head, err := changes.Head(context.Background(), m.store)
	if err != nil || head != state.Revision {
		t.Fatalf("head %d, changes up to %d, %v", head, state.Revision, err)
	}
	for id, n := range m.unchanged {
		if n == m.tries[id] && revisionOf[id] != 0 {
			t.Fatalf("change %s: all tries said that nothing was changed, stands at %d", id, revisionOf[id])
		}
	}
	for id, out := range m.results {
		if out.Result == Accepted && revisionOf[id] != out.Revision {
			t.Fatalf("change %s: said accepted as %d, stands at %d", id, out.Revision, revisionOf[id])
		}
		if out.Result != Accepted && revisionOf[id] != 0 {
			t.Fatalf("change %s: said refused, stands at %d", id, revisionOf[id])
		}
	}
}

// Operators of several shifts change two contracts at once, through entry
// processes that run into each other at every step, while the store loses
// answers and takes writes late. Whoever was told "accepted" finds the change
// under that revision, whoever was told "refused" never finds it, and nobody
// overwrites what he has not seen.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{t: t, store: memory.New(), results: map[string]Outcome{}, asked: map[string]Request{}, tries: map[string]int{}, unchanged: map[string]int{}}
		t.Repeat(rapid.StateMachineActions(m))
	})
}

// Items come from operators' files. Whatever they hold, the answer is a list of
// faults, and what is accepted can be applied.
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
