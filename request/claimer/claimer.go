// Package claimer decides the steps of a call that must run at most once: claim
// its key, dispatch it, record the outcome, or give the claim back.
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
)

// State is what is known of one call. It is an immutable value.
type State struct {
	// OwnKey says that the caller supplied the key, so that an earlier call
	// may have used it.
	OwnKey     bool
	Dispatches int
	Excluded   []string
}

// Event is a step of a call: Claimed, Replied, Failed or Expired.
type Event interface{ event() }

// Claimed reports the result of the claim.
type Claimed struct {
	State   messenger.ClaimResult_State
	Outcome *messenger.Outcome
	Message string
}

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

func (Claimed) event()    {}
func (Replied) event()    {}
func (Failed) event()     {}
func (NoEndpoint) event() {}

// Action is what to do next: Dispatch, Record, Release, Replay or Fail.
type Action interface{ action() }

// Dispatch sends the call to an endpoint.
type Dispatch struct{}

// Record stores the outcome under the claim and answers the caller.
type Record struct{ Reply invoker.ServiceReply }

// Release gives the claim back, then fails the call as not run.
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

func (Dispatch) action() {}
func (Record) action()   {}
func (Release) action()  {}
func (Replay) action()   {}
func (Fail) action()     {}

// Next decides on an event.
func (sta State) Next(eve Event) (State, Action) {
	switch eve := eve.(type) {
	case Claimed:
		return sta, sta.claimed(eve)
	case Replied:
		return sta, Record(eve)
	case Failed:
		return sta.failed(eve)
	case NoEndpoint:
		return sta, Release{Fail{Status: http.StatusServiceUnavailable, Code: "no_endpoint", Message: eve.Message, Ran: invoker.NotRun, RetryAfter: retryAfter}}
	default:
		return sta, Fail{Status: http.StatusInternalServerError, Code: "internal", Message: "unknown event", Ran: invoker.Unknown}
	}
}

// withoutClaim is what may be said of a call whose claim is not held: an own
// key may have run under an earlier call.
func (sta State) withoutClaim() invoker.Execution {
	if sta.OwnKey {
		return invoker.Unknown
	}
	return invoker.NotRun
}

func (sta State) claimed(cla Claimed) Action {
	switch cla.State {
	case messenger.ClaimResult_STATE_COMMITTED:
		return Dispatch{}
	case messenger.ClaimResult_STATE_FINISHED:
		return Replay{cla.Outcome}
	case messenger.ClaimResult_STATE_HELD:
		return Fail{Status: http.StatusConflict, Code: "call_outcome_unknown", Message: "a call with this key was dispatched and its outcome is not recorded", Ran: invoker.Unknown, RetryAfter: retryAfter}
	case messenger.ClaimResult_STATE_CONFLICT:
		return Fail{Status: http.StatusUnprocessableEntity, Code: "idempotency_key_reused", Message: "the key was used with another body", Ran: invoker.NotRun}
	case messenger.ClaimResult_STATE_EXPIRED:
		return Fail{Status: http.StatusBadRequest, Code: "idempotency_key_expired", Message: "the key is older than the retention of claims", Ran: invoker.Unknown}
	case messenger.ClaimResult_STATE_NOT_COMMITTED, messenger.ClaimResult_STATE_FULL:
		return Fail{Status: http.StatusServiceUnavailable, Code: "claim_refused", Message: cla.Message, Ran: invoker.NotRun, RetryAfter: retryAfter}
	default:
		return Fail{Status: http.StatusServiceUnavailable, Code: "claim_unknown", Message: "the claim could not be confirmed: " + cla.Message, Ran: sta.withoutClaim(), RetryAfter: retryAfter}
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
		return sta, Dispatch{}
	}
	return sta, Release{Fail{Status: http.StatusBadGateway, Code: "endpoint_unreachable", Message: fai.Message, Ran: invoker.NotRun, RetryAfter: retryAfter}}
}
