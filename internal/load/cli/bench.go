package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/vanillagate/vanillagate/internal/load/bench"
	"github.com/vanillagate/vanillagate/internal/load/experiment"
	"github.com/vanillagate/vanillagate/internal/load/report"
	"github.com/vanillagate/vanillagate/internal/program"
	"github.com/vanillagate/vanillagate/internal/settings"
)

// Names of the flags of "vgload bench" and "vgload report".
const (
	flagExperiments = "experiments"
	flagQuick       = "quick"
	flagPolicies    = "policies"
	flagScenarios   = "scenarios"
	flagSeeds       = "seeds"
	flagScenario    = "scenario"
	flagPolicy      = "policy"
	flagDir         = "dir"
	flagOut         = "out"
	flagResults     = "results"
)

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "run benchmark scenarios step by step; scripts/bench.sh starts the processes for each step",
		Description: "vgload starts no processes. scripts/bench.sh lists the steps with \"bench steps\", writes the addresses\n" +
			"and settings of each with \"bench layout\", starts its stand-ins and entry VMs, and calls \"bench step\".\n" +
			"\"vgload report\" merges the results.",
		Commands:     []*cli.Command{stepsCommand(), layoutCommand(), stepCommand()},
		OnUsageError: onUsageError,
	}
}

func experimentsFlag() cli.Flag {
	return &cli.StringFlag{Name: flagExperiments, Value: "experiments", Usage: "`DIR` with experiment files", Sources: program.Env(flagExperiments)}
}

func quickFlag() cli.Flag {
	return &cli.BoolFlag{Name: flagQuick, Usage: "run only the quick scenarios, for a shorter time and with one seed", Sources: program.Env(flagQuick)}
}

func dirFlag() cli.Flag {
	return &cli.StringFlag{Name: flagDir, Usage: "`DIR` with the files of the step", Sources: program.Env(flagDir)}
}

func stepFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		experimentsFlag(),
		dirFlag(),
		&cli.StringFlag{Name: flagScenario, Usage: "`NAME` of the scenario", Sources: program.Env(flagScenario)},
		&cli.Uint64Flag{Name: flagSeed, Value: 1, Usage: "seed of the step", Sources: program.Env(flagSeed)},
	}, more...)
}

func stepsCommand() *cli.Command {
	return &cli.Command{
		Name:         "steps",
		Usage:        "list the steps to run: scenario, policy and seed, separated by tabs",
		Action:       listSteps,
		OnUsageError: onUsageError,
		Flags: []cli.Flag{
			experimentsFlag(),
			quickFlag(),
			&cli.StringFlag{Name: flagPolicies, Usage: "run only these policies, `P,...`", Sources: program.Env(flagPolicies)},
			&cli.StringFlag{Name: flagScenarios, Usage: "run only these scenarios, `S,...`", Sources: program.Env(flagScenarios)},
			&cli.StringFlag{Name: flagSeeds, Usage: "use these seeds instead of those in the scenario files, `N,...`", Sources: program.Env(flagSeeds)},
		},
	}
}

func listSteps(_ context.Context, cmd *cli.Command) error {
	var check settings.Checker
	check.NotEmpty(flagExperiments, cmd.String(flagExperiments))
	seeds := readSeeds(&check, cmd.String(flagSeeds))
	if err := check.Err(); err != nil {
		return err
	}
	scenarios, err := experiment.ReadDir(cmd.String(flagExperiments))
	if err != nil {
		return err
	}
	steps, err := bench.Steps(scenarios, bench.Selection{
		Policies:  splitList(cmd.String(flagPolicies)),
		Scenarios: splitList(cmd.String(flagScenarios)),
		Seeds:     seeds,
		Quick:     cmd.Bool(flagQuick),
	})
	if err != nil {
		return err
	}
	for _, s := range steps {
		fmt.Printf("%s\t%s\t%d\n", s.Scenario, s.Policy, s.Seed)
	}
	return nil
}

func readSeeds(check *settings.Checker, list string) []uint64 {
	var seeds []uint64
	for _, text := range splitList(list) {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			check.Reject(flagSeeds, list, "whole numbers, separated by commas")
			return nil
		}
		seeds = append(seeds, seed)
	}
	return seeds
}

