package scheduler

import (
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/placer"
)

// Event is an input of a cell: Request, Cancel, Prefilled, Move, Moved, Stayed,
// Release, Report, Unreachable, Listing, OwnerRemoved, Limits or Tick.
type Event interface{ event() }

// Request asks for an endpoint. A repetition has the same ID and is not queued
// again.
type Request struct {
	// ID is the request ID; the grant has the same ID.
	ID          string
	Host        string
	Incarnation uint64
	Request     placer.Request
}

// Cancel drops a waiting request, or releases its grant.
type Cancel struct{ ID string }

// Prefilled reports that the first token of a grant has arrived.
type Prefilled struct{ ID string }

// Release ends a grant.
type Release struct{ ID string }

// Move asks for an engine that decodes the rest of a prefilled grant's answer. A
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

// OwnerRemoved reports that a host's incarnation has ended, which ends its waiting
// requests and its grants.
type OwnerRemoved struct {
	Host string
	// Incarnation is the last incarnation that has ended; earlier ones have
	// ended, too.
	Incarnation uint64
}

// Limits are the limits of the pool.
type Limits struct {
	// MaxOutstanding bounds the grants on one engine; 0 means no limit.
	MaxOutstanding int
	// MaxWaiting bounds the waiting requests; 0 means no limit.
	MaxWaiting int
	// LongShare is the share of the engines that may prefill long prompts at the
	// same time; 0 means all engines except those that short prompts need for
	// their recent load.
	LongShare float64
}

// Tick has the cell check for expiry and grant what has become possible.
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
	CodeNoEndpoint  = "no_endpoint"
	CodeOverloaded  = "overloaded"
	CodePoolFull    = "pool_full"
	CodeTooLarge    = "prompt_too_large"
	CodeUnavailable = "cell_unavailable"
)

const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)
