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
	// enoughForTest bounds waits that end at once where nothing is wrong.
	enoughForTest = 10 * time.Second
	// engineTimeOfTest is what each call of the test costs its target, in
	// microseconds.
	engineTimeOfTest = 7000
)

// meeting lets two attempts of a stage end well before the stage looks at
// either, and keeps what is charged.
type meeting struct {
	quiet
	asked   atomic.Int64
	ended   chan struct{}
	answer  chan struct{}
	charges chan Charge
}

func (m *meeting) Charged(c Charge) { m.charges <- c }

// RequestPermission holds the third attempt, and the stage with it, until two have ended.
func (m *meeting) RequestPermission(suspect.Fingerprint) suspect.Permission {
	if m.asked.Add(1) <= 2 {
		return suspect.Unrestricted
	}
	close(m.answer)
	for range 2 {
		<-m.ended
	}
	return suspect.Denied
}

func (m *meeting) ReleasePermission(_ suspect.Fingerprint, leave suspect.Permission) {
	if leave == suspect.Unrestricted {
		m.ended <- struct{}{}
	}
}

// A stage is slow and gets a hedge, and both attempts answer at nearly the same
// time. One answer is used. The target has worked for the other one too, and
// told for how long: what is not charged is missing in the customer's bill,
// without any estimate that would hint at it.
func TestAnswerThatCameSecondIsCharged(t *testing.T) {
	m := &meeting{ended: make(chan struct{}, 2), answer: make(chan struct{}), charges: make(chan Charge, 4)}
	x := executorWith(t, func(w http.ResponseWriter, r *http.Request) {
		<-m.answer
		w.Header().Set(targetapi.HeaderRequestID, r.Header.Get(targetapi.HeaderRequestID))
		w.Header().Set(targetapi.HeaderEngineTime, strconv.Itoa(engineTimeOfTest))
		_, _ = w.Write([]byte(`{"data":[{"index":0,"embedding":[0.5]}]}`))
	})
	x.Observer, x.Suspicion = m, m
	x.Latencies.Observe("p", "encode", time.Millisecond) // so that hedges come soon
	ctx, cancel := context.WithTimeout(t.Context(), enoughForTest)
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
			assert.Equal(t, c.EngineTime, engineTimeOfTest*time.Microsecond)
			waste[c.Waste]++
		case <-ctx.Done():
			t.Fatalf("not both answers were charged, but %v", waste)
		}
	}
	assert.Equal(t, waste[NoWaste], 1, "%v", waste)
}

// Two attempts at a reranker answer at nearly the same time. The first answer is
// taken and cuts the request's documents to the best two; the other is read
// after that. Measured by the documents that are left it looks malformed, and a
// sound target is held to have failed, which takes it out of use.
func TestRerankAnswerThatCameSecondIsReadByWhatWasAsked(t *testing.T) {
	pool := config.Pool{Name: "reranker", Kind: config.TargetReranker}
	req := &Request{ID: "r", Pipeline: config.Pipeline{Name: "p", Stages: []config.Stage{{Name: "s", Pool: pool.Name}}}}
	r := newStageRun(nil, &work{req: req, docs: []string{"d0", "d1", "d2", "d3"}}, 0, pool)
	answer := &target.Answer{Body: []byte(`{"results":[{"index":3},{"index":1}]}`)}
	for attempt := 1; attempt <= 2; attempt++ {
		got, err := r.parse(answer, target.Identity{Request: "r", Stage: "s", Attempt: attempt})
		assert.NilError(t, err, "attempt %d", attempt)
		assert.DeepEqual(t, got.docs, []string{"d3", "d1"})
		r.take(got)
	}
}
