package logging

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// output collects what is written. Writes block while block is not nil and open.
type output struct {
	mu    sync.Mutex
	text  bytes.Buffer
	block chan struct{}
}

func (o *output) Write(p []byte) (int, error) {
	if o.block != nil {
		<-o.block
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func TestAllLinesAreWrittenInOrder(t *testing.T) {
	out := &output{}
	b, err := newBounded("info", metrics.NewRegistry(), out)
	assert.NilError(t, err)
	for i := range 30 {
		b.Info(fmt.Sprintf("line %d", i))
	}
	b.Debug("not asked for")
	b.Close()
	lines := strings.Split(strings.TrimSpace(out.text.String()), "\n")
	assert.Equal(t, len(lines), 30)
	assert.Assert(t, strings.Contains(lines[29], `"msg":"line 29"`))
}

// The program that reads the log has stopped reading. Logging must not block.
func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	out := &output{block: make(chan struct{})}
	registry := metrics.NewRegistry()
	b, err := newBounded("info", registry, out)
	assert.NilError(t, err)
	start := time.Now()
	for i := range 3 * queueCapacity {
		b.Info(fmt.Sprintf("line %d", i))
	}
	assert.Assert(t, time.Since(start) < time.Second)
	dropped := metrics.GetOrRegisterCounter(MetricDropped, registry).Count()
	assert.Assert(t, dropped >= queueCapacity, "%d", dropped)
	b.Close()
	close(out.block)
}

// In an outage every request writes the same line. Most of these lines must be
// counted instead of written.
func TestRepeatedLinesAreCounted(t *testing.T) {
	out := &output{}
	registry := metrics.NewRegistry()
	b, err := newBounded("info", registry, out)
	assert.NilError(t, err)
	for range 500 {
		b.Info("the same")
	}
	b.Close()
	written := strings.Count(out.text.String(), "the same")
	omitted := metrics.GetOrRegisterCounter(MetricSampled, registry).Count()
	assert.Assert(t, written <= 2*sampleFirst, "%d", written)
	assert.Equal(t, int64(written)+omitted, int64(500))
}

// brokenPipe is an output whose reader has exited.
type brokenPipe struct{}

func (brokenPipe) Write([]byte) (int, error) { return 0, syscall.EPIPE }

// The program that reads the log has exited. The metrics must show that lines are
// missing.
func TestFailedWritesAreCounted(t *testing.T) {
	registry := metrics.NewRegistry()
	b, err := newBounded("info", registry, brokenPipe{})
	assert.NilError(t, err)
	for i := range 30 {
		b.Info(fmt.Sprintf("line %d", i))
	}
	b.Close()
	assert.Equal(t, metrics.GetOrRegisterCounter(MetricDropped, registry).Count(), int64(30))
}

// Nearly all lines come from loggers of components. If sampling did not apply to
// them, the log would grow by one line per request in an outage.
func TestRepeatedLinesOfAComponentAreCounted(t *testing.T) {
	out := &output{}
	registry := metrics.NewRegistry()
	b, err := newBounded("info", registry, out)
	assert.NilError(t, err)
	part := WithComponent(b.Logger, "request").With(RequestID("r1"))
	for range 500 {
		part.Info("the same")
	}
	part.Debug("not asked for")
	b.Close()
	written := strings.Count(out.text.String(), `"msg":"request: the same","request":"r1"`)
	omitted := metrics.GetOrRegisterCounter(MetricSampled, registry).Count()
	assert.Assert(t, written <= 2*sampleFirst, "%d", written)
	assert.Equal(t, int64(written)+omitted, int64(500))
	assert.Assert(t, !strings.Contains(out.text.String(), "not asked for"))
}
