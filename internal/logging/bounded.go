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
	// queueLines is how many lines wait for the writer. At 300 bytes a line that
	// is 300 KB at most.
	queueLines = 1024
	// sampleTick, sampleFirst: of lines with the same message only so many are
	// written in each tick; the rest are counted. In an outage every request
	// would write the same line otherwise.
	sampleTick  = time.Second
	sampleFirst = 40
	// summaryPeriod is how often lines that were left out are told of.
	summaryPeriod = 5 * time.Second
)

// Names of the counters of lines that weren't written.
const (
	MetricSampled = "log.lines_left_out"
	MetricDropped = "log.lines_dropped"
)

// Bounded is a logger that never blocks its caller and whose volume is bounded.
type Bounded struct {
	*zap.Logger
	writer *queued
	stop   chan struct{}
	done   chan struct{}
}

// NewBounded logs JSON lines to standard output at the given level. Lines that
// repeat are counted rather than written, and when the output doesn't keep up
// lines are dropped; both are counted in the registry. Close it at the end.
func NewBounded(level string, registry metrics.Registry) (*Bounded, error) {
	return newBounded(level, registry, os.Stdout)
}

func newBounded(level string, registry metrics.Registry, out io.Writer) (*Bounded, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	sampled := metrics.GetOrRegisterCounter(MetricSampled, registry)
	w := &queued{out: out, lines: make(chan []byte, queueLines), dropped: metrics.GetOrRegisterCounter(MetricDropped, registry)}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), w, parsed)
	core = zapcore.NewSamplerWithOptions(core, sampleTick, sampleFirst, 0, zapcore.SamplerHook(
		func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
			if decision&zapcore.LogDropped != 0 {
				sampled.Inc(1)
			}
		}))
	b := &Bounded{Logger: zap.New(core), writer: w, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	go b.summarize(sampled)
	return b, nil
}

// summarize tells how many lines were left out, if any.
func (b *Bounded) summarize(sampled metrics.Counter) {
	defer close(b.done)
	ticker := time.NewTicker(summaryPeriod)
	defer ticker.Stop()
	var told, toldDropped int64
	for {
		select {
		case <-b.stop:
			return
		case <-ticker.C:
		}
		now, dropped := sampled.Count(), b.writer.dropped.Count()
		if now > told || dropped > toldDropped {
			b.Warn("Log lines left out.", zap.Int64("repeated", now-told), zap.Int64("dropped", dropped-toldDropped))
		}
		told, toldDropped = now, dropped
	}
}

// Close writes what waits and ends the logger.
func (b *Bounded) Close() {
	close(b.stop)
	<-b.done
	b.writer.close()
}

// queued writes lines from a queue, so that a slow output blocks nobody.
type queued struct {
	out     io.Writer
	lines   chan []byte
	dropped metrics.Counter
	closed  atomic.Bool
	ended   chan struct{}
}

// Write queues a line, or drops it when the queue is full.
func (q *queued) Write(line []byte) (int, error) {
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

// Sync is part of zapcore.WriteSyncer; lines are written as they come.
func (q *queued) Sync() error { return nil }

func (q *queued) run() {
	for line := range q.lines {
		if line == nil {
			close(q.ended)
			return
		}
		if _, err := q.out.Write(line); err != nil {
			q.dropped.Inc(1) // the log itself is the only place to tell of it
		}
	}
}

// closeTimeout bounds how long the last lines may take.
const closeTimeout = 200 * time.Millisecond

func (q *queued) close() {
	q.closed.Store(true)
	q.ended = make(chan struct{})
	select {
	case q.lines <- nil:
	case <-time.After(closeTimeout):
		return
	}
	select {
	case <-q.ended:
	case <-time.After(closeTimeout):
	}
}
