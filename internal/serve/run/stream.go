package run

import (
	"context"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/framing"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/upstream"
)

// readSize is the size of the read buffer; events are far smaller.
const readSize = 2048

// maxHeldBytes limits how much of an incomplete event is held back.
const maxHeldBytes = 256 << 10

// Errors of streams whose end is that of a complete answer as far as its framing tells.
var (
	errEndsInsideEvent = errors.New("stream ended inside an event")
	errNoEvent         = errors.New("stream ended with its connection before its first event")
)

// stream forwards complete events as they come. If a target fails in the middle of an event, the
// caller can tell from the framing that the answer is incomplete, and a resumable stream goes on
// at another target after the last event that the caller has.
type stream struct {
	job    *job
	target *pool.Target
	answer *upstream.Answer
	call   *pool.Call

	pending []byte // to be returned by Read
	// opaque is set if the answer isn't a series of events.
	opaque  bool
	events  eventScanner
	partial []byte // incomplete event
	// withheld are events without a known field, which are passed on with the next event or at the end.
	withheld []byte
	held     heldBytes
	wait     eventWait
	// splitEvent is set while the caller has a part of an event that was too large to hold back.
	splitEvent  bool
	lastEventID string // id of the last event returned
	// hasEventWithoutID is set once such an event was returned: no target can be told to go on after it.
	hasEventWithoutID bool
	// hasOrigin is set once the job knows which version writes the stream.
	hasOrigin bool
	started   bool
	resumed   bool
	hasEnded  bool
	failure   error
	// written is how long the target has been writing, pauses left out; survived is set once that is long enough
	// to show that the stream doesn't crash it.
	written  time.Duration
	survived bool
	// lastRead is when data was last received, longestPause the longest time between two
	// reads that returned data.
	lastRead     time.Time
	longestPause time.Duration
	spare        spareConn
	buffer       [readSize]byte
}

func (j *job) stream(target *pool.Target, answer *upstream.Answer, call *pool.Call) *Reply {
	s := &stream{
		job: j, target: target, answer: answer, call: call, lastEventID: j.req.LastEventID, opaque: !isEventStream(&answer.Header),
		held: heldBytes{memory: &j.streamMemory}, spare: j.newSpareConn(target, answer),
	}
	if j.takesUp() {
		j.Log.Info("Stream that a caller takes up goes on.", requestID(j.req.ID), zap.String("resumes", j.req.Resumes),
			zap.String("after_event", j.req.LastEventID), zap.String("target", target.ID), zap.String("version", target.Version),
			zap.String("known_by", j.originBy))
		j.Metrics.count(series("vanillagate_streams_taken_up", "version", target.Version))
	}
	length := answer.Length
	if j.route.Resumable {
		length = -1 // the rest may come from another target
	}
	return passOn(answer, s, length)
}

// isEventStream reports whether an answer is a series of events, as it is unless it says
// otherwise.
func isEventStream(h *fasthttp.ResponseHeader) bool {
	contentType, _, _ := strings.Cut(string(h.ContentType()), ";")
	contentType = strings.TrimSpace(contentType)
	return contentType == "" || strings.EqualFold(contentType, "text/event-stream")
}

