package ctl

import (
	"time"

	"github.com/urfave/cli/v3"

	"github.com/vanillagate/vanillagate/internal/config"
)

const (
	defaultWait = 30 * time.Second
	defaultCost = 24 * time.Hour
)

func (d *desk) commands() []*cli.Command {
	return []*cli.Command{
		d.contractCommands(),
		d.itemCommands(config.KindPool, "groups of like targets"),
		d.itemCommands(config.KindPipeline, "ordered stages that share one deadline"),
		d.itemCommands(config.KindService, "plain services"),
		{
			Name: "apply", Usage: "make the configuration hold the items of a file",
			Description: "The file is JSON with lists named pools, pipelines, services and contracts.\n" +
				"Items that are the same already are left alone, items that the file does not\nname stay as they are.",
			Flags: []cli.Flag{fileFlag()}, Action: d.with(0, d.applyAll),
		},
		d.stopCommands(),
		{
			Name: "status", Usage: "show the whole system on one screen",
			Flags: []cli.Flag{&cli.StringFlag{
				Name: flagMetrics, Usage: "metrics of `IP:PORT[/PATH],...` of VMs on the platform, in place of --entries; no operator's key is needed",
			}},
			Action: d.status,
		},
		{
			Name: "cost", Usage: "show what requests cost, by customer and stage",
			Flags: []cli.Flag{
				&cli.DurationFlag{Name: "since", Value: defaultCost, Usage: "how far to look back"},
			},
			Action: d.with(0, d.showCost),
		},
		d.explainCommand(),
		{
			Name: "key", Usage: "bearer keys", Action: noCommand,
			Commands: []*cli.Command{{
				Name: "new", Usage: "print a random key and the hash to put into a contract",
				Description: "The key is printed once and stored nowhere.",
				Action:      d.keyNew,
			}},
		},
	}
}

func (d *desk) contractCommands() *cli.Command {
	return &cli.Command{
		Name: "contract", Usage: "what was agreed with each customer", Action: noCommand,
		Commands: append([]*cli.Command{
			{
				Name: "create", Usage: "create a contract", ArgsUsage: "CUSTOMER",
				Description: "Example: vgctl contract create granite --key-hash HASH --requests-per-second 20 --share 2",
				Flags:       append(contractFlags(), changeIDFlag()), Action: d.with(1, d.createContract),
			},
			{
				Name: "set", Usage: "change some fields of a contract", ArgsUsage: "CUSTOMER",
				Description: "Fields that are not named stay as they are. A change of the key: add the new hash,\n" +
					"have the customer use the new key, then remove the old hash.",
				Flags: append(contractFlags(), changeIDFlag(), ifFlag()), Action: d.with(1, d.setContract),
			},
			{
				Name: "wait", Usage: "wait until a revision is in force at every entry process", ArgsUsage: "REVISION",
				Description: "Prints which processes have it in force.",
				Flags:       []cli.Flag{timeoutFlag()}, Action: d.with(1, d.wait),
			},
		}, d.readAndDelete(config.KindContract)...),
	}
}

func (d *desk) itemCommands(kind config.Kind, usage string) *cli.Command {
	return &cli.Command{
		Name: string(kind), Usage: usage, Action: noCommand,
		Commands: append([]*cli.Command{{
			Name: "apply", Usage: "make the configuration hold the " + string(kind) + " of a file",
			Flags:  []cli.Flag{fileFlag(), changeIDFlag(), ifFlag()},
			Action: d.with(0, d.applyOne(kind)),
		}}, d.readAndDelete(kind)...),
	}
}

func (d *desk) readAndDelete(kind config.Kind) []*cli.Command {
	return []*cli.Command{
		{Name: "get", Usage: "show one " + string(kind), ArgsUsage: "NAME", Action: d.with(1, d.getItem(kind))},
		{Name: "list", Usage: "list all, with who changed them last", Action: d.with(0, d.listItems(kind))},
		{
			Name: "delete", Usage: "delete one " + string(kind), ArgsUsage: "NAME",
			Flags: []cli.Flag{changeIDFlag(), ifFlag()}, Action: d.with(1, d.deleteItem(kind)),
		},
	}
}

func (d *desk) stopCommands() *cli.Command {
	return &cli.Command{
		Name: "stop", Usage: "planned stops of targets and entry VMs", Action: noCommand,
		Commands: []*cli.Command{
			{
				Name: "announce", Usage: "announce that a target or an entry VM will be stopped",
				Description: "It gets no new work from then on; requests that run there are finished.\n" +
					"Example: vgctl stop announce --target 10.0.3.7:8000 --reason \"new disk\"",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: flagTarget, Usage: "IP:port of a target"},
					&cli.StringFlag{Name: flagVM, Usage: "IP:port of an entry VM's side towards callers"},
					&cli.StringFlag{Name: flagID, Usage: "name of the stop; the address where none is given"},
					&cli.StringFlag{Name: flagReason, Usage: "for those who come after you"},
					changeIDFlag(),
				},
				Action: d.with(0, d.announce),
			},
			{Name: "list", Usage: "list the planned stops and how far they are", Action: d.with(0, d.listStops)},
			{
				Name: "wait", Usage: "wait until nothing runs there any more", ArgsUsage: "ID",
				Flags: []cli.Flag{timeoutFlag()}, Action: d.with(1, d.waitStop),
			},
			{
				Name: "cancel", Usage: "take an announcement back", ArgsUsage: "ID",
				Flags: []cli.Flag{changeIDFlag(), ifFlag()}, Action: d.with(1, d.deleteItem(config.KindStop)),
			},
		},
	}
}

func fileFlag() cli.Flag {
	return &cli.StringFlag{Name: flagFile, Aliases: []string{"f"}, Usage: "JSON file, - for standard input"}
}

func changeIDFlag() cli.Flag {
	return &cli.StringFlag{Name: flagChangeID, Usage: "send a change again under the ID of a try without an answer"}
}

func ifFlag() cli.Flag {
	return &cli.Uint64Flag{Name: flagIf, Usage: "change it only if its last change was this revision; else the one that is in force now"}
}

func timeoutFlag() cli.Flag {
	return &cli.DurationFlag{Name: flagTimeout, Value: defaultWait, Usage: "how long to wait"}
}