func layoutCommand() *cli.Command {
	return &cli.Command{
		Name:         "layout",
		Usage:        "write fleet.json, entries.tsv and env.sh for a step, on free ports",
		Action:       writeLayout,
		OnUsageError: onUsageError,
		Flags:        stepFlags(),
	}
}

func writeLayout(_ context.Context, cmd *cli.Command) error {
	scenario, err := readScenario(cmd)
	if err != nil {
		return err
	}
	return bench.WriteLayout(cmd.String(flagDir), scenario, cmd.Uint64(flagSeed))
}

// readScenario validates the settings of a step and reads its scenario.
func readScenario(cmd *cli.Command) (*experiment.Scenario, error) {
	var check settings.Checker
	check.NotEmpty(flagExperiments, cmd.String(flagExperiments))
	check.NotEmpty(flagDir, cmd.String(flagDir))
	check.NotEmpty(flagScenario, cmd.String(flagScenario))
	if err := check.Err(); err != nil {
		return nil, err
	}
	scenarios, err := experiment.ReadDir(cmd.String(flagExperiments))
	if err != nil {
		return nil, err
	}
	for _, s := range scenarios {
		if s.Name == cmd.String(flagScenario) {
			return s, nil
		}
	}
	return nil, fmt.Errorf("no scenario %q in %s", cmd.String(flagScenario), cmd.String(flagExperiments))
}

func stepCommand() *cli.Command {
	return &cli.Command{
		Name:         "step",
		Usage:        "wait for the processes of a step, configure them, send the load, inject the faults and write the result",
		Action:       runStep,
		OnUsageError: onUsageError,
		Flags: stepFlags(
			quickFlag(),
			&cli.StringFlag{Name: flagPolicy, Value: bench.PresentPolicy, Usage: "policy that the entry VMs run, recorded in the result", Sources: program.Env(flagPolicy)},
			&cli.StringFlag{Name: flagOut, Usage: "write the result to `FILE`", Sources: program.Env(flagOut)},
			&cli.StringFlag{Name: flagCSV, Usage: "write one line for each request to `FILE`", Sources: program.Env(flagCSV)},
		),
	}
}

func runStep(ctx context.Context, cmd *cli.Command) error {
	scenario, err := readScenario(cmd)
	if err != nil {
		return err
	}
	step := bench.Step{
		Scenario: scenario,
		Policy:   cmd.String(flagPolicy),
		Seed:     cmd.Uint64(flagSeed),
		Quick:    cmd.Bool(flagQuick),
		Dir:      cmd.String(flagDir),
		Log:      os.Stderr,
	}
	result, requests, err := step.Run(ctx)
	if err != nil {
		return err
	}
	if file := cmd.String(flagCSV); file != "" {
		if err := report.WriteCSV(file, requests); err != nil {
			return err
		}
	}
	if file := cmd.String(flagOut); file != "" {
		if err := report.WriteJSON(file, result); err != nil {
			return err
		}
	}
	fmt.Fprintln(os.Stderr, result.Summary.ResultLine())
	return nil
}

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:         "report",
		Usage:        "merge the results of many steps into text lines and an HTML page with charts",
		Action:       writeReport,
		OnUsageError: onUsageError,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagResults, Value: "out/bench/results", Usage: "`DIR` with the results", Sources: program.Env(flagResults)},
			&cli.StringFlag{Name: flagOut, Value: "out/bench", Usage: "`DIR` for report.html", Sources: program.Env(flagOut)},
		},
	}
}

// errGuaranteeViolated is returned if a run of PresentPolicy has doubled, crossed
// or falsely reported "not run" requests.
var errGuaranteeViolated = errors.New("a run has doubled or crossed requests, or requests falsely reported as \"not run\"")

func writeReport(_ context.Context, cmd *cli.Command) error {
	results, err := bench.ReadResults(cmd.String(flagResults))
	if err != nil {
		return err
	}
	rows := bench.Merge(results)
	if err := bench.WritePage(filepath.Join(cmd.String(flagOut), "report.html"), rows); err != nil {
		return err
	}
	violated := false
	for _, row := range rows {
		fmt.Println(row.Line())
		fmt.Println(row.CustomerLine())
		violated = violated || (row.Policy == bench.PresentPolicy && row.Doubled+row.Crossed+row.FalseNotRun > 0)
	}
	if violated {
		return errGuaranteeViolated
	}
	return nil
}
