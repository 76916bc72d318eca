// Command joint runs the joint bench of routing and placement, prints its tables and
// writes its plots.
package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"savoryweir/internal/bench/joint"
	"savoryweir/internal/errs"
)

type options struct {
	Out       string        `help:"Folder for the plots." default:"out"`
	Seed      uint64        `help:"Seed of the demand." default:"1"`
	Scenario  string        `help:"Run only scenarios whose name has this prefix."`
	Policy    string        `help:"Run only policies whose name has this prefix, and the bounds."`
	Duration  time.Duration `help:"Virtual time that is measured after the warm-up." default:"1h"`
	Reports   time.Duration `help:"Time between two demand reports of an instance." default:"1s"`
	Smoothing time.Duration `help:"Time constant over which the reported traffic is averaged." default:"5s"`
	Parallel  int           `help:"Runs at a time." default:"4"`
}

func main() {
	var o options
	kong.Parse(&o, kong.Name("joint"), kong.Description("Measures routing and placement together under virtual time."))
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "joint:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	if err := os.MkdirAll(o.Out, 0o755); err != nil {
		return errs.Wrap(err, "make folder", errs.Self)
	}
	for _, s := range []joint.Scenario{joint.Kalyvas(o.Seed), joint.Magnolia(o.Seed)} {
		if !strings.HasPrefix(s.Placement.Name, o.Scenario) {
			continue
		}
		s.Routing.DemandEvery, s.Smoothing = o.Reports, o.Smoothing
		if err := report(o, s.Lasting(o.Duration)); err != nil {
			return err
		}
	}
	return nil
}

func report(o options, s joint.Scenario) error {
	var policies []joint.Policy
	for _, p := range joint.Policies() {
		if p.Perfect || strings.HasPrefix(p.Name, o.Policy) {
			policies = append(policies, p)
		}
	}
	results := joint.RunAll(s, policies, o.Parallel)
	title := fmt.Sprintf("\njoint, %s: %d engines, %s, seed %d", s.Placement.Name, s.Placement.Engines(), o.Duration, o.Seed)
	if err := joint.WriteTable(os.Stdout, title, results); err != nil {
		return errs.Wrap(err, "print table", errs.Self)
	}
	return errs.Wrap(joint.WritePlots(o.Out, s, results), "write plots", errs.Self)
}
