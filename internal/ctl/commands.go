package ctl

import (
	"time"

	"github.com/urfave/cli/v3"

	"github.com/vanillagate/vanillagate/internal/config"
)

const (
	defaultWaitTimeout = 30 * time.Second
	defaultCostPeriod  = 24 * time.Hour
)

func (a *app) commands() []*cli.Command {
	return []*cli.Command{
		a.contractCommands(),
		a.itemCommands(config.KindPool, "groups of interchangeable targets"),
		a.itemCommands(config.KindPipeline, "ordered stages that share one deadline"),
		a.itemCommands(config.KindService, "plain HTTP services"),
		{
			Name: "apply", Usage: "create or update the items of a file",
			Description: "The file is JSON with lists named pools, pipelines, services and contracts.\n" +
				"Items that don't differ from the file are not changed. Items that the file does not\nname are neither changed nor deleted.",
			Flags: []cli.Flag{fileFlag()}, Action: a.withClient(0, a.applyAll),
		},
		a.stopCommands(),
		{
			Name: "status", Usage: "show the state of the whole system",
			Flags: []cli.Flag{&cli.StringFlag{
				Name: flagMetrics, Usage: "read the metrics at `IP:PORT[/PATH],...` of VMs on the platform instead of asking --entries; needs no operator's key",
			}},
			Action: a.status,
		},
		{
			Name: "cost", Usage: "show the cost of requests by customer, pipeline and stage",
			Flags: []cli.Flag{
				&cli.DurationFlag{Name: "since", Value: defaultCostPeriod, Usage: "length of the period to report, up to now"},
			},
			Action: a.withClient(0, a.showCost),
		},
		a.explainCommand(),
		{
			Name: "key", Usage: "create bearer keys", Action: requireSubcommand,
			Commands: []*cli.Command{{
				Name: "new", Usage: "print a random key and its hash, which goes into a contract",
				Description: "The key is printed once and stored nowhere.",
				Action:      a.createKey,
			}},
		},
	}
}

func (a *app) contractCommands() *cli.Command {
	return &cli.Command{
		Name: "contract", Usage: "keys, limits and priorities of each customer", Action: requireSubcommand,
		Commands: append([]*cli.Command{
			{
				Name: "create", Usage: "create a contract", ArgsUsage: "CUSTOMER",
				Description: "Example: vgctl contract create granite --key-hash HASH --requests-per-second 20 --share 2",
				Flags:       append(contractFlags(), changeIDFlag()), Action: a.withClient(1, a.createContract),
			},
			{
				Name: "set", Usage: "change some fields of a contract", ArgsUsage: "CUSTOMER",
				Description: "Fields without a flag are not changed. To replace a key, add the hash of the new key,\n" +
					"have the customer use the new key, then remove the old hash.",
				Flags: append(contractFlags(), changeIDFlag(), ifRevisionFlag()), Action: a.withClient(1, a.setContract),
			},
			{
				Name: "wait", Usage: "wait until a revision is in force at every entry process", ArgsUsage: "REVISION",
				Description: "Prints the revision that each process has in force.",
				Flags:       []cli.Flag{timeoutFlag()}, Action: a.withClient(1, a.waitRevision),
			},
		}, a.commonItemCommands(config.KindContract)...),
	}
}

func (a *app) itemCommands(kind config.Kind, usage string) *cli.Command {
	return &cli.Command{
		Name: string(kind), Usage: usage, Action: requireSubcommand,
		Commands: append([]*cli.Command{{
			Name: "apply", Usage: "create or update the " + string(kind) + " of a file",
			Flags:  []cli.Flag{fileFlag(), changeIDFlag(), ifRevisionFlag()},
			Action: a.withClient(0, a.applyOne(kind)),
		}}, a.commonItemCommands(kind)...),
	}
}

func (a *app) commonItemCommands(kind config.Kind) []*cli.Command {
	return []*cli.Command{
		{Name: "get", Usage: "show one " + string(kind), ArgsUsage: "NAME", Action: a.withClient(1, a.getItem(kind))},
		{Name: "list", Usage: "list all, with their last revision and who made it", Action: a.withClient(0, a.listItems(kind))},
		{
			Name: "delete", Usage: "delete one " + string(kind), ArgsUsage: "NAME",
			Flags: []cli.Flag{changeIDFlag(), ifRevisionFlag()}, Action: a.withClient(1, a.deleteItem(kind)),
		},
	}
}

func (a *app) stopCommands() *cli.Command {
	return &cli.Command{
		Name: "stop", Usage: "planned stops of targets and entry VMs", Action: requireSubcommand,
		Commands: []*cli.Command{
			{
				Name: "announce", Usage: "announce that a target or an entry VM will be stopped",
				Description: "It gets no new requests from then on. Requests that already run there are finished.\n" +
					"Example: vgctl stop announce --target 10.0.3.7:8000 --reason \"new disk\"",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: flagTarget, Usage: "IP:port of the target"},
					&cli.StringFlag{Name: flagVM, Usage: "IP:port at which callers reach the entry VM"},
					&cli.StringFlag{Name: flagID, Usage: "name of the stop; the address by default"},
					&cli.StringFlag{Name: flagReason, Usage: "reason of the stop, shown to other operators"},
					changeIDFlag(),
				},
				Action: a.withClient(0, a.announce),
			},
			{Name: "list", Usage: "list the planned stops and their progress", Action: a.withClient(0, a.listStops)},
			{
				Name: "wait", Usage: "wait until no requests run there any more", ArgsUsage: "ID",
				Flags: []cli.Flag{timeoutFlag()}, Action: a.withClient(1, a.waitStop),
			},
			{
				Name: "cancel", Usage: "cancel a planned stop", ArgsUsage: "ID",
				Flags: []cli.Flag{changeIDFlag(), ifRevisionFlag()}, Action: a.withClient(1, a.deleteItem(config.KindStop)),
			},
		},
	}
}

func fileFlag() cli.Flag {
	return &cli.StringFlag{Name: flagFile, Aliases: []string{"f"}, Usage: "JSON file, - for standard input"}
}

func changeIDFlag() cli.Flag {
	return &cli.StringFlag{Name: flagChangeID, Usage: "ID of the change; to retry a change that got no answer, give the ID of the first attempt"}
}

func ifRevisionFlag() cli.Flag {
	return &cli.Uint64Flag{Name: flagIfRevision, Usage: "make the change only if the item was last changed at this revision; by default, the revision in force now"}
}

func timeoutFlag() cli.Flag {
	return &cli.DurationFlag{Name: flagTimeout, Value: defaultWaitTimeout, Usage: "how long to wait"}
}
