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

// Policies. PolicyCell asks the scheduler of a cell and places by two choices
// when no scheduler answers. The others stay for comparison.
const (
	PolicyCell             Policy = "cell"
	PolicyTwoChoices       Policy = "two-choices"
	PolicyWork             Policy = "work"
	PolicyClasses          Policy = "classes"
	PolicyReservation      Policy = "reservation"
	PolicyRandom           Policy = "random"
	PolicyLeastOutstanding Policy = "least-outstanding"

	// PolicyDefault is the policy of a host without a setting.
	PolicyDefault = PolicyCell
)

// Policies lists every policy, the default first.
func Policies() []Policy {
	return []Policy{PolicyCell, PolicyTwoChoices, PolicyWork, PolicyClasses, PolicyReservation, PolicyRandom, PolicyLeastOutstanding}
}

// Valid reports whether the policy is known.
func (pol Policy) Valid() bool { return slices.Contains(Policies(), pol) }

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
	// Share weighs the team against others when the fleet is full.
	Share float64
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
	// Running counts the sequences that the engine reports.
	Running int
	// Step is the time of one decoding step.
	Step time.Duration
	// Outstanding counts the requests that this host has on the endpoint.
	Outstanding int
	// OutstandingTokens counts their prompt tokens not yet prefilled.
	OutstandingTokens int64
	// RecentTokens is the part of OutstandingTokens that is too new for the
	// load report.
	RecentTokens int64
	// PrefillRate is in tokens a second.
	PrefillRate float64
}

// Cached says how many leading blocks of a request an endpoint holds.
type Cached struct {
	Endpoint string
	Blocks   int
}

// View is the set of endpoints of a pool. A decision only reads it.
type View struct {
	Endpoints []Endpoint
	// Cached lists the few endpoints believed to hold a prefix of the request.
	Cached []Cached
	// Mix describes the lengths of recent requests, for PolicyClasses and
	// PolicyReservation.
	Mix Mix
	// LongShare is the pool's share of engines for long prompts; 0 stands for
	// the share of the work that long prompts bring.
	LongShare float64
	// MaxOutstanding bounds the requests on one endpoint; 0 stands for no bound.
	MaxOutstanding int
}

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
	fit := largest(req, vie)
	if !fit.any && fit.full {
		return Refuse{Code: "pool_full", Message: "every endpoint of the pool has all the requests that it may have", RetryAfter: time.Second}
	}
	if !fit.any {
		return Refuse{Code: "no_endpoint", Message: "no endpoint of the pool can take the request", RetryAfter: time.Second}
	}
	if need := req.Need(); !fit.unbounded && need > fit.memory {
		return group(need, req, vie)
	}
	var ind int
	switch pol {
	case PolicyRandom:
		ind = sample(req, vie, span{0, len(vie.Endpoints)}, ran)
	case PolicyLeastOutstanding:
		ind = leastOutstanding(req, vie, ran)
	case PolicyWork:
		ind = leastWork(req, vie, now, ran)
	case PolicyClasses:
		ind = byClass(req, vie, now, ran)
	case PolicyReservation:
		ind = byReservation(req, vie, now, ran)
	default:
		ind = twoChoices(req, vie, span{0, len(vie.Endpoints)}, now, ran)
	}
	end := &vie.Endpoints[ind]
	return Place{Endpoint: end.ID, Address: end.Address}
}

// Need is the memory in tokens that the request takes on an engine.
func (req Request) Need() int64 { return req.PromptTokens + req.MaxTokens }

// takes reports whether an endpoint can serve the request at all.
func (req *Request) takes(end *Endpoint) bool {
	if end.Leaving || (len(req.Excluded) > 0 && slices.Contains(req.Excluded, end.ID)) {
		return false
	}
	return req.Model == "" || slices.Contains(end.Models, req.Model)
}

// takes reports whether an endpoint can serve the request now.
func (vie *View) takes(req *Request, end *Endpoint) bool {
	return !vie.full(end) && req.takes(end)
}

// full reports whether an endpoint has all the requests that it may have, by
// this host's count or by its last report.
func (vie *View) full(end *Endpoint) bool {
	return vie.MaxOutstanding > 0 && max(end.Outstanding, end.Running) >= vie.MaxOutstanding
}

// capacity is the memory of the largest endpoint that takes a request.
type capacity struct {
	any bool
	// full says that some endpoint would take the request if it had fewer.
	full      bool
	unbounded bool
	memory    int64
}

// largest stops at the first endpoint that holds the request, so that it reads
// all of them only for a prompt that needs a group.
func largest(req Request, vie View) capacity {
	var fit capacity
	for ind := range vie.Endpoints {
		end := &vie.Endpoints[ind]
		if !req.takes(end) {
			continue
		}
		if vie.full(end) {
			fit.full = true
			continue
		}
		fit.any = true
		fit.memory = max(fit.memory, end.MemoryTokens)
		fit.unbounded = end.MemoryTokens == 0
		if fit.unbounded || fit.memory >= req.Need() {
			return fit
		}
	}
	return fit
}
