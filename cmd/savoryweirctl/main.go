// Command savoryweirctl is the command-line tool for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"savoryweir/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctl.NewEnvironment(ctx), os.Args[1:])
	stop()
	os.Exit(int(code))
}
