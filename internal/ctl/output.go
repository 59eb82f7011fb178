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

// changeAction says what a command did to an item.
type changeAction string

// The actions on items.
const (
	actionCreated   changeAction = "created"
	actionApplied   changeAction = "applied"
	actionUnchanged changeAction = "unchanged"
	actionDeleted   changeAction = "deleted"
	actionAnnounced changeAction = "announced"
)

// appliedChange is one line of a command's report of its changes.
type appliedChange struct {
	Kind   config.Kind  `json:"kind"`
	Name   string       `json:"name"`
	Action changeAction `json:"action"`
	changeAnswer
}

func (a *app) printChanges(cmd *cli.Command, changes []appliedChange) error {
	return a.print(cmd, changes, func(w io.Writer) {
		for _, c := range changes {
			note := fmt.Sprintf("revision %d", c.Revision)
			if c.Announced {
				note = "in effect; the store is down and will record it later"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", c.Kind, c.Name, c.Action, note)
		}
	})
}

// print prints a value as JSON or, with writeText, as text in columns.
func (a *app) print(cmd *cli.Command, value any, writeText func(io.Writer)) error {
	if cmd.String(flagOutput) == outputJSON {
		return a.printJSON(value)
	}
	table := tabwriter.NewWriter(a.out, 0, 0, columnGap, ' ', 0)
	writeText(table)
	return table.Flush()
}

const columnGap = 2

func (a *app) printJSON(value any) error {
	encoder := json.NewEncoder(a.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func (a *app) status(ctx context.Context, cmd *cli.Command) error {
	if cmd.String(flagMetrics) != "" {
		return a.showFleet(ctx, cmd)
	}
	return a.withClient(0, a.showStatus)(ctx, cmd)
}

func (a *app) showStatus(ctx context.Context, cmd *cli.Command, c *client) error {
	current, err := c.status(ctx)
	if err != nil {
		return err
	}
	return a.print(cmd, current, func(w io.Writer) { writeStatus(w, current) })
}

// writeStatus prints the status, the parts that most likely need attention first.
func writeStatus(w io.Writer, s status.Status) {
	fmt.Fprintf(w, "revision %d\n", s.Revision)
	writeStores(w, s.Stores)
	writeVMs(w, s)
	writeSection(w, "planned stops", len(s.Stops), func() { writeStops(w, s.Stops) })
	writeSection(w, "targets out of use", len(s.OutOfUse), func() {
		for _, t := range s.OutOfUse {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\tseen by %d\n", t.Pool, t.Address, t.Zone, t.Reason, t.VMs)
		}
	})
	writeSection(w, "customers at a limit", len(s.AtLimit), func() {
		for _, a := range s.AtLimit {
			fmt.Fprintf(w, "%s\tat %d entry VMs\n", a.Customer, a.VMs)
		}
	})
	writeSection(w, "requests suspected of crashing targets", len(s.Suspects), func() {
		for _, x := range s.Suspects {
			fmt.Fprintf(w, "%s\t%s\t%d crashes\n", x.Fingerprint, x.Verdict, x.Crashes)
		}
	})
	writeLeases(w, s)
}

// writeSection prints a title and the section, or "none" if the section is empty,
// so that an operator sees that it was checked.
func writeSection(w io.Writer, title string, size int, write func()) {
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
	writeSection(w, "entry VMs", len(s.VMs), func() {
		fmt.Fprintln(w, "ADDRESS\tZONE\tREVISION\tIN FLIGHT\tSTATE")
		for _, vm := range s.VMs {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", vm.CallerAddress, vm.Zone, vm.Revision, vm.InFlight, vmState(vm, s.Revision))
		}
	})
}

func vmState(vm status.VM, latest config.Revision) string {
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
	writeSection(w, "leases", len(s.Leases), func() {
		for _, l := range s.Leases {
			holder := string(l.Holder)
			if l.Released {
				holder = "released by " + holder
			}
			fmt.Fprintf(w, "%s\t%s\ttoken %d\n", l.Pool, holder, l.Token)
		}
	})
}

func (a *app) showCost(ctx context.Context, cmd *cli.Command, c *client) error {
	report, err := c.costs(ctx, time.Now().Add(-cmd.Duration("since")))
	if err != nil {
		return err
	}
	return a.print(cmd, report, func(w io.Writer) { writeCosts(w, report) })
}

func writeCosts(w io.Writer, report costs.Report) {
	fmt.Fprintln(w, "CUSTOMER\tPIPELINE\tSTAGE\tREQUESTS\tENGINE S\tESTIMATED S\tWASTED S\tWASTED CALLS\tPROMPT TOKENS\tCACHED\tGENERATED")
	for _, e := range report.Entries {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d\t%d\n", e.Customer, e.Pipeline, e.Stage, e.Requests,
			seconds(e.EngineUS), seconds(e.EstimatedUS), seconds(sumByReason(e.WastedUS)), sumByReason(e.WastedCalls),
			e.PromptTokens, e.CachedTokens, e.CompletionTokens)
	}
}

func seconds(microseconds int64) float64 {
	return (time.Duration(microseconds) * time.Microsecond).Seconds()
}

func sumByReason(byReason map[costs.WasteReason]int64) int64 {
	var sum int64
	for _, n := range byReason {
		sum += n
	}
	return sum
}
