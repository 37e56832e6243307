package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"hemlockpin/operator/editor"
)

// columnGap is the number of spaces between columns.
const columnGap = 2

// printJSON prints a value as JSON, for use by programs.
func (com *command) printJSON(value any) error {
	enc := json.NewEncoder(com.out)
	enc.SetIndent("", "  ")
	return enc.Encode(value)
}

// printTable prints rows in aligned columns.
func (com *command) printTable(heads []string, rows [][]string) error {
	wri := tabwriter.NewWriter(com.out, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(wri, strings.Join(heads, "\t"))
	for _, row := range rows {
		fmt.Fprintln(wri, strings.Join(row, "\t"))
	}
	return wri.Flush()
}

// printDiff prints the changes between two revisions of the tables.
func (com *command) printDiff(chas []editor.Change) {
	if len(chas) == 0 {
		fmt.Fprintln(com.out, "no difference")
	}
	for _, cha := range chas {
		fmt.Fprintf(com.out, "%s %s %s\n", cha.Kind, cha.Name, cha.Action)
		for _, fie := range cha.Fields {
			if fie.Old != "" {
				fmt.Fprintf(com.out, "  - %s: %s\n", fie.Path, fie.Old)
			}
			if fie.New != "" {
				fmt.Fprintf(com.out, "  + %s: %s\n", fie.Path, fie.New)
			}
		}
	}
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
