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
		Usage: "experiments, one step at a time; scripts/bench.sh starts the processes in between",
		Description: "vgload starts no process. scripts/bench.sh asks \"bench steps\" what is to be run, has \"bench layout\"\n" +
			"write addresses and settings for a step, starts the stand-ins and entry VMs, and calls \"bench step\".\n" +
			"\"vgload report\" merges the results.",
		Commands:     []*cli.Command{stepsCommand(), layoutCommand(), stepCommand()},
		OnUsageError: onUsageError,
	}
}

func experimentsFlag() cli.Flag {
	return &cli.StringFlag{Name: flagExperiments, Value: "experiments", Usage: "`DIR` with experiment files", Sources: program.Env(flagExperiments)}
}

func quickFlag() cli.Flag {
	return &cli.BoolFlag{Name: flagQuick, Usage: "the quick scenarios, short and with one seed", Sources: program.Env(flagQuick)}
}

func dirFlag() cli.Flag {
	return &cli.StringFlag{Name: flagDir, Usage: "`DIR` of the step's files", Sources: program.Env(flagDir)}
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
		Usage:        "list what is to be run: scenario, policy and seed, separated by tabs",
		Action:       listSteps,
		OnUsageError: onUsageError,
		Flags: []cli.Flag{
			experimentsFlag(),
			quickFlag(),
			&cli.StringFlag{Name: flagPolicies, Usage: "only these, `P,...`", Sources: program.Env(flagPolicies)},
			&cli.StringFlag{Name: flagScenarios, Usage: "only these, `S,...`", Sources: program.Env(flagScenarios)},
			&cli.StringFlag{Name: flagSeeds, Usage: "these in place of the files', `N,...`", Sources: program.Env(flagSeeds)},
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
	scenario, err := scenarioOf(cmd)
	if err != nil {
		return err
	}
	return bench.WriteLayout(cmd.String(flagDir), scenario, cmd.Uint64(flagSeed))
}

// scenarioOf checks the settings of a step and reads its scenario.
func scenarioOf(cmd *cli.Command) (*experiment.Scenario, error) {
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
		Usage:        "wait for the processes of a step, set them up, send the load, inject the faults, write the result",
		Action:       makeStep,
		OnUsageError: onUsageError,
		Flags: stepFlags(
			quickFlag(),
			&cli.StringFlag{Name: flagPolicy, Value: bench.PresentPolicy, Usage: "policy that the entry VMs run, for the result", Sources: program.Env(flagPolicy)},
			&cli.StringFlag{Name: flagOut, Usage: "write the result to `FILE`", Sources: program.Env(flagOut)},
			&cli.StringFlag{Name: flagCSV, Usage: "write one line for each request to `FILE`", Sources: program.Env(flagCSV)},
		),
	}
}

func makeStep(ctx context.Context, cmd *cli.Command) error {
	scenario, err := scenarioOf(cmd)
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
		Usage:        "merge the results of many steps into lines and a page with plots",
		Action:       makeReport,
		OnUsageError: onUsageError,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagResults, Value: "out/bench/results", Usage: "`DIR` of the results", Sources: program.Env(flagResults)},
			&cli.StringFlag{Name: flagOut, Value: "out/bench", Usage: "`DIR` for report.html", Sources: program.Env(flagOut)},
		},
	}
}

// errBroken is returned when some run lost, doubled or crossed something.
var errBroken = errors.New("a run doubled or crossed something, or told a false \"not run\"")

func makeReport(_ context.Context, cmd *cli.Command) error {
	results, err := bench.ReadResults(cmd.String(flagResults))
	if err != nil {
		return err
	}
	rows := bench.Merge(results)
	if err := bench.WritePage(filepath.Join(cmd.String(flagOut), "report.html"), rows); err != nil {
		return err
	}
	broken := false
	for _, row := range rows {
		fmt.Println(row.Line())
		fmt.Println(row.CustomerLine())
		broken = broken || (row.Policy == bench.PresentPolicy && row.Doubled+row.Crossed+row.FalseNotRun > 0)
	}
	if broken {
		return errBroken
	}
	return nil
}
