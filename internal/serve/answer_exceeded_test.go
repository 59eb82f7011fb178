package serve

import (
	"testing"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/upstream"
)

// Guards against a faulty target that operators can't find: neither counted nor logged.
func TestExceededBoundIsCountedAndLogged(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	s := &Server{log: zap.New(core), metrics: metrics.NewRegistry()}
	s.answerExceeded("t-1", "10.0.0.1:1", &upstream.BoundError{Part: upstream.NoEvent, Bytes: 70000, TimedOut: true})
	assert.Equal(t, metrics.GetOrRegisterCounter(`vanillagate_answers_exceeding{kind="no event"}`, s.metrics).Count(), int64(1))
	assert.DeepEqual(t, lines.All()[0].ContextMap(), map[string]any{
		"target": "t-1", "address": "10.0.0.1:1", "kind": "no event", "bytes": int64(70000), "timed_out": true,
	})
}
