package reporter

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"hemlockpin/load/summarizer"
)

// row is one run of a grid in the table of scores.
type row struct {
	summarizer.Cell
	summarizer.Score
	Goodput float64
	Long    summarizer.Ratios
}

// rows returns the runs that have scores, those of one load and variant
// together.
func rows(reps []summarizer.Report) []row {
	var out []row
	for _, rep := range reps {
		if rep.Score != nil {
			out = append(out, row{rep.Cell, *rep.Score, rep.Goodput, rep.Long})
		}
	}
	slices.SortStableFunc(out, func(one, two row) int {
		if one.Variant != two.Variant {
			return strings.Compare(one.Variant, two.Variant)
		}
		return one.Load - two.Load
	})
	return out
}

// PrintScores writes the scores of all runs as one table for people.
func PrintScores(wri io.Writer, reps []summarizer.Report) error {
	tab := tabwriter.NewWriter(wri, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(tab, "\nvariant\tload %%\tpolicy\tWijesinghe\tPort Louis\tshort slowdown p95\tlong slowdown p50\tp95\tin time %%\tin time a second\t\n")
	for _, one := range rows(reps) {
		fmt.Fprintf(tab, "%s\t%d\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f\t%.1f\t\n", one.Variant, one.Load, one.Policy,
			one.Wijesinghe, one.PortLouis, one.ShortSlowdown, one.Long.P50, one.Long.P95, 100*one.InTime, one.Goodput)
	}
	return tab.Flush()
}