// Read returns the next bytes of the stream.
func (s *stream) Read(p []byte) (int, error) {
	for len(s.pending) == 0 {
		if s.failure != nil {
			return 0, s.failure
		}
		s.fill()
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	if len(s.pending) == 0 {
		s.pending = nil
		s.hold()
	}
	return n, nil
}

// hold counts what the stream holds, and reports whether there is memory for it.
func (s *stream) hold() bool { return s.held.hold(len(s.pending) + len(s.partial) + len(s.withheld)) }

// fill reads more data from the target.
func (s *stream) fill() {
	n, err := s.answer.Read(s.buffer[:])
	if n > 0 {
		s.receive(s.buffer[:n])
		if exceeded := s.exceeded(); exceeded != nil {
			s.failOver(exceeded)
			return
		}
	}
	if err == nil {
		return
	}
	if errors.Is(err, io.EOF) {
		err = s.incomplete()
	}
	if err == nil {
		s.release()
		s.end(io.EOF, pool.Answered)
		return
	}
	s.failOver(err)
}

// exceeded returns an error if what has been received since the last event exceeds its bounds.
func (s *stream) exceeded() error {
	if s.opaque || !s.job.bounded() {
		return nil
	}
	err := s.wait.check(s.partial, s.lastRead, eventPatience(s.job.route))
	if err == nil {
		return nil
	}
	s.job.Client.ReportExceeded(s.target.ID, s.target.Address, err)
	return err
}

// incomplete returns why a stream is incomplete although its framing has ended; nil if it isn't.
// A target that crashes may close its connection, or end its chunks, like one that is done.
func (s *stream) incomplete() error {
	switch {
	case !s.opaque && s.events.inside():
		return errEndsInsideEvent
	case !s.opaque && s.answer.Kind == framing.Connection && !s.events.complete && s.lastEventID == "":
		return errNoEvent
	default:
		return s.job.verifyEnd(s.target, s.answer)
	}
}

func (s *stream) receive(data []byte) {
	now := time.Now()
	if !s.lastRead.IsZero() {
		pause := now.Sub(s.lastRead)
		s.longestPause = max(s.longestPause, pause)
		if s.started {
			s.written += min(pause, maxCountedPause)
		}
	}
	s.lastRead = now
	s.spare.received(now)
	if !s.started {
		s.started = true
		s.call.ResponseStarted()
		s.job.reportPromptRead(s.target)
		if s.job.inputs != nil {
			s.job.inputs.release()
		}
	}
	if !s.survived && s.written >= writingTime {
		s.survived = true
		s.job.reportAnswered(s.target, false)
	}
	s.job.refreshOrigin(now)
	s.pending = s.pending[:0]
	if s.opaque {
		s.pending = append(s.pending, data...)
		return
	}
	for len(data) > 0 {
		n, ended := s.events.next(data)
		s.partial = append(s.partial, data[:n]...)
		data = data[n:]
		if ended {
			known := s.wait.ended(s.partial)
			if known || !s.job.bounded() {
				s.emit(s.partial)
			} else {
				// No event for the caller: the stream may turn out to be none.
				s.withheld = append(s.withheld, s.partial...)
			}
			s.partial, s.splitEvent = s.partial[:0], false
		}
	}
	full := !s.hold()
	if !s.events.inside() || len(s.partial) > maxHeldBytes || full && len(s.partial) > 0 {
		s.splitEvent = s.events.inside()
		s.wait.skipped(s.partial, s.splitEvent)
		if s.splitEvent || len(s.withheld) > maxHeldBytes {
			s.setOrigin()
			s.release()
		}
		if len(s.withheld) > 0 {
			s.withheld = append(s.withheld, s.partial...) // behind what came before
		} else {
			s.pending = append(s.pending, s.partial...)
		}
		s.partial = emptied(s.partial)
	}
}

// release adds what has been withheld to the output.
func (s *stream) release() {
	s.pending = append(s.pending, s.withheld...)
	s.withheld = emptied(s.withheld)
}

// emit adds an event to the output, unless the caller already has it.
func (s *stream) emit(event []byte) {
	id := eventID(event)
	if s.resumed && id != "" && !isLater(id, s.lastEventID) {
		return
	}
	if id != "" {
		s.lastEventID = id
	} else if _, hasData := eventField(event, "data"); hasData {
		s.hasEventWithoutID = true
	}
	s.setOrigin()
	s.release()
	s.pending = append(s.pending, event...)
}

// setOrigin is called before each event, and has an effect at the first one.
func (s *stream) setOrigin() {
	if !s.hasOrigin {
		s.hasOrigin = true
		s.job.setOrigin(s.target)
	}
}

// failOver resumes the stream at another target, if the route allows it, or ends it.
func (s *stream) failOver(err error) {
	j := s.job
	from, framedBy := s.target.ID, s.answer.Kind
	s.spare.stop()
	outcome := pool.Failed
	if j.ctx.Err() != nil {
		outcome = pool.Abandoned
	}
	s.answer.Close()
	s.call.End(outcome, time.Now())
	j.reportBroken(s.target, contactOf(s.answer, s.written), err)
	j.tried[s.target.ID] = true
	for j.ctx.Err() == nil && s.resumable() && j.runs < j.route.Attempts && j.sends < maxSends {
		if j.refuseIfConvicted() != nil || !j.takeRetry() {
			break
		}
		outcome := s.resume()
		if outcome == resumed {
			j.Log.Info("Stream goes on at another target.", requestID(j.req.ID), zap.String("from", from),
				zap.String("to", s.target.ID), zap.String("version", s.target.Version), zap.String("after_event", s.lastEventID), zap.Error(err))
			return
		}
		if outcome == notResumable {
			break
		}
	}
	j.Log.Warn("Stream broke.", requestID(j.req.ID), zap.String("target", from), zap.String("version", s.target.Version), zap.String("framing", string(framedBy)),
		zap.String("after_event", s.lastEventID), zap.Duration("after", time.Since(j.req.Arrived)), zap.Error(err),
		zap.NamedError("cause", context.Cause(j.ctx)))
	s.partial, s.withheld = nil, nil
	s.end(truncationError(j.ctx, err), outcome)
}

// resumable reports whether another target can go on after the last event that the caller has.
func (s *stream) resumable() bool {
	return s.job.route.Resumable && !s.opaque && !s.splitEvent && !s.hasEventWithoutID
}

// truncationError is never io.EOF: a stream that broke must not look complete.
func truncationError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return errors.Join(io.ErrUnexpectedEOF, err)
}

