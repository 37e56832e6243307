// Package hedger decides how a call that may run more than once is sent. The call is
// sent again when an endpoint fails, and hedged when the first dispatch takes longer
// than 95 % of recent calls. The first complete answer is used.
package hedger

import (
	"slices"

	"hemlockpin/connection/invoker"
)

// MaxDispatches bounds the dispatches of one call, including hedges.
const MaxDispatches = 3

// State is the state of one call. It is an immutable value; the zero value is a call
// that was not sent.
type State struct {
	// Dispatches counts all dispatches, InFlight those that have not ended.
	Dispatches int
	InFlight   int
	// Hedged says that the call was hedged, which happens at most once.
	Hedged bool
	// Excluded lists the endpoints that failed the call or have it now.
	Excluded []string
	// Ran is Unknown once a dispatch that failed, or was in flight when the call
	// expired, may have run the call; it is empty until then.
	Ran invoker.Execution
}

// Event is a step of a call: Began, Placed, DelayPassed, Replied, Failed, Refused or
// Expired.
type Event interface{ event() }

// Began starts a call.
type Began struct{}

// Placed reports the endpoint of the requested dispatch.
type Placed struct{ Endpoint string }

// DelayPassed reports that the first dispatch has taken longer than the hedging delay.
type DelayPassed struct{}

// Replied reports a complete answer.
type Replied struct{}

// Failed reports that a dispatch ended without a complete answer.
type Failed struct{ Ran invoker.Execution }

// Refused reports that no endpoint was available for a dispatch.
type Refused struct{ Code, Message string }

// Expired reports that the time limit has passed or the caller has disconnected.
type Expired struct{}

func (Began) event()       {}
func (Placed) event()      {}
func (DelayPassed) event() {}
func (Replied) event()     {}
func (Failed) event()      {}
func (Refused) event()     {}
func (Expired) event()     {}

// Action is what to do next: Dispatch, Wait, Deliver or Fail. Deliver and Fail end the
// call and cancel the dispatches in flight.
type Action interface{ action() }

// Dispatch places and sends the call. Every dispatch but the first spends a retry.
type Dispatch struct{ Hedge bool }

// Wait waits for the dispatches in flight.
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

// Next decides on an event. retry says whether a retry is available; an action that
// spends a retry is chosen only then.
func (sta State) Next(eve Event, retry bool) (State, Action) {
	switch eve := eve.(type) {
	case Began:
		return sta, Dispatch{}
	case Placed:
		sta.Dispatches++
		sta.InFlight++
		sta.Excluded = append(slices.Clip(sta.Excluded), eve.Endpoint)
		return sta, Wait{}
	case DelayPassed:
		return sta.afterDelay(retry)
	case Replied:
		return sta, Deliver{}
	case Failed:
		return sta.afterFailure(eve, retry)
	case Refused:
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

func (sta State) afterDelay(retry bool) (State, Action) {
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
