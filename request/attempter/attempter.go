// Package attempter decides what happens to a prompt after each step: dispatch
// it again, resume it elsewhere, or fail it truthfully.
package attempter

import (
	"time"

	"hemlockpin/connection/invoker"
)

const (
	// MaxAttempts bounds the dispatches of one request.
	MaxAttempts = 5
	// MinBudget is the least time left for which a dispatch is worth while.
	MinBudget = 5 * time.Millisecond
)

// State is what is known of one request. It is an immutable value.
type State struct {
	Deadline time.Time
	// Attempt counts the dispatches so far.
	Attempt int
	// Delivered counts the tokens that the caller has.
	Delivered int64
	// Ran is the most that an endpoint may have run.
	Ran invoker.Execution
	// Excluded lists endpoints that failed the request.
	Excluded []string
}

// Event is a step of a request: Refused, Failed or Expired.
type Event interface{ event() }

// Refused reports that no endpoint could be had.
type Refused struct {
	Code       string
	Message    string
	RetryAfter time.Duration
}

// Failed reports that a dispatch ended without the whole answer.
type Failed struct {
	Endpoint string
	Ran      invoker.Execution
	// Permanent marks a failure that another endpoint would repeat.
	Permanent bool
	Message   string
}

// Expired reports that the time limit has passed.
type Expired struct{}

func (Refused) event() {}
func (Failed) event()  {}
func (Expired) event() {}

// Action is what to do next: Dispatch or Fail.
type Action interface{ action() }

// Dispatch places the request again and resumes at the next token.
type Dispatch struct{}

// Fail ends the request with an error.
type Fail struct {
	Code       string
	Message    string
	Ran        invoker.Execution
	RetryAfter time.Duration
}

func (Dispatch) action() {}
func (Fail) action()     {}

// WithAttempt returns the state after a dispatch was begun.
func (sta State) WithAttempt() State {
	sta.Attempt++
	return sta
}

// WithDelivered returns the state after a token reached the caller.
func (sta State) WithDelivered(cou int64) State {
	sta.Delivered = cou
	sta.Ran = invoker.Ran
	return sta
}

func (sta State) withFailure(fai Failed) State {
	exc := make([]string, 0, len(sta.Excluded)+1)
	sta.Excluded = append(append(exc, sta.Excluded...), fai.Endpoint)
	sta.Ran = worse(sta.Ran, fai.Ran)
	return sta
}

func worse(one, two invoker.Execution) invoker.Execution {
	for _, exe := range []invoker.Execution{invoker.Ran, invoker.Unknown} {
		if one == exe || two == exe {
			return exe
		}
	}
	return invoker.NotRun
}

// Next decides on an event.
func (sta State) Next(eve Event, now time.Time) (State, Action) {
	switch eve := eve.(type) {
	case Refused:
		return sta, Fail{Code: eve.Code, Message: eve.Message, Ran: sta.ran(), RetryAfter: eve.RetryAfter}
	case Failed:
		sta = sta.withFailure(eve)
		return sta, sta.afterFailure(eve, now)
	case Expired:
		return sta, Fail{Code: "time_limit", Message: "the time limit has passed", Ran: sta.ran()}
	default:
		return sta, Fail{Code: "internal", Message: "unknown event", Ran: sta.ran()}
	}
}

func (sta State) afterFailure(fai Failed, now time.Time) Action {
	switch {
	case fai.Permanent:
		return Fail{Code: "endpoint_refused", Message: fai.Message, Ran: sta.ran()}
	case sta.Deadline.Sub(now) < MinBudget:
		return Fail{Code: "time_limit", Message: "the time limit has passed", Ran: sta.ran()}
	case sta.Attempt >= MaxAttempts:
		return Fail{Code: "endpoint_failed", Message: fai.Message, Ran: sta.ran()}
	}
	return Dispatch{}
}

func (sta State) ran() invoker.Execution {
	if sta.Ran == "" {
		return invoker.NotRun
	}
	return sta.Ran
}
