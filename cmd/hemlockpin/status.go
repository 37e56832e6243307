package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	statusShort    = "show the state of all hosts"
	statusLong     = "Asks one host, which asks all others. A host that does not answer stands with the error. Exit code 1 if a host did not answer."
	endpointsShort = "show the endpoints as one host knows them"
	endpointsLong  = "Shows the listed endpoints with the age and content of their last load reports, and the requests that the host asked has on each."
)

type statusCommand struct {
	*command `no-flag:"yes"`
}

// Execute prints the hosts.
func (com *statusCommand) Execute([]string) error {
	stas, err := com.newRequester().HostStatuses(com.ctx)
	if err != nil {
		return err
	}
	unanswered := 0
	rows := make([][]string, 0, len(stas))
	for _, sta := range stas {
		if sta.Error != "" {
			unanswered++
			rows = append(rows, []string{sta.Host, sta.DataCenter, "no answer", "-", "-", "-", "-", sta.Error})
			continue
		}
		state := "serving"
		if sta.Draining {
			state = "draining"
		}
		rows = append(rows, []string{sta.Host, sta.DataCenter, state, strconv.FormatInt(sta.Requests, 10), strconv.FormatUint(sta.TablesRevision, 10),
			formatAge(sta.TablesConfirmed), strconv.FormatInt(sta.Peers, 10), sta.Operator})
	}
	if com.JSON {
		err = com.printJSON(stas)
	} else {
		err = com.printTable([]string{"HOST", "DATA CENTRE", "STATE", "REQUESTS", "REVISION", "CONFIRMED", "PEERS", "OPERATOR"}, rows)
	}
	if err == nil && unanswered > 0 {
		return fmt.Errorf("%d of %d hosts did not answer", unanswered, len(stas))
	}
	return err
}

// formatAge formats the time since at; it returns "never" if at is unset or not
// after the Unix epoch.
func formatAge(at time.Time) string {
	if at.UnixMilli() <= 0 {
		return "never"
	}
	return time.Since(at).Round(time.Millisecond).String() + " ago"
}

type endpointsCommand struct {
	*command `no-flag:"yes"`
}

// Execute prints the endpoints.
func (com *endpointsCommand) Execute([]string) error {
	stas, err := com.newRequester().EndpointStatuses(com.ctx)
	if err != nil {
		return err
	}
	if com.JSON {
		return com.printJSON(stas)
	}
	rows := make([][]string, 0, len(stas))
	for _, sta := range stas {
		state := "listed"
		if sta.Leaving {
			state = "leaving"
		}
		reportAge := "-"
		if sta.ReportAgeMs >= 0 {
			reportAge = (time.Duration(sta.ReportAgeMs) * time.Millisecond).String()
		}
		rows = append(rows, []string{sta.ID, string(sta.Kind), sta.Service, sta.DataCenter, state, orDash(strings.Join(sta.Models, ",")),
			formatTokens(sta.UsedTokens, sta.MemoryTokens), strconv.FormatInt(sta.QueuedTokens, 10), reportAge, strconv.Itoa(sta.Outstanding)})
	}
	return com.printTable([]string{"ENDPOINT", "KIND", "SERVICE", "DATA CENTRE", "STATE", "MODELS", "MEMORY TOKENS", "QUEUED TOKENS", "REPORT AGE", "OWN REQUESTS"}, rows)
}
