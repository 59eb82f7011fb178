// Command vgload generates load and runs experiments.
package main

import (
	"github.com/vanillagate/vanillagate/internal/load/cli"
	"github.com/vanillagate/vanillagate/internal/program"
)

func main() { program.Run(cli.Command()) }
