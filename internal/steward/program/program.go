// Package program implements the command line of vgsteward.
package program

import (
	"context"
	"os"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/vanillagate/vanillagate/internal/buildinfo"
	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/inforce"
	"github.com/vanillagate/vanillagate/internal/logging"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/program"
	"github.com/vanillagate/vanillagate/internal/program/vmflags"
	"github.com/vanillagate/vanillagate/internal/settings"
	"github.com/vanillagate/vanillagate/internal/steward"
)

// Flags of vgsteward besides those shared with the other programs.
const (
	flagLeaseTerm    = "lease-term"
	flagPeriod       = "period"
	flagConfigPeriod = "config-period"
	flagLoadsAtOnce  = "loads-at-once"
)

// Limits and defaults of the settings.
const (
	defaultTerm         = 10 * time.Second
	minTerm             = time.Second
	maxTerm             = 5 * time.Minute
	defaultPeriod       = time.Second
	defaultConfigPeriod = 2 * time.Second
	minPeriod           = 100 * time.Millisecond
	maxPeriod           = time.Minute
	defaultLoadsAtOnce  = 4
	maxLoadsAtOnce      = 1000
	leaveTimeout        = 2 * time.Second
)

// Command returns the command line of vgsteward. A reload signal does not
// change its settings.
func Command(reload <-chan os.Signal) *cli.Command {
	return &cli.Command{
		Name:    "vgsteward",
		Usage:   "make the engines of each pool serve the configured model, version, adapter and role",
		Version: buildinfo.Version,
		Description: "Every entry VM runs one instance of this program. For each pool, one instance holds a lease\n" +
			"and sends the orders. SIGTERM stops it gracefully: it sends no new orders, waits for\n" +
			"those in flight and releases its leases.\n\n" +
			"Example:\n" +
			"  vgsteward --table-url http://10.0.0.5:8000 --objects-url http://10.0.0.5:9000 \\\n" +
			"    --vm-list-url http://10.0.0.5:7003 --peer-listen 10.0.1.1:7610 --zone a --region r1",
		Flags: append(flags(), vmflags.All()...),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return run(ctx, cmd, reload)
		},
	}
}

func flags() []cli.Flag {
	return []cli.Flag{
		durationFlag(flagLeaseTerm, defaultTerm, "how long a lease lasts, the same for all vgsteward processes"),
		durationFlag(flagPeriod, defaultPeriod, "how often the VM list and the engines' reports are read"),
		durationFlag(flagConfigPeriod, defaultConfigPeriod, "how often the table is read for changes"),
		&cli.IntFlag{
			Name: flagLoadsAtOnce, Value: defaultLoadsAtOnce, Sources: program.Env(flagLoadsAtOnce),
			Usage: "how many engines of a pool may load weights at the same time",
		},
	}
}

func durationFlag(name string, value time.Duration, usage string) cli.Flag {
	return &cli.DurationFlag{Name: name, Value: value, Usage: usage, Sources: program.Env(name)}
}

// run checks all settings, so that all errors are reported together, and then
// starts the process.
func run(ctx context.Context, cmd *cli.Command, reload <-chan os.Signal) error {
	var check settings.Checker
	shared := vmflags.Check(cmd, &check)
	check.Between(flagLeaseTerm, cmd.Duration(flagLeaseTerm), minTerm, maxTerm)
	check.Between(flagPeriod, cmd.Duration(flagPeriod), minPeriod, maxPeriod)
	check.Between(flagConfigPeriod, cmd.Duration(flagConfigPeriod), minPeriod, maxPeriod)
	check.IntBetween(flagLoadsAtOnce, cmd.Int(flagLoadsAtOnce), 1, maxLoadsAtOnce)
	if err := check.Err(); err != nil {
		return err
	}
	log, err := logging.NewBounded(shared.LogLevel, metrics.NewRegistry())
	if err != nil {
		return eris.Wrap(err, "set up logging")
	}
	defer log.Close()
	go settings.LogReloads(ctx, logging.WithComponent(log.Logger, "settings"), reload)
	return serve(ctx, cmd, shared, log.Logger)
}

func serve(ctx context.Context, cmd *cli.Command, shared vmflags.Values, log *zap.Logger) error {
	me := peer.NewIncarnation()
	peerOptions := shared.PeerOptions(peer.Member{
		Incarnation: me, PeerAddress: shared.PeerListen, Zone: shared.Zone, Region: shared.Region, State: peer.Alive,
	})
	peerOptions.Log = log
	node, err := peer.New(peerOptions)
	if err != nil {
		return eris.Wrap(err, "create peer node")
	}
	keeper := inforce.New(inforce.Options{
		Table: shared.Table, Objects: shared.Objects, Network: node, Log: logging.WithComponent(log, "config"),
		Period: cmd.Duration(flagConfigPeriod),
	})
	s := steward.New(steward.Options{
		OwnIncarnation: me, Table: shared.Table, VMs: shared.VMs, Config: configWhenKnown(keeper), Log: log,
		LeaseTerm: cmd.Duration(flagLeaseTerm), Period: cmd.Duration(flagPeriod), MaxConcurrentLoads: cmd.Int(flagLoadsAtOnce),
	})
	// The peer network keeps running after the stop signal, so that the planned
	// stop can be announced to the peers.
	if err := node.Start(context.WithoutCancel(ctx)); err != nil {
		return eris.Wrap(err, "start peer node")
	}
	defer node.Close()
	log.Info("steward: started", zap.String("incarnation", string(me)), zap.String("zone", shared.Zone))
	err = runUntilDone(ctx, keeper, s)
	leaveCtx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	node.Leave(leaveCtx)
	return err
}

// configWhenKnown returns the configuration in force, or an empty one while it
// is not known. Otherwise a steward that was paused for less than its lease's
// term would send orders for outdated versions, and one that just started would
// send orders for those of an old snapshot.
func configWhenKnown(keeper *inforce.Keeper) func() *config.State {
	return func() *config.State {
		if !keeper.Fresh() {
			return config.NewState()
		}
		return keeper.State()
	}
}

// runUntilDone runs the configuration keeper and the steward until the context
// ends.
func runUntilDone(ctx context.Context, keeper *inforce.Keeper, s *steward.Steward) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { keeper.Run(ctx); return nil })
	group.Go(func() error { return s.Run(ctx) })
	return group.Wait()
}
