package parser

import (
	"fmt"
	"math"
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
	// MaxWeight is the greatest weight of a share. The sum of the weights of a route stays finite.
	MaxWeight = 1e12

	// fractionSteps is the number of parts into which a hash divides a step of a weight.
	fractionSteps = 1 << 20
)

// Match defines which requests a route matches. Empty fields match everything.
type Match struct {
	// Model matches the model of a prompt.
	Model string `json:",omitempty"`
	Team  string `json:",omitempty"`
	// Host matches the host name to which a forwarded call is addressed.
	Host string `json:",omitempty"`
	// PathPrefix matches the path of a call, in whole segments.
	PathPrefix string `json:",omitempty"`
	// MinPromptTokens and MaxPromptTokens bound the length of the prompt, both
	// inclusive. A maximum of 0 means no bound.
	MinPromptTokens int64 `json:",omitempty"`
	MaxPromptTokens int64 `json:",omitempty"`
}

// Route assigns the requests that match to a pool, with the limits and rules for
// serving them.
type Route struct {
	Name  string
	Match Match
	Pool  string
	// TimeLimit bounds the time from the arrival of a request to the last byte of
	// its answer.
	TimeLimit Duration
	// Priority orders requests; higher values are served first.
	Priority int `json:",omitempty"`
	// Repeatable marks calls that endpoints may run more than once, so that a call
	// may be sent again.
	Repeatable bool `json:",omitempty"`

	// The fields below are for calls that are forwarded unchanged.

	// Split divides the route's calls among several pools; Pool is then empty.
	Split []Share `json:",omitempty"`
	// Stream marks calls whose answers are streams of events. Resumable streams
	// may continue on another endpoint after an event.
	Stream    bool `json:",omitempty"`
	Resumable bool `json:",omitempty"`
	// Public calls need no key.
	Public bool `json:",omitempty"`
	// MaxAttempts bounds the number of endpoints to which one call may be sent; 0
	// means 1.
	MaxAttempts int `json:",omitempty"`
	// FirstTarget is the latency objective for the answer or, for a stream, its
	// first event. PauseTarget is the objective for the pauses between events.
	FirstTarget Duration `json:",omitempty"`
	PauseTarget Duration `json:",omitempty"`
}

// Share is the part of a route's calls that a pool receives: its weight divided by
// the sum of the weights.
type Share struct {
	Pool   string
	Weight float64
}

// PoolFor returns the pool for a call. hash is a uniformly distributed hash of the
// call, so that a repeated call is assigned to the same pool.
func (rou Route) PoolFor(hash uint64) string {
	sum := 0.0
	for _, sha := range rou.Split {
		sum += max(0, sha.Weight)
	}
	if sum == 0 {
		return rou.Pool
	}
	pool, rest := rou.Pool, positionOf(hash, sum)
	for _, sha := range rou.Split {
		if sha.Weight <= 0 {
			continue
		}
		pool = sha.Pool
		if rest -= sha.Weight; rest < 0 {
			break
		}
	}
	return pool
}

// positionOf maps a hash to a number from 0 to sum, uniformly. Where sum is whole, its whole part is
// the remainder of the hash by sum.
func positionOf(hash uint64, sum float64) float64 {
	steps := uint64(math.Ceil(sum))
	fraction := float64(hash/steps%fractionSteps) / fractionSteps
	return (float64(hash%steps) + fraction) * sum / float64(steps)
}

// Attempts returns MaxAttempts with its default of 1.
func (rou Route) Attempts() int { return max(1, rou.MaxAttempts) }

// AllowsResend reports whether a call of the route may be sent to another endpoint
// after an endpoint may have run it.
func (rou Route) AllowsResend() bool { return rou.Repeatable || rou.Stream && rou.Resumable }

// Defaults returns the route with defaults for empty fields.
func (rou Route) Defaults() Route {
	if rou.TimeLimit == 0 {
		rou.TimeLimit = Duration(30 * time.Second)
	}
	return rou
}

// Validate returns a message for every fault of the route, except for conflicts
// with other entries of the tables.
func (rou Route) Validate() []string {
	var faults []string
	if !validName(rou.Name) {
		faults = append(faults, fmt.Sprintf("route %q: Name must be 1 to 63 of a-z, 0-9 and -", rou.Name))
	}
	if rou.Pool == "" && len(rou.Split) == 0 {
		faults = append(faults, fmt.Sprintf("route %q: Pool is missing", rou.Name))
	}
	faults = append(faults, rou.validateForwarding()...)
	limit := time.Duration(rou.TimeLimit)
	if limit < MinTimeLimit || limit > MaxTimeLimit {
		faults = append(faults, fmt.Sprintf("route %q: TimeLimit %s is outside %s to %s", rou.Name, limit, MinTimeLimit, MaxTimeLimit))
	}
	return append(faults, rou.Match.validate(rou.Name)...)
}

func (rou Route) validateForwarding() []string {
	var faults []string
	for _, sha := range rou.Split {
		if !(sha.Weight >= 0) || sha.Weight > MaxWeight || sha.Pool == "" {
			faults = append(faults, fmt.Sprintf("route %q: a share of Split needs a Pool and a Weight of 0 to %.0e", rou.Name, MaxWeight))
		}
	}
	if rou.MaxAttempts < 0 || rou.FirstTarget < 0 || rou.PauseTarget < 0 {
		faults = append(faults, fmt.Sprintf("route %q: MaxAttempts and targets must not be negative", rou.Name))
	}
	if rou.Resumable && !rou.Stream {
		faults = append(faults, fmt.Sprintf("route %q: Resumable is for streams", rou.Name))
	}
	return faults
}

func (mat Match) validate(name string) []string {
	var faults []string
	if mat.PathPrefix != "" && !strings.HasPrefix(mat.PathPrefix, "/") {
		faults = append(faults, fmt.Sprintf("route %q: PathPrefix %q must start with /", name, mat.PathPrefix))
	}
	if mat.MinPromptTokens < 0 || mat.MaxPromptTokens < 0 {
		faults = append(faults, fmt.Sprintf("route %q: prompt bounds must not be negative", name))
	}
	if mat.MaxPromptTokens > MaxPromptTokens {
		faults = append(faults, fmt.Sprintf("route %q: MaxPromptTokens %d is over %d", name, mat.MaxPromptTokens, MaxPromptTokens))
	}
	if mat.MaxPromptTokens > 0 && mat.MinPromptTokens > mat.MaxPromptTokens {
		faults = append(faults, fmt.Sprintf("route %q: MinPromptTokens %d is over MaxPromptTokens %d", name, mat.MinPromptTokens, mat.MaxPromptTokens))
	}
	return faults
}
