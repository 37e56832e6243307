package main

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	usageShort = "count the requests of each team over all hosts"
	usageLong  = "Sums the requests of each team by outcome over all hosts, each since its start. Exit code 1 if a host did not answer; the sum is then that of the others."
)

type usageCommand struct {
	*command `no-flag:"yes"`
}

// Execute prints the counts.
func (com *usageCommand) Execute([]string) error {
	sta, err := com.newRequester().TeamsStatus(com.ctx)
	if err != nil {
		return err
	}
	if com.JSON {
		err = com.printJSON(sta)
	} else {
		rows := make([][]string, 0, len(sta.Teams))
		for _, tea := range sta.Teams {
			rows = append(rows, []string{tea.Team, formatCount(tea.Whole), formatCount(tea.Refused), formatCount(tea.Failed), formatCount(tea.Cut)})
		}
		err = com.printTable([]string{"TEAM", "WHOLE", "REFUSED", "FAILED", "CUT"}, rows)
	}
	if err == nil && len(sta.Silent) > 0 {
		return fmt.Errorf("%d hosts did not answer: %s", len(sta.Silent), strings.Join(sta.Silent, ", "))
	}
	return err
}

func formatCount(n int64) string { return strconv.FormatInt(n, 10) }
