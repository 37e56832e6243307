// Package planner decides which engines of a pool read and hold the prompts that
// hosts forward.
//
// Engines read prompts between the steps of the answers that they write, so a
// long read holds up the answers beside it. Plan keeps an account of the reads,
// the answers and the memory of each engine, gives short prompts engines whose
// passes are short, and divides long prompts over engines without such answers.
//
// Plan is a state machine without input, output or a clock. Runner carries its
// decisions out.
package planner

import (
	"time"

	"hemlockpin/version/parser"
)

// Prompt is what a plan knows of a request.
type Prompt struct {
	// Tokens is the length of the prompt, MaxTokens the bound of its answer and
	// AnswerTokens the expected length; 0 if unknown.
	Tokens       int64
	MaxTokens    int64
	AnswerTokens int64
	// Priority orders requests; higher goes first.
	Priority int
	// Target is when the first event is due, Deadline when the answer is.
	Target   time.Time
	Deadline time.Time
	// Objective is the whole latency objective, Pause that of pauses.
	Objective time.Duration
	Pause     time.Duration
	// Excluded endpoints have failed the request.
	Excluded []string
}

// Engine is one engine of the pool.
type Engine struct {
	ID      string
	Address string
	// Started tells processes of an engine apart; zero if unknown.
	Started time.Time
}

// Load is what an engine reports of itself.
type Load struct {
	Waiting int
	Running int
	// MemoryUsed and MemoryTotal are in tokens; Reserved is the part of
	// reservations.
	MemoryUsed  int64
	MemoryTotal int64
	Reserved    int64
	// Pace is by how much the engine's work takes longer than its figures say.
	Pace    float64
	Started time.Time
}

// Event is what a plan decides on: Request, Cancel, Began, Ended, Held, Failed, Listing,
// Report, Unreachable, HostRemoved, Parameters or Tick.
type Event interface{ event() }

// Request asks for engines for a prompt. A repeated request with the same ID is the same.
type Request struct {
	ID          string
	Host        string
	Incarnation uint64
	Prompt      Prompt
}

// Cancel takes a waiting ask back, or ends its grant.
type Cancel struct{ ID string }

// Began reports that the first event of a grant has arrived.
type Began struct{ ID string }

// Ended reports that a grant's request has ended.
type Ended struct{ ID string }

// Held tells of a grant that another planner has made and that has not ended. Age
// is the time since then, Begun whether its first event has arrived.
type Held struct {
	Request Request
	Parts   []Part
	Age     time.Duration
	Begun   bool
}

// Failed reports that an endpoint failed a request; Endpoint is its ID or its
// address.
type Failed struct {
	ID       string
	Endpoint string
}

// Listing names the engines of the pool.
type Listing struct{ Engines []Engine }

// Report is an engine's own report.
type Report struct {
	Endpoint string
	Load     Load
}

// Unreachable reports that an engine did not answer the read of its report.
type Unreachable struct{ Endpoint string }

// HostRemoved reports that a host's process, or those up to an incarnation, ended.
type HostRemoved struct {
	Host        string
	Incarnation uint64
}

// Parameters are the performance parameters of the engines of the pool.
type Parameters struct{ Batching parser.Batching }

// Tick lets time pass.
type Tick struct{}

func (Request) event()     {}
func (Cancel) event()      {}
func (Began) event()       {}
func (Ended) event()       {}
func (Held) event()        {}
func (Failed) event()      {}
func (Listing) event()     {}
func (Report) event()      {}
func (Unreachable) event() {}
func (HostRemoved) event() {}
func (Parameters) event()  {}
func (Tick) event()        {}

// Action answers an ask: Assign or Refuse.
type Action interface{ action() }

// Part is the part of one engine in a grant.
type Part struct {
	Endpoint string
	Address  string
	// Reserve is the memory that the host has to reserve on the engine, in tokens.
	Reserve int64
}

// Assign gives engines to an ask; the first one leads.
type Assign struct {
	ID    string
	Parts []Part
	// First is the expected time to the first event.
	First time.Duration
	// Waited is how long the ask was in the queue.
	Waited time.Duration
}

// endpoints names the engines, the lead first.
func (act Assign) endpoints() []string {
	out := make([]string, len(act.Parts))
	for ind, par := range act.Parts {
		out[ind] = par.Endpoint
	}
	return out
}

// Refuse turns an ask away. Nothing has run for it.
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
