// Package planner decides which engines of a pool prefill and hold the prompts that hosts
// forward.
//
// Engines prefill prompts between the decode steps of the answers that they generate, so a
// long prefill delays the other answers of the engine. Plan models the prefills, the
// answers and the memory of each engine, gives short prompts engines whose passes are
// short, and divides long prompts over engines that generate no answers with tight limits
// on pauses.
//
// Plan is a state machine without input, output or a clock. Runner passes events to plans
// and delivers their actions to the hosts that submitted the requests.
package planner

import (
	"time"

	"hemlockpin/process/throttler"
	"hemlockpin/version/parser"
)

// Prompt describes the prompt of a request with its limits and objectives.
type Prompt struct {
	// Tokens is the length of the prompt, MaxTokens the limit on the length of its answer
	// and AnswerTokens the expected length of the answer; 0 if unknown.
	Tokens       int64
	MaxTokens    int64
	AnswerTokens int64
	// Priority orders requests; higher values go first.
	Priority int
	// Target is the time at which the first event is due, Deadline that at which the
	// answer must be complete.
	Target   time.Time
	Deadline time.Time
	// Objective is the latency objective for the first event, Pause the longest allowed
	// pause between events.
	Objective time.Duration
	Pause     time.Duration
	// Excluded are the IDs of the endpoints that have failed the request.
	Excluded []string
}

// Engine is one engine of the pool.
type Engine struct {
	ID      string
	Address string
	// Started distinguishes successive processes of an engine; zero if unknown.
	Started time.Time
	// Limited engines take at most Limit requests a second from the plan.
	Limited bool
	Limit   float64
	// Cold is what the engine takes from the plan if it is cold. Parts that it prefills for another
	// engine don't count.
	Cold throttler.ColdLimit
	// DataCenter is empty if it is not known.
	DataCenter string
}

// Load is the load that an engine reports.
type Load struct {
	// Waiting and Running count the requests on the engine.
	Waiting int
	Running int
	// MemoryUsed and MemoryTotal are in tokens; Reserved is the part of MemoryUsed that
	// reservations hold.
	MemoryUsed  int64
	MemoryTotal int64
	Reserved    int64
	// Reservations are those that the engine holds, NoReservations says that the report does not
	// list them.
	Reservations   []Reservation
	NoReservations bool
	// Pace is the factor by which the engine's work takes longer than its pool's
	// parameters say.
	Pace    float64
	Started time.Time
}

// Reservation is memory of an engine that is set aside for a request.
type Reservation struct {
	ID string
	// Used reports whether a request uses it now, Unknown that the report does not say.
	Used    bool
	Unknown bool
}

// Event is the input of a plan: Request, Cancel, Began, Ended, Announced, Failed, Erred, Listing,
// Report, Unreachable, HostRemoved, Parameters or Tick.
type Event interface{ event() }

// Request asks for engines for a prompt. Requests with the same ID are repetitions.
type Request struct {
	ID          string
	Host        string
	Incarnation uint64
	Prompt      Prompt
	// DataCenter is that of the host, empty if it is not known. Bytes is the size of the call's
	// body.
	DataCenter string
	Bytes      int64
}

// Cancel withdraws a waiting request, or ends its grant.
type Cancel struct{ ID string }

// Began reports that the first event of a grant has arrived.
type Began struct{ ID string }

// Ended reports that a grant's request has ended.
type Ended struct{ ID string }

// Announced reports a grant that another planner has made and that has not ended. Age is
// the time since the grant, Began reports whether its first event has arrived.
type Announced struct {
	Request Request
	Parts   []Part
	Age     time.Duration
	Began   bool
}

// Failed reports that an endpoint failed a request. ID is that of the request, Endpoint
// the ID or the address of the endpoint.
type Failed struct {
	ID       string
	Endpoint string
}

// Erred reports that an engine answered a request with a failure, and that another engine then
// served the request.
type Erred struct{ Endpoint string }

// Listing lists the engines of the pool.
type Listing struct{ Engines []Engine }

// Report passes the load that an engine has reported to the plan.
type Report struct {
	Endpoint string
	Load     Load
}

// Unreachable reports that an engine's report could not be read.
type Unreachable struct{ Endpoint string }

// HostRemoved reports that a host's processes up to an incarnation have ended.
type HostRemoved struct {
	Host        string
	Incarnation uint64
}

// Parameters are the performance parameters of the pool's engines. FarPrice is the price of a
// megabyte between data centres, see localizer.Localizer; 0 if data centres don't matter.
type Parameters struct {
	Batching parser.Batching
	FarPrice float64
}

// Tick only advances the time.
type Tick struct{}

func (Request) event()     {}
func (Cancel) event()      {}
func (Began) event()       {}
func (Ended) event()       {}
func (Announced) event()   {}
func (Failed) event()      {}
func (Erred) event()       {}
func (Listing) event()     {}
func (Report) event()      {}
func (Unreachable) event() {}
func (HostRemoved) event() {}
func (Parameters) event()  {}
func (Tick) event()        {}

// Action is the plan's decision on a request: Assign or Refuse.
type Action interface{ action() }

// Part is one engine's part of a grant.
type Part struct {
	Endpoint string
	Address  string
	// Reserve is the memory that the host has to reserve on the engine, in tokens.
	Reserve int64
}

// Assign grants engines to a request. The first engine leads: it generates the answer and
// holds the prompt, or a part of the prompt if memory is reserved.
type Assign struct {
	ID    string
	Parts []Part
	// First is the expected time to the first event.
	First time.Duration
	// Waited is how long the request waited.
	Waited time.Duration
	// Far reports that the engine that leads is in another data centre than the host.
	Far bool
}

// endpoints returns the IDs of the engines, the lead engine first.
func (act Assign) endpoints() []string {
	out := make([]string, len(act.Parts))
	for i, par := range act.Parts {
		out[i] = par.Endpoint
	}
	return out
}

// Refuse refuses a request. No engine has worked on it.
type Refuse struct {
	ID         string
	Code       string
	Message    string
	RetryAfter time.Duration
}

func (Assign) action() {}
func (Refuse) action() {}

// Codes of refusals.
const (
	CodeNoEngine   = "no_engine"
	CodeOverloaded = "overloaded"
	CodeTooLarge   = "prompt_too_large"
	CodeTooLate    = "deadline_infeasible"
)
