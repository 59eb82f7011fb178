// Package program holds the code that the main functions of all programs share.
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
	// ExitUsage means that a setting is invalid.
	ExitUsage = 2
)

// EnvPrefix is the prefix of the environment variable of each flag.
const EnvPrefix = "VANILLAGATE_"

// Env returns the environment variable of a flag: VANILLAGATE_PEER_KEYS for
// "peer-keys".
func Env(flag string) cli.ValueSourceChain {
	return cli.EnvVars(EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_")))
}

// Serve runs a server, like Run. It passes the command a channel of reload signals
// (SIGHUP): by default SIGHUP would kill the process with its requests in flight,
// without a line in its log.
func Serve(command func(reload <-chan os.Signal) *cli.Command) {
	ignoreSIGPIPE()
	Run(command(reload.Signals()))
}

// ignoreSIGPIPE keeps a process running when the reader of its standard output or
// error exits, as when the log collector is replaced. By default the next write
// would kill the process by SIGPIPE (exit code 141) with its requests in flight;
// when ignored, the write fails and the line is counted as dropped.
func ignoreSIGPIPE() {
	signal.Ignore(syscall.SIGPIPE)
}

// Run runs a command until it ends; SIGTERM and SIGINT cancel its context. If it
// fails, the process exits with its code. The signals stay caught to the end:
// otherwise a second signal during the shutdown would kill the process with
// another exit code.
func Run(command *cli.Command) {
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	err := command.Run(ctx, os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, command.Name+":", err)
	var invalid *settings.Error
	if errors.As(err, &invalid) {
		os.Exit(ExitUsage)
	}
	var exitCoder cli.ExitCoder
	if errors.As(err, &exitCoder) {
		os.Exit(exitCoder.ExitCode())
	}
	os.Exit(ExitFailed)
}
