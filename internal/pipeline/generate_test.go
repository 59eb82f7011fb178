package pipeline

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/crashes"
	"github.com/vanillagate/vanillagate/internal/directory"
	"github.com/vanillagate/vanillagate/internal/retry"
	"github.com/vanillagate/vanillagate/internal/routing"
	"github.com/vanillagate/vanillagate/internal/suspect"
	"github.com/vanillagate/vanillagate/internal/target"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// noopHooks implements Observer and Suspicion. It records nothing and suspects
// no request.
type noopHooks struct{ Suspicion }

func (noopHooks) Charged(Charge)                                  {}
func (noopHooks) StageDone(string, string, string, time.Duration) {}
func (noopHooks) CallFailed(string, string, string, error)        {}
func (noopHooks) Check(suspect.Fingerprint) suspect.Verdict       { return "" }
func (noopHooks) RequestPermission(suspect.Fingerprint) suspect.Permission {
	return suspect.Unrestricted
}
func (noopHooks) MayContinue(suspect.Fingerprint, suspect.Permission) bool  { return true }
func (noopHooks) Watch(suspect.Fingerprint, func()) func()                  { return func() {} }
func (noopHooks) ReleasePermission(suspect.Fingerprint, suspect.Permission) {}
func (noopHooks) Convicted(crashes.Traits) bool                             { return false }
func (noopHooks) Crashed(crashes.Call)                                      {}
func (noopHooks) Answered(crashes.Call)                                     {}

// newTestExecutor returns an executor with a single engine.
func newTestExecutor(t *testing.T, engine http.HandlerFunc) *Executor {
	t.Helper()
	server := httptest.NewServer(engine)
	t.Cleanup(server.Close)
	policy, err := routing.New(routing.Default)
	assert.NilError(t, err)
	targets := directory.New(directory.Options{Node: "n", Zone: "a", Policy: policy, Ejection: routing.DefaultEjection()})
	targets.Update([]backing.VM{{
		Address: strings.TrimPrefix(server.URL, "http://"), Role: backing.RoleTarget, Pool: "llm", Zone: "a", State: backing.VMLive,
	}}, time.Now())
	return &Executor{
		Targets: targets, Client: target.NewClient(1 << 20), Budgets: &retry.Budgets{}, Latencies: NewLatencyTracker(),
		Observer: noopHooks{}, Suspicion: noopHooks{},
	}
}

func singleStageRequest(maxTokens int) *Request {
	return &Request{
		ID: "r", Customer: "granite", Input: "x", MaxTokens: maxTokens,
		Pipeline: config.Pipeline{Name: "p", Stages: []config.Stage{{Name: "generate", Pool: "llm"}}},
		Pools:    map[string]config.Pool{"llm": {Name: "llm", Kind: config.TargetEngine}},
	}
}

// An engine's stream breaks after its last token but before [DONE]. The text is
// complete. Asking another engine for the remaining zero tokens would make it
// generate its default number, and the caller would get text after the end.
func TestStreamCutAfterLastTokenIsComplete(t *testing.T) {
	var calls atomic.Int64
	x := newTestExecutor(t, func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		id := r.Header.Get(targetapi.HeaderRequestID)
		w.Header().Set(targetapi.HeaderRequestID, id)
		for _, word := range []string{"a", " b", " c"} {
			_, _ = fmt.Fprintf(w, "data: {\"id\":\"cmpl-%s\",\"choices\":[{\"text\":%q}]}\n\n", id, word)
		}
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	got, prob := x.Run(ctx, singleStageRequest(3))
	assert.Assert(t, prob == nil, "%v", prob)
	assert.Equal(t, got.Output, "a b c")
	assert.Equal(t, got.Usage.CompletionTokens, 3)
	assert.Equal(t, calls.Load(), int64(1))
}

// A rerank answer that names a document twice would send one document to the
// engine twice and drop another.
func TestRerankAnswerWithDuplicateDocumentIsRejected(t *testing.T) {
	id := target.Identity{Request: "r", Stage: "s", Attempt: 1}
	for body, good := range map[string]bool{
		`{"id":"r/s/1","results":[{"index":1},{"index":0}]}`: true,
		`{"id":"r/s/1","results":[{"index":1},{"index":1}]}`: false,
		`{"id":"r/s/1","results":[{"index":2}]}`:             false,
		`{"id":"r/s/1","results":[{"index":-1}]}`:            false,
		`{"id":"r/s/2","results":[{"index":1}]}`:             false,
	} {
		_, err := parseRerank([]byte(body), id, []string{"d0", "d1"})
		assert.Equal(t, err == nil, good, body)
	}
}

// Stages may return arbitrary answers. Each is either parsed or a failure of
// the stage.
func FuzzStageAnswers(f *testing.F) {
	f.Add([]byte(`{"data":[{"index":0,"embedding":[0.5,1]}]}`))
	f.Add([]byte(`{"search_query":"q","data":[{"content":"d"}]}`))
	f.Add([]byte(`{"id":"r/s/1","results":[{"index":1},{"index":0}]}`))
	f.Add([]byte(`{"id":"cmpl-r/s/1","choices":[{"text":"w","finish_reason":"stop"}],"usage":{"prompt_tokens":3}}`))
	f.Add([]byte(`{"id":"cmpl-r/s/2","choices":[{"text":"w"}]}`))
	f.Add([]byte(`{"results":[{"index":-1}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		docs := []string{"d0", "d1"}
		id := target.Identity{Request: "r", Stage: "s", Attempt: 1}
		if p, err := parseEmbedding(body); err == nil {
			assert.Assert(t, len(p.vector) > 0)
		}
		_, _ = parseSearch(body, "q")
		if p, err := parseRerank(body, id, docs); err == nil {
			assert.Assert(t, len(p.docs) <= len(docs))
		}
		g := &generation{maxTokens: 4}
		if _, err := g.handleEvent(body, "cmpl-"+id.String()); err != nil {
			assert.Equal(t, g.tokens, 0)
		}
	})
}
