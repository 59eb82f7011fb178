package run

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
)

// Metrics counts requests by outcome and keeps a histogram of the time to the answer's
// header for each kind of route and each team.
type Metrics struct{ Registry metrics.Registry }

// series returns the name of a metric with one label.
func series(name, label, value string) string {
	return name + "{" + label + "=" + strconv.Quote(value) + "}"
}

// Size of the histograms' samples and weight of recent values, as the library recommends.
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

// logLate logs where the time went for an answer that came after its objective.
func (e *Executor) logLate(j *job, took time.Duration) {
	e.Metrics.count("answers.late")
	fields := []zap.Field{
		requestID(j.req.ID), zap.String("route", j.route.Name), zap.String("service", j.service),
		zap.Duration("after", took), zap.Duration("objective", j.route.Objective),
		zap.Duration("target_took", time.Since(j.sentAt)), zap.Int("arrivals", j.sends),
		zap.Duration("claimed_wait", j.claimState.wait), zap.Int("claims", j.claimState.attempts),
		zap.Float64("engine_pace", j.claimState.pace), zap.Int("stated_percent", j.engineAnswer.percent),
		zap.Int("prompt_tokens", j.req.Prompt.Input), zap.Int("own_tokens", j.req.Prompt.UnsharedTokens()),
	}
	if !j.preparedAt.IsZero() {
		fields = append(fields, zap.Duration("stages_took", j.preparedAt.Sub(j.req.Arrived)),
			zap.String("slowest_stage", j.slowestStage.service), zap.Duration("slowest_took", j.slowestStage.took))
	}
	if j.restartErr != nil {
		fields = append(fields, zap.NamedError("stages_restarted", j.restartErr))
	}
	e.Log.Info("Answer came late.", fields...)
}

// record records the outcome of a request. Every answer made by this process is logged with
// what determined it. Answers of targets are only counted, since there are as many as
// requests; those after their objective are logged too.
func (e *Executor) record(j *job, reply *Reply) {
	took := time.Since(j.req.Arrived)
	if reply.Answer != nil {
		e.Metrics.count("vanillagate_answers{by=\"target\"}")
		e.Metrics.observe(series("vanillagate_answer_us", "kind", string(j.route.Kind)), took)
		if j.team != nil {
			e.Metrics.observe(series("vanillagate_answer_us", "team", j.team.Name), took)
		}
		if !j.preparedAt.IsZero() && !e.LeaveOut.Has(leaveout.LearntEngines) {
			e.firstEventModel.record(j.service, j.req.Prompt, time.Since(j.sentAt))
			j.recordPrefill(time.Since(j.sentAt))
		}
		j.observeFirstEvent(reply.Status, time.Since(j.sentAt))
		if j.route.Objective > 0 && took > j.route.Objective {
			e.logLate(j, took)
		}
		return
	}
	e.Metrics.count("vanillagate_answers{by=\"this process\"}")
	e.Metrics.count(series("vanillagate_own_answers", "reason", string(reply.Reason)))
	fields := []zap.Field{
		requestID(j.req.ID), zap.Int("status", reply.Status), zap.String("reason", string(reply.Reason)),
		zap.Duration("after", took), zap.Duration("retry_after", reply.RetryAfter),
		zap.Int("arrivals", j.sends), zap.Int("ran", j.runs), zap.Uint64("plan", e.Plans.Version()),
	}
	if j.stageErr != nil {
		fields = append(fields, zap.Error(j.stageErr))
	}
	if j.route != nil {
		fields = append(fields, zap.String("route", j.route.Name), zap.String("service", j.service),
			zap.Duration("patience", j.timeout()))
	}
	if reply.Reason == NoRoute || reply.Reason == NoKey {
		// A message of its own, so that the limit on repeated messages doesn't omit it
		// when many requests are refused for other reasons.
		e.Log.Info("Configuration doesn't allow the request.", append(fields, e.contactAge()...)...)
		return
	}
	e.Log.Info("Answered by ourselves.", fields...)
}

// contactAge returns the log field for the age of the last contact with the store of the
// configuration, if it is known.
func (e *Executor) contactAge() []zap.Field {
	if e.ContactAge == nil {
		return nil
	}
	return []zap.Field{zap.Duration("last_contact", e.ContactAge(time.Now()))}
}
