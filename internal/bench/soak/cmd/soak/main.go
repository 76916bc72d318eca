// Command soak plays random faults against real savoryweir-node processes and prints
// the promises that were broken, with the seed that plays the same plan again.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/alecthomas/kong"

	"savoryweir/internal/bench/soak"
)

type flags struct {
	From            uint64        `help:"First seed; 0 draws one from the time." default:"0"`
	Seeds           int           `help:"Number of seeds." default:"1"`
	Parallel        int           `help:"Runs at a time." default:"4"`
	Faulted         time.Duration `help:"Length of the part with faults." default:"12s"`
	Faults          int           `help:"Faults in a run." default:"14"`
	Instances       int           `help:"Instances." default:"4"`
	Engines         int           `help:"Model engines." default:"4"`
	Plain           int           `help:"Plain upstreams." default:"3"`
	Callers         int           `help:"Callers." default:"12"`
	Versions        bool          `help:"Has engines replaced by ones of other versions; needs 6 engines or so."`
	NewVersionDelay time.Duration `help:"Setting of the instances: time for which new versions begin no streams while others have room." default:"0s"`
	Unframed        float64       `help:"Share of upstreams' answers that have neither a length nor chunks and end with their connection." default:"0"`
	Malformed       float64       `help:"Share of runs that upstreams answer by a response that violates HTTP." default:"0"`
	Parts           bool          `help:"Has callers share parts of prompts, one of which crashes engines."`
	Limits          bool          `help:"Has engines name limits of requests per second."`
	Cuts            bool          `help:"Has instances cut off from all upstreams."`
	Former          string        `help:"Commit of an earlier build, beside which the present one serves: even seeds replace it, odd ones go back to it." default:""`
	Program         string        `help:"Program to use instead of a build of the sources." default:""`
	Leavers         bool          `help:"Has callers leave in bursts while instances are slow."`
	Brittle         bool          `help:"Has all engines be brittle: they fall over if they must reject more than they say."`
	Keep            string        `help:"Folder for the logs of runs that broke a promise." default:"out/soak"`
	KeepAll         bool          `help:"Keeps the logs of runs that broke no promise, too."`
	Verbose         bool          `help:"Prints each fault."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Description("Plays random faults against real processes and checks the promises."))
	broken, err := run(f)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if broken > 0 {
		os.Exit(1)
	}
}

func run(f flags) (int, error) {
	if f.From == 0 {
		f.From = uint64(time.Now().UnixNano()) % 1_000_000_000
	}
	if err := os.MkdirAll(f.Keep, 0o750); err != nil {
		return 0, err
	}
	program, err := filepath.Abs(filepath.Join(f.Keep, "savoryweir-node"))
	if err != nil {
		return 0, err
	}
	if f.Program != "" {
		program = f.Program
	} else if output, err := exec.Command("go", "build", "-o", program, "savoryweir/cmd/savoryweir-node").CombinedOutput(); err != nil {
		return 0, fmt.Errorf("build: %w: %s", err, output)
	}
	var former string
	if f.Former != "" {
		if former, err = filepath.Abs(filepath.Join(f.Keep, "savoryweir-node-"+f.Former)); err != nil {
			return 0, err
		}
		if err := soak.BuildFormer(f.Former, former); err != nil {
			return 0, err
		}
	}
	var group sync.WaitGroup
	var mu sync.Mutex // guards broken and the output
	broken := 0
	places := make(chan struct{}, f.Parallel)
	for n := range f.Seeds {
		group.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			report, folder, err := play(f, program, former, f.From+uint64(n))
			mu.Lock()
			defer mu.Unlock()
			if err != nil || len(report.Violations) > 0 {
				broken++
			}
			show(f.From+uint64(n), report, folder, err)
		})
	}
	group.Wait()
	fmt.Printf("%d seeds from %d, %d with broken promises\n", f.Seeds, f.From, broken)
	return broken, nil
}

func play(f flags, program, former string, seed uint64) (soak.Report, string, error) {
	folder := filepath.Join(f.Keep, fmt.Sprint(seed))
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return soak.Report{}, folder, err
	}
	o := soak.DefaultOptions(seed)
	o.Program, o.Folder, o.Faulted, o.Faults, o.Instances = program, folder, f.Faulted, f.Faults, f.Instances
	o.Former, o.Malformed, o.NewVersionDelay = former, f.Malformed, f.NewVersionDelay
	o.Engines, o.Plain, o.Callers = f.Engines, f.Plain, f.Callers
	o.Versions, o.Unframed, o.Parts, o.Limits, o.Cuts, o.Brittle, o.Leavers = f.Versions, f.Unframed, f.Parts, f.Limits, f.Cuts, f.Brittle, f.Leavers
	if f.Verbose {
		o.Progress = func(format string, arguments ...any) { fmt.Printf(format+"\n", arguments...) }
	}
	report, err := soak.Run(o)
	if err == nil && len(report.Violations) == 0 && !f.KeepAll {
		err = os.RemoveAll(folder)
	}
	return report, folder, err
}

func show(seed uint64, r soak.Report, folder string, err error) {
	fmt.Printf("seed %d: %d of %d requests served, %d violations, %d stalls\n", seed, r.Served, r.Requests, len(r.Violations), r.Stalls)
	fmt.Printf("  in touch: %d of %d new streams began, %d of %d that were taken up went on\n", r.Streams.Began, r.Streams.New, r.Streams.WentOn, r.Streams.TakenUp)
	if r.Parts.Crashes > 0 {
		fmt.Printf("  crashing part: %+v\n", r.Parts)
	}
	if err != nil {
		fmt.Printf("  failed: %v\n", err)
	}
	if len(r.Violations) == 0 {
		return
	}
	fmt.Printf("  logs in %s\n", folder)
	for _, f := range r.Plan {
		fmt.Printf("  plan %s\n", f)
	}
	counts := make(map[soak.Promise]int)
	for _, v := range r.Violations {
		counts[v.Promise]++
	}
	for promise, n := range counts {
		fmt.Printf("  %d times: %s\n", n, promise)
	}
	for n, v := range r.Violations {
		if n == shown {
			fmt.Printf("  and %d more\n", len(r.Violations)-shown)
			break
		}
		fmt.Printf("  %6.2fs %s: %s\n", v.At.Seconds(), v.Promise, v.Text)
	}
}

// shown bounds the violations of a seed that are printed.
const shown = 12
