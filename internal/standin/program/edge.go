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

// edgeCommand plays a small deployment of the users' platform.
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
		Action: playEdge,
	}
}

const (
	// edgeAddresses are the VMs' addresses, on this machine only.
	edgeAddresses = "127.77.0.%d"
	// edgePatience bounds the wait for the VMs to be ready.
	edgePatience = 20 * time.Second
	// acquaintance is how long the VMs take to know each other.
	acquaintance = 2 * time.Second
	readyPoll    = 50 * time.Millisecond
)

func playEdge(ctx context.Context, cmd *cli.Command) error {
	var c settings.Checker
	c.NotEmpty(flagFolder, cmd.String(flagFolder))
	c.IntBetween(flagVMs, cmd.Int(flagVMs), 1, 50)
	if err := c.Err(); err != nil {
		return err
	}
	tally, err := playSite(ctx, cmd)
	if err != nil {
		return &failure{err}
	}
	_, err = fmt.Fprintln(cmd.Root().Writer, tally)
	if err == nil && tally.Attainment() < cmd.Float(flagRequire) {
		return &failure{fmt.Errorf("attainment is below %v", cmd.Float(flagRequire))}
	}
	return err
}

func playSite(ctx context.Context, cmd *cli.Command) (standin.Tally, error) {
	if err := os.MkdirAll(cmd.String(flagFolder), 0o755); err != nil {
		return standin.Tally{}, eris.Wrap(err, "folder")
	}
	site, err := standin.NewSite("127.0.0.1")
	if err != nil {
		return standin.Tally{}, eris.Wrap(err, "stand-ins")
	}
	defer site.Close()
	vms, err := site.WriteVMSettings(cmd.String(flagFolder), edgeAddresses, cmd.Int(flagVMs))
	if err != nil {
		return standin.Tally{}, eris.Wrap(err, "settings")
	}
	limit := time.Now().Add(edgePatience)
	for _, vm := range vms {
		for !vm.IsReady() {
			if time.Now().After(limit) || !wait.For(ctx, readyPoll) {
				return standin.Tally{}, eris.Errorf("%s isn't ready", vm.Name)
			}
		}
	}
	wait.For(ctx, acquaintance)
	callers := &standin.Callers{Site: site, VMs: vms, PerSecond: cmd.Float(flagRate)}
	return callers.Run(ctx, cmd.Duration(flagDuration)), nil
}
