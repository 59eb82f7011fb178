package program

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/vanillagate/vanillagate/internal/settings"
	"github.com/vanillagate/vanillagate/internal/wait"
	"github.com/vanillagate/vanillagate/platform/standin"
)

const (
	flagFolder   = "folder"
	flagVMs      = "vms"
	flagRate     = "rate"
	flagDuration = "duration"
	flagRequire  = "require-attainment"
)

// edgeCommand emulates a small deployment of the users' platform.
func edgeCommand() *cli.Command {
	return &cli.Command{
		Name:  "edge",
		Usage: "emulate the users' platform for vgedge processes: write their settings, wait for them, send a load, count",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagFolder, Usage: "`FOLDER` for the settings files vm-0.toml, vm-1.toml, ..."},
			&cli.IntFlag{Name: flagVMs, Value: 3, Usage: "`NUMBER` of entry VMs"},
			&cli.FloatFlag{Name: flagRate, Value: 60, Usage: "requests a `SECOND`"},
			&cli.DurationFlag{Name: flagDuration, Value: 10 * time.Second, Usage: "`TIME` of load"},
			&cli.FloatFlag{Name: flagRequire, Usage: "fail below this `SHARE` of requests answered whole and in time"},
		},
		Action: runEdge,
	}
}

const (
	// edgeAddressFormat is the format of the VMs' loopback addresses.
	edgeAddressFormat = "127.77.0.%d"
	// readyTimeout is how long to wait for the VMs to become ready.
	readyTimeout = 20 * time.Second
	// discoveryTime is how long to wait for the VMs to discover each other.
	discoveryTime     = 2 * time.Second
	readyPollInterval = 50 * time.Millisecond
)

func runEdge(ctx context.Context, cmd *cli.Command) error {
	var c settings.Checker
	c.NotEmpty(flagFolder, cmd.String(flagFolder))
	c.IntBetween(flagVMs, cmd.Int(flagVMs), 1, 50)
	if err := c.Err(); err != nil {
		return err
	}
	tally, err := runSite(ctx, cmd)
	if err != nil {
		return &runError{err}
	}
	_, err = fmt.Fprintln(cmd.Root().Writer, tally)
	if err == nil && tally.Attainment() < cmd.Float(flagRequire) {
		return &runError{fmt.Errorf("attainment is below %v", cmd.Float(flagRequire))}
	}
	return err
}

// runSite starts the site, waits for the VMs to become ready, and sends the load.
func runSite(ctx context.Context, cmd *cli.Command) (standin.Tally, error) {
	if err := os.MkdirAll(cmd.String(flagFolder), 0o755); err != nil {
		return standin.Tally{}, eris.Wrap(err, "folder")
	}
	site, err := standin.NewSite("127.0.0.1")
	if err != nil {
		return standin.Tally{}, eris.Wrap(err, "stand-ins")
	}
	defer site.Close()
	vms, err := site.WriteVMSettings(cmd.String(flagFolder), edgeAddressFormat, cmd.Int(flagVMs))
	if err != nil {
		return standin.Tally{}, eris.Wrap(err, "settings")
	}
	limit := time.Now().Add(readyTimeout)
	for _, vm := range vms {
		for !vm.IsReady() {
			if time.Now().After(limit) || !wait.For(ctx, readyPollInterval) {
				return standin.Tally{}, eris.Errorf("%s isn't ready", vm.Name)
			}
		}
	}
	wait.For(ctx, discoveryTime)
	callers := &standin.Callers{Site: site, VMs: vms, PerSecond: cmd.Float(flagRate)}
	return callers.Run(ctx, cmd.Duration(flagDuration)), nil
}
