// Package cli implements the commands of vgload.
package cli

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"

	"github.com/vanillagate/vanillagate/internal/buildinfo"
	"github.com/vanillagate/vanillagate/internal/program"
)

// errRunFailed is returned if a run completed, but with lost, doubled or crossed
// requests, or requests falsely reported as "not run".
var errRunFailed = errors.New("the run has lost, doubled or crossed requests, or requests falsely reported as \"not run\"")

// usageError reports an invalid command line.
type usageError struct{ error }

// ExitCode makes the program exit with the same code as for an invalid setting.
func (usageError) ExitCode() int { return program.ExitUsage }

// Command returns the command line interface of vgload.
func Command() *cli.Command {
	return &cli.Command{
		Name:    "vgload",
		Usage:   "send load to vanillagate like its callers do, and check every answer",
		Version: buildinfo.Version,
		Description: "Exit codes: 0 the run completed without violations; 1 requests were lost, doubled or crossed,\n" +
			"or the run could not be completed; 2 a setting is invalid.",
		Commands:       []*cli.Command{runCommand(), benchCommand(), reportCommand(), overheadCommand()},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   onUsageError,
	}
}

func onUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return usageError{err}
}
