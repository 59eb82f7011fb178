// Command vgedge is the entry process of every VM on the users' platform.
package main

import (
	"github.com/vanillagate/vanillagate/internal/program"
	"github.com/vanillagate/vanillagate/platform"
)

func main() { program.Serve(platform.Command) }