// resumeOutcome is the result of resuming a stream at another target.
type resumeOutcome int

const (
	resumed resumeOutcome = iota
	// targetFailed: the chosen target didn't go on with the stream; another one may.
	targetFailed
	// notResumable: the stages couldn't be run again, or there is no other target of the stream's version.
	notResumable
)

// resume runs the stages again and asks another target to continue after the last event.
func (s *stream) resume() resumeOutcome {
	j := s.job
	if j.versionGone() {
		return notResumable
	}
	if j.inputs != nil {
		j.inputs.release()
		if j.prepare() != nil {
			return notResumable
		}
	}
	target := j.choose()
	if target == nil {
		return notResumable
	}
	j.tried[target.ID] = true
	answer, call, failed := j.send(j.ctx, target, s.lastEventID)
	if failed != nil {
		return targetFailed
	}
	if answer.Status != fasthttp.StatusOK || !j.Codec.ReadAnswer(&answer.Header).Signed {
		answer.Close()
		call.End(pool.Failed, time.Now())
		return targetFailed
	}
	s.target, s.answer, s.call = target, answer, call
	s.partial, s.withheld, s.events, s.wait = nil, nil, eventScanner{}, eventWait{}
	s.started, s.written, s.survived, s.spare = false, 0, false, j.newSpareConn(target, answer)
	s.resumed = s.lastEventID != ""
	return resumed
}

func (s *stream) end(failure error, outcome pool.Outcome) {
	s.failure = failure
	if s.hasEnded {
		return
	}
	s.hasEnded = true
	s.spare.stop()
	s.partial, s.withheld = nil, nil
	s.hold()
	s.answer.Close()
	s.call.End(outcome, time.Now())
	s.job.cleanUp()
	if s.job.route.Gap > 0 && s.longestPause > s.job.route.Gap {
		s.job.Log.Info("Stream had a long pause.", requestID(s.job.req.ID), zap.String("target", s.target.ID),
			zap.Duration("pause", s.longestPause), zap.Duration("objective", s.job.route.Gap), zap.Bool("resumed", s.resumed))
	}
	whole := errors.Is(failure, io.EOF)
	if whole {
		s.job.recordCompleteAnswer()
		s.job.reportAnswered(s.target, s.answer.Kind == framing.Connection)
	}
	s.job.Metrics.streamEnded(s.job, whole)
}

// Close ends the stream. The target stops its work when the connection is closed.
func (s *stream) Close() error {
	if !s.hasEnded {
		s.job.reportUnanswered(s.target, contactOf(s.answer, s.written))
	}
	s.end(io.ErrClosedPipe, pool.Abandoned)
	s.held.hold(0)
	return nil
}
