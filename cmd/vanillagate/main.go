// Command vanillagate is the entry process that runs on every entry VM: it tells
// callers which addresses to use, admits their requests and runs them.
package main

import (
	"github.com/vanillagate/vanillagate/internal/entry"
	"github.com/vanillagate/vanillagate/internal/program"
)

func main() { program.Serve(entry.Command) }
