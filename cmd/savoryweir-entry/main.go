// Command savoryweir-entry forwards requests of callers to upstreams.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/entry"
	"savoryweir/internal/entry/controlview"
	"savoryweir/internal/logging"
	"savoryweir/internal/settings"
	"savoryweir/internal/state/hlc"
	"savoryweir/internal/transport/orderclient"
	"savoryweir/internal/transport/peerconn"
)

const description = `Data path of savoryweir: accepts requests of callers and forwards them to upstreams.

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
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log := logging.New(os.Stderr, s.Log, "entry", s.Instance.ID)
	dependencies, err := connect(ctx, s, log)
	if err != nil {
		return err
	}
	server, err := entry.New(s, dependencies)
	if err != nil {
		return err
	}
	defer server.Close()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	return server.Run(ctx, signals)
}

// connect returns the dependencies of the entry: connections to the control process of the
// same instance or, if a view file is set, the fixed view in that file.
func connect(ctx context.Context, s entry.Settings, log zerolog.Logger) (entry.Dependencies, error) {
	if s.View.File != "" {
		view, err := entry.LoadViewFile(s.View.File)
		return entry.Dependencies{Views: entry.StaticSource{Static: view}, Claims: entry.NoClaims{}, Log: log}, err
	}
	conn, err := peerconn.NewPool(nil, &peerconn.ByteCounter{}).Get(s.View.Control)
	if err != nil {
		return entry.Dependencies{}, err
	}
	peers, err := controlview.NewPeerDialer(s.View.TLS)
	if err != nil {
		return entry.Dependencies{}, err
	}
	clock := hlc.New(time.Now)
	source := controlview.New(controlview.Options{
		Settings: s.View,
		Instance: s.Instance,
		Local:    pb.NewLocalClient(conn),
		Peers:    peers,
		Clock:    clock,
		Log:      logging.WithComponent(log, "view"),
		Random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	orders := orderclient.New(s.Claims, pb.NewOrdersClient(conn), clock)
	go source.Run(ctx)
	go func() { _ = orders.Run(ctx) }()
	return entry.Dependencies{Views: source, Reporter: source, Claims: orders, Log: log, Clock: clock, FollowsPeer: source.FollowsPeer}, nil
}
