// Package program implements the command line of vgstandin.
package program

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/buildinfo"
	"github.com/vanillagate/vanillagate/internal/logging"
	"github.com/vanillagate/vanillagate/internal/settings"
	"github.com/vanillagate/vanillagate/internal/standin/fleet"
)

const (
	flagFile    = "file"
	flagControl = "control"
	flagPool    = "pool"
	flagTarget  = "target"
	flagLog     = "log-level"
)

// Exit codes of the program other than 0.
const (
	// ExitFailed means that an error occurred while running.
	ExitFailed = 1
	// ExitUsage means that the command line or the fleet file is invalid.
	ExitUsage = 2
)

const description = `A fleet file (JSON) gives every address; deploy/demo.fleet.json is one. The
control listener answers once all else listens: GET /summary, /counts, /faults,
/vms, /table/stats; PUT /faults, /vms; POST /counts/reset, /vms/state.

Exit codes: 0 after SIGTERM or SIGINT, 1 when something failed, 2 when the
command line or the fleet file can't be used.`

// Run parses the arguments, of which the first is the program's name, serves until
// ctx ends, and returns the exit code. Errors are written to stderr.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	command := Command()
	command.Writer = stdout
	command.ErrWriter = stderr
	err := command.Run(ctx, args)
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintln(stderr, "vgstandin:", err) // a failed write to stderr can't be reported
	var failed *runError
	if errors.As(err, &failed) {
		return ExitFailed
	}
	return ExitUsage
}

// runError is an error that occurred while running, as opposed to a usage error.
type runError struct{ error }

// Unwrap returns the wrapped error.
func (f *runError) Unwrap() error { return f.error }

// Command returns the root command with all subcommands.
func Command() *cli.Command {
	return &cli.Command{
		Name:        "vgstandin",
		Usage:       "emulate what vanillagate meets outside, for tests and experiments",
		Version:     buildinfo.Version,
		Description: description,
		// The default handler exits the process; Run returns the exit code instead.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Action:         noCommand,
		Commands: []*cli.Command{
			{
				Name:   "fleet",
				Usage:  "host the platform and all targets of a fleet file",
				Flags:  commonFlags(),
				Action: runFleet(func(*cli.Command) fleet.Parts { return fleet.Parts{Platform: true, Targets: true} }),
			},
			{
				Name:   "platform",
				Usage:  "host the table service, the object store and the VM list of a fleet file",
				Flags:  commonFlags(),
				Action: runFleet(func(*cli.Command) fleet.Parts { return fleet.Parts{Platform: true} }),
			},
			{
				Name:   "targets",
				Usage:  "host the targets of a fleet file, or some of them",
				Flags:  append(commonFlags(), targetFlags()...),
				Action: runFleet(targetParts),
			},
			edgeCommand(),
		},
	}
}

// noCommand runs when the arguments name no known subcommand.
func noCommand(_ context.Context, cmd *cli.Command) error {
	if name := cmd.Args().First(); name != "" {
		return fmt.Errorf("unknown command %q; known are fleet, platform, targets and edge", name)
	}
	return cli.ShowAppHelp(cmd)
}

func commonFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagFile, Usage: "fleet file to host", Sources: cli.EnvVars("VANILLAGATE_FILE")},
		&cli.StringFlag{Name: flagControl, Usage: "IP:port of the control listener, in place of the file's", Sources: cli.EnvVars("VANILLAGATE_CONTROL")},
		&cli.StringFlag{Name: flagLog, Value: "info", Usage: "debug, info, warn or error", Sources: cli.EnvVars("VANILLAGATE_LOG_LEVEL")},
	}
}

func targetFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: flagPool, Usage: "host only this pool; may be repeated", Sources: cli.EnvVars("VANILLAGATE_POOL")},
		&cli.StringSliceFlag{Name: flagTarget, Usage: "host only the target at this IP:port; may be repeated", Sources: cli.EnvVars("VANILLAGATE_TARGET")},
	}
}

func targetParts(cmd *cli.Command) fleet.Parts {
	return fleet.Parts{Targets: true, Pools: cmd.StringSlice(flagPool), Addresses: cmd.StringSlice(flagTarget)}
}

// runFleet returns the action of a command that hosts the given parts.
func runFleet(parts func(*cli.Command) fleet.Parts) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		file, err := readFile(cmd)
		if err != nil {
			return err
		}
		log, err := logging.New(cmd.String(flagLog))
		if err != nil {
			return eris.Wrap(err, "logger")
		}
		if err := host(ctx, file, parts(cmd), logging.WithComponent(log, "standin")); err != nil {
			return &runError{err}
		}
		return nil
	}
}

// readFile validates the flags and reads the fleet file.
func readFile(cmd *cli.Command) (fleet.File, error) {
	var c settings.Checker
	c.NotEmpty(flagFile, cmd.String(flagFile))
	c.OneOf(flagLog, cmd.String(flagLog), "debug", "info", "warn", "error")
	if cmd.IsSet(flagControl) {
		c.Address(flagControl, cmd.String(flagControl))
	}
	for _, t := range cmd.StringSlice(flagTarget) {
		c.Address(flagTarget, t)
	}
	if err := c.Err(); err != nil {
		return fleet.File{}, err
	}
	file, err := fleet.ReadFile(cmd.String(flagFile))
	if err != nil {
		return fleet.File{}, err
	}
	if cmd.IsSet(flagControl) {
		file.Control = cmd.String(flagControl)
	}
	return file, nil
}

// host runs the selected parts of the fleet until the context ends.
func host(ctx context.Context, file fleet.File, parts fleet.Parts, log *zap.Logger) error {
	f, err := fleet.Open(file, parts, log)
	if err != nil {
		return eris.Wrap(err, "open fleet")
	}
	log.Info("ready", zap.String("control", f.Control), zap.String("table", f.Table),
		zap.String("objects", f.Objects), zap.String("vm_list", f.VMList))
	<-ctx.Done()
	log.Info("stopping")
	return eris.Wrap(f.Stop(), "stop fleet")
}
