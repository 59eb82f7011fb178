// Command vgsteward tells the engines of each pool which models and adapters to
// load.
package main

import (
	"github.com/vanillagate/vanillagate/internal/program"
	steward "github.com/vanillagate/vanillagate/internal/steward/program"
)

func main() { program.Serve(steward.Command) }
