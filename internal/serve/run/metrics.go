package run

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
)

// Metrics counts requests by their outcome and keeps a histogram of the time to
// the answer's head for each kind of route and each team.
type Metrics struct{ Registry metrics.Registry }

// series names a metric with one label.
func series(name, label, value string) string {
	return name + "{" + label + "=" + strconv.Quote(value) + "}"
}

// sampleSize of the histograms, and how much the newest values count; the
// library's usual figures.
const (
	sampleSize  = 512
	sampleAlpha = 0.015
)

func (m *Metrics) observe(name string, took time.Duration) {
	if m == nil {
		return
	}
	h := metrics.GetOrRegisterHistogram(name, m.Registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	h.Update(took.Microseconds())
}

func (m *Metrics) count(name string) {
	if m == nil {
		return
	}
	metrics.GetOrRegisterCounter(name, m.Registry).Inc(1)
}

func (m *Metrics) streamEnded(j *job, whole bool) {
	if whole {
		m.count("streams.whole")
		return
	}
	m.count("streams.cut")
}

// late tells where the time of an answer went that came after its objective.
func (e *Executor) late(j *job, took time.Duration) {
	e.Metrics.count("answers.late")
	fields := []zap.Field{
		requestID(j.req.ID), zap.String("route", j.route.Name), zap.String("service", j.service),
		zap.Duration("after", took), zap.Duration("objective", j.route.Objective),
		zap.Duration("target_took", time.Since(j.askedAt)), zap.Int("arrivals", j.arrivals),
		zap.Duration("claimed_wait", j.claims.wait), zap.Int("claims", j.claims.made),
		zap.Int("prompt_tokens", j.req.Prompt.Input), zap.Int("own_tokens", j.req.Prompt.UnsharedTokens()),
	}
	if !j.preparedAt.IsZero() {
		fields = append(fields, zap.Duration("stages_took", j.preparedAt.Sub(j.req.Arrived)),
			zap.String("slowest_stage", j.slowest.service), zap.Duration("slowest_took", j.slowest.took))
	}
	if j.restarted != nil {
		fields = append(fields, zap.NamedError("stages_restarted", j.restarted))
	}
	e.Log.Info("Answer came late.", fields...)
}

// note records what became of a request. Answers of our own get a line in the
// log with what decided them; targets' answers only at debug level, since
// there are as many as requests.
func (e *Executor) note(j *job, reply *Reply) {
	took := time.Since(j.req.Arrived)
	if reply.Answer != nil {
		e.Metrics.count("vanillagate_answers{by=\"target\"}")
		e.Metrics.observe(series("vanillagate_answer_us", "kind", string(j.route.Kind)), took)
		if j.team != nil {
			e.Metrics.observe(series("vanillagate_answer_us", "team", j.team.Name), took)
		}
		if !j.preparedAt.IsZero() && !e.LeaveOut.Has(leaveout.LearntEngines) {
			e.firstEvents.note(j.service, j.req.Prompt, time.Since(j.askedAt))
			j.learn(time.Since(j.askedAt))
		}
		if j.route.Objective > 0 && took > j.route.Objective {
			e.late(j, took)
		}
		return
	}
	e.Metrics.count("vanillagate_answers{by=\"this process\"}")
	e.Metrics.count(series("vanillagate_own_answers", "reason", string(reply.Reason)))
	fields := []zap.Field{
		requestID(j.req.ID), zap.Int("status", reply.Status), zap.String("reason", string(reply.Reason)),
		zap.Duration("after", took), zap.Duration("retry_after", reply.RetryAfter),
		zap.Int("arrivals", j.arrivals), zap.Int("ran", j.ran), zap.Uint64("plan", e.Plans.Version()),
	}
	if j.held != nil {
		fields = append(fields, zap.Error(j.held))
	}
	if j.route != nil {
		fields = append(fields, zap.String("route", j.route.Name), zap.String("service", j.service),
			zap.Duration("patience", j.patience()))
	}
	e.Log.Info("Answered by ourselves.", fields...)
}
