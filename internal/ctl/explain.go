package ctl

import (
	"context"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/vanillagate/vanillagate/internal/explain"
)

// explainCommand needs no entry VM: it reads logs only.
func (d *desk) explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "tell the story of one request from collected logs", ArgsUsage: "REQUEST [LOG...]",
		Description: "REQUEST is the identity that the caller sent and that every answer bears.\n" +
			"Without a log, or with -, standard input is read.",
		Action: d.explain,
	}
}

func (d *desk) explain(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() == 0 {
		return usagef("explain takes a request and logs: %q, see --help", cmd.ArgsUsage)
	}
	story := &explain.RequestLog{Request: cmd.Args().First()}
	logs := cmd.Args().Tail()
	if len(logs) == 0 {
		logs = []string{"-"}
	}
	for _, path := range logs {
		if err := readLog(story, path); err != nil {
			return err
		}
	}
	story.Sort()
	if cmd.String(flagOutput) == outputJSON {
		return d.printJSON(story)
	}
	return story.Write(d.out)
}

func readLog(story *explain.RequestLog, path string) error {
	if path == "-" {
		return story.Read("stdin", os.Stdin)
	}
	file, err := os.Open(path)
	if err != nil {
		return eris.Wrap(err, "log")
	}
	defer func() { _ = file.Close() }() // it was only read
	return story.Read(filepath.Base(path), file)
}
