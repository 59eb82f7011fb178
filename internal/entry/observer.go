package entry

import (
	"context"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/command/cost"
	"github.com/vanillagate/vanillagate/internal/logging"
	"github.com/vanillagate/vanillagate/internal/pipeline"
	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/query/costs"
	"github.com/vanillagate/vanillagate/internal/target"
)

// observer turns events of requests and stages into metrics, logs and cost
// records.
type observer struct {
	server *Server
	log    *zap.Logger
	costs  *cost.Recorder
	rates  cost.Estimator
}

func newObserver(s *Server) *observer {
	return &observer{
		server: s, log: logging.WithComponent(s.opts.Log, "stage"),
		costs: cost.New(s.opts.Table, s.opts.Network.Self().Incarnation, s.opts.Log),
	}
}

// sampleSize and sampleAlpha are the usual go-metrics values for a histogram
// that favors the last five minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

func (o *observer) histogram(name string) metrics.Histogram {
	return o.server.opts.Metrics.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(metrics.Histogram)
}

func (o *observer) count(name string, n int64) {
	o.server.opts.Metrics.GetOrRegister(name, metrics.NewCounter).(metrics.Counter).Inc(n)
}

// Charged implements pipeline.Observer.
func (o *observer) Charged(c pipeline.Charge) {
	labels := customerLabel(c.Customer) + "," + stageLabel(c.Pipeline, c.Stage)
	if c.Waste != pipeline.NoWaste {
		o.count(series("wasted_calls_total", labels+`,reason="`+string(c.Waste)+`"`), 1)
	}
	amount := o.costOf(c)
	o.count(series("engine_microseconds_total", labels), amount.EngineUS)
	o.costs.Add(costs.Key{Customer: c.Customer, Pipeline: c.Pipeline, Stage: c.Stage}, amount)
}

// costOf estimates the engine time if the target did not report it, because a
// call that was cancelled or broke is charged too.
func (o *observer) costOf(c pipeline.Charge) costs.Amount {
	amount := costs.Amount{
		EngineUS:     c.EngineTime.Microseconds(),
		PromptTokens: int64(c.Usage.PromptTokens), CompletionTokens: int64(c.Usage.CompletionTokens),
		CachedTokens: int64(c.Usage.CachedTokens),
	}
	if c.Waste == pipeline.NoWaste {
		amount.Requests = 1
		o.rates.RecordCall(c.Pool, costSample(c))
		return amount
	}
	if c.EngineTime == 0 {
		amount.EngineUS = o.rates.Estimate(c.Pool, costSample(c)).Microseconds()
		amount.EstimatedUS = amount.EngineUS
	}
	reason := costs.WasteReason(c.Waste)
	amount.WastedUS = map[costs.WasteReason]int64{reason: amount.EngineUS}
	amount.WastedCalls = map[costs.WasteReason]int64{reason: 1}
	return amount
}

func costSample(c pipeline.Charge) cost.Sample {
	return cost.Sample{
		Target: c.Target, ReportedTime: c.EngineTime, Took: c.Took,
		UncachedTokens: c.Usage.PromptTokens - c.Usage.CachedTokens, GeneratedTokens: c.Usage.CompletionTokens,
	}
}

// StageDone implements pipeline.Observer.
func (o *observer) StageDone(customer, pipelineName, stage string, took time.Duration) {
	o.histogram(series("stage_microseconds", customerLabel(customer)+","+stageLabel(pipelineName, stage))).
		Update(took.Microseconds())
}

// CallFailed implements pipeline.Observer.
func (o *observer) CallFailed(requestID, stage, address string, err error) {
	message := "Call failed."
	if failureKind(err) == string(target.FailedWithdrawn) {
		message = "Call withdrawn."
	} else {
		o.count(series("target_failures_total", `stage="`+stage+`"`), 1)
	}
	o.log.Info(message, logging.RequestID(requestID), zap.String("stage", stage),
		zap.String("target", address), zap.String("kind", failureKind(err)), zap.Error(err))
}

func failureKind(err error) string {
	if f, ok := err.(*target.Failure); ok {
		return string(f.Kind)
	}
	return ""
}

func (o *observer) recordServed(customer, name string, took time.Duration) {
	o.histogram(series("request_microseconds", customerLabel(customer)+`,name="`+name+`"`)).Update(took.Microseconds())
}

func (o *observer) recordRefused(customer string, p *problem.Problem) {
	labels := customerLabel(customer) + `,status="` + strconv.Itoa(p.Status) + `",execution="` + string(p.Execution) + `"`
	o.count(series("problems_total", labels), 1)
}

func series(name, labels string) string { return "vanillagate_" + name + "{" + labels + "}" }

func customerLabel(customer string) string { return `customer="` + customer + `"` }

func stageLabel(pipelineName, stage string) string {
	return `pipeline="` + pipelineName + `",stage="` + stage + `"`
}

func (o *observer) run(ctx context.Context) { o.costs.Run(ctx, o.server.opts.CostPeriod) }

// flush writes the remaining cost records at a graceful shutdown.
func (o *observer) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if err := o.costs.Flush(ctx); err != nil {
		o.log.Warn("Writing the last cost rows failed.", zap.Error(err))
	}
}

const flushTimeout = 5 * time.Second
