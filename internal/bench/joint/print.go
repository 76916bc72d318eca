package joint

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable prints a line for each result, and the attainment of each class.
func WriteTable(w io.Writer, title string, results []Result) error {
	fmt.Fprintf(w, "%s\n", title)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "policy\tatt %\tatt/acc %\tof bound %\t")
	for _, c := range results[0].Data.Classes {
		fmt.Fprintf(t, "%s/%s %%\t", c.Service, c.Class)
	}
	fmt.Fprint(t, "moves/h\tmodels/h\tadapters/h\twrites/h\tdropped\tretries\tresends\twasted %\tmsg/s\tB/s\t\n")
	for _, r := range results {
		writeRow(t, r, Bound(results))
	}
	return t.Flush()
}

func writeRow(w io.Writer, r Result, bound float64) {
	fmt.Fprintf(w, "%s\t%.2f\t%.4f\t%.2f\t", r.Policy, 100*r.Attainment(), 100*r.PerAccelerator(), 100*r.PerAccelerator()/bound)
	for _, c := range r.Data.Classes {
		fmt.Fprintf(w, "%.2f\t", 100*c.Attainment())
	}
	fmt.Fprintf(w, "%.0f\t%.0f\t%.0f\t%.0f\t", r.MovesAnHour(), float64(r.Moves.ModelMoves)/r.Hours,
		float64(r.Moves.AdapterMoves)/r.Hours, float64(r.Moves.StoreWrites)/r.Hours)
	fmt.Fprintf(w, "%d\t%d\t%d\t%.2f\t%.1f\t%.0f\t\n", r.Data.Dropped, r.Data.Retries, r.Data.Resends,
		100*r.Data.Wasted(), r.Data.MessagesPerInstance(), r.Data.BytesPerInstance())
}
