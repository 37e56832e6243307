package parser

import (
	"fmt"
	"strings"
	"time"
)

const (
	// MinTimeLimit is the shortest time limit of a route.
	MinTimeLimit = 10 * time.Millisecond
	// MaxTimeLimit is the longest time limit of a route.
	MaxTimeLimit = time.Hour
	// MaxPromptTokens is the longest prompt that a route may match.
	MaxPromptTokens = 4_000_000
)

// Match says which requests a route takes. Empty fields match everything.
type Match struct {
	// Model matches the model of a prompt.
	Model string `json:",omitempty"`
	Team  string `json:",omitempty"`
	// PathPrefix matches the path of a call, in whole segments.
	PathPrefix string `json:",omitempty"`
	// MinPromptTokens and MaxPromptTokens bound the prompt, both inclusive.
	// A maximum of 0 stands for no bound.
	MinPromptTokens int64 `json:",omitempty"`
	MaxPromptTokens int64 `json:",omitempty"`
}

// Route says where a kind of request goes and under which terms.
type Route struct {
	Name  string
	Match Match
	Pool  string
	// TimeLimit bounds a request from arrival to its last byte.
	TimeLimit Duration
	// Priority orders requests; higher goes first.
	Priority int `json:",omitempty"`
	// Repeatable marks calls that may run more than once.
	Repeatable bool `json:",omitempty"`
}

// Defaults fills in the fields left empty.
func (rou Route) Defaults() Route {
	if rou.TimeLimit == 0 {
		rou.TimeLimit = Duration(30 * time.Second)
	}
	return rou
}

// Validate lists every fault of the route by itself.
func (rou Route) Validate() []string {
	var fas []string
	if !validName(rou.Name) {
		fas = append(fas, fmt.Sprintf("route %q: Name must be 1 to 63 of a-z, 0-9 and -", rou.Name))
	}
	if rou.Pool == "" {
		fas = append(fas, fmt.Sprintf("route %q: Pool is missing", rou.Name))
	}
	lim := time.Duration(rou.TimeLimit)
	if lim < MinTimeLimit || lim > MaxTimeLimit {
		fas = append(fas, fmt.Sprintf("route %q: TimeLimit %s is outside %s to %s", rou.Name, lim, MinTimeLimit, MaxTimeLimit))
	}
	return append(fas, rou.Match.validate(rou.Name)...)
}

func (mat Match) validate(name string) []string {
	var fas []string
	if mat.PathPrefix != "" && !strings.HasPrefix(mat.PathPrefix, "/") {
		fas = append(fas, fmt.Sprintf("route %q: PathPrefix %q must start with /", name, mat.PathPrefix))
	}
	if mat.MinPromptTokens < 0 || mat.MaxPromptTokens < 0 {
		fas = append(fas, fmt.Sprintf("route %q: prompt bounds must not be negative", name))
	}
	if mat.MaxPromptTokens > MaxPromptTokens {
		fas = append(fas, fmt.Sprintf("route %q: MaxPromptTokens %d is over %d", name, mat.MaxPromptTokens, MaxPromptTokens))
	}
	if mat.MaxPromptTokens > 0 && mat.MinPromptTokens > mat.MaxPromptTokens {
		fas = append(fas, fmt.Sprintf("route %q: MinPromptTokens %d is over MaxPromptTokens %d", name, mat.MinPromptTokens, mat.MaxPromptTokens))
	}
	return fas
}
