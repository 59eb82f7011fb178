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
	readyLimit   = 15 * time.Second
	warmupLength = 500 * time.Millisecond
	warmupSeed   = 1 << 32
)

// Step is one run: a scenario under a policy with one seed.
type Step struct {
	Scenario *experiment.Scenario
	Policy   string
	Seed     uint64
	Quick    bool
	// Dir is where WriteLayout wrote and where the script keeps the process
	// ids of the entry VMs.
	Dir string
	Log io.Writer
}

// Result is what a Step found.
type Result struct {
	Scenario string         `json:"scenario"`
	About    string         `json:"about"`
	Shape    string         `json:"shape"`
	Policy   string         `json:"policy"`
	Seed     uint64         `json:"seed"`
	Summary  report.Summary `json:"summary"`
	// Timeline has one point for each part of the duration.
	Timeline []report.Point `json:"timeline"`
}

// Run makes the step. The processes must have been started; Run waits until
// they are up, has the configuration accepted, warms up, and measures.
func (s Step) Run(ctx context.Context) (Result, []caller.Result, error) {
	fleet, err := s.Prepare(ctx)
	if err != nil {
		return Result{}, nil, err
	}
	callers := s.callers(fleet)
	defer closeAll(callers)
	stands := control.New(fleet.Control)
	if err := s.warmUp(ctx, callers, stands); err != nil {
		return Result{}, nil, err
	}
	results, err := s.measure(ctx, callers, stands, fleet)
	if err != nil {
		return Result{}, nil, err
	}
	counts, err := stands.Settled(control.SettleLimit)
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

// Prepare waits for the processes, has the shape's configuration in force, and
// tells where everything listens.
func (s Step) Prepare(ctx context.Context) (shape.Fleet, error) {
	fleet, err := ReadFleet(s.Dir)
	if err != nil {
		return shape.Fleet{}, err
	}
	return fleet, s.prepare(ctx, fleet)
}

func (s Step) prepare(ctx context.Context, fleet shape.Fleet) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	began := time.Now()
	note := func(what string) {
		fmt.Fprintf(s.Log, "prepare: %s after %.2f s\n", what, time.Since(began).Seconds())
	}
	for _, e := range fleet.Entries {
		if err := setup.WaitHealthy(ctx, e.Address); err != nil {
			return err
		}
	}
	note("all entry VMs answer")
	operator := setup.NewOperator(fleet.Entries[0].Address, OperatorKey)
	revision, err := operator.Apply(ctx, s.Scenario.Shape)
	if err != nil {
		return err
	}
	note("configuration accepted")
	if err := operator.WaitInForce(ctx, revision, len(fleet.Entries)); err != nil {
		return err
	}
	note("configuration in force")
	for _, e := range fleet.Entries {
		if err := setup.WaitReady(ctx, e.Address); err != nil {
			return err
		}
	}
	err = s.waitAnswered(ctx, fleet)
	note("requests are answered")
	return err
}

// waitAnswered sends requests to each entry VM until it has answered one, so
// that a run doesn't begin before the targets have been discovered.
func (s Step) waitAnswered(ctx context.Context, fleet shape.Fleet) error {
	for i, e := range fleet.Entries {
		client := caller.NewPinned(e.Address)
		for try := 0; ; try++ {
			call := s.probe(fmt.Sprintf("probe-%d-%d", i, try))
			got := client.Do(ctx, call)
			if got.Outcome == caller.Answered {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("bench: entry VM %s answers no request: %s", e.Address, got.Detail)
			}
			pause(ctx, probePeriod)
		}
		client.Close()
	}
	return nil
}

const (
	probePeriod  = 50 * time.Millisecond
	probeTimeout = 2 * time.Second
)

func (s Step) probe(ref string) caller.Call {
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

// callers makes one caller near each entry VM.
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

// warmUp opens connections and fills estimates, then forgets what was counted.
func (s Step) warmUp(ctx context.Context, callers []*caller.Caller, stands *control.Client) error {
	plan := experiment.Plan(s.Scenario.CustomerLoads(warmupLength), warmupLength, s.Seed+warmupSeed, s.name()+"w")
	runner.Run(ctx, callers, plan, time.Now(), &runner.Progress{})
	return stands.Reset()
}

func (s Step) name() string { return fmt.Sprintf("%d", s.Seed) }

// measure sends the load while the faults happen.
func (s Step) measure(ctx context.Context, callers []*caller.Caller, stands *control.Client, fleet shape.Fleet) ([]caller.Result, error) {
	plan := s.Scenario.Plan(s.length(), s.Seed, s.name())
	events := fault.Plan(s.Scenario, fleet, s.length())
	injector := &fault.Injector{Control: stands, PIDDir: s.Dir, Log: s.Log}
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

func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
