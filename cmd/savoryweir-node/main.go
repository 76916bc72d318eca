// Command savoryweir-node runs an instance on the users' platform in a single process.
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
and sends orders to engines while it holds the lease for orders.

Examples:
  savoryweir-node --settings node.ini
  savoryweir-node --settings node.ini --check-settings`

// logFlushTimeout limits the wait for the last log lines at exit, in case the reader of the
// log has stopped reading.
const logFlushTimeout = 200 * time.Millisecond

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
	logWriter := logging.NewAsyncWriter(os.Stdout)
	done := make(chan struct{})
	flushed := make(chan struct{})
	go func() {
		defer close(flushed)
		logWriter.Run(done)
	}()
	defer func() {
		close(done)
		select {
		case <-flushed:
		case <-time.After(logFlushTimeout):
		}
	}()
	n, err := node.New(s, logWriter)
	if err != nil {
		return err
	}
	return n.Run(signals)
}
