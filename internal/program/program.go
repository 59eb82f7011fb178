// Package program holds what the programs' command lines have in common.
package program

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/vanillagate/vanillagate/internal/reload"
	"github.com/vanillagate/vanillagate/internal/settings"
)

// Exit codes of all programs.
const (
	ExitFailed = 1
	// ExitUsage means that a setting can't be used.
	ExitUsage = 2
)

// EnvPrefix comes before the name of each flag's environment variable.
const EnvPrefix = "VANILLAGATE_"

// Env is the environment variable of a flag: "peer-keys" is set by
// VANILLAGATE_PEER_KEYS.
func Env(flag string) cli.ValueSourceChain {
	return cli.EnvVars(EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_")))
}

// Serve runs a program that serves others, like Run. Its command is made with
// the signals that ask it to read its settings again: left to its default
// action, SIGHUP ends a process with all that it serves, and its log doesn't say
// why.
func Serve(command func(reload <-chan os.Signal) *cli.Command) {
	outliveLogReaders()
	Run(command(reload.Signals()))
}

// outliveLogReaders lets a process go on when nobody reads its standard output
// or error any more, as when the program that collects logs is replaced. The
// next line written would end it by SIGPIPE (code 141), with all that it serves;
// now that write fails and the line is counted as dropped.
func outliveLogReaders() {
	signal.Ignore(syscall.SIGPIPE)
}

// Run runs a command until it ends or SIGTERM or SIGINT asks it to leave, and
// exits with its code. The signals stay caught to the end: one that comes last,
// asking again, would end the process with another code than its own.
func Run(command *cli.Command) {
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	err := command.Run(ctx, os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, command.Name+":", err)
	var bad *settings.Error
	if errors.As(err, &bad) {
		os.Exit(ExitUsage)
	}
	var coded cli.ExitCoder
	if errors.As(err, &coded) {
		os.Exit(coded.ExitCode())
	}
	os.Exit(ExitFailed)
}
