package run

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/framing"
	"github.com/vanillagate/vanillagate/internal/serve/liveness"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/upstream"
)

// UnknownEndError means that an answer has ended with its connection, and that its target isn't known to
// have run after that: it may have died in the middle of the answer.
type UnknownEndError struct{ Verdict liveness.Verdict }

// Error describes what was found out about the target.
func (e *UnknownEndError) Error() string {
	return fmt.Sprintf("answer ended with its connection, and its target is %s", e.Verdict)
}

// Unwrap returns io.ErrUnexpectedEOF, unless the target wasn't checked.
func (e *UnknownEndError) Unwrap() error {
	if e.Verdict == liveness.Unchecked {
		return nil
	}
	return io.ErrUnexpectedEOF
}

// verifyEnd returns an UnknownEndError if an answer that was read to its end isn't known to be complete. It
// closes an answer that its connection ends.
func (j *job) verifyEnd(target *pool.Target, answer *upstream.Answer) error {
	if answer.Kind != framing.Connection {
		return nil
	}
	endedAt := time.Now()
	answer.Close() // the target may accept few connections
	verdict := j.liveness.Check(j.ctx, j.Client, j.livenessQuestion(target, answer.SentAt, answer.KnownUntil()))
	j.Metrics.count(series("vanillagate_unframed_answer_ends", "verdict", string(verdict)))
	fields := []zap.Field{
		requestID(j.req.ID), zap.String("target", target.ID), zap.Int64("born", target.Born), zap.String("address", target.Address),
		zap.String("verdict", string(verdict)), zap.Duration("since_known", endedAt.Sub(answer.KnownUntil())),
	}
	if !verdict.Runs() {
		j.Log.Warn("Answer without framing isn't known to be complete.", fields...)
		return &UnknownEndError{Verdict: verdict}
	}
	if verdict != liveness.Alive {
		j.Log.Info("Answer without framing counts as complete, and its target hasn't answered.", fields...)
	}
	return nil
}

// livenessQuestion asks about the process that got a request at sentAt and is known to have run until knownUntil.
func (j *job) livenessQuestion(target *pool.Target, sentAt, knownUntil time.Time) *liveness.Question {
	codec := j.Codec
	q := &liveness.Question{
		Process:    liveness.Process{ID: target.ID, Born: target.Born, Address: target.Address},
		SentAt:     sentAt,
		KnownUntil: knownUntil,
		Born:       codec.ReadBorn,
		Request: upstream.Request{
			Address: target.Address, Target: target.ID, Host: target.Address, Method: fasthttp.MethodGet,
			MatchesRequest: func(h *fasthttp.ResponseHeader) bool { return codec.ReadAnswer(h).ID == "" },
		},
		From: func(h *fasthttp.ResponseHeader) bool {
			named := codec.ReadAnswer(h).Target
			return h.StatusCode() != fasthttp.StatusMisdirectedRequest && (named == "" || named == target.ID)
		},
	}
	q.Request.URI, q.Request.Header = codec.LivenessRequest(target.ID, j.Plans.Service(j.service))
	q.ConnectOnly = q.Request.URI == "" || !j.isEngineService() && takesFewRequests(target)
	j.limitIdleConns(&q.Request)
	return q
}

// takesFewRequests reports whether a target shouldn't get a health check, which takes a slot or is rejected like
// a request. One that leaves or has left gets it: only its answer tells it from a successor at its address.
func takesFewRequests(target *pool.Target) bool {
	return target.RateLimit() > 0 || target.Declines(time.Now()) && !target.GoneOrDraining()
}

// verifiedBody is the body of an answer that is passed on as it comes. Its end is io.EOF only if the answer
// is known to be complete.
type verifiedBody struct {
	job    *job
	target *pool.Target
	answer *upstream.Answer
	// end is the error of the last read; nil before.
	end error
}

// Read returns data as it arrives.
func (b *verifiedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.answer.Read(p)
	if errors.Is(err, io.EOF) {
		if unknown := b.job.verifyEnd(b.target, b.answer); unknown != nil {
			err = unknown
		}
	}
	b.end = err
	return n, err
}

// broken reports whether the answer has ended without being complete.
func (b *verifiedBody) broken() bool { return b.end != nil && !errors.Is(b.end, io.EOF) }
