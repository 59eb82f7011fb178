// Command vgedge is the entry process that runs on every VM of the users' platform.
package main

import (
	"github.com/vanillagate/vanillagate/internal/program"
	"github.com/vanillagate/vanillagate/platform"
)

func main() { program.Serve(platform.Command) }
