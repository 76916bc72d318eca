// Command savoryweir-entry is the data path between callers and upstreams.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"savoryweir/internal/entry"
	"savoryweir/internal/logging"
	"savoryweir/internal/settings"
)

const description = `Data path of savoryweir: takes requests of callers and passes them to upstreams.

Examples:
  savoryweir-entry --settings entry.ini
  savoryweir-entry --settings entry.ini --check-settings
  savoryweir-entry --instance-id=a1 --instance-zone=a --view-file=view.json`

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args []string) error {
	var s entry.Settings
	program := settings.Program{Name: "savoryweir-entry", Description: description}
	if _, err := settings.Parse(program, &s, args); err != nil {
		return err
	}
	if s.CheckSettings {
		fmt.Println("settings are right")
		return nil
	}
	view, err := entry.LoadViewFile(s.View.File)
	if err != nil {
		return err
	}
	server, err := entry.New(s, entry.Dependencies{
		Views:  entry.StaticSource{Static: view},
		Claims: entry.NoClaims{},
		Log:    logging.New(os.Stderr, s.Log, "entry", s.Instance.ID),
	})
	if err != nil {
		return err
	}
	defer server.Close()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	return server.Run(context.Background(), signals)
}
