package scheduler

import (
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/placer"
)

// Event is an input of a cell: Request, Cancel, Prefilled, Move, Moved, Stayed,
// Release, Report, Unreachable, Listing, OwnerRemoved, Limits or Tick.
type Event interface{ event() }

// Request is a request for an engine, or for memory on a group of engines. A host
// repeats a waiting request with the same ID; the cell queues it only once.
type Request struct {
	// ID identifies the request to the cell, and its grant. A request that is
	// placed again has a new ID but the same Request.ID, which engines list in
	// their reports.
	ID          string
	Host        string
	Incarnation uint64
	Request     placer.Request
}

// Cancel drops a waiting request, or releases its grant.
type Cancel struct{ ID string }

// Prefilled reports that the first token of a grant has arrived.
type Prefilled struct{ ID string }

// Release ends a grant, or drops the request if it still waits.
type Release struct{ ID string }

// Move requests an engine that decodes the rest of a prefilled grant's answer. A
// repeated Move gets the same reply.
type Move struct{ ID string }

// Moved reports that a grant's request now runs only on the engine that it moved
// to.
type Moved struct{ ID string }

// Stayed reports that a grant's request stays on the engine that prefilled it.
type Stayed struct{ ID string }

// Report is an engine's load report.
type Report struct {
	Endpoint string
	Load     invoker.Load
}

// Unreachable reports that an engine's load report could not be read.
type Unreachable struct{ Endpoint string }

// Listing lists all engines of the cell.
type Listing struct{ Engines []placer.Endpoint }

// OwnerRemoved reports that an incarnation of a host, and all earlier incarnations,
// have ended. The cell drops their waiting requests and releases their grants.
type OwnerRemoved struct {
	Host string
	// Incarnation is the highest incarnation that has ended.
	Incarnation uint64
}

// Limits are the limits of the pool, which each of its cells applies to itself.
type Limits struct {
	// MaxOutstanding bounds the grants on one engine; 0 means no limit.
	MaxOutstanding int
	// MaxWaiting bounds the waiting requests of the cell; 0 means no limit.
	MaxWaiting int
	// LongShare is the share of the engines that may prefill long prompts at the
	// same time; 0 means all engines except those that short prompts need for
	// their recent load.
	LongShare float64
}

// Tick lets the cell drop expired requests and grants, and grant the requests that
// can start now.
type Tick struct{}

func (Request) event()      {}
func (Cancel) event()       {}
func (Prefilled) event()    {}
func (Release) event()      {}
func (Move) event()         {}
func (Moved) event()        {}
func (Stayed) event()       {}
func (Report) event()       {}
func (Unreachable) event()  {}
func (Listing) event()      {}
func (OwnerRemoved) event() {}
func (Limits) event()       {}
func (Tick) event()         {}

// Action is the reply to a Request (Grant, GrantGroup or Refuse) or to a Move
// (MoveTo or Stay).
type Action interface{ action() }

// Grant assigns an endpoint to a request.
type Grant struct {
	ID       string
	Endpoint string
	Address  string
}

// GrantGroup assigns memory on several engines to a request. The first engine
// leads the group.
type GrantGroup struct {
	ID    string
	Parts []placer.Part
}

// Refuse rejects a request. No engine has run it.
type Refuse struct {
	ID string
	placer.Refuse
}

// MoveTo assigns memory on another engine to a prefilled grant.
type MoveTo struct {
	ID       string
	Endpoint string
	Address  string
}

// Stay leaves a grant on the engine that prefilled it.
type Stay struct{ ID string }

func (MoveTo) action()     {}
func (Stay) action()       {}
func (Grant) action()      {}
func (GrantGroup) action() {}
func (Refuse) action()     {}

// Codes of refusals.
const (
	// CodeNoEndpoint means that no listed engine can serve the request.
	CodeNoEndpoint = "no_endpoint"
	// CodeOverloaded means that the request cannot start in time.
	CodeOverloaded = "overloaded"
	// CodePoolFull means that too many requests wait in the cell.
	CodePoolFull = "pool_full"
	// CodeTooLarge means that the prompt exceeds the memory of all live engines
	// together.
	CodeTooLarge = "prompt_too_large"
	// CodeUnavailable means that listed engines can serve the request but none of
	// them is live, or that the host does not know the cell.
	CodeUnavailable = "cell_unavailable"
)

// minRetryAfter and maxRetryAfter bound the RetryAfter of refusals. maxRetryAfter is
// also the expected wait of a cell without a live engine.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)
