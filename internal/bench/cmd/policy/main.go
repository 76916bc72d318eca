// Command policy runs the policy bench, prints its tables and writes its plots.
package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/alecthomas/kong"

	"savoryweir/internal/bench/policy"
	"savoryweir/internal/errs"
)

type options struct {
	Out      string `help:"Folder for the plots." default:"out"`
	Seed     uint64 `help:"Seed of the demand." default:"1"`
	Scenario string `help:"Run only scenarios whose name has this prefix."`
	Parallel int    `help:"Runs at a time." default:"4"`
}

func main() {
	var o options
	kong.Parse(&o, kong.Name("policy"), kong.Description("Measures the decisions of the data path under virtual time."))
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "policy:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	if err := os.MkdirAll(o.Out, 0o755); err != nil {
		return errs.Wrap(err, "make folder", errs.Self)
	}
	for _, bench := range policy.Benches(o.Seed) {
		if !strings.HasPrefix(bench.Scenario.Name, o.Scenario) {
			continue
		}
		if err := report(o, bench); err != nil {
			return err
		}
	}
	return nil
}

func report(o options, bench policy.Bench) error {
	results := bench.RunAll(o.Parallel)
	title := fmt.Sprintf("\n%s, seed %d", bench.Scenario.Name, o.Seed)
	if err := policy.WriteTable(os.Stdout, title, results); err != nil {
		return errs.Wrap(err, "print table", errs.Self)
	}
	if len(bench.Scenario.Faults) > 0 {
		if err := policy.WriteWindows(os.Stdout, results); err != nil {
			return errs.Wrap(err, "print windows", errs.Self)
		}
	}
	var svg bytes.Buffer
	if err := policy.WritePlot(&svg, bench.Scenario, results); err != nil {
		return errs.Wrap(err, "draw plot", errs.Self)
	}
	path := filepath.Join(o.Out, bench.Scenario.Name+".svg")
	return errs.Wrap(os.WriteFile(path, svg.Bytes(), 0o644), "write plot", errs.Self)
}
