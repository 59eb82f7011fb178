package entry

import (
	"context"
	"fmt"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/vanillagate/vanillagate/internal/buildinfo"
	"github.com/vanillagate/vanillagate/internal/intake"
	"github.com/vanillagate/vanillagate/internal/logging"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/program"
	"github.com/vanillagate/vanillagate/internal/program/vmflags"
	"github.com/vanillagate/vanillagate/internal/settings"
)

// Names of the flags.
const (
	flagListen       = "listen"
	flagAdvertise    = "advertise"
	flagTLSCert      = "tls-cert"
	flagTLSKey       = "tls-key"
	flagOperators    = "operator-key-hash"
	flagPolicy       = "policy"
	flagConfigPeriod = "config-period"
	flagVMListPeriod = "vm-list-period"
	flagCostPeriod   = "cost-period"
	flagKeepEntries  = "keep-entries"
	flagRetryWindow  = "retry-window"
	flagMaxBody      = "max-body"
	flagMaxInFlight  = "max-in-flight"
	flagMemoryMB     = "memory-mb"
	flagMaxFDs       = "max-fds"
)

// Command returns the command line of the program. A reload signal does not
// change its settings.
func Command(reload <-chan os.Signal) *cli.Command {
	return &cli.Command{
		Name:    "vanillagate",
		Usage:   "serve callers of multi-stage model pipelines and plain services",
		Version: buildinfo.Version,
		Description: "Every entry VM runs this program; all have the same role. SIGTERM starts a\n" +
			"graceful shutdown: the VM's address is no longer given to callers, callers\n" +
			"that cached it are still served, and no request is aborted.",
		Flags: append(flags(), vmflags.All()...),
		Action: func(ctx context.Context, c *cli.Command) error {
			return run(ctx, c, reload)
		},
	}
}

func flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagListen, Value: "127.0.0.1:7500", Usage: "`IP:PORT` for callers and operators", Sources: program.Env(flagListen)},
		&cli.StringFlag{Name: flagAdvertise, Usage: "`IP:PORT` that is given to callers; the listen address if empty", Sources: program.Env(flagAdvertise)},
		&cli.StringFlag{Name: flagTLSCert, Usage: "PEM `FILE` with the certificate for TLS connections of callers", Sources: program.Env(flagTLSCert)},
		&cli.StringFlag{Name: flagTLSKey, Usage: "PEM `FILE` with the certificate's key", Sources: program.Env(flagTLSKey)},
		&cli.StringFlag{Name: flagOperators, Usage: "`[NAME=]HASH,...` of the operators' keys (hex SHA-256; see vgctl key new)", Sources: program.Env(flagOperators)},
		&cli.StringFlag{Name: flagPolicy, Value: "present", Usage: "`NAME` of the policy: present or a baseline to compare with", Sources: program.Env(flagPolicy)},
		&cli.DurationFlag{Name: flagConfigPeriod, Value: 2 * time.Second, Usage: "how often the table is read for changes", Sources: program.Env(flagConfigPeriod)},
		&cli.DurationFlag{Name: flagVMListPeriod, Value: time.Second, Usage: "how often the VM list is read", Sources: program.Env(flagVMListPeriod)},
		&cli.DurationFlag{Name: flagCostPeriod, Value: 5 * time.Second, Usage: "how often cost rows are written; a killed process loses the costs since the last write", Sources: program.Env(flagCostPeriod)},
		&cli.DurationFlag{Name: flagKeepEntries, Value: 5 * time.Second, Usage: "how long callers may cache the addresses of entry VMs", Sources: program.Env(flagKeepEntries)},
		&cli.DurationFlag{Name: flagRetryWindow, Value: 10 * time.Minute, Usage: "how long callers may retry under one Idempotency-Key", Sources: program.Env(flagRetryWindow)},
		&cli.IntFlag{Name: flagMaxBody, Value: 1 << 20, Usage: "largest request body, in bytes", Sources: program.Env(flagMaxBody)},
		&cli.IntFlag{Name: flagMaxInFlight, Value: 20000, Usage: "maximum number of concurrent requests in this process", Sources: program.Env(flagMaxInFlight)},
		&cli.IntFlag{Name: flagMemoryMB, Usage: "memory of this process, in MB; 0 for that of the machine", Sources: program.Env(flagMemoryMB)},
		&cli.IntFlag{Name: flagMaxFDs, Usage: "maximum number of open descriptors of this process; 0 for what the system allows", Sources: program.Env(flagMaxFDs)},
	}
}

// run checks the settings, builds the process and serves until ctx ends.
func run(ctx context.Context, c *cli.Command, reload <-chan os.Signal) error {
	var check settings.Checker
	shared := vmflags.Check(c, &check)
	opts := checkOptions(c, &check)
	if err := check.Err(); err != nil {
		return err
	}
	opts.Metrics = metrics.NewRegistry()
	bounded, err := logging.NewBounded(shared.LogLevel, opts.Metrics)
	if err != nil {
		return eris.Wrap(err, "logs")
	}
	defer bounded.Close()
	log := bounded.Logger
	opts.Limits.CollectInTime()
	go settings.LogReloads(ctx, logging.WithComponent(log, "settings"), reload)
	opts.Log = log
	opts.Zone, opts.Region = shared.Zone, shared.Region
	opts.Table, opts.Objects, opts.VMs = shared.Table, shared.Objects, shared.VMs
	peerOptions := shared.PeerOptions(peer.Member{
		Incarnation: peer.NewIncarnation(), PeerAddress: shared.PeerListen, CallerAddress: opts.advertised(),
		Zone: shared.Zone, Region: shared.Region, State: peer.Alive,
	})
	peerOptions.Log = log
	peerOptions.Metrics = opts.Metrics
	return serve(ctx, opts, peerOptions)
}

