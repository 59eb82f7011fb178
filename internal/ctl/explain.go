package ctl

import (
	"context"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/vanillagate/vanillagate/internal/explain"
)

// explainCommand returns the command that shows one request's log lines. It only
// reads logs, so that it works while no entry VM can be reached.
func (a *app) explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show what happened to one request, from collected logs", ArgsUsage: "REQUEST [LOG...]",
		Description: "REQUEST is the request ID that the caller sent and that every answer carries.\n" +
			"Without a log file, or with -, standard input is read.",
		Action: a.explain,
	}
}

func (a *app) explain(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() == 0 {
		return usagef("explain needs a request ID and logs: %q, see --help", cmd.ArgsUsage)
	}
	requestLog := &explain.RequestLog{Request: cmd.Args().First()}
	logs := cmd.Args().Tail()
	if len(logs) == 0 {
		logs = []string{"-"}
	}
	for _, path := range logs {
		if err := readLog(requestLog, path); err != nil {
			return err
		}
	}
	requestLog.Sort()
	if cmd.String(flagOutput) == outputJSON {
		return a.printJSON(requestLog)
	}
	return requestLog.Write(a.out)
}

func readLog(requestLog *explain.RequestLog, path string) error {
	if path == "-" {
		return requestLog.Read("stdin", os.Stdin)
	}
	file, err := os.Open(path)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	defer func() { _ = file.Close() }() // it was opened only for reading
	return requestLog.Read(filepath.Base(path), file)
}
