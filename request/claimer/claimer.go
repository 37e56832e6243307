// Package claimer decides the steps of a call that must run at most once: claim
// its key, dispatch it, record the outcome, or give the claim back. A call whose
// key is held by another one waits for the end of that one within its own time.
package claimer

import (
	"net/http"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/connection/messenger"
)

const (
	// MaxDispatches bounds the endpoints tried when none has received the call.
	MaxDispatches = 3
	retryAfter    = time.Second
	// The pauses of a call whose key another call holds.
	minHeldPause = 100 * time.Millisecond
	maxHeldPause = time.Second
	// heldReserve is the number of pauses for which time must be left.
	heldReserve = 2
	// maxDoublings leads from the shortest pause beyond the longest.
	maxDoublings = 4
)

// Phase is how far a call has come.
type Phase int

// Phases of a call.
const (
	// Claiming lasts until the result of the claim is known.
	Claiming Phase = iota
	// Placing means that the claim is committed and no endpoint has the call.
	Placing
	// Dispatched means that an endpoint may have the call.
	Dispatched
	// Late means that the time limit passed while an endpoint may have the
	// call. The caller has its answer; the outcome is still recorded.
	Late
	// Ended means that nothing remains to be done.
	Ended
)

// State is what is known of one call. It is an immutable value.
type State struct {
	// CallerKey says that the caller supplied the key, so that an earlier call
	// may have used it.
	CallerKey  bool
	Phase      Phase
	Dispatches int
	Excluded   []string
	// Waits counts the pauses in which the holder of the key might end.
	Waits int
}

// Event is a step of a call: Claimed, Placed, NoEndpoint, Replied, Failed or
// Expired.
type Event interface{ event() }

// Claimed reports the result of the claim.
type Claimed struct {
	State   messenger.ClaimResult_State
	Outcome *messenger.Outcome
	Message string
	// Left is the time until the limit of the call.
	Left time.Duration
}

// Placed reports that an endpoint was found.
type Placed struct{}

// Replied reports the whole answer of the endpoint.
type Replied struct{ Reply invoker.ServiceReply }

// Failed reports a dispatch without a whole answer.
type Failed struct {
	Endpoint string
	Ran      invoker.Execution
	Message  string
}

// NoEndpoint reports that no endpoint could be had.
type NoEndpoint struct{ Message string }

// Expired reports that the time limit has passed.
type Expired struct{}

func (Claimed) event()    {}
func (Placed) event()     {}
func (Replied) event()    {}
func (Failed) event()     {}
func (NoEndpoint) event() {}
func (Expired) event()    {}

// Action is what to do next: Await, Place, Dispatch, Record, Release, Replay, Fail or
// Stop.
type Action interface{ action() }

// Await commits the claim again after a pause, since another call holds the key
// and may end until then.
type Await struct{ Pause time.Duration }

// Place looks for an endpoint.
type Place struct{}

// Dispatch sends the call to the endpoint that was found.
type Dispatch struct{}

// Record stores the outcome under the claim and answers the caller.
type Record struct{ Reply invoker.ServiceReply }

// Release gives the claim back, then fails the call. It also follows a claim
// of unknown result, so that one that takes effect late does not stay.
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
		return sta.afterAnswer(eve)
	}
	var act Action
	switch eve := eve.(type) {
	case Claimed:
		sta, act = sta.claimed(eve)
	case Placed:
		act = Dispatch{}
	case Replied:
		act = Record(eve)
	case Failed:
		sta, act = sta.failed(eve)
	case NoEndpoint:
		act = Release{notRun(http.StatusServiceUnavailable, "no_endpoint", eve.Message)}
	case Expired:
		return sta.expired()
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

// afterAnswer decides on what comes after the caller was answered. Nothing is
// dispatched any more, and what an endpoint says is recorded.
func (sta State) afterAnswer(eve Event) (State, Action) {
	late := sta.Phase == Late
	sta.Phase = Ended
	switch eve := eve.(type) {
	case Replied:
		if late {
			return sta, Record(eve)
		}
	case Failed:
		if late && eve.Ran == invoker.NotRun {
			return sta, Release{notRun(http.StatusBadGateway, "endpoint_unreachable", eve.Message)}
		}
	}
	return sta, Stop{}
}

// withoutClaim is what may be said of a call whose claim is not held: an own
// key may have run under an earlier call.
func (sta State) withoutClaim() invoker.Execution {
	if sta.CallerKey {
		return invoker.Unknown
	}
	return invoker.NotRun
}

// notRun fails a call that holds its claim and reached no endpoint. While the
// claim is held no other call of the key can run, and no earlier one has.
func notRun(status int, code, message string) Fail {
	return Fail{Status: status, Code: code, Message: message, Ran: invoker.NotRun, RetryAfter: retryAfter}
}

func (sta State) claimed(cla Claimed) (State, Action) {
	pau := min(minHeldPause<<min(sta.Waits, maxDoublings), maxHeldPause)
	if cla.State != messenger.ClaimResult_STATE_HELD || cla.Left < heldReserve*pau {
		return sta, sta.afterClaim(cla)
	}
	sta.Waits++
	return sta, Await{pau}
}

// afterClaim decides on a result that is not awaited any more.
func (sta State) afterClaim(cla Claimed) Action {
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
		return Fail{Status: http.StatusBadRequest, Code: "idempotency_key_expired", Message: "the key is older than the retention of claims", Ran: sta.withoutClaim()}
	case messenger.ClaimResult_STATE_FULL:
		return Fail{Status: http.StatusServiceUnavailable, Code: "claims_full", Message: cla.Message, Ran: invoker.NotRun, RetryAfter: retryAfter}
	case messenger.ClaimResult_STATE_NOT_COMMITTED:
		return Fail{Status: http.StatusServiceUnavailable, Code: "claim_refused", Message: "the claim was not committed: " + cla.Message, Ran: sta.withoutClaim(), RetryAfter: retryAfter}
	default:
		return Release{Fail{Status: http.StatusServiceUnavailable, Code: "claim_unknown", Message: "the claim could not be confirmed: " + cla.Message, Ran: sta.withoutClaim(), RetryAfter: retryAfter}}
	}
}

func (sta State) failed(fai Failed) (State, Action) {
	if fai.Ran != invoker.NotRun {
		return sta, Fail{Status: http.StatusBadGateway, Code: "call_outcome_unknown", Message: fai.Message, Ran: invoker.Unknown}
	}
	sta.Dispatches++
	exc := make([]string, 0, len(sta.Excluded)+1)
	sta.Excluded = append(append(exc, sta.Excluded...), fai.Endpoint)
	if sta.Dispatches < MaxDispatches {
		return sta, Place{}
	}
	return sta, Release{notRun(http.StatusBadGateway, "endpoint_unreachable", fai.Message)}
}

// expired answers a call at its time limit.
func (sta State) expired() (State, Action) {
	const message = "the time limit has passed"
	pha := sta.Phase
	sta.Phase = Ended
	switch pha {
	case Claiming:
		return sta, Release{Fail{Status: http.StatusGatewayTimeout, Code: "time_limit", Message: message + " before the claim was confirmed", Ran: sta.withoutClaim()}}
	case Placing:
		return sta, Release{Fail{Status: http.StatusGatewayTimeout, Code: "time_limit", Message: message + " before a dispatch", Ran: invoker.NotRun}}
	default:
		sta.Phase = Late
		return sta, Fail{Status: http.StatusGatewayTimeout, Code: "time_limit", Message: message + " while an endpoint had the call", Ran: invoker.Unknown}
	}
}
