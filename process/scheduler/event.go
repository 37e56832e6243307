package scheduler

import (
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/placer"
)

// Event is what a cell decides on: Request, Cancel, Prefilled, Move, Moved, Stayed,
// Release, Report, Unreachable, Listing, OwnerRemoved, Limits or Tick.
type Event interface{ event() }

// Request wants an endpoint for a request. A repeated ask with the same identifier
// is the same ask.
type Request struct {
	// ID names the ask and later the grant.
	ID          string
	Host        string
	Incarnation uint64
	Request     placer.Request
}

// Cancel takes a waiting ask back, or releases its grant.
type Cancel struct{ ID string }

// Prefilled reports that the first token of a grant has arrived.
type Prefilled struct{ ID string }

// Release ends a grant.
type Release struct{ ID string }

// Move asks for an engine that goes on with the answer of a prefilled grant. A
// repeated one gets the same answer.
type Move struct{ ID string }

// Moved reports that a grant's request runs on the engine of its move alone.
type Moved struct{ ID string }

// Stayed reports that a grant's request stays where it was prefilled.
type Stayed struct{ ID string }

// Report is an engine's load report.
type Report struct {
	Endpoint string
	Load     invoker.Load
}

// Unreachable reports that an engine did not answer the read of its report.
type Unreachable struct{ Endpoint string }

// Listing names the engines of the cell.
type Listing struct{ Engines []placer.Endpoint }

// OwnerRemoved reports that a host's incarnation has ended. Its waiting asks and
// its grants end with it.
type OwnerRemoved struct {
	Host string
	// Incarnation is the last one that has ended.
	Incarnation uint64
}

// Limits are the limits of the pool.
type Limits struct {
	// MaxOutstanding bounds the grants on one engine; 0 stands for no bound.
	MaxOutstanding int
	// MaxWaiting bounds the waiting asks; 0 stands for no bound.
	MaxWaiting int
	// LongShare is the share of the engines that may prefill long prompts at a
	// time; 0 leaves as many to short prompts as their work needs.
	LongShare float64
}

// Tick lets time pass.
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

// Action answers an ask: Grant, GrantGroup or Refuse; or a Move: MoveTo or Stay.
type Action interface{ action() }

// Grant gives an endpoint to an ask.
type Grant struct {
	ID       string
	Endpoint string
	Address  string
}

// GrantGroup gives memory on several engines to an ask. The first one leads.
type GrantGroup struct {
	ID    string
	Parts []placer.Part
}

// Refuse turns an ask away. Nothing has run for it.
type Refuse struct {
	ID string
	placer.Refuse
}

// MoveTo gives memory on another engine to a prefilled grant.
type MoveTo struct {
	ID       string
	Endpoint string
	Address  string
}

// Stay leaves a grant where it is.
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
