// Package ctl implements vgctl, the operators' command-line tool. It changes and
// shows the configuration through the admin API of the entry processes.
package ctl

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/vanillagate/vanillagate/internal/buildinfo"
	"github.com/vanillagate/vanillagate/internal/settings"
)

// Names of the flags that several commands have.
const (
	flagEntries    = "entries"
	flagKey        = "operator-key"
	flagOperator   = "operator"
	flagOutput     = "output"
	flagChangeID   = "change-id"
	flagIfRevision = "if-revision"
	flagFile       = "file"
	flagTimeout    = "timeout"
)

// Values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

const description = `vgctl sends its requests to the entry processes of --entries, in turn until one
answers. A change is conditional: it is made only if nobody else has changed the
item since it was read. Otherwise the error says who changed it.

Exit codes: 0 success, 1 refused, 2 invalid command line, 3 somebody else
changed the item, 4 no entry process could run the command or it is not known
whether a change was made, 5 a wait timed out.

Examples:
  export VANILLAGATE_ENTRIES=10.0.1.1:7501,10.0.2.1:7501 VANILLAGATE_OPERATOR_KEY=...
  vgctl key new
  vgctl contract create granite --key-hash HASH --requests-per-second 20
  vgctl contract set granite --in-flight 50
  vgctl contract wait 17 --timeout 30s
  vgctl apply -f deployment.json
  vgctl stop announce --target 10.0.3.7:8000 --reason "new disk"
  vgctl stop wait 10.0.3.7:8000
  vgctl status`

// Main runs vgctl and returns its exit code.
func Main(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) ExitCode {
	a := &app{in: in, out: out}
	root := &cli.Command{
		Name:           "vgctl",
		Usage:          "change and show the configuration: contracts, pools, pipelines, services, planned stops",
		Description:    description,
		Version:        buildinfo.Version,
		Flags:          commonFlags(),
		Writer:         out,
		ErrWriter:      errOut,
		Commands:       a.commands(),
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Action:         requireSubcommand,
	}
	setUsageErrorHandler(root)
	err := root.Run(ctx, args)
	if err != nil {
		fmt.Fprintln(errOut, "vgctl:", err)
	}
	return exitCodeOf(err)
}

// setUsageErrorHandler makes unknown flags and invalid values exit with ExitUsage,
// for cmd and all its subcommands. A subcommand doesn't inherit the handler.
func setUsageErrorHandler(cmd *cli.Command) {
	cmd.OnUsageError = onUsageError
	for _, sub := range cmd.Commands {
		setUsageErrorHandler(sub)
	}
}

func onUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return usageError{err.Error()}
}

// requireSubcommand is the action of a command group called without one of its
// commands. It always returns an error.
func requireSubcommand(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() > 0 {
		return usagef("%s has no command %q, see --help", cmd.FullName(), cmd.Args().First())
	}
	if err := cli.ShowSubcommandHelp(cmd); err != nil {
		return err
	}
	return usagef("a command is missing")
}

func commonFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagEntries, Usage: "IP:port of entry processes, separated by commas; https://IP:port for TLS", Sources: envSource(flagEntries)},
		&cli.StringFlag{Name: flagKey, Usage: "operators' bearer key; prefer the environment variable, which isn't visible in the process list", Sources: envSource(flagKey)},
		&cli.StringFlag{Name: flagOperator, Value: os.Getenv("USER"), Usage: "your name, shown to other operators", Sources: envSource(flagOperator)},
		&cli.StringFlag{Name: flagOutput, Value: outputText, Usage: "output format: text or json", Sources: envSource(flagOutput)},
	}
}

// envSource returns the environment variable that sets a flag.
func envSource(name string) cli.ValueSourceChain {
	return cli.EnvVars("VANILLAGATE_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_")))
}

// app is one run of vgctl with its standard input and output.
type app struct {
	in  io.Reader
	out io.Writer
}

// clientAction runs a command after the common flags were checked.
type clientAction func(ctx context.Context, cmd *cli.Command, c *client) error

// withClient returns an action that checks the number of arguments and the common
// flags and then runs a command with a client.
func (a *app) withClient(argCount int, action clientAction) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		if cmd.Args().Len() != argCount {
			return usagef("%s needs %d arguments: %q, see --help", cmd.FullName(), argCount, cmd.ArgsUsage)
		}
		if err := checkCommonFlags(cmd); err != nil {
			return err
		}
		c := newClient(strings.Split(cmd.String(flagEntries), ","), cmd.String(flagKey), cmd.String(flagOperator))
		return action(ctx, cmd, c)
	}
}

func checkCommonFlags(cmd *cli.Command) error {
	var check settings.Checker
	for _, entry := range strings.Split(cmd.String(flagEntries), ",") {
		checkEntryAddress(&check, entry)
	}
	if cmd.String(flagKey) == "" {
		check.Reject(flagKey, "", "the operators' key, best set as VANILLAGATE_OPERATOR_KEY")
	}
	check.NotEmpty(flagOperator, cmd.String(flagOperator))
	check.OneOf(flagOutput, cmd.String(flagOutput), outputText, outputJSON)
	return check.Err()
}

func checkEntryAddress(check *settings.Checker, entry string) {
	if strings.Contains(entry, "://") {
		check.URL(flagEntries, entry)
		return
	}
	if _, err := netip.ParseAddrPort(entry); err != nil {
		check.Reject(flagEntries, entry, "IP:port of entry processes, separated by commas")
	}
}

// changeID returns the ID given with --change-id or else a new one.
func changeID(cmd *cli.Command) string {
	if id := cmd.String(flagChangeID); id != "" {
		return id
	}
	return uuid.NewString()
}

// keyBytes is the length of a new bearer key before hex encoding.
const keyBytes = 32

// generatedKey is a bearer key for a customer or an operator with its hash. Only
// the hash is stored.
type generatedKey struct {
	Key  string `json:"key"`
	Hash string `json:"hash"`
}

func (a *app) createKey(_ context.Context, cmd *cli.Command) error {
	raw := make([]byte, keyBytes)
	_, _ = rand.Read(raw) // crypto/rand.Read never returns an error
	key := hex.EncodeToString(raw)
	sum := sha256.Sum256([]byte(key))
	generated := generatedKey{Key: key, Hash: hex.EncodeToString(sum[:])}
	return a.print(cmd, generated, func(w io.Writer) {
		fmt.Fprintf(w, "key\t%s\nhash\t%s\n", generated.Key, generated.Hash)
	})
}
