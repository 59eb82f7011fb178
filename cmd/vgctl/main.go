// Command vgctl is the command-line tool for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/vanillagate/vanillagate/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Main(ctx, os.Args, os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(int(code))
}
