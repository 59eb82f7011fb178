package cost

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/backing/memory"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/query/costs"
)

var generateKey = costs.Key{Customer: "granite", Pipeline: "summary", Stage: "generate"}

var (
	noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	year = 365 * 24 * time.Hour
)

func newRecorder(store *memory.Store, me string) *Recorder {
	r := New(store, peer.Incarnation(me), zap.NewNop())
	r.now = func() time.Time { return noon }
	return r
}

// The store writes a cost row but its answer is lost, and later calls fail in
// other ways. The customer's bill must contain each call exactly once.
func TestLostAnswersCountOnce(t *testing.T) {
	store := memory.New()
	r := newRecorder(store, "i1")
	call := costs.Amount{
		Requests: 1, EngineUS: 100, PromptTokens: 7,
		WastedUS: map[costs.WasteReason]int64{"hedge_lost": 30},
	}
	for _, fault := range []memory.Fault{memory.LostAnswer, memory.NotRun, memory.LostCall, memory.LostAnswer} {
		store.SetFaults(func(memory.Call) memory.Fault { return fault })
		r.Add(generateKey, call)
		assert.Assert(t, r.Flush(t.Context()) != nil)
	}
	store.SetFaults(nil)
	assert.NilError(t, r.Flush(t.Context()))
	assert.NilError(t, r.Flush(t.Context()))
	other := newRecorder(store, "i2")
	other.Add(generateKey, call)
	assert.NilError(t, other.Flush(t.Context()))
	report, err := costs.Sum(t.Context(), store, noon.Add(-year), noon.Add(year))
	assert.NilError(t, err)
	assert.DeepEqual(t, report.Entries, []costs.Entry{{Key: generateKey, Amount: costs.Amount{
		Requests: 5, EngineUS: 500, PromptTokens: 35, WastedUS: map[costs.WasteReason]int64{"hedge_lost": 150},
	}}})
	report, err = costs.Sum(t.Context(), store, noon.Add(time.Second), noon.Add(year))
	assert.NilError(t, err)
	assert.Equal(t, len(report.Entries), 0)
}
