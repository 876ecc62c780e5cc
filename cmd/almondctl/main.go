// Command almondctl is the command line tool for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"almondrock.example/almondrock/pkg/cli/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, os.Args[1:], ctl.Options{Out: os.Stdout, Err: os.Stderr, Environ: os.Environ()})
	stop()
	os.Exit(code)
}
