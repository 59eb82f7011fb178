package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/query/costs"
	"github.com/vanillagate/vanillagate/internal/query/status"
)

// changeAction says what was done to an item.
type changeAction string

// What may be done.
const (
	actionCreated   changeAction = "created"
	actionApplied   changeAction = "applied"
	actionUnchanged changeAction = "unchanged"
	actionDeleted   changeAction = "deleted"
	actionAnnounced changeAction = "announced"
)

// doneChange is one line of what was done.
type doneChange struct {
	Kind   config.Kind  `json:"kind"`
	Name   string       `json:"name"`
	Action changeAction `json:"action"`
	accepted
}

func (d *desk) printDone(cmd *cli.Command, all []doneChange) error {
	return d.print(cmd, all, func(w io.Writer) {
		for _, c := range all {
			note := fmt.Sprintf("revision %d", c.Revision)
			if c.Announced {
				note = "in effect; the store is down and records it later"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", c.Kind, c.Name, c.Action, note)
		}
	})
}

// print shows a value as JSON, or as text in columns.
func (d *desk) print(cmd *cli.Command, value any, text func(io.Writer)) error {
	if cmd.String(flagOutput) == outputJSON {
		return d.printJSON(value)
	}
	table := tabwriter.NewWriter(d.out, 0, 0, columnGap, ' ', 0)
	text(table)
	return table.Flush()
}

const columnGap = 2

func (d *desk) printJSON(value any) error {
	encoder := json.NewEncoder(d.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func (d *desk) status(ctx context.Context, cmd *cli.Command) error {
	if cmd.String(flagMetrics) != "" {
		return d.showFleet(ctx, cmd)
	}
	return d.with(0, d.showStatus)(ctx, cmd)
}

func (d *desk) showStatus(ctx context.Context, cmd *cli.Command, c *client) error {
	now, err := c.status(ctx)
	if err != nil {
		return err
	}
	return d.print(cmd, now, func(w io.Writer) { writeStatus(w, now) })
}

// writeStatus puts what needs an eye first.
func writeStatus(w io.Writer, s status.Status) {
	fmt.Fprintf(w, "revision %d\n", s.Revision)
	writeStores(w, s.Stores)
	writeVMs(w, s)
	section(w, "planned stops", len(s.Stops), func() { writeStops(w, s.Stops) })
	section(w, "targets out of use", len(s.OutOfUse), func() {
		for _, t := range s.OutOfUse {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\tseen by %d\n", t.Pool, t.Address, t.Zone, t.Reason, t.VMs)
		}
	})
	section(w, "customers at a limit", len(s.AtLimit), func() {
		for _, a := range s.AtLimit {
			fmt.Fprintf(w, "%s\tat %d entry VMs\n", a.Customer, a.VMs)
		}
	})
	section(w, "requests suspected of crashing targets", len(s.Suspects), func() {
		for _, x := range s.Suspects {
			fmt.Fprintf(w, "%s\t%s\t%d crashes\n", x.Fingerprint, x.Verdict, x.Crashes)
		}
	})
	writeLeases(w, s)
}

// section says "none" where there is nothing, so that an operator who takes
// over sees that it was looked at.
func section(w io.Writer, title string, size int, write func()) {
	if size == 0 {
		fmt.Fprintf(w, "\n%s: none\n", title)
		return
	}
	fmt.Fprintf(w, "\n%s:\n", title)
	write()
}

func writeStores(w io.Writer, stores []status.StoreHealth) {
	for _, s := range stores {
		if s.Down == 0 {
			fmt.Fprintf(w, "%s\tup\n", s.Name)
			continue
		}
		fmt.Fprintf(w, "%s\tDOWN for %d of %d since %s: %s\n",
			s.Name, s.Down, s.Up+s.Down, s.Since.Format(time.RFC3339), s.LastError)
	}
}

func writeVMs(w io.Writer, s status.Status) {
	section(w, "entry VMs", len(s.VMs), func() {
		fmt.Fprintln(w, "ADDRESS\tZONE\tREVISION\tIN FLIGHT\tSTATE")
		for _, vm := range s.VMs {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", vm.CallerAddress, vm.Zone, vm.Revision, vm.InFlight, stateOf(vm, s.Revision))
		}
	})
}

func stateOf(vm status.VM, latest config.Revision) string {
	switch {
	case vm.Silent():
		return "NO ANSWER"
	case vm.Leaving:
		return "leaving"
	case vm.Revision < latest:
		return "behind"
	default:
		return "ok"
	}
}

func writeLeases(w io.Writer, s status.Status) {
	if s.LeasesErr != "" {
		fmt.Fprintf(w, "\nleases: can't be read: %s\n", s.LeasesErr)
		return
	}
	section(w, "leases", len(s.Leases), func() {
		for _, l := range s.Leases {
			holder := string(l.Holder)
			if l.Released {
				holder = "released by " + holder
			}
			fmt.Fprintf(w, "%s\t%s\ttoken %d\n", l.Pool, holder, l.Token)
		}
	})
}

func (d *desk) showCost(ctx context.Context, cmd *cli.Command, c *client) error {
	report, err := c.costs(ctx, time.Now().Add(-cmd.Duration("since")))
	if err != nil {
		return err
	}
	return d.print(cmd, report, func(w io.Writer) { writeCosts(w, report) })
}

func writeCosts(w io.Writer, report costs.Report) {
	fmt.Fprintln(w, "CUSTOMER\tPIPELINE\tSTAGE\tREQUESTS\tENGINE S\tESTIMATED S\tWASTED S\tWASTED CALLS\tPROMPT TOKENS\tCACHED\tGENERATED")
	for _, e := range report.Entries {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d\t%d\n", e.Customer, e.Pipeline, e.Stage, e.Requests,
			seconds(e.EngineUS), seconds(e.EstimatedUS), seconds(total(e.WastedUS)), total(e.WastedCalls),
			e.PromptTokens, e.CachedTokens, e.CompletionTokens)
	}
}

func seconds(us int64) float64 { return (time.Duration(us) * time.Microsecond).Seconds() }

func total(by map[costs.WasteReason]int64) int64 {
	var sum int64
	for _, n := range by {
		sum += n
	}
	return sum
}
