package cli

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/vanillagate/vanillagate/internal/load/bench"
	"github.com/vanillagate/vanillagate/internal/load/caller"
	"github.com/vanillagate/vanillagate/internal/load/fault"
	"github.com/vanillagate/vanillagate/internal/load/overhead"
	"github.com/vanillagate/vanillagate/internal/program"
)

const (
	flagRequests = "requests"
	flagWorkers  = "workers"
	flagLength   = "length"
)

func overheadCommand() *cli.Command {
	return &cli.Command{
		Name:  "overhead",
		Usage: "measure the overhead of one entry VM compared with direct calls; scripts/overhead.sh starts the processes",
		Description: "Sends requests through four stages, alternately directly and through the entry VM. Then measures the\n" +
			"CPU time of the entry VM under load from many concurrent callers.",
		Action:       measureOverhead,
		OnUsageError: onUsageError,
		Flags: stepFlags(
			&cli.IntFlag{Name: flagRequests, Value: 400, Usage: "requests to send directly, and as many through the entry VM", Sources: program.Env(flagRequests)},
			&cli.IntFlag{Name: flagWorkers, Value: 64, Usage: "concurrent callers while measuring CPU time and throughput", Sources: program.Env(flagWorkers)},
			&cli.DurationFlag{Name: flagLength, Value: 4 * time.Second, Usage: "duration of each measurement under load", Sources: program.Env(flagLength)},
		),
	}
}

// Tokens generated for each request: with few, the cost of a request dominates;
// with many, the cost of its tokens.
const (
	fewTokens  = 4
	manyTokens = 64
)

func measureOverhead(ctx context.Context, cmd *cli.Command) error {
	scenario, err := readScenario(cmd)
	if err != nil {
		return err
	}
	step := bench.Step{Scenario: scenario, Dir: cmd.String(flagDir), Log: os.Stderr}
	fleet, err := step.Prepare(ctx)
	if err != nil {
		return err
	}
	pid, err := fault.ReadPID(cmd.String(flagDir), 0)
	if err != nil {
		return err
	}
	entry := caller.NewPinned(fleet.Entries[0].Address)
	defer entry.Close()
	firstTarget := func(pool string) string { return fleet.TargetAddresses(pool)[0] }
	meter := &overhead.Meter{
		Direct: overhead.NewDirectClient(overhead.Targets{
			Encoder: firstTarget("encoders"), Retriever: firstTarget("retrievers"), Reranker: firstTarget("rerankers"), Engine: firstTarget("llm"),
		}),
		Entry: entry, PID: pid, Pipeline: scenario.Shape.Mix.Pipeline, BearerKey: scenario.Shape.Customers[0].Key,
		Input: "What does a hall for forty with lunch cost in Kraków in May?",
	}
	if err := printComparison(ctx, meter, cmd.Int(flagRequests)); err != nil {
		return err
	}
	return printLoops(ctx, meter, cmd.Int(flagWorkers), cmd.Duration(flagLength))
}

func printComparison(ctx context.Context, meter *overhead.Meter, requests int) error {
	for _, stream := range []bool{false, true} {
		comparison, err := meter.Compare(ctx, requests, fewTokens, stream)
		if err != nil {
			return err
		}
		fmt.Printf("overhead kind=%s requests=%d direct_p50_us=%d through_p50_us=%d added_p50_us=%d direct_p95_us=%d through_p95_us=%d\n",
			kindName(stream), requests, comparison.Direct.Quantile(0.5).Microseconds(), comparison.ViaEntry.Quantile(0.5).Microseconds(),
			comparison.MedianOverhead().Microseconds(), comparison.Direct.Quantile(0.95).Microseconds(), comparison.ViaEntry.Quantile(0.95).Microseconds())
	}
	return nil
}

func printLoops(ctx context.Context, meter *overhead.Meter, workers int, length time.Duration) error {
	if _, err := meter.RunClosedLoop(ctx, workers, length/4, fewTokens, false); err != nil {
		return err // warmup: the result is discarded
	}
	var perStream []overhead.LoopResult
	for _, loop := range []struct {
		tokens int
		stream bool
	}{{fewTokens, false}, {fewTokens, true}, {manyTokens, true}} {
		load, err := meter.RunClosedLoop(ctx, workers, length, loop.tokens, loop.stream)
		if err != nil {
			return err
		}
		if loop.stream {
			perStream = append(perStream, load)
		}
		fmt.Printf("overhead loop kind=%s tokens=%d workers=%d requests_per_second=%.0f entry_cores=%.2f cpu_us_per_request=%d p50_ms=%.2f p95_ms=%.2f\n",
			kindName(loop.stream), loop.tokens, workers, load.PerSecond(), load.CoresUsed(), load.CPUPerRequest().Microseconds(),
			load.Latencies.Quantile(0.5).Seconds()*1000, load.Latencies.Quantile(0.95).Seconds()*1000)
	}
	perToken := (perStream[1].CPUPerRequest() - perStream[0].CPUPerRequest()) / (manyTokens - fewTokens)
	fmt.Printf("overhead cpu_us_per_streamed_token=%.2f\n", float64(perToken)/float64(time.Microsecond))
	return nil
}

func kindName(stream bool) string {
	if stream {
		return "stream"
	}
	return "json"
}
