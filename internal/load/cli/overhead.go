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
		Usage: "measure what one entry VM adds against direct calls; scripts/overhead.sh starts the processes",
		Description: "Sends requests of four stages directly and through the entry VM in turn, then reads the entry VM's\n" +
			"processor time while many callers send at once.",
		Action:       measureOverhead,
		OnUsageError: onUsageError,
		Flags: stepFlags(
			&cli.IntFlag{Name: flagRequests, Value: 400, Usage: "requests each way", Sources: program.Env(flagRequests)},
			&cli.IntFlag{Name: flagWorkers, Value: 64, Usage: "callers at once for processor time and throughput", Sources: program.Env(flagWorkers)},
			&cli.DurationFlag{Name: flagLength, Value: 4 * time.Second, Usage: "length of each loop", Sources: program.Env(flagLength)},
		),
	}
}

// Sizes of the requests: few tokens weigh the request, many the tokens.
const (
	fewTokens  = 4
	manyTokens = 64
)

func measureOverhead(ctx context.Context, cmd *cli.Command) error {
	scenario, err := scenarioOf(cmd)
	if err != nil {
		return err
	}
	step := bench.Step{Scenario: scenario, Dir: cmd.String(flagDir), Log: os.Stderr}
	fleet, err := step.Prepare(ctx)
	if err != nil {
		return err
	}
	pid, err := fault.PID(cmd.String(flagDir), 0)
	if err != nil {
		return err
	}
	entry := caller.NewPinned(fleet.Entries[0].Address)
	defer entry.Close()
	first := func(pool string) string { return fleet.Targets(pool)[0] }
	meter := &overhead.Meter{
		Direct: overhead.NewDirect(overhead.Targets{
			Encoder: first("encoders"), Retriever: first("retrievers"), Reranker: first("rerankers"), Engine: first("llm"),
		}),
		Entry: entry, PID: pid, Pipeline: scenario.Shape.Mix.Pipeline, BearerKey: scenario.Shape.Customers[0].Key,
		Input: "What does a hall for forty with lunch cost in Kraków in May?",
	}
	if err := printAdded(ctx, meter, cmd.Int(flagRequests)); err != nil {
		return err
	}
	return printLoops(ctx, meter, cmd.Int(flagWorkers), cmd.Duration(flagLength))
}

func printAdded(ctx context.Context, meter *overhead.Meter, requests int) error {
	for _, stream := range []bool{false, true} {
		added, err := meter.Compare(ctx, requests, fewTokens, stream)
		if err != nil {
			return err
		}
		fmt.Printf("overhead kind=%s requests=%d direct_p50_us=%d through_p50_us=%d added_p50_us=%d direct_p95_us=%d through_p95_us=%d\n",
			kindName(stream), requests, added.Direct.Quantile(0.5).Microseconds(), added.ViaEntry.Quantile(0.5).Microseconds(),
			added.MedianOverhead().Microseconds(), added.Direct.Quantile(0.95).Microseconds(), added.ViaEntry.Quantile(0.95).Microseconds())
	}
	return nil
}

func printLoops(ctx context.Context, meter *overhead.Meter, workers int, length time.Duration) error {
	if _, err := meter.RunClosedLoop(ctx, workers, length/4, fewTokens, false); err != nil {
		return err // this one only warms up
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
