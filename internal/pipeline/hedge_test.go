package pipeline

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/suspect"
	"github.com/vanillagate/vanillagate/internal/target"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

const (
	// testTimeout bounds waits that end quickly unless the test fails.
	testTimeout = 10 * time.Second
	// testEngineTimeUS is the engine time that the target reports for each
	// call.
	testEngineTimeUS = 7000
)

// simultaneousAnswers lets two attempts of a stage succeed before the stage
// processes either, and keeps the charges.
type simultaneousAnswers struct {
	noopHooks
	permissionRequests  atomic.Int64
	permissionsReleased chan struct{}
	allowAnswers        chan struct{}
	charges             chan Charge
}

func (m *simultaneousAnswers) Charged(c Charge) { m.charges <- c }

// RequestPermission blocks the third attempt, and the stage with it, until two
// attempts have ended.
func (m *simultaneousAnswers) RequestPermission(suspect.Fingerprint) suspect.Permission {
	if m.permissionRequests.Add(1) <= 2 {
		return suspect.Unrestricted
	}
	close(m.allowAnswers)
	for range 2 {
		<-m.permissionsReleased
	}
	return suspect.Denied
}

func (m *simultaneousAnswers) ReleasePermission(_ suspect.Fingerprint, permission suspect.Permission) {
	if permission == suspect.Unrestricted {
		m.permissionsReleased <- struct{}{}
	}
}

// A slow stage gets a hedge, and both attempts answer at nearly the same time.
// One answer is used, but the target worked on both and reported the engine
// time. If the other one is not charged, it is missing from the customer's
// bill, and no estimate would show it.
func TestLosingHedgeAnswerIsCharged(t *testing.T) {
	m := &simultaneousAnswers{permissionsReleased: make(chan struct{}, 2), allowAnswers: make(chan struct{}), charges: make(chan Charge, 4)}
	x := newTestExecutor(t, func(w http.ResponseWriter, r *http.Request) {
		<-m.allowAnswers
		w.Header().Set(targetapi.HeaderRequestID, r.Header.Get(targetapi.HeaderRequestID))
		w.Header().Set(targetapi.HeaderEngineTime, strconv.Itoa(testEngineTimeUS))
		_, _ = w.Write([]byte(`{"data":[{"index":0,"embedding":[0.5]}]}`))
	})
	x.Observer, x.Suspicion = m, m
	x.Latencies.Observe("p", "encode", time.Millisecond) // makes hedges start soon
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	_, prob := x.Run(ctx, &Request{
		ID: "r", Customer: "granite", Input: "x",
		Pipeline: config.Pipeline{Name: "p", Stages: []config.Stage{{Name: "encode", Pool: "llm"}}},
		Pools:    map[string]config.Pool{"llm": {Name: "llm", Kind: config.TargetEncoder}},
	})
	assert.Assert(t, prob == nil, "%v", prob)
	waste := map[Waste]int{}
	for range 2 {
		select {
		case c := <-m.charges:
			assert.Equal(t, c.EngineTime, testEngineTimeUS*time.Microsecond)
			waste[c.Waste]++
		case <-ctx.Done():
			t.Fatalf("not both answers were charged, but %v", waste)
		}
	}
	assert.Equal(t, waste[NoWaste], 1, "%v", waste)
}

// Two attempts at a reranker answer at nearly the same time. The first answer
// cuts the request's documents to the best two before the other is parsed.
// Checked against the remaining documents the second answer looks malformed,
// and a healthy target would be recorded as failed and taken out of use.
func TestLateRerankAnswerIsCheckedAgainstItsOwnDocuments(t *testing.T) {
	pool := config.Pool{Name: "reranker", Kind: config.TargetReranker}
	req := &Request{ID: "r", Pipeline: config.Pipeline{Name: "p", Stages: []config.Stage{{Name: "s", Pool: pool.Name}}}}
	r := newStageRun(nil, &requestState{req: req, docs: []string{"d0", "d1", "d2", "d3"}}, 0, pool)
	answer := &target.Answer{Body: []byte(`{"results":[{"index":3},{"index":1}]}`)}
	for attempt := 1; attempt <= 2; attempt++ {
		got, err := r.parse(answer, target.Identity{Request: "r", Stage: "s", Attempt: attempt})
		assert.NilError(t, err, "attempt %d", attempt)
		assert.DeepEqual(t, got.docs, []string{"d3", "d1"})
		r.apply(got)
	}
}
