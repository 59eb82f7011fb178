package logging

import (
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queueCapacity is the maximum number of lines that wait to be written: about
	// 300 KB at 300 bytes per line.
	queueCapacity = 1024
	// sampleWindow and sampleFirst limit the lines with the same message: the first
	// sampleFirst in each window are written, the others are only counted. In an
	// outage every request would write the same line otherwise.
	sampleWindow = time.Second
	sampleFirst  = 40
	// summaryPeriod is the interval between log lines that report omitted lines.
	summaryPeriod = 5 * time.Second
)

// Names of the counters of lines that were not written: MetricSampled counts
// repeated messages, MetricDropped lines lost to a full queue or a failed write.
const (
	MetricSampled = "log.lines_left_out"
	MetricDropped = "log.lines_dropped"
)

// Bounded is a logger that never blocks its caller and limits repeated messages.
type Bounded struct {
	*zap.Logger
	writer *queuedWriter
	stop   chan struct{}
	done   chan struct{}
}

// NewBounded returns a logger that writes JSON lines to standard output at the
// given level. It omits repeated lines, and drops lines when the output doesn't
// keep up; both are counted in the registry. Close it at the end.
func NewBounded(level string, registry metrics.Registry) (*Bounded, error) {
	return newBounded(level, registry, os.Stdout)
}

func newBounded(level string, registry metrics.Registry, out io.Writer) (*Bounded, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	sampled := metrics.GetOrRegisterCounter(MetricSampled, registry)
	w := &queuedWriter{out: out, lines: make(chan []byte, queueCapacity), dropped: metrics.GetOrRegisterCounter(MetricDropped, registry)}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), w, parsed)
	core = zapcore.NewSamplerWithOptions(core, sampleWindow, sampleFirst, 0, zapcore.SamplerHook(
		func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
			if decision&zapcore.LogDropped != 0 {
				sampled.Inc(1)
			}
		}))
	b := &Bounded{Logger: zap.New(core), writer: w, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	go b.reportOmitted(sampled)
	return b, nil
}

// reportOmitted logs at intervals how many lines were omitted, if any.
func (b *Bounded) reportOmitted(sampled metrics.Counter) {
	defer close(b.done)
	ticker := time.NewTicker(summaryPeriod)
	defer ticker.Stop()
	var reportedSampled, reportedDropped int64
	for {
		select {
		case <-b.stop:
			return
		case <-ticker.C:
		}
		sampledCount, droppedCount := sampled.Count(), b.writer.dropped.Count()
		if sampledCount > reportedSampled || droppedCount > reportedDropped {
			b.Warn("Log lines left out.", zap.Int64("repeated", sampledCount-reportedSampled), zap.Int64("dropped", droppedCount-reportedDropped))
		}
		reportedSampled, reportedDropped = sampledCount, droppedCount
	}
}

// Close writes the queued lines and stops the logger.
func (b *Bounded) Close() {
	close(b.stop)
	<-b.done
	b.writer.close()
}

// queuedWriter writes lines from a queue, so that a slow output does not block the
// callers.
type queuedWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped metrics.Counter
	closed  atomic.Bool
	drained chan struct{}
}

// Write queues a line, or drops it if the queue is full.
func (q *queuedWriter) Write(line []byte) (int, error) {
	if q.closed.Load() {
		return len(line), nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Inc(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing: there is no buffer to
// flush besides the queue, which Close writes.
func (q *queuedWriter) Sync() error { return nil }

func (q *queuedWriter) run() {
	for line := range q.lines {
		if line == nil {
			close(q.drained)
			return
		}
		if _, err := q.out.Write(line); err != nil {
			q.dropped.Inc(1) // can't be logged, since the log itself fails
		}
	}
}

// closeTimeout bounds each wait of close for the last lines.
const closeTimeout = 200 * time.Millisecond

func (q *queuedWriter) close() {
	q.closed.Store(true)
	q.drained = make(chan struct{})
	select {
	case q.lines <- nil:
	case <-time.After(closeTimeout):
		return
	}
	select {
	case <-q.drained:
	case <-time.After(closeTimeout):
	}
}
