package run

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/upstream"
)

// readBytes is how much of a stream is read at once; an event is far smaller.
const readBytes = 2048

// stream passes events on as they come. One that may be resumed hands out
// whole events only: what a target leaves half said when it breaks is said
// again by the next one, from the last event on that the caller has.
type stream struct {
	job    *job
	target *pool.Target
	answer *upstream.Answer
	call   *pool.Call

	out     []byte // to be handed out
	part    []byte // of an event that isn't whole
	last    string // id of the last event handed out
	begun   bool
	resumed bool
	ended   bool
	failure error
	// heard is when bytes came last, longest the longest pause between them.
	heard   time.Time
	longest time.Duration
	buffer  [readBytes]byte
}

func (j *job) stream(target *pool.Target, answer *upstream.Answer, call *pool.Call) *Reply {
	s := &stream{job: j, target: target, answer: answer, call: call, last: j.req.LastEvent}
	length := answer.Length
	if j.route.Resumable {
		length = -1 // the rest may come from another target
	}
	return &Reply{Status: answer.Status, Answer: &Answer{Header: endToEnd(&answer.Header), Body: s, Length: length}}
}

// Read gives the next bytes of the stream.
func (s *stream) Read(p []byte) (int, error) {
	for len(s.out) == 0 {
		if s.failure != nil {
			return 0, s.failure
		}
		s.fill()
	}
	n := copy(p, s.out)
	s.out = s.out[n:]
	return n, nil
}

// fill reads more from the target.
func (s *stream) fill() {
	n, err := s.answer.Read(s.buffer[:])
	if n > 0 {
		s.arrived(s.buffer[:n])
	}
	if err == nil {
		return
	}
	if errors.Is(err, io.EOF) {
		s.out = append(s.out, s.part...)
		s.part = nil
		s.finish(io.EOF, pool.Answered)
		return
	}
	s.broken(err)
}

func (s *stream) arrived(data []byte) {
	now := time.Now()
	if !s.heard.IsZero() {
		s.longest = max(s.longest, now.Sub(s.heard))
	}
	s.heard = now
	if !s.begun {
		s.begun = true
		s.call.ResponseStarted()
		if s.job.inputs != nil {
			s.job.inputs.release()
		}
	}
	if !s.job.route.Resumable {
		s.out = append(s.out[:0], data...)
		return
	}
	s.part = append(s.part, data...)
	s.out = s.out[:0]
	for {
		end := eventEnd(s.part)
		if end == 0 {
			return
		}
		s.take(s.part[:end])
		s.part = s.part[end:]
	}
}

// eventEnd is where the first event ends, after its empty line; 0 while it
// isn't whole.
func eventEnd(data []byte) int {
	end := 0
	for _, mark := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.Index(data, []byte(mark)); i >= 0 && (end == 0 || i+len(mark) < end) {
			end = i + len(mark)
		}
	}
	return end
}

// take hands out an event, unless the caller has it already.
func (s *stream) take(event []byte) {
	id := eventID(event)
	if s.resumed && id != "" && !later(id, s.last) {
		return
	}
	if id != "" {
		s.last = id
	}
	s.out = append(s.out, event...)
}

func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// later tells whether event a comes after event b. Ids are numbers that grow.
func later(a, b string) bool {
	x, errX := strconv.ParseInt(a, 10, 64)
	y, errY := strconv.ParseInt(b, 10, 64)
	if errX != nil || errY != nil {
		return a != b
	}
	return x > y
}

// broken goes on at another target, if the stream may.
func (s *stream) broken(err error) {
	j := s.job
	from := s.target.ID
	outcome := pool.Failed
	if j.ctx.Err() != nil {
		outcome = pool.Abandoned
	}
	s.answer.Close()
	s.call.End(outcome, time.Now())
	j.broke(s.target.Address)
	j.tried[s.target.ID] = true
	for j.ctx.Err() == nil && j.route.Resumable && j.ran < j.route.Attempts && j.arrivals < maxArrivals {
		if !j.Budget.TakeRetry(j.service, time.Now()) {
			break
		}
		if s.resume() {
			j.Log.Info("Stream goes on at another target.", requestID(j.req.ID), zap.String("from", from),
				zap.String("to", s.target.ID), zap.String("after_event", s.last), zap.Error(err))
			return
		}
	}
	j.Log.Warn("Stream broke.", requestID(j.req.ID), zap.String("target", from),
		zap.String("after_event", s.last), zap.Duration("after", time.Since(j.req.Arrived)), zap.Error(err),
		zap.NamedError("cause", context.Cause(j.ctx)))
	s.part = nil
	s.finish(cutError(j.ctx, err), outcome)
}

// cutError is never io.EOF: a stream that broke must not look whole.
func cutError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return errors.Join(io.ErrUnexpectedEOF, err)
}

// resume has the stages done once more and asks another target to go on after
// the last event.
func (s *stream) resume() bool {
	j := s.job
	if j.inputs != nil {
		j.inputs.release()
		if j.prepare() != nil {
			return false
		}
	}
	target := j.choose()
	if target == nil {
		return false
	}
	j.tried[target.ID] = true
	answer, call, failed := j.send(j.ctx, target, s.last)
	if failed != nil {
		return false
	}
	if answer.Status != fasthttp.StatusOK || !j.Codec.ReadAnswer(&answer.Header).Signed {
		answer.Close()
		call.End(pool.Failed, time.Now())
		return false
	}
	s.target, s.answer, s.call = target, answer, call
	s.part = nil
	s.begun = false
	s.resumed = s.last != ""
	return true
}

func (s *stream) finish(failure error, outcome pool.Outcome) {
	s.failure = failure
	if s.ended {
		return
	}
	s.ended = true
	s.answer.Close()
	s.call.End(outcome, time.Now())
	s.job.end()
	if s.job.route.Gap > 0 && s.longest > s.job.route.Gap {
		s.job.Log.Info("Stream had a long pause.", requestID(s.job.req.ID), zap.String("target", s.target.ID),
			zap.Duration("pause", s.longest), zap.Duration("objective", s.job.route.Gap), zap.Bool("resumed", s.resumed))
	}
	whole := errors.Is(failure, io.EOF)
	if whole {
		s.job.noteWhole()
	}
	s.job.Metrics.streamEnded(s.job, whole)
}

// Close ends the stream; the target's work ends with its connection.
func (s *stream) Close() error {
	s.finish(io.ErrClosedPipe, pool.Abandoned)
	return nil
}
