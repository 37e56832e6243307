package reporter

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"hemlockpin/load/summarizer"
)

// row is one run in the table of scores.
type row struct {
	summarizer.Cell
	summarizer.Score
	Goodput float64
	Long    summarizer.Ratios
}

// rows returns the runs that have scores, sorted by variant and load.
func rows(reps []summarizer.Report) []row {
	var out []row
	for _, rep := range reps {
		if rep.Score != nil {
			out = append(out, row{rep.Cell, *rep.Score, rep.Goodput, rep.Long})
		}
	}
	slices.SortStableFunc(out, func(a, b row) int {
		if a.Variant != b.Variant {
			return strings.Compare(a.Variant, b.Variant)
		}
		return a.Load - b.Load
	})
	return out
}

// PrintScores prints the scores of all runs as a text table.
func PrintScores(wri io.Writer, reps []summarizer.Report) error {
	tab := tabwriter.NewWriter(wri, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(tab, "\nvariant\tload %%\tpolicy\tWijesinghe\tPort Louis\tshort slowdown p95\tlong slowdown p50\tp95\tin time %%\tin time a second\t\n")
	for _, score := range rows(reps) {
		fmt.Fprintf(tab, "%s\t%d\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f\t%.1f\t\n", score.Variant, score.Load, score.Policy,
			score.Wijesinghe, score.PortLouis, score.ShortSlowdown, score.Long.P50, score.Long.P95, 100*score.InTime, score.Goodput)
	}
	return tab.Flush()
}
