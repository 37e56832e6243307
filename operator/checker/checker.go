// Package checker looks through tables before they are sent: for faults, for entries that can never
// match, and for limits and times that contradict each other. It does not communicate with hosts.
package checker

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"hemlockpin/version/parser"
)

// Severity is how serious a finding is.
type Severity string

// Severities of findings.
const (
	// Fault is a finding with which hosts reject the tables.
	Fault Severity = "fault"
	// Warning is a finding with which they accept them.
	Warning Severity = "warning"
)

// Finding is what is wrong with an entry.
type Finding struct {
	Severity Severity
	// Entry is the kind and the name of the entry, such as route "desk"; empty in a fault, whose
	// Reason names it.
	Entry  string `json:",omitempty"`
	Reason string
}

// promptPaths are the paths at which hosts take prompts of engine pools.
var promptPaths = []string{"/v1/chat/completions", "/v1/completions"}

// Check returns the findings on tables, the faults first.
func Check(tab parser.Tables) []Finding {
	var out []Finding
	var faults *parser.FaultsError
	if err := tab.Validate(); errors.As(err, &faults) {
		for _, fault := range faults.Faults {
			out = append(out, Finding{Severity: Fault, Reason: fault})
		}
	}
	for _, rou := range tab.Routes {
		out = append(out, warnings(fmt.Sprintf("route %q", rou.Name), append(unmatched(tab, rou), contradictions(rou)...))...)
	}
	for _, poo := range tab.Pools {
		out = append(out, warnings(fmt.Sprintf("pool %q", poo.Name), poolReasons(tab, poo))...)
	}
	for _, tea := range tab.Teams {
		if !reachesRoute(tab, tea) {
			out = append(out, warnings(fmt.Sprintf("team %q", tea.Name), []string{"no route takes requests of the team"})...)
		}
	}
	if tab.RequireKeys && len(tab.Teams) == 0 {
		out = append(out, warnings("tables", []string{"keys are required, but no team has one: all calls but public ones are refused"})...)
	}
	return append(out, warnings("caller limits", callerReasons(tab))...)
}

func warnings(entry string, reasons []string) []Finding {
	var out []Finding
	for _, reason := range reasons {
		out = append(out, Finding{Severity: Warning, Entry: entry, Reason: reason})
	}
	return out
}

// poolsOf returns the names of the pools of a route.
func poolsOf(rou parser.Route) []string {
	if len(rou.Split) == 0 {
		return []string{rou.Pool}
	}
	var out []string
	for _, sha := range rou.Split {
		if sha.Weight > 0 {
			out = append(out, sha.Pool)
		}
	}
	return out
}

// unmatched returns why no request can match a route.
func unmatched(tab parser.Tables, rou parser.Route) []string {
	var out []string
	mat := rou.Match
	if mat.Host != "" && (mat.Model != "" || mat.Team != "") {
		out = append(out, "never matches: routes of a Host are found without Model and Team only")
	}
	if mat.Team != "" && !slices.ContainsFunc(tab.Teams, func(tea parser.Team) bool { return tea.Name == mat.Team }) {
		out = append(out, fmt.Sprintf("never matches: there is no team %q", mat.Team))
	}
	if isPromptRoute(tab, rou) && !slices.ContainsFunc(promptPaths, func(path string) bool { return overlaps(mat.PathPrefix, path) }) {
		out = append(out, fmt.Sprintf("never matches: prompts come at %s, not below %s", strings.Join(promptPaths, " and "), mat.PathPrefix))
	}
	if len(rou.Split) > 0 && len(poolsOf(rou)) == 0 {
		out = append(out, "no pool of Split has a weight")
	}
	return out
}

// isPromptRoute reports whether a route takes prompts by their model, as the interface for prompts
// does. Forwarded calls have a Host.
func isPromptRoute(tab parser.Tables, rou parser.Route) bool {
	i := slices.IndexFunc(tab.Pools, func(poo parser.Pool) bool { return poo.Name == rou.Pool })
	return i >= 0 && tab.Pools[i].Kind == parser.PoolEngine && rou.Match.Host == ""
}

// overlaps reports whether a prefix begins a path.
func overlaps(prefix, path string) bool {
	return prefix == "" || path == prefix || strings.HasPrefix(path, strings.TrimSuffix(prefix, "/")+"/")
}

// contradictions returns the limits and times of a route that contradict each other.
func contradictions(rou parser.Route) []string {
	var out []string
	limit, first, pause := time.Duration(rou.TimeLimit), time.Duration(rou.FirstTarget), time.Duration(rou.PauseTarget)
	if first > limit {
		out = append(out, fmt.Sprintf("FirstTarget %s is over TimeLimit %s", first, limit))
	}
	if pause > limit {
		out = append(out, fmt.Sprintf("PauseTarget %s is over TimeLimit %s", pause, limit))
	}
	if pause > 0 && !rou.Stream {
		out = append(out, "PauseTarget is for streams")
	}
	if rou.MaxAttempts > 1 && !rou.AllowsResend() {
		out = append(out, fmt.Sprintf("MaxAttempts %d: the calls may run once, so that only refusals are sent on", rou.MaxAttempts))
	}
	if rou.MaxAttempts == 1 && rou.AllowsResend() {
		out = append(out, "MaxAttempts 1: the calls may run again, but are sent once")
	}
	if rou.Public && rou.Match.Team != "" {
		out = append(out, "Public calls have no team, but Match has one")
	}
	return out
}

// poolReasons returns what is wrong with a pool.
func poolReasons(tab parser.Tables, poo parser.Pool) []string {
	var out []string
	if !slices.ContainsFunc(tab.Routes, func(rou parser.Route) bool { return slices.Contains(poolsOf(rou), poo.Name) }) {
		out = append(out, "no route uses the pool")
	}
	dataCenters := poo.Selector.DataCenters
	if len(dataCenters) > 0 && !slices.ContainsFunc(dataCenters, func(name string) bool { return !tab.Evacuated(name) }) {
		out = append(out, "all its data centres are evacuated: its requests are refused")
	}
	if poo.ColdStart > 0 && poo.ColdRate == 0 {
		out = append(out, "ColdStart has no effect without ColdRate")
	}
	if poo.MaxOutstanding > 0 && poo.Batching != nil && poo.MaxOutstanding < poo.Batching.Slots {
		out = append(out, fmt.Sprintf("MaxOutstanding %d is below the %d slots of its engines", poo.MaxOutstanding, poo.Batching.Slots))
	}
	return out
}

// reachesRoute reports whether some route takes requests of a team.
func reachesRoute(tab parser.Tables, tea parser.Team) bool {
	return slices.ContainsFunc(tab.Routes, func(rou parser.Route) bool {
		return (rou.Match.Team == "" || rou.Match.Team == tea.Name) && len(unmatched(tab, rou)) == 0
	})
}

// callerReasons returns the limits of callers that contradict each other or a route.
func callerReasons(tab parser.Tables) []string {
	var out []string
	lim := tab.Caller
	if lim.IdleTimeout > 0 && lim.HeaderTimeout > lim.IdleTimeout {
		out = append(out, fmt.Sprintf("HeaderTimeout %s is over IdleTimeout %s", time.Duration(lim.HeaderTimeout), time.Duration(lim.IdleTimeout)))
	}
	if lim.MaxHeaderBytes > 0 && lim.MaxBodyBytes > 0 && int64(lim.MaxHeaderBytes) > lim.MaxBodyBytes {
		out = append(out, fmt.Sprintf("MaxHeaderBytes %d is over MaxBodyBytes %d", lim.MaxHeaderBytes, lim.MaxBodyBytes))
	}
	return out
}
