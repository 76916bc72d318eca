package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"savoryweir/internal/bench/fleet"
)

// orderInstances is the number of instances at which orders are measured.
const orderInstances = 9

// orderRates are the measured orders a second over the fleet, none first.
var orderRates = []float64{0, 20, 100, 400}

// reportOrders measures what claims cost the control processes and the store.
func reportOrders(ctx context.Context, binaries string, interval time.Duration) error {
	f, err := fleet.Start(binaries, orderInstances)
	if err != nil {
		return err
	}
	defer f.Stop()
	if err := f.WaitMembers(ctx); err != nil {
		return err
	}
	if _, err := f.Approve(ctx, fleet.Bundle(todayEngines, todayModels, 0)); err != nil {
		return err
	}
	time.Sleep(settleTime)
	fmt.Printf("\norders at %d instances\n", orderInstances)
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "orders/s\tgranted\tfailed\tcore %\tMiB\tsent B/s\tstore writes/s\twrites per 1000\tKB to the store/s\t")
	for _, rate := range orderRates {
		if err := measureOrders(ctx, f, table, interval, rate); err != nil {
			return err
		}
	}
	return table.Flush()
}

func measureOrders(ctx context.Context, f *fleet.Fleet, table *tabwriter.Writer, interval time.Duration, rate float64) error {
	before := f.Store.Counts()
	var load fleet.OrderLoad
	var failed error
	cost, err := f.Measure(interval, func() {
		ctx, cancel := context.WithTimeout(ctx, interval)
		defer cancel()
		if rate > 0 {
			load, failed = f.Orders(ctx, rate)
		}
	})
	if failed != nil {
		return failed
	}
	if err != nil {
		return err
	}
	after := f.Store.Counts()
	writes := float64(after.Writes() - before.Writes())
	kilobytes := float64(after.BytesWritten-before.BytesWritten) / 1000
	fmt.Fprintf(table, "%.0f\t%d\t%d\t%.2f\t%.1f\t%.0f\t%.1f\t%.0f\t%.1f\t\n", rate, load.Granted, load.Failed,
		100*cost.CoreShare, cost.ResidentBytes/(1<<20), cost.BytesPerSecond,
		writes/interval.Seconds(), 1000*writes/float64(max(load.Granted, 1)), kilobytes/interval.Seconds())
	return nil
}
