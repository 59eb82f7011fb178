package cli

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/vanillagate/vanillagate/internal/load/arrival"
	"github.com/vanillagate/vanillagate/internal/load/caller"
	"github.com/vanillagate/vanillagate/internal/load/control"
	"github.com/vanillagate/vanillagate/internal/load/experiment"
	"github.com/vanillagate/vanillagate/internal/load/report"
	"github.com/vanillagate/vanillagate/internal/load/runner"
	"github.com/vanillagate/vanillagate/internal/load/shape"
	"github.com/vanillagate/vanillagate/internal/program"
	"github.com/vanillagate/vanillagate/internal/settings"
)

// Names of the flags of "vgload run".
const (
	flagEntries      = "entries"
	flagKey          = "key"
	flagPipeline     = "pipeline"
	flagService      = "service"
	flagRate         = "rate"
	flagDuration     = "duration"
	flagControl      = "control"
	flagTimeout      = "timeout"
	flagSeed         = "seed"
	flagMaxTokens    = "max-tokens"
	flagServiceShare = "service-share"
	flagStreamShare  = "stream-share"
	flagConfirmPath  = "confirm-path"
	flagAttainment   = "require-attainment"
	flagJSON         = "json"
	flagCSV          = "csv"
)

// Bounds of the settings of "vgload run".
const (
	highestRate     = 100_000
	longestDuration = 24 * time.Hour
	shortestTimeout = time.Millisecond
	longestTimeout  = 10 * time.Minute
	mostTokens      = 100_000
)

func runCommand() *cli.Command {
	return &cli.Command{
		Name:         "run",
		Usage:        "send load for a limited time and print a summary of the results",
		Action:       run,
		OnUsageError: onUsageError,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagEntries, Usage: "addresses of entry VMs to start with, `IP:PORT,...`", Sources: program.Env(flagEntries)},
			&cli.StringFlag{Name: flagKey, Usage: "the customer's bearer `KEY`", Sources: program.Env(flagKey)},
			&cli.StringFlag{Name: flagPipeline, Value: "quote", Usage: "pipeline `NAME`", Sources: program.Env(flagPipeline)},
			&cli.StringFlag{Name: flagService, Value: "booking", Usage: "plain service `NAME`; empty for none", Sources: program.Env(flagService)},
			&cli.StringFlag{Name: flagConfirmPath, Value: "/confirm", Usage: "`PATH` of the service's non-idempotent POST", Sources: program.Env(flagConfirmPath)},
			&cli.FloatFlag{Name: flagRate, Value: 50, Usage: "requests per second", Sources: program.Env(flagRate)},
			&cli.DurationFlag{Name: flagDuration, Value: 10 * time.Second, Usage: "how long to send", Sources: program.Env(flagDuration)},
			&cli.DurationFlag{Name: flagTimeout, Value: 4 * time.Second, Usage: "timeout of each request", Sources: program.Env(flagTimeout)},
			&cli.IntFlag{Name: flagMaxTokens, Value: 16, Usage: "tokens to generate for each request", Sources: program.Env(flagMaxTokens)},
			&cli.FloatFlag{Name: flagServiceShare, Value: 0.2, Usage: "share of requests sent to the plain service, `0..1`", Sources: program.Env(flagServiceShare)},
			&cli.FloatFlag{Name: flagStreamShare, Value: 0.5, Usage: "share of pipeline requests that are streamed, `0..1`", Sources: program.Env(flagStreamShare)},
			&cli.StringFlag{Name: flagControl, Usage: "control listeners of the stand-ins, `IP:PORT,...`; without them, doubled requests are not detected", Sources: program.Env(flagControl)},
			&cli.Uint64Flag{Name: flagSeed, Value: 1, Usage: "seed of arrivals and inputs", Sources: program.Env(flagSeed)},
			&cli.FloatFlag{Name: flagAttainment, Usage: "fail if the attainment is below this, `0..1`", Sources: program.Env(flagAttainment)},
			&cli.StringFlag{Name: flagJSON, Usage: "write the summary to `FILE`", Sources: program.Env(flagJSON)},
			&cli.StringFlag{Name: flagCSV, Usage: "write one line for each request to `FILE`", Sources: program.Env(flagCSV)},
		},
	}
}

// runSettings are the checked settings of "vgload run".
type runSettings struct {
	entries  []string
	controls []string
	load     experiment.CustomerLoad
	duration time.Duration
	seed     uint64
	required float64
	jsonFile string
	csvFile  string
}

