// Package placer decides which endpoint a request goes to. Decisions are pure functions
// of the request, the view of endpoints, the present time and a random source.
package placer

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Policy names a placement policy.
type Policy string

// Policies. With PolicyCell, the host requests a place from the scheduler of a cell,
// and places by two choices if no scheduler answers. The other policies exist for
// comparison.
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

// Request holds the properties of a request that placement uses.
type Request struct {
	ID           string
	Team         string
	Model        string
	Pool         string
	PromptTokens int64
	MaxTokens    int64
	Priority     int
	Deadline     time.Time
	// Share is the team's weight against other teams when the fleet is full.
	Share float64
	// Prefix holds the chained block hashes of the prompt.
	Prefix   []uint64
	Excluded []string
}

// Endpoint is the host's view of one endpoint.
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
	// Step is the time of one decode step.
	Step time.Duration
	// Outstanding counts the requests that this host has on the endpoint.
	Outstanding int
	// OutstandingTokens counts the prompt tokens of those requests that are not yet
	// prefilled.
	OutstandingTokens int64
	// RecentTokens is the part of OutstandingTokens that was dispatched after the load
	// report was taken.
	RecentTokens int64
	// PrefillRate is in tokens a second.
	PrefillRate float64
}

// Cached is the number of leading blocks of a request that an endpoint holds in its
// prefix cache.
type Cached struct {
	Endpoint string
	Blocks   int
}

// View is the set of endpoints of a pool. Decisions do not change it.
type View struct {
	Endpoints []Endpoint
	// Cached lists the few endpoints that may hold a prefix of the request.
	Cached []Cached
	// Mix is the distribution of recent prompt lengths, for PolicyClasses and
	// PolicyReservation.
	Mix Mix
	// LongShare is the share of the pool's engines that is dedicated to long prompts; 0
	// stands for the share of recent tokens in long prompts.
	LongShare float64
	// MaxOutstanding bounds the requests on one endpoint; 0 stands for no bound.
	MaxOutstanding int
}

// Part is the share of a prompt that one engine of a group holds.
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

// Wait holds the request until the state of the pool changes, but at most until the
// given time. Decide does not return it.
type Wait struct{ Until time.Time }

// Refuse refuses the request.
type Refuse struct {
	Code       string
	Message    string
	RetryAfter time.Duration
}

func (Place) decision()      {}
func (PlaceGroup) decision() {}
func (Wait) decision()       {}
func (Refuse) decision()     {}

// Decide returns the placement of a request by a policy.
func Decide(pol Policy, req Request, vie View, now time.Time, ran *rand.Rand) Decision {
	fit := fitOf(req, vie)
	if !fit.usable && fit.full {
		return Refuse{Code: "pool_full", Message: "every endpoint of the pool has all the requests that it may have", RetryAfter: time.Second}
	}
	if !fit.usable {
		return Refuse{Code: "no_endpoint", Message: "no endpoint of the pool can take the request", RetryAfter: time.Second}
	}
	if need := req.Need(); !fit.unbounded && need > fit.memory {
		return group(need, req, vie)
	}
	var i int
	switch pol {
	case PolicyRandom:
		i = drawEndpoint(req, vie, span{0, len(vie.Endpoints)}, ran)
	case PolicyLeastOutstanding:
		i = leastOutstanding(req, vie, ran)
	case PolicyWork:
		i = leastWork(req, vie, now, ran)
	case PolicyClasses:
		i = byClass(req, vie, now, ran)
	case PolicyReservation:
		i = byReservation(req, vie, now, ran)
	default:
		i = twoChoices(req, vie, span{0, len(vie.Endpoints)}, now, ran)
	}
	end := &vie.Endpoints[i]
	return Place{Endpoint: end.ID, Address: end.Address}
}

// Need returns the memory, in tokens, that the request needs on an engine.
func (req Request) Need() int64 { return req.PromptTokens + req.MaxTokens }

// allowedOn reports whether an endpoint can serve the request, whatever its load.
func (req *Request) allowedOn(end *Endpoint) bool {
	if end.Leaving || (len(req.Excluded) > 0 && slices.Contains(req.Excluded, end.ID)) {
		return false
	}
	return req.Model == "" || slices.Contains(end.Models, req.Model)
}

// accepts reports whether an endpoint can serve the request now.
func (vie *View) accepts(req *Request, end *Endpoint) bool {
	return !vie.full(end) && req.allowedOn(end)
}

// full reports whether an endpoint has reached MaxOutstanding, by this host's count or
// by the endpoint's last report.
func (vie *View) full(end *Endpoint) bool {
	return vie.MaxOutstanding > 0 && max(end.Outstanding, end.Running) >= vie.MaxOutstanding
}

// poolFit describes the endpoints that can serve a request.
type poolFit struct {
	// usable says that an endpoint can serve the request now, apart from its memory.
	usable bool
	// full says that an endpoint could serve the request but has reached
	// MaxOutstanding.
	full bool
	// unbounded says that a usable endpoint has no memory limit, as plain services;
	// memory is the largest memory of a usable endpoint, in tokens.
	unbounded bool
	memory    int64
}

// fitOf describes the endpoints of a view that can serve a request now. It stops at the
// first endpoint with enough memory for the request, so it scans all endpoints only for
// a prompt that needs a group, or if none can serve the request.
func fitOf(req Request, vie View) poolFit {
	var fit poolFit
	for i := range vie.Endpoints {
		end := &vie.Endpoints[i]
		if !req.allowedOn(end) {
			continue
		}
		if vie.full(end) {
			fit.full = true
			continue
		}
		fit.usable = true
		fit.memory = max(fit.memory, end.MemoryTokens)
		fit.unbounded = end.MemoryTokens == 0
		if fit.unbounded || fit.memory >= req.Need() {
			return fit
		}
	}
	return fit
}
