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

// Flags of a planned stop.
const (
	flagTarget = "target"
	flagVM     = "vm"
	flagID     = "id"
	flagReason = "reason"
)

func (d *desk) announce(ctx context.Context, cmd *cli.Command, c *client) error {
	stop, err := stopOf(cmd)
	if err != nil {
		return err
	}
	done, err := c.submit(ctx, change{kind: config.KindStop, name: stop.ID, body: encode(stop), id: changeID(cmd)})
	if err != nil {
		return err
	}
	return d.printDone(cmd, []doneChange{{Kind: config.KindStop, Name: stop.ID, Action: actionAnnounced, accepted: done}})
}

func stopOf(cmd *cli.Command) (config.Stop, error) {
	stop := config.Stop{
		ID: cmd.String(flagID), Reason: cmd.String(flagReason), By: cmd.String(flagOperator), At: time.Now().UTC(),
	}
	target, vm := cmd.String(flagTarget), cmd.String(flagVM)
	switch {
	case (target == "") == (vm == ""):
		return stop, usagef("name either --target or --vm")
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

func (d *desk) listStops(ctx context.Context, cmd *cli.Command, c *client) error {
	now, err := c.status(ctx)
	if err != nil {
		return err
	}
	return d.print(cmd, now.Stops, func(w io.Writer) { writeStops(w, now.Stops) })
}

func writeStops(w io.Writer, stops []status.Stop) {
	fmt.Fprintln(w, "STOP\tON\tADDRESS\tBY\tSINCE\tHEEDED\tIN FLIGHT\tSAFE\tREASON")
	for _, s := range stops {
		safe := "not yet"
		if s.SafeToStop() {
			safe = "yes"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d of %d\t%d\t%s\t%s\n",
			s.ID, s.Subject, s.Address, s.By, s.At.Format(time.RFC3339), s.Applied, s.Reports, s.InFlight, safe, s.Reason)
	}
}

func (d *desk) waitStop(ctx context.Context, cmd *cli.Command, c *client) error {
	id := cmd.Args().First()
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
	defer cancel()
	var last []status.Stop
	err := until(ctx, func() (bool, error) {
		now, err := c.status(ctx)
		if err != nil {
			return false, err
		}
		at := slices.IndexFunc(now.Stops, func(s status.Stop) bool { return s.ID == id })
		if at < 0 {
			return false, eris.Errorf("there is no planned stop %q", id)
		}
		last = now.Stops[at : at+1]
		return last[0].SafeToStop(), nil
	})
	if last != nil {
		err = joinErr(err, d.print(cmd, last, func(w io.Writer) { writeStops(w, last) }))
	}
	if err != nil && ctx.Err() != nil {
		return notYetError{"requests may still run there"}
	}
	return err
}