func readRunSettings(cmd *cli.Command) (runSettings, error) {
	var check settings.Checker
	checkAddresses(&check, flagEntries, cmd.String(flagEntries), true)
	checkAddresses(&check, flagControl, cmd.String(flagControl), false)
	check.NotEmpty(flagKey, cmd.String(flagKey))
	check.NotEmpty(flagPipeline, cmd.String(flagPipeline))
	check.Between(flagDuration, cmd.Duration(flagDuration), time.Millisecond, longestDuration)
	check.Between(flagTimeout, cmd.Duration(flagTimeout), shortestTimeout, longestTimeout)
	check.IntBetween(flagMaxTokens, cmd.Int(flagMaxTokens), 1, mostTokens)
	checkShare(&check, flagServiceShare, cmd.Float(flagServiceShare))
	checkShare(&check, flagStreamShare, cmd.Float(flagStreamShare))
	checkShare(&check, flagAttainment, cmd.Float(flagAttainment))
	if rate := cmd.Float(flagRate); !(rate > 0 && rate <= highestRate) {
		check.Reject(flagRate, rate, fmt.Sprintf("above 0 to %d", highestRate))
	}
	if path := cmd.String(flagConfirmPath); !strings.HasPrefix(path, "/") {
		check.Reject(flagConfirmPath, path, "a path that starts with /")
	}
	if err := check.Err(); err != nil {
		return runSettings{}, err
	}
	return runSettings{
		entries:  splitList(cmd.String(flagEntries)),
		controls: splitList(cmd.String(flagControl)),
		load:     customerLoad(cmd),
		duration: cmd.Duration(flagDuration),
		seed:     cmd.Uint64(flagSeed),
		required: cmd.Float(flagAttainment),
		jsonFile: cmd.String(flagJSON),
		csvFile:  cmd.String(flagCSV),
	}, nil
}

func customerLoad(cmd *cli.Command) experiment.CustomerLoad {
	service := cmd.Float(flagServiceShare)
	if cmd.String(flagService) == "" {
		service = 0
	}
	streamed := cmd.Float(flagStreamShare)
	timeout := int(cmd.Duration(flagTimeout).Milliseconds())
	return experiment.CustomerLoad{
		BearerKey: cmd.String(flagKey),
		Pattern:   arrival.Steady{PerSecond: cmd.Float(flagRate)},
		Mix: shape.Mix{
			Pipeline:         cmd.String(flagPipeline),
			JSON:             (1 - service) * (1 - streamed),
			Stream:           (1 - service) * streamed,
			Service:          cmd.String(flagService),
			Confirm:          service,
			ConfirmPath:      cmd.String(flagConfirmPath),
			MinTokens:        cmd.Int(flagMaxTokens),
			MaxTokens:        cmd.Int(flagMaxTokens),
			Prefixes:         defaultPrefixes,
			InputWords:       defaultInputWords,
			TimeoutMS:        timeout,
			ServiceTimeoutMS: timeout,
		},
	}
}

const (
	defaultPrefixes   = 8
	defaultInputWords = 40
)

func run(ctx context.Context, cmd *cli.Command) error {
	options, err := readRunSettings(cmd)
	if err != nil {
		return err
	}
	plan := experiment.Plan([]experiment.CustomerLoad{options.load}, options.duration, options.seed, newRunID())
	results := sendAll(ctx, options.entries, plan)
	executions, err := collectExecutions(options.controls)
	if err != nil {
		return err
	}
	summary := report.Summarize(results, executions)
	if err := writeFiles(options, summary, results); err != nil {
		return err
	}
	printDetails(summary)
	fmt.Println(summary.ResultLine())
	return checkSummary(summary, options.required)
}

// sendAll sends the planned calls from one caller for each address of entries.
func sendAll(ctx context.Context, entries []string, plan []runner.PlannedCall) []caller.Result {
	callers := newCallers(entries)
	defer closeAll(callers)
	var progress runner.Progress
	stop := report.ShowProgress(os.Stderr, &progress, time.Second)
	defer stop()
	return runner.Run(ctx, callers, plan, time.Now(), &progress)
}

// newCallers returns one caller for each address, which the caller tries first.
func newCallers(entries []string) []*caller.Caller {
	var callers []*caller.Caller
	for i := range entries {
		rotated := append(append([]string{}, entries[i:]...), entries[:i]...)
		callers = append(callers, caller.New(rotated))
	}
	return callers
}

func closeAll(callers []*caller.Caller) {
	for _, c := range callers {
		c.Close()
	}
}

// collectExecutions returns the executions that the stand-ins with the given
// control listeners recorded, once their counts have settled.
func collectExecutions(controls []string) ([]control.Execution, error) {
	var all []control.Execution
	for _, address := range controls {
		counts, err := control.New(address).CountsWhenIdle(control.DefaultIdleWait)
		if err != nil {
			return nil, err
		}
		all = append(all, counts.Executions...)
	}
	return all, nil
}

// checkSummary returns an error if the run violated a guarantee or its attainment
// is below required.
func checkSummary(s report.Summary, required float64) error {
	if s.Lost > 0 || s.RanTwice > 0 || s.WrongAnswers > 0 || s.FalseNotRun > 0 {
		return errRunFailed
	}
	if s.Attainment < required {
		return fmt.Errorf("attainment %.4f is below the required %.4f", s.Attainment, required)
	}
	return nil
}

// newRunID returns a name for this run that makes its refs and idempotency keys
// unique.
func newRunID() string { return strconv.FormatInt(time.Now().UnixNano(), 36) }

func splitList(text string) []string {
	var items []string
	for item := range strings.SplitSeq(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

func checkAddresses(check *settings.Checker, flag, list string, needed bool) {
	items := splitList(list)
	if needed && len(items) == 0 {
		check.Reject(flag, list, "one or more IP:port, separated by commas")
	}
	for _, item := range items {
		check.Address(flag, item)
	}
}

func checkShare(check *settings.Checker, flag string, value float64) {
	if !(value >= 0 && value <= 1) {
		check.Reject(flag, value, "0 to 1")
	}
}
