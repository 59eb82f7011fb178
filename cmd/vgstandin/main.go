// Command vgstandin emulates the systems around vanillagate: engines, stage pools,
// plain services, the table service, the object store and the VM list. It is for
// tests and experiments only.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/vanillagate/vanillagate/internal/standin/program"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := program.Run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
