package policy

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

const afterFault = 10 * time.Second

// WriteTable prints the figures of a bench. Crashes are deaths by the crashing
// request, crashed the upstreams that it reached, innocent the other requests that
// were refused as suspects.
//
// It prints a line for each result, and the attainment of each class.
func WriteTable(w io.Writer, title string, results []*Result) error {
	fmt.Fprintf(w, "%s\n", title)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "policy\tatt/acc %\tof bound %\t")
	for _, c := range results[0].Classes {
		fmt.Fprintf(t, "%s/%s %%\t", c.Service, c.Class)
	}
	fmt.Fprint(t, "crashes\tcrashed\tinnocent\tretries\tresends\tused %\twasted %\tcache %\tmsg/s\tB/s\t\n")
	for _, r := range results {
		writeRow(t, r, Bound(results))
	}
	return t.Flush()
}

// WriteWindows prints the attainment of the first service's class now before,
// during and from 10 s after a fault, and that during the fault by the zone of the entry.
func WriteWindows(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "policy\tbefore %\tduring %\tafter 10 s %\t")
	for zone := range results[0].Zones {
		fmt.Fprintf(t, "%s %%\t", zoneName(zone))
	}
	fmt.Fprintln(t)
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%.2f\t%.2f\t%.2f\t", r.Policy,
			100*r.Window(r.warmup, faultStart-afterFault),
			100*r.Window(faultStart, faultStart+faultDuration),
			100*r.Window(faultStart+faultDuration+afterFault, r.duration-afterFault))
		for _, zone := range r.Zones {
			fmt.Fprintf(t, "%.2f\t", 100*ratio(zone.Met, zone.Total))
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}

func writeRow(w io.Writer, r *Result, bound float64) {
	fmt.Fprintf(w, "%s\t%.4f\t%.2f\t", r.Policy, r.AttainmentPerAccelerator(), 100*r.AttainmentPerAccelerator()/bound)
	for _, c := range r.Classes {
		fmt.Fprintf(w, "%.2f\t", 100*c.Attainment())
	}
	fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%.1f\t%.2f\t%.1f\t%.1f\t%.0f\t\n",
		r.Crashes, r.CrashedUpstreams, r.InnocentRefused, r.Retries, r.Resends,
		100*r.Used(), 100*r.Wasted(), 100*r.HitRate(), r.MessagesPerInstance(), r.BytesPerInstance())
}

// Bound returns the best attainment per accelerator of the runs with perfect
// knowledge, or full attainment when there is none.
func Bound(results []*Result) float64 {
	var bound float64
	for _, r := range results {
		if r.exact {
			bound = max(bound, r.AttainmentPerAccelerator())
		}
	}
	if bound == 0 {
		return 100 / float64(max(results[0].accelerators, 1))
	}
	return bound
}
