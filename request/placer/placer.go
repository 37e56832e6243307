// Package placer decides which endpoint a request goes to. Decisions are pure
// functions of the request, the view of endpoints, the present time and a
// random source.
package placer

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Policy names a way of placement.
type Policy string

// Policies. Those other than PolicyDefault stay for comparison.
const (
	PolicyDefault          Policy = "work"
	PolicyRandom           Policy = "random"
	PolicyLeastOutstanding Policy = "least-outstanding"
)

// Request is what placement knows of a request.
type Request struct {
	ID           string
	Team         string
	Model        string
	Pool         string
	PromptTokens int64
	MaxTokens    int64
	Priority     int
	Deadline     time.Time
	// Prefix holds the chained block hashes of the prompt.
	Prefix   []uint64
	Excluded []string
}

// Endpoint is one endpoint as a host knows it.
type Endpoint struct {
	ID         string
	Address    string
	DataCenter string
	Models     []string
	Leaving    bool
	// ReportedAt is when the load report was taken; zero if there is none.
	ReportedAt time.Time
	// MemoryTokens and UsedTokens are 0 for plain services.
	MemoryTokens int64
	UsedTokens   int64
	QueuedTokens int64
	// Outstanding counts the requests that this host has on the endpoint.
	Outstanding int
	// OutstandingTokens counts their prompt tokens not yet prefilled.
	OutstandingTokens int64
	// PrefillRate is in tokens a second.
	PrefillRate float64
	// CachedBlocks counts the leading blocks of the request believed cached.
	CachedBlocks int
}

// View is the set of endpoints of a pool.
type View struct{ Endpoints []Endpoint }

// Part is a share of a group of engines.
type Part struct {
	Endpoint string
	Address  string
	Tokens   int64
}

// Decision is Place, PlaceGroup, Wait or Refuse.
type Decision interface{ decision() }

// Place sends the request to one endpoint.
type Place struct {
	Endpoint string
	Address  string
}

// PlaceGroup reserves memory on several engines that serve the prompt together.
type PlaceGroup struct{ Parts []Part }

// Wait holds the request back until an event or the given time.
type Wait struct{ Until time.Time }

// Refuse turns the request away.
type Refuse struct {
	Code       string
	Message    string
	RetryAfter time.Duration
}

func (Place) decision()      {}
func (PlaceGroup) decision() {}
func (Wait) decision()       {}
func (Refuse) decision()     {}

// Decide places a request.
func Decide(pol Policy, req Request, vie View, now time.Time, ran *rand.Rand) Decision {
	can := candidates(req, vie)
	if len(can) == 0 {
		return Refuse{Code: "no_endpoint", Message: "no endpoint of the pool can take the request", RetryAfter: time.Second}
	}
	if mem := need(req); groupNeeded(mem, can) {
		return group(mem, can)
	}
	switch pol {
	case PolicyRandom:
		return place(can[ran.IntN(len(can))])
	case PolicyLeastOutstanding:
		return place(slices.MinFunc(can, func(one, two Endpoint) int { return one.Outstanding - two.Outstanding }))
	default:
		return place(leastWork(req, can, ran))
	}
}

func place(end Endpoint) Place { return Place{Endpoint: end.ID, Address: end.Address} }

func need(req Request) int64 { return req.PromptTokens + req.MaxTokens }

func candidates(req Request, vie View) []Endpoint {
	var can []Endpoint
	for _, end := range vie.Endpoints {
		if end.Leaving || slices.Contains(req.Excluded, end.ID) {
			continue
		}
		if req.Model != "" && !slices.Contains(end.Models, req.Model) {
			continue
		}
		can = append(can, end)
	}
	return can
}

// leastWork takes the endpoint that would reach the first token soonest, with
// a random start so that equal ones share the load.
func leastWork(req Request, can []Endpoint, ran *rand.Rand) Endpoint {
	sta := ran.IntN(len(can))
	bes := can[sta]
	for off := 1; off < len(can); off++ {
		end := can[(sta+off)%len(can)]
		if work(req, end) < work(req, bes) {
			bes = end
		}
	}
	return bes
}

func work(req Request, end Endpoint) float64 {
	tok := req.PromptTokens + end.QueuedTokens + end.OutstandingTokens
	if end.PrefillRate == 0 {
		return float64(tok) + float64(end.Outstanding)
	}
	return float64(tok) / end.PrefillRate
}

func groupNeeded(mem int64, can []Endpoint) bool {
	for _, end := range can {
		if end.MemoryTokens == 0 || end.MemoryTokens >= mem {
			return false
		}
	}
	return true
}

// group takes the engines with the most free memory until they hold the prompt.
func group(mem int64, can []Endpoint) Decision {
	var all int64
	for _, end := range can {
		all += end.MemoryTokens
	}
	if all < mem {
		return Refuse{Code: "prompt_too_large", Message: "the prompt exceeds the memory of all engines of the pool"}
	}
	slices.SortFunc(can, func(one, two Endpoint) int {
		return int((two.MemoryTokens - two.UsedTokens) - (one.MemoryTokens - one.UsedTokens))
	})
	var pla PlaceGroup
	for _, end := range can {
		tok := min(mem, end.MemoryTokens)
		pla.Parts = append(pla.Parts, Part{Endpoint: end.ID, Address: end.Address, Tokens: tok})
		if mem -= tok; mem == 0 {
			break
		}
	}
	return pla
}
