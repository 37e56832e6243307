package reporter

import (
	"fmt"
	"io"
	"text/tabwriter"

	"hemlockpin/load/summarizer"
)

// Compare prints the figures of two reports side by side, with the ratio of the
// second to the first.
func Compare(wri io.Writer, first, second summarizer.Report) error {
	tab := tabwriter.NewWriter(wri, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(tab, "class\tfigure\t%s\t%s\tratio\t\n", first.Name, second.Name)
	for _, cla := range first.Classes {
		other, ok := second.Class(cla.Name)
		if !ok {
			continue
		}
		compareRow(tab, cla.Name, "first token p50 ms", cla.First.P50, other.First.P50)
		compareRow(tab, cla.Name, "first token p95 ms", cla.First.P95, other.First.P95)
		compareRow(tab, cla.Name, "between tokens p95 ms", cla.Gap.P95, other.Gap.P95)
		compareRow(tab, cla.Name, "in time %", 100*cla.InTime, 100*other.InTime)
	}
	compareRow(tab, "all", "in time a second", first.Goodput, second.Goodput)
	return tab.Flush()
}

func compareRow(wri io.Writer, class, figure string, first, second float64) {
	ratio := "-"
	if first != 0 {
		ratio = fmt.Sprintf("%.2f", second/first)
	}
	fmt.Fprintf(wri, "%s\t%s\t%.1f\t%.1f\t%s\t\n", class, figure, first, second, ratio)
}

// Print prints one report as a text table.
func Print(wri io.Writer, rep summarizer.Report) error {
	tab := tabwriter.NewWriter(wri, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(tab, "class\trequests\tin time %%\tfirst p50 ms\tp95\tp99\tgap p95 ms\trefused\tfailed\tbroken\twrong\t\n")
	for _, cla := range rep.Classes {
		fmt.Fprintf(tab, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t\n", cla.Name, cla.Count, 100*cla.InTime,
			cla.First.P50, cla.First.P95, cla.First.P99, cla.Gap.P95,
			cla.Outcomes["Refused"], cla.Outcomes["Failed"], cla.Outcomes["Broken"]+cla.Outcomes["Unreachable"], cla.Outcomes["Wrong"])
	}
	return tab.Flush()
}
