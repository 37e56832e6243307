// Package claimer decides the steps of a call that must run at most once: claim its
// idempotency key, dispatch it, record the outcome, or release the claim. If another
// call holds the key, the call waits for that call to end, within its own time limit.
package claimer

import (
	"net/http"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/connection/messenger"
)

const (
	// MaxDispatches bounds the dispatches of a call that no endpoint has received.
	MaxDispatches = 3
	// retryAfter is the Retry-After of refusals that may pass.
	retryAfter = time.Second
	// Pauses between the claims of a call whose key another call holds.
	minHeldPause = 100 * time.Millisecond
	maxHeldPause = time.Second
	// minHeldPauses is how many pauses must fit into the time left for a call to keep
	// waiting.
	minHeldPauses = 2
	// maxDoublings bounds the shift so that it does not overflow; minHeldPause doubled
	// four times exceeds maxHeldPause.
	maxDoublings = 4
)

// Phase is the phase of a call.
type Phase int

// Phases of a call.
const (
	// Claiming lasts until the result of the claim is known.
	Claiming Phase = iota
	// Placing means that the claim is committed and no endpoint has the call.
	Placing
	// Dispatched means that an endpoint may have the call.
	Dispatched
	// Late means that the time limit passed while an endpoint may have the call. The
	// caller has been answered; the outcome is still recorded.
	Late
	// Ended means that nothing remains to be done.
	Ended
)

// State is the state of one call. It is an immutable value.
type State struct {
	// KeyFromCaller says that the caller supplied the key, so that an earlier call may
	// have used it.
	KeyFromCaller bool
	Phase         Phase
	Dispatches    int
	Excluded      []string
	// Waits counts the pauses spent waiting for the call that holds the key.
	Waits int
}

// Event is a step of a call: Claimed, Placed, Refused, Replied, Failed or Expired.
type Event interface{ event() }

// Claimed reports the result of the claim.
type Claimed struct {
	State   messenger.ClaimResult_State
	Outcome *messenger.Outcome
	Message string
	// Left is the time until the time limit of the call.
	Left time.Duration
}

// Placed reports that an endpoint was found.
type Placed struct{}

// Replied reports the complete answer of the endpoint.
type Replied struct{ Reply invoker.ServiceReply }

// Failed reports a dispatch that ended without a complete answer.
type Failed struct {
	Endpoint string
	Ran      invoker.Execution
	Message  string
}

// Refused reports that no endpoint was available.
type Refused struct{ Message string }

// Expired reports that the time limit has passed.
type Expired struct{}

func (Claimed) event() {}
func (Placed) event()  {}
func (Replied) event() {}
func (Failed) event()  {}
func (Refused) event() {}
func (Expired) event() {}

// Action is what to do next: Await, Place, Dispatch, Record, Release, Replay, Fail or
// Stop.
type Action interface{ action() }

// Await retries the claim after a pause, since another call holds the key; that call
// may end during the pause.
type Await struct{ Pause time.Duration }

// Place requests an endpoint.
type Place struct{}

// Dispatch sends the call to the endpoint that was found.
type Dispatch struct{}

// Record stores the outcome under the claim and answers the caller.
type Record struct{ Reply invoker.ServiceReply }

// Release releases the claim, then fails the call. It also follows a claim whose result
// is unknown, so that a claim committed late does not remain.
type Release struct{ Fail Fail }

// Replay answers with the recorded outcome.
type Replay struct{ Outcome *messenger.Outcome }

// Fail ends the call with an error.
type Fail struct {
	Status     int
	Code       string
	Message    string
	Ran        invoker.Execution
	RetryAfter time.Duration
}

// Stop ends the work on a call whose caller has been answered.
type Stop struct{}

func (Await) action()    {}
func (Place) action()    {}
func (Stop) action()     {}
func (Dispatch) action() {}
func (Record) action()   {}
func (Release) action()  {}
func (Replay) action()   {}
func (Fail) action()     {}

// Next decides on an event.
func (sta State) Next(eve Event) (State, Action) {
	if sta.Phase == Late || sta.Phase == Ended {
		return sta.afterCallerAnswered(eve)
	}
	var act Action
	switch eve := eve.(type) {
	case Claimed:
		sta, act = sta.afterClaimed(eve)
	case Placed:
		act = Dispatch{}
	case Replied:
		act = Record(eve)
	case Failed:
		sta, act = sta.afterFailure(eve)
	case Refused:
		act = Release{failNotRun(http.StatusServiceUnavailable, "no_endpoint", eve.Message)}
	case Expired:
		return sta.afterExpiry()
	default:
		act = Fail{Status: http.StatusInternalServerError, Code: "internal", Message: "unknown event", Ran: invoker.Unknown}
	}
	sta.Phase = phaseAfter(act)
	return sta, act
}

func phaseAfter(act Action) Phase {
	switch act.(type) {
	case Await:
		return Claiming
	case Place:
		return Placing
	case Dispatch:
		return Dispatched
	default:
		return Ended
	}
}

