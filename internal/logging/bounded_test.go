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

// output is a slow or fast output.
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

func TestLinesArriveInOrderAndToTheLast(t *testing.T) {
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

// Whatever reads the log has stopped reading. Requests must not wait for it.
func TestAStuckOutputBlocksNobody(t *testing.T) {
	out := &output{block: make(chan struct{})}
	registry := metrics.NewRegistry()
	b, err := newBounded("info", registry, out)
	assert.NilError(t, err)
	start := time.Now()
	for i := range 3 * queueLines {
		b.Info(fmt.Sprintf("line %d", i))
	}
	assert.Assert(t, time.Since(start) < time.Second)
	dropped := metrics.GetOrRegisterCounter(MetricDropped, registry).Count()
	assert.Assert(t, dropped >= queueLines, "%d", dropped)
	b.Close()
	close(out.block)
}

// In an outage every request writes the same line. They are counted instead.
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
	left := metrics.GetOrRegisterCounter(MetricSampled, registry).Count()
	assert.Assert(t, written <= 2*sampleFirst, "%d", written)
	assert.Equal(t, int64(written)+left, int64(500))
}

// gone is an output that nobody reads any more.
type gone struct{}

func (gone) Write([]byte) (int, error) { return 0, syscall.EPIPE }

// What reads the log has ended. Whoever looks at the metrics must see that lines
// are missing.
func TestLinesThatCannotBeWrittenAreCounted(t *testing.T) {
	registry := metrics.NewRegistry()
	b, err := newBounded("info", registry, gone{})
	assert.NilError(t, err)
	for i := range 30 {
		b.Info(fmt.Sprintf("line %d", i))
	}
	b.Close()
	assert.Equal(t, metrics.GetOrRegisterCounter(MetricDropped, registry).Count(), int64(30))
}

// In an outage every request writes the same line. Nearly all lines are those of a
// part of the program: if theirs were not left out, the log would grow by as many
// lines as there are requests.
func TestRepeatedLinesOfAPartAreCounted(t *testing.T) {
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
	left := metrics.GetOrRegisterCounter(MetricSampled, registry).Count()
	assert.Assert(t, written <= 2*sampleFirst, "%d", written)
	assert.Equal(t, int64(written)+left, int64(500))
	assert.Assert(t, !strings.Contains(out.text.String(), "not asked for"))
}
