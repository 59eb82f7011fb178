package ctl

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/vanillagate/vanillagate/internal/config"
)

// Flags that set the fields of a contract.
const (
	flagKeyHash    = "key-hash"
	flagRemoveHash = "remove-key-hash"
	flagRequests   = "requests-per-second"
	flagBurst      = "burst"
	flagInFlight   = "in-flight"
	flagTokens     = "tokens-per-second"
	flagShare      = "share"
	flagPriority   = "priority"
	flagBalance    = "balance"
)

func contractFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: flagKeyHash, Usage: "add the hash of a bearer key (vgctl key new)"},
		&cli.StringSliceFlag{Name: flagRemoveHash, Usage: "remove the hash of a bearer key"},
		&cli.FloatFlag{Name: flagRequests, Usage: "admitted requests per second over all entry VMs; 0 is no limit"},
		&cli.IntFlag{Name: flagBurst, Usage: "requests that may be admitted at once above the rate; 0 is one second of the rate"},
		&cli.IntFlag{Name: flagInFlight, Usage: "requests served concurrently over all entry VMs; 0 is no limit"},
		&cli.FloatFlag{Name: flagTokens, Usage: "generated tokens per second over all entry VMs; 0 is no limit"},
		&cli.IntFlag{Name: flagShare, Usage: "weight when customers compete for capacity; 0 counts as 1"},
		&cli.IntFlag{Name: flagPriority, Usage: "0 (most urgent) to 9"},
		&cli.FloatFlag{Name: flagBalance, Usage: "from 0 (minimize cost) to 1 (maximize attainment)"},
	}
}

// applyFlags changes the fields whose flags are set on the command line.
func applyFlags(cmd *cli.Command, contract *config.Contract) {
	for _, hash := range cmd.StringSlice(flagKeyHash) {
		if !slices.Contains(contract.KeyHashes, hash) {
			contract.KeyHashes = append(contract.KeyHashes, hash)
		}
	}
	contract.KeyHashes = slices.DeleteFunc(contract.KeyHashes, func(hash string) bool {
		return slices.Contains(cmd.StringSlice(flagRemoveHash), hash)
	})
	setIfGiven(cmd, flagRequests, &contract.RequestsPerSecond, cmd.Float)
	setIfGiven(cmd, flagBurst, &contract.Burst, cmd.Int)
	setIfGiven(cmd, flagInFlight, &contract.InFlight, cmd.Int)
	setIfGiven(cmd, flagTokens, &contract.TokensPerSecond, cmd.Float)
	setIfGiven(cmd, flagShare, &contract.Share, cmd.Int)
	setIfGiven(cmd, flagPriority, &contract.Priority, cmd.Int)
	if cmd.IsSet(flagBalance) {
		balance := cmd.Float(flagBalance)
		contract.Balance = &balance
	}
}

// setIfGiven sets the field if the flag is on the command line.
func setIfGiven[T any](cmd *cli.Command, flag string, field *T, value func(string) T) {
	if cmd.IsSet(flag) {
		*field = value(flag)
	}
}

func (a *app) createContract(ctx context.Context, cmd *cli.Command, c *client) error {
	contract := config.Contract{Customer: cmd.Args().First(), KeyHashes: []string{}}
	applyFlags(cmd, &contract)
	return a.putContract(ctx, cmd, c, contract, 0, actionCreated)
}

func (a *app) setContract(ctx context.Context, cmd *cli.Command, c *client) error {
	state, err := c.latestState(ctx)
	if err != nil {
		return err
	}
	name := cmd.Args().First()
	contract, found := state.Contracts[name]
	if !found {
		return eris.Errorf("there is no contract %q at revision %d", name, state.Revision)
	}
	contract.KeyHashes = slices.Clone(contract.KeyHashes)
	applyFlags(cmd, &contract)
	return a.putContract(ctx, cmd, c, contract, expectedRevision(cmd, state, config.KindContract, name), actionApplied)
}

func (a *app) putContract(ctx context.Context, cmd *cli.Command, c *client, contract config.Contract, expected config.Revision, performed changeAction) error {
	answer, err := c.submit(ctx, change{
		kind: config.KindContract, name: contract.Customer, body: mustEncode(contract), expectedRevision: expected, id: changeID(cmd),
	})
	if err != nil {
		return err
	}
	return a.printChanges(cmd, []appliedChange{{Kind: config.KindContract, Name: contract.Customer, Action: performed, changeAnswer: answer}})
}

// pollInterval is the time between two polls of the wait commands.
const pollInterval = 200 * time.Millisecond

// waitRevision polls until every entry process has the revision in force, and
// prints the revisions of the last poll.
func (a *app) waitRevision(ctx context.Context, cmd *cli.Command, c *client) error {
	number, err := strconv.ParseUint(cmd.Args().First(), 10, 64)
	if err != nil {
		return usagef("%q is not a revision number", cmd.Args().First())
	}
	revision := config.Revision(number)
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
	defer cancel()
	var last []vmRevision
	err = pollUntil(ctx, func() (bool, error) {
		revisions, err := c.vmRevisions(ctx)
		if err != nil {
			return false, err
		}
		last = revisions
		return inForceEverywhere(revisions, revision), nil
	})
	if last != nil {
		printErr := a.print(cmd, inForceAnswer{VMs: last}, func(w io.Writer) { writeVMRevisions(w, last, revision) })
		err = firstError(err, printErr)
	}
	if err != nil && ctx.Err() != nil {
		return timeoutError{fmt.Sprintf("revision %d is not in force at every entry process", revision)}
	}
	return err
}

// firstError returns first, or second if first is nil.
func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

func inForceEverywhere(vms []vmRevision, revision config.Revision) bool {
	behind := slices.ContainsFunc(vms, func(vm vmRevision) bool { return vm.Revision < revision })
	return len(vms) > 0 && !behind
}

// pollUntil calls check repeatedly until it returns true or ctx ends. It continues
// while no entry process can answer, because one may become available again. Any
// other error ends it.
func pollUntil(ctx context.Context, check func() (bool, error)) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		done, err := check()
		if done {
			return nil
		}
		if err != nil && exitCodeOf(err) != ExitUnavailable {
			return err
		}
		select {
		case <-ctx.Done():
			return firstError(err, ctx.Err())
		case <-ticker.C:
		}
	}
}

func writeVMRevisions(w io.Writer, vms []vmRevision, revision config.Revision) {
	fmt.Fprintln(w, "ENTRY VM\tZONE\tREVISION\tIN FORCE")
	for _, vm := range vms {
		state := "yes"
		switch {
		case vm.Incarnation == "":
			state = "no answer"
		case vm.Revision < revision:
			state = "not yet"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", vm.CallerAddress, vm.Zone, vm.Revision, state)
	}
}