// serve runs the process. It opens the listener first, so that an address in
// use is reported at once, then joins the peer network, then serves callers.
// Shutdown goes in reverse order.
func serve(ctx context.Context, opts Options, peerOptions peer.Options) error {
	node, err := peer.New(peerOptions)
	if err != nil {
		return eris.Wrap(err, "peer")
	}
	opts.Network = node
	server, err := New(opts)
	if err != nil {
		return err
	}
	if err := server.Listen(); err != nil {
		return err
	}
	// The peer network outlives the shutdown signal, because a process that is
	// shutting down still talks to its peers.
	if err := node.Start(context.WithoutCancel(ctx)); err != nil {
		return eris.Wrap(err, "peer")
	}
	defer node.Close()
	err = server.Run(ctx)
	leaveCtx, cancel := context.WithTimeout(context.Background(), networkLeaveTimeout)
	defer cancel()
	node.Leave(leaveCtx)
	return err
}

const networkLeaveTimeout = 2 * time.Second

func checkOptions(c *cli.Command, check *settings.Checker) Options {
	opts := Options{
		Listen:       c.String(flagListen),
		Advertise:    c.String(flagAdvertise),
		ConfigPeriod: c.Duration(flagConfigPeriod),
		VMListPeriod: c.Duration(flagVMListPeriod),
		CostPeriod:   c.Duration(flagCostPeriod),
		EntriesTTL:   c.Duration(flagKeepEntries),
		RetryWindow:  c.Duration(flagRetryWindow),
		MaxBody:      c.Int(flagMaxBody),
		MaxInFlight:  c.Int(flagMaxInFlight),
	}
	check.Address(flagListen, opts.Listen)
	if opts.Advertise != "" {
		check.Address(flagAdvertise, opts.Advertise)
	}
	check.Between(flagConfigPeriod, opts.ConfigPeriod, 100*time.Millisecond, time.Minute)
	check.Between(flagVMListPeriod, opts.VMListPeriod, 100*time.Millisecond, time.Minute)
	check.Between(flagCostPeriod, opts.CostPeriod, 100*time.Millisecond, time.Minute)
	check.Between(flagKeepEntries, opts.EntriesTTL, 100*time.Millisecond, time.Hour)
	check.Between(flagRetryWindow, opts.RetryWindow, time.Second, 24*time.Hour)
	check.IntBetween(flagMaxBody, opts.MaxBody, 1<<10, 1<<30)
	check.IntBetween(flagMaxInFlight, opts.MaxInFlight, 1, 1<<20)
	opts.Limits = checkLimits(c, opts.MaxBody, check)
	policy, err := ParsePolicy(c.String(flagPolicy))
	if err != nil {
		check.OneOf(flagPolicy, c.String(flagPolicy), PolicyNames...)
	}
	opts.Policy = policy
	opts.TLS = vmflags.Certificate(c, flagTLSCert, flagTLSKey, check)
	opts.Operators = checkOperators(c.String(flagOperators), check)
	return opts
}

const (
	bytesPerMB  = 1_000_000
	maxMemoryMB = 1 << 24
	maxFDs      = 1 << 20
)

// checkLimits returns the limits of the process. It rejects a limit on bodies beyond what they allow.
func checkLimits(c *cli.Command, maxBody int, check *settings.Checker) intake.Limits {
	check.IntBetween(flagMemoryMB, c.Int(flagMemoryMB), 0, maxMemoryMB)
	check.IntBetween(flagMaxFDs, c.Int(flagMaxFDs), 0, maxFDs)
	limits := intake.Limits{MemoryBytes: c.Int(flagMemoryMB) * bytesPerMB, MaxFDs: c.Int(flagMaxFDs)}.WithDefaults()
	if largest := limits.MaxBody(bodyCopies); maxBody > largest {
		check.Reject(flagMaxBody, maxBody, fmt.Sprintf("at most %d, a sixteenth of the memory", largest))
	}
	return limits
}

var hexHash = regexp.MustCompile(`^[0-9a-f]{64}$`)

func checkOperators(value string, check *settings.Checker) []OperatorKey {
	var keys []OperatorKey
	for _, part := range strings.Split(value, ",") {
		if part = strings.TrimSpace(part); part == "" {
			continue
		}
		key := OperatorKey{Hash: part}
		if name, hash, named := strings.Cut(part, "="); named {
			key = OperatorKey{Name: name, Hash: hash}
		}
		if !hexHash.MatchString(key.Hash) {
			check.Reject(flagOperators, "(hidden)", "[NAME=] and 64 lower-case hex digits, separated by commas")
		}
		keys = append(keys, key)
	}
	return keys
}
