package policy

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable prints a line for each result, and the attainment of each class.
func WriteTable(w io.Writer, title string, results []*Result) error {
	fmt.Fprintf(w, "%s\n", title)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "policy\tatt/acc %\tof bound %\t")
	for _, c := range results[0].Classes {
		fmt.Fprintf(t, "%s/%s %%\t", c.Service, c.Class)
	}
	fmt.Fprint(t, "retries\tresends\twasted %\tcache %\tmsg/s\tB/s\t\n")
	for _, r := range results {
		writeRow(t, r, Bound(results))
	}
	return t.Flush()
}

func writeRow(w io.Writer, r *Result, bound float64) {
	fmt.Fprintf(w, "%s\t%.4f\t%.2f\t", r.Policy, r.AttainmentPerAccelerator(), 100*r.AttainmentPerAccelerator()/bound)
	for _, c := range r.Classes {
		fmt.Fprintf(w, "%.2f\t", 100*c.Attainment())
	}
	fmt.Fprintf(w, "%d\t%d\t%.2f\t%.1f\t%.1f\t%.0f\t\n", r.Retries, r.Resends, 100*r.Wasted(),
		100*r.HitRate(), r.MessagesPerInstance(), r.BytesPerInstance())
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
