// Command capacity measures what control processes cost at several sizes and
// prints the slopes and their extrapolation to the target size. It starts the
// control binary many times on the loopback interface.
package main

import (
	"context"
	"flag"
	"fmt"
	"log"
	"os"
	"text/tabwriter"
	"time"

	"savoryweir/internal/bench/fleet"
)

// The target size.
const (
	targetInstances = 320
	targetEngines   = 710
	targetModels    = 770
	targetCells     = 40
)

// Sizes of today's larger deployment.
const (
	todayEngines = 22
	todayModels  = 40
)

const bundleChanges = 10

// settleTime is waited before the steady state: news of the start is repeated for so long.
var settleTime = 40 * time.Second

// withSpares leaves the loading of spare replicas on.
var withSpares bool

// run is one row of the table.
type run struct {
	instances, engines, models int
	cells                      int // of the one service
	steady                     fleet.Cost
	changing                   fleet.Cost    // while bundles change
	slowest                    time.Duration // until a changed bundle was in force everywhere
	storeReads, storeWrites    float64       // a second, over the fleet, in the steady state
	engineBytes                float64       // a second, all engines with all instances, in the steady state
}

func main() {
	binaries := flag.String("bin", "bin", "folder with the binaries")
	settle := flag.Duration("settle", settleTime, "wait before each measurement of the steady state")
	interval := flag.Duration("interval", 20*time.Second, "length of each measurement")
	ordersOnly := flag.Bool("orders-only", false, "measure orders only")
	targetOnly := flag.Bool("target-only", false, "measure the target's engines and models only")
	spares := flag.Bool("spares", false, "keep spare replicas, which load for minutes after the start")
	flag.Parse()
	settleTime = *settle
	withSpares = *spares
	if *targetOnly {
		if err := reportTarget(context.Background(), *binaries, *interval); err != nil {
			log.Fatal(err)
		}
		return
	}
	if !*ordersOnly {
		if err := report(context.Background(), *binaries, *interval); err != nil {
			log.Fatal(err)
		}
	}
	if err := reportOrders(context.Background(), *binaries, *interval); err != nil {
		log.Fatal(err)
	}
}

func report(ctx context.Context, binaries string, interval time.Duration) error {
	plans := []run{
		{instances: 3, engines: todayEngines, models: todayModels, cells: 1},
		{instances: 9, engines: todayEngines, models: todayModels, cells: 1},
		{instances: 40, engines: todayEngines, models: todayModels, cells: 1},
		{instances: 40, engines: targetEngines, models: targetModels, cells: targetCells},
	}
	done, err := measureAll(ctx, binaries, interval, plans)
	if err != nil {
		return err
	}
	extrapolate(done[1], done[2], done[3])
	return nil
}

// reportTarget measures the target's engines and models alone.
func reportTarget(ctx context.Context, binaries string, interval time.Duration) error {
	_, err := measureAll(ctx, binaries, interval, []run{
		{instances: 40, engines: targetEngines, models: targetModels, cells: targetCells},
	})
	return err
}

// measureAll takes the measurements one after another and prints them as a table.
func measureAll(ctx context.Context, binaries string, interval time.Duration, plans []run) ([]run, error) {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "instances\tengines\tmodels\tcore %\tMiB\tsent B/s\tcore % changing\tB per change\tin force after\tstore reads/s\twrites/s\tengines B/s\t")
	var done []run
	for _, plan := range plans {
		r, err := measure(ctx, binaries, interval, plan)
		if err != nil {
			return nil, err
		}
		done = append(done, r)
		perChange := (r.changing.BytesPerSecond - r.steady.BytesPerSecond) * interval.Seconds() / bundleChanges
		fmt.Fprintf(table, "%d\t%d\t%d\t%.2f\t%.1f\t%.0f\t%.2f\t%.0f\t%s\t%.2f\t%.2f\t%.0f\t\n",
			r.instances, r.engines, r.models, 100*r.steady.CoreShare, r.steady.ResidentBytes/(1<<20),
			r.steady.BytesPerSecond, 100*r.changing.CoreShare, perChange, r.slowest.Round(time.Millisecond),
			r.storeReads, r.storeWrites, r.engineBytes)
	}
	return done, table.Flush()
}

// extrapolate prints the slopes per instance, and per engine and model, and
// their sum at the target size.
func extrapolate(small, large, wide run) {
	perInstance := func(f func(run) float64) float64 {
		return (f(large) - f(small)) / float64(large.instances-small.instances)
	}
	perEngine := func(f func(run) float64) float64 { return (f(wide) - f(large)) / float64(wide.engines-large.engines) }
	print := func(name, unit string, f func(run) float64, limit float64) {
		target := f(wide) + perInstance(f)*float64(targetInstances-wide.instances)
		fmt.Printf("%s: %+.5f %s per instance, %+.5f %s per engine with its share of the models; at the target %.2f of %.2f %s\n",
			name, perInstance(f), unit, perEngine(f), unit, target, limit, unit)
	}
	print("processor", "% of a core", func(r run) float64 { return 100 * r.steady.CoreShare }, 3)
	print("memory", "MiB", func(r run) float64 { return r.steady.ResidentBytes / (1 << 20) }, 64e6/(1<<20))
	print("sent", "B/s", func(r run) float64 { return r.steady.BytesPerSecond }, 3000)
	fmt.Printf("engine reports: %.0f B/s an engine among %d, %.0f among %d; at the target %.0f B/s an instance\n",
		large.engineBytes/float64(large.engines), large.engines, wide.engineBytes/float64(wide.engines), wide.engines,
		wide.engineBytes/targetInstances)
	print("store reads", "a second", func(r run) float64 { return r.storeReads }, 2000)
}

func measure(ctx context.Context, binaries string, interval time.Duration, r run) (run, error) {
	engines, err := fleet.StartEngines(fleet.Bundle(r.engines, r.models, 0))
	if err != nil {
		return r, err
	}
	defer engines.Stop()
	// Without spare replicas the loads of the start end soon.
	flags := []string{fmt.Sprintf("--placement-cells-per-service=%d", r.cells)}
	if !withSpares {
		flags = append(flags, "--no-placement-spares")
	}
	f, err := fleet.Start(binaries, r.instances, flags...)
	if err != nil {
		return r, err
	}
	defer f.Stop()
	if err := f.WaitMembers(ctx); err != nil {
		return r, err
	}
	if _, err := f.Approve(ctx, fleet.Bundle(r.engines, r.models, 0)); err != nil {
		return r, err
	}
	time.Sleep(settleTime)
	before := f.Store.Counts()
	engineBefore := engines.Traffic.Sent() + engines.Traffic.Received()
	if r.steady, err = f.Measure(interval, func() {}); err != nil {
		return r, err
	}
	after := f.Store.Counts()
	r.engineBytes = float64(engines.Traffic.Sent()+engines.Traffic.Received()-engineBefore) / interval.Seconds()
	r.storeReads = float64(after.Reads()-before.Reads()) / interval.Seconds()
	r.storeWrites = float64(after.Writes()-before.Writes()) / interval.Seconds()
	var failed error
	r.changing, err = f.Measure(interval, func() {
		for i := range bundleChanges {
			took, err := f.Approve(ctx, fleet.Bundle(r.engines, r.models, i+1))
			if err != nil {
				failed = err
				return
			}
			r.slowest = max(r.slowest, took)
		}
	})
	if failed != nil {
		return r, failed
	}
	return r, err
}
