// Command vgsteward gives the engines of each pool their orders.
package main

import (
	"github.com/vanillagate/vanillagate/internal/program"
	steward "github.com/vanillagate/vanillagate/internal/steward/program"
)

func main() { program.Serve(steward.Command) }
