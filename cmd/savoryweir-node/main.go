// Command savoryweir-node is the whole of an instance on the users' platform.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"savoryweir/internal/logging"
	"savoryweir/internal/node"
	"savoryweir/internal/settings"
)

const description = `An instance on a platform that lists engines in its store: serves callers,
and gives orders to engines while it holds the lease for that.

Examples:
  savoryweir-node --settings node.ini
  savoryweir-node --settings node.ini --check-settings`

// lastLines bounds the wait for a reader of the log that has stopped reading.
const lastLines = 200 * time.Millisecond

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args []string) error {
	var s node.Settings
	if _, err := settings.Parse(settings.Program{Name: "savoryweir-node", Description: description}, &s, args); err != nil {
		return err
	}
	if s.CheckSettings {
		fmt.Println("settings are right")
		return nil
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	lines := logging.NewAsyncWriter(os.Stdout)
	done := make(chan struct{})
	written := make(chan struct{})
	go func() {
		defer close(written)
		lines.Run(done)
	}()
	defer func() {
		close(done)
		select {
		case <-written:
		case <-time.After(lastLines):
		}
	}()
	n, err := node.New(s, lines)
	if err != nil {
		return err
	}
	return n.Run(signals)
}
