// Command stage plays one case of the second review: it starts savoryweir-node processes with stand-ins of the
// platform's store, of services and of clients on the loopback interface, and judges what these have seen.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// options are the arguments of a case.
type options struct {
	node    string // path of savoryweir-node
	folder  string // for settings and logs
	trouble bool   // whether the disruption happens
	record  *record
}

// errBroken reports that the rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by their names.
var cases = map[string]func(options) error{
	"forwarded-by-older-config": forwardedByOlderConfig,
	"joined-after-drill":        joinedAfterDrill,
	"revoked-after-drill":       revokedAfterDrill,
}

func main() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		started.end()
		os.Exit(exitNotRun)
	}()
	os.Exit(play())
}

func play() int {
	name := flag.String("case", "", "name of the case")
	node := flag.String("node", "target/savoryweir-node", "program of an instance")
	folder := flag.String("folder", "", "temporary folder")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	chosen := cases[*name]
	if chosen == nil {
		fmt.Fprintf(os.Stderr, "no case is named %q\n", *name)
		return exitNotRun
	}
	r, err := newRecord(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	err = chosen(options{node: *node, folder: *folder, trouble: os.Getenv("TROUBLE") != "0", record: r})
	switch {
	case errors.Is(err, errBroken):
		r.note("%v", err)
		return exitBroken
	case err != nil:
		r.note("could not run: %v", err)
		return exitNotRun
	}
	r.note("the rule held")
	return exitHeld
}
