// Command savoryweir-control manages the membership of the instances, configuration bundles,
// placement and order claims on behalf of the entry process of the same instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"savoryweir/internal/control"
	"savoryweir/internal/logging"
	"savoryweir/internal/settings"
)

const description = `Control process of savoryweir: manages membership, bundles, placement and order claims.

Examples:
  savoryweir-control --settings control.ini
  savoryweir-control --settings control.ini --check-settings`

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args []string) error {
	var s control.Settings
	program := settings.Program{Name: "savoryweir-control", Description: description}
	if _, err := settings.Parse(program, &s, args); err != nil {
		return err
	}
	if s.CheckSettings {
		fmt.Println("settings are right")
		return nil
	}
	process, err := control.New(s, logging.New(os.Stderr, s.Log, "control", s.Instance.ID))
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop) // restores the default handling, so that a second signal terminates the process
	return process.Run(ctx)
}
