package ctl

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/query/status"
)

// Flags that describe a planned stop.
const (
	flagTarget = "target"
	flagVM     = "vm"
	flagID     = "id"
	flagReason = "reason"
)

func (a *app) announce(ctx context.Context, cmd *cli.Command, c *client) error {
	stop, err := stopFromFlags(cmd)
	if err != nil {
		return err
	}
	answer, err := c.submit(ctx, change{kind: config.KindStop, name: stop.ID, body: mustEncode(stop), id: changeID(cmd)})
	if err != nil {
		return err
	}
	return a.printChanges(cmd, []appliedChange{{Kind: config.KindStop, Name: stop.ID, Action: actionAnnounced, changeAnswer: answer}})
}

func stopFromFlags(cmd *cli.Command) (config.Stop, error) {
	stop := config.Stop{
		ID: cmd.String(flagID), Reason: cmd.String(flagReason), By: cmd.String(flagOperator), At: time.Now().UTC(),
	}
	target, vm := cmd.String(flagTarget), cmd.String(flagVM)
	switch {
	case (target == "") == (vm == ""):
		return stop, usagef("exactly one of --target and --vm is required")
	case target != "":
		stop.Subject, stop.Address = config.StopTarget, target
	default:
		stop.Subject, stop.Address = config.StopVM, vm
	}
	if stop.ID == "" {
		stop.ID = stop.Address
	}
	return stop, nil
}

func (a *app) listStops(ctx context.Context, cmd *cli.Command, c *client) error {
	current, err := c.status(ctx)
	if err != nil {
		return err
	}
	return a.print(cmd, current.Stops, func(w io.Writer) { writeStops(w, current.Stops) })
}

func writeStops(w io.Writer, stops []status.Stop) {
	fmt.Fprintln(w, "STOP\tSUBJECT\tADDRESS\tBY\tSINCE\tAPPLIED\tIN FLIGHT\tSAFE TO STOP\tREASON")
	for _, s := range stops {
		safe := "not yet"
		if s.SafeToStop() {
			safe = "yes"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d of %d\t%d\t%s\t%s\n",
			s.ID, s.Subject, s.Address, s.By, s.At.Format(time.RFC3339), s.Applied, s.Reports, s.InFlight, safe, s.Reason)
	}
}

// waitStop polls until it is safe to stop the target or VM, and prints the stop as
// of the last poll.
func (a *app) waitStop(ctx context.Context, cmd *cli.Command, c *client) error {
	id := cmd.Args().First()
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
	defer cancel()
	var last []status.Stop
	err := pollUntil(ctx, func() (bool, error) {
		current, err := c.status(ctx)
		if err != nil {
			return false, err
		}
		index := slices.IndexFunc(current.Stops, func(s status.Stop) bool { return s.ID == id })
		if index < 0 {
			return false, eris.Errorf("there is no planned stop %q", id)
		}
		last = current.Stops[index : index+1]
		return last[0].SafeToStop(), nil
	})
	if last != nil {
		err = firstError(err, a.print(cmd, last, func(w io.Writer) { writeStops(w, last) }))
	}
	if err != nil && ctx.Err() != nil {
		return timeoutError{"requests may still run there"}
	}
	return err
}
