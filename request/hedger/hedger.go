// Package hedger decides how a call that may run more than once is sent: again
// when an endpoint fails, and beside the first dispatch when that takes longer
// than nearly all did lately. The first whole answer wins.
package hedger

import (
	"slices"

	"hemlockpin/connection/invoker"
)

// MaxDispatches bounds the dispatches of one call, hedges included.
const MaxDispatches = 3

// State is what is known of one call. It is an immutable value; the zero value
// is a call that was not sent.
type State struct {
	// Dispatches counts those so far, InFlight those without an end.
	Dispatches int
	InFlight   int
	// Hedged marks a call that was sent beside itself; that happens once.
	Hedged bool
	// Excluded lists the endpoints that failed the call or have it now.
	Excluded []string
	// Ran is the most that an endpoint may have run.
	Ran invoker.Execution
}

// Event is a step of a call: Began, Placed, Waited, Replied, Failed, Unplaced or
// Expired.
type Event interface{ event() }

// Began starts a call.
type Began struct{}

// Placed reports the endpoint of the dispatch that was asked for.
type Placed struct{ Endpoint string }

// Waited reports that the first dispatch takes longer than nearly all did.
type Waited struct{}

// Replied reports a whole answer.
type Replied struct{}

// Failed reports that a dispatch ended without one.
type Failed struct{ Ran invoker.Execution }

// Unplaced reports that no endpoint could be had for a dispatch.
type Unplaced struct{ Code, Message string }

// Expired reports that the time limit has passed or the caller has left.
type Expired struct{}

func (Began) event()    {}
func (Placed) event()   {}
func (Waited) event()   {}
func (Replied) event()  {}
func (Failed) event()   {}
func (Unplaced) event() {}
func (Expired) event()  {}

// Action is what to do next: Dispatch, Wait, Deliver or Fail. Deliver and Fail
// end the call and cancel what is open.
type Action interface{ action() }

// Dispatch places and sends the call. Every one but the first spends a retry.
type Dispatch struct{ Hedge bool }

// Wait waits for what is open.
type Wait struct{}

// Deliver passes the answer on.
type Deliver struct{}

// Fail ends the call with an error.
type Fail struct {
	Code, Message string
	Ran           invoker.Execution
}

func (Dispatch) action() {}
func (Wait) action()     {}
func (Deliver) action()  {}
func (Fail) action()     {}

// Next decides on an event. A retry is spent only if one is available.
func (sta State) Next(eve Event, retry bool) (State, Action) {
	switch eve := eve.(type) {
	case Began:
		return sta, Dispatch{}
	case Placed:
		sta.Dispatches++
		sta.InFlight++
		sta.Excluded = append(slices.Clip(sta.Excluded), eve.Endpoint)
		return sta, Wait{}
	case Waited:
		return sta.afterWait(retry)
	case Replied:
		return sta, Deliver{}
	case Failed:
		return sta.afterFailure(eve, retry)
	case Unplaced:
		if sta.InFlight > 0 {
			return sta, Wait{}
		}
		return sta, sta.fail(eve.Code, eve.Message)
	default:
		if sta.InFlight > 0 {
			sta.Ran = invoker.Unknown
		}
		return sta, sta.fail("time_limit", "the time limit has passed")
	}
}

func (sta State) afterWait(retry bool) (State, Action) {
	if sta.Hedged || sta.InFlight != 1 || sta.Dispatches >= MaxDispatches || !retry {
		return sta, Wait{}
	}
	sta.Hedged = true
	return sta, Dispatch{Hedge: true}
}

func (sta State) afterFailure(fai Failed, retry bool) (State, Action) {
	sta.InFlight--
	if fai.Ran != invoker.NotRun {
		sta.Ran = invoker.Unknown
	}
	switch {
	case sta.InFlight > 0:
		return sta, Wait{}
	case sta.Dispatches >= MaxDispatches:
		return sta, sta.fail("endpoint_failed", "the endpoints that were tried failed")
	case !retry:
		return sta, sta.fail("retry_budget", "an endpoint failed and this host has no retries left")
	}
	return sta, Dispatch{}
}

func (sta State) fail(code, message string) Fail {
	if sta.Ran == "" {
		sta.Ran = invoker.NotRun
	}
	return Fail{Code: code, Message: message, Ran: sta.Ran}
}
