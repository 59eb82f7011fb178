package bench

import (
	"context"
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/vanillagate/vanillagate/internal/load/caller"
	"github.com/vanillagate/vanillagate/internal/load/control"
	"github.com/vanillagate/vanillagate/internal/load/experiment"
	"github.com/vanillagate/vanillagate/internal/load/fault"
	"github.com/vanillagate/vanillagate/internal/load/report"
	"github.com/vanillagate/vanillagate/internal/load/runner"
	"github.com/vanillagate/vanillagate/internal/load/setup"
	"github.com/vanillagate/vanillagate/internal/load/shape"
)

const (
	readyTimeout   = 15 * time.Second
	warmupDuration = 500 * time.Millisecond
	warmupSeed     = 1 << 32
)

// Step is one benchmark run: a scenario under one policy with one seed.
type Step struct {
	Scenario *experiment.Scenario
	Policy   string
	Seed     uint64
	Quick    bool
	// Dir is the directory that WriteLayout wrote to and in which the script
	// stores the process IDs of the entry VMs.
	Dir string
	Log io.Writer
}

// Result holds the measurements of a Step.
type Result struct {
	Scenario string         `json:"scenario"`
	About    string         `json:"about"`
	Shape    string         `json:"shape"`
	Policy   string         `json:"policy"`
	Seed     uint64         `json:"seed"`
	Summary  report.Summary `json:"summary"`
	// Timeline has one point for each interval of the duration.
	Timeline []report.Point `json:"timeline"`
}

// Run executes the step. The processes must have been started: Run waits until
// they are ready, applies the configuration, warms the system up and measures.
func (s Step) Run(ctx context.Context) (Result, []caller.Result, error) {
	fleet, err := s.Prepare(ctx)
	if err != nil {
		return Result{}, nil, err
	}
	callers := s.callers(fleet)
	defer closeAll(callers)
	standins := control.New(fleet.Control)
	if err := s.warmUp(ctx, callers, standins); err != nil {
		return Result{}, nil, err
	}
	results, err := s.measure(ctx, callers, standins, fleet)
	if err != nil {
		return Result{}, nil, err
	}
	counts, err := standins.CountsWhenIdle(control.DefaultIdleWait)
	if err != nil {
		return Result{}, nil, err
	}
	return Result{
		Scenario: s.Scenario.Name,
		About:    s.Scenario.About,
		Shape:    s.Scenario.Shape.Name,
		Policy:   s.Policy,
		Seed:     s.Seed,
		Summary:  report.Summarize(results, counts.Executions),
		Timeline: report.Timeline(results, s.length()),
	}, results, nil
}

func (s Step) length() time.Duration { return s.Scenario.Duration(s.Quick) }

// Prepare waits until the processes are ready and the shape's configuration is
// in force on all entry VMs, and returns the addresses of the deployment.
func (s Step) Prepare(ctx context.Context) (shape.Fleet, error) {
	fleet, err := ReadFleet(s.Dir)
	if err != nil {
		return shape.Fleet{}, err
	}
	return fleet, s.prepare(ctx, fleet)
}

func (s Step) prepare(ctx context.Context, fleet shape.Fleet) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	began := time.Now()
	logStage := func(what string) {
		fmt.Fprintf(s.Log, "prepare: %s after %.2f s\n", what, time.Since(began).Seconds())
	}
	for _, e := range fleet.Entries {
		if err := setup.WaitHealthy(ctx, e.Address); err != nil {
			return err
		}
	}
	logStage("all entry VMs healthy")
	operator := setup.NewOperator(fleet.Entries[0].Address, OperatorKey)
	revision, err := operator.Apply(ctx, s.Scenario.Shape)
	if err != nil {
		return err
	}
	logStage("configuration accepted")
	if err := operator.WaitInForce(ctx, revision, len(fleet.Entries)); err != nil {
		return err
	}
	logStage("configuration in force")
	for _, e := range fleet.Entries {
		if err := setup.WaitReady(ctx, e.Address); err != nil {
			return err
		}
	}
	err = s.waitForAnswers(ctx, fleet)
	logStage("entry VMs answer requests")
	return err
}

// waitForAnswers sends probe requests to each entry VM until it answers one, so
// that the run doesn't start before the targets have been discovered.
func (s Step) waitForAnswers(ctx context.Context, fleet shape.Fleet) error {
	for i, e := range fleet.Entries {
		client := caller.NewPinned(e.Address)
		for try := 0; ; try++ {
			call := s.probeCall(fmt.Sprintf("probe-%d-%d", i, try))
			got := client.Do(ctx, call)
			if got.Outcome == caller.Answered {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("bench: entry VM %s answered no probe request: %s", e.Address, got.Detail)
			}
			sleepContext(ctx, probePeriod)
		}
		client.Close()
	}
	return nil
}

const (
	probePeriod  = 50 * time.Millisecond
	probeTimeout = 2 * time.Second
)

func (s Step) probeCall(ref string) caller.Call {
	first := s.Scenario.Shape.Customers[0]
	return caller.Call{
		Kind:           caller.KindPipeline,
		Customer:       first.Contract.Customer,
		BearerKey:      first.Key,
		IdempotencyKey: ref,
		Ref:            ref,
		Pipeline:       s.Scenario.Shape.Mix.Pipeline,
		Input:          "ready?",
		MaxTokens:      1,
		Scheduled:      time.Now(),
		Timeout:        probeTimeout,
	}
}

// callers returns one caller for each entry VM, which it tries first.
func (s Step) callers(fleet shape.Fleet) []*caller.Caller {
	var all []*caller.Caller
	for i := range fleet.Entries {
		var first []string
		for j := range fleet.Entries {
			first = append(first, fleet.Entries[(i+j)%len(fleet.Entries)].Address)
		}
		all = append(all, caller.New(first, caller.WithFirstTryShare(s.Scenario.FirstTryShare)))
	}
	return all
}

func closeAll(callers []*caller.Caller) {
	for _, c := range callers {
		c.Close()
	}
}

// warmUp sends a short load that opens connections and lets the entry VMs
// form their estimates, then resets the counters of the stand-ins.
func (s Step) warmUp(ctx context.Context, callers []*caller.Caller, standins *control.Client) error {
	plan := experiment.Plan(s.Scenario.CustomerLoads(warmupDuration), warmupDuration, s.Seed+warmupSeed, s.runName()+"w")
	runner.Run(ctx, callers, plan, time.Now(), &runner.Progress{})
	return standins.Reset()
}

func (s Step) runName() string { return fmt.Sprintf("%d", s.Seed) }

// measure sends the load while the faults are injected.
func (s Step) measure(ctx context.Context, callers []*caller.Caller, standins *control.Client, fleet shape.Fleet) ([]caller.Result, error) {
	plan := s.Scenario.Plan(s.length(), s.Seed, s.runName())
	events := fault.Plan(s.Scenario, fleet, s.length())
	injector := &fault.Injector{Control: standins, PIDDir: s.Dir, Log: s.Log}
	var progress runner.Progress
	stop := report.ShowProgress(s.Log, &progress, time.Second)
	defer stop()

	start := time.Now()
	var results []caller.Result
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return injector.Run(ctx, start, events) })
	group.Go(func() error {
		results = runner.Run(ctx, callers, plan, start, &progress)
		return nil
	})
	err := group.Wait()
	return results, err
}

func sleepContext(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