// afterCallerAnswered decides on events after the caller was answered. Nothing more is
// dispatched, but the answer of an endpoint that has the call is recorded.
func (sta State) afterCallerAnswered(eve Event) (State, Action) {
	late := sta.Phase == Late
	sta.Phase = Ended
	switch eve := eve.(type) {
	case Replied:
		if late {
			return sta, Record(eve)
		}
	case Failed:
		if late && eve.Ran == invoker.NotRun {
			return sta, Release{failNotRun(http.StatusBadGateway, "endpoint_unreachable", eve.Message)}
		}
	}
	return sta, Stop{}
}

// ranWithoutClaim returns what is known about the execution of a call without a
// committed claim: with a key of the caller, an earlier call may have run.
func (sta State) ranWithoutClaim() invoker.Execution {
	if sta.KeyFromCaller {
		return invoker.Unknown
	}
	return invoker.NotRun
}

// failNotRun returns the Fail of a call that holds its claim and has reached no
// endpoint. A committed claim shows that no earlier call with the key has run, and no
// other call can run meanwhile.
func failNotRun(status int, code, message string) Fail {
	return Fail{Status: status, Code: code, Message: message, Ran: invoker.NotRun, RetryAfter: retryAfter}
}

func (sta State) afterClaimed(cla Claimed) (State, Action) {
	pause := min(minHeldPause<<min(sta.Waits, maxDoublings), maxHeldPause)
	if cla.State != messenger.ClaimResult_STATE_HELD || cla.Left < minHeldPauses*pause {
		return sta, sta.claimResult(cla)
	}
	sta.Waits++
	return sta, Await{pause}
}

// claimResult decides on the result of a claim that is not retried.
func (sta State) claimResult(cla Claimed) Action {
	switch cla.State {
	case messenger.ClaimResult_STATE_COMMITTED:
		return Place{}
	case messenger.ClaimResult_STATE_FINISHED:
		return Replay{cla.Outcome}
	case messenger.ClaimResult_STATE_HELD:
		return Fail{Status: http.StatusConflict, Code: "call_outcome_unknown", Message: "an earlier call with this key may have run: " + cla.Message, Ran: invoker.Unknown, RetryAfter: retryAfter}
	case messenger.ClaimResult_STATE_CONFLICT:
		return Fail{Status: http.StatusUnprocessableEntity, Code: "idempotency_key_reused", Message: "the key was used for another call, which may have run", Ran: invoker.Unknown}
	case messenger.ClaimResult_STATE_EXPIRED:
		return Fail{Status: http.StatusBadRequest, Code: "idempotency_key_expired", Message: "the key is older than the retention of claims", Ran: sta.ranWithoutClaim()}
	case messenger.ClaimResult_STATE_FULL:
		return Fail{Status: http.StatusServiceUnavailable, Code: "claims_full", Message: cla.Message, Ran: invoker.NotRun, RetryAfter: retryAfter}
	case messenger.ClaimResult_STATE_NOT_COMMITTED:
		return Fail{Status: http.StatusServiceUnavailable, Code: "claim_refused", Message: "the claim was not committed: " + cla.Message, Ran: sta.ranWithoutClaim(), RetryAfter: retryAfter}
	default:
		return Release{Fail{Status: http.StatusServiceUnavailable, Code: "claim_unknown", Message: "the claim could not be confirmed: " + cla.Message, Ran: sta.ranWithoutClaim(), RetryAfter: retryAfter}}
	}
}

func (sta State) afterFailure(fai Failed) (State, Action) {
	if fai.Ran != invoker.NotRun {
		return sta, Fail{Status: http.StatusBadGateway, Code: "call_outcome_unknown", Message: fai.Message, Ran: invoker.Unknown}
	}
	sta.Dispatches++
	excluded := make([]string, 0, len(sta.Excluded)+1)
	sta.Excluded = append(append(excluded, sta.Excluded...), fai.Endpoint)
	if sta.Dispatches < MaxDispatches {
		return sta, Place{}
	}
	return sta, Release{failNotRun(http.StatusBadGateway, "endpoint_unreachable", fai.Message)}
}

// afterExpiry answers a call at its time limit.
func (sta State) afterExpiry() (State, Action) {
	const message = "the time limit has passed"
	phase := sta.Phase
	sta.Phase = Ended
	switch phase {
	case Claiming:
		return sta, Release{Fail{Status: http.StatusGatewayTimeout, Code: "time_limit", Message: message + " before the claim was confirmed", Ran: sta.ranWithoutClaim()}}
	case Placing:
		return sta, Release{Fail{Status: http.StatusGatewayTimeout, Code: "time_limit", Message: message + " before a dispatch", Ran: invoker.NotRun}}
	default:
		sta.Phase = Late
		return sta, Fail{Status: http.StatusGatewayTimeout, Code: "time_limit", Message: message + " while an endpoint had the call", Ran: invoker.Unknown}
	}
}
