// Package attempter decides what happens to a prompt after each step: resume it
// on the same engine, dispatch it elsewhere, wait on, or fail it truthfully.
package attempter

import (
	"slices"
	"time"

	"hemlockpin/connection/invoker"
)

const (
	// MaxAttempts bounds the dispatches of one request.
	MaxAttempts = 8
	// MaxRounds bounds how often a request returns to endpoints that failed it.
	MaxRounds = 3
	// MinBudget is the least time left for which a dispatch is worth while.
	MinBudget = 5 * time.Millisecond

	roundPause       = 100 * time.Millisecond
	maxGroupPause    = 2 * time.Second
	minProgressLimit = time.Second
	maxProgressLimit = 20 * time.Second
	// progressShare of the time left is given to one engine without progress,
	// so that another can still answer.
	progressShare = 3
)

// State is what is known of one request. It is an immutable value.
type State struct {
	Deadline time.Time
	// Attempt numbers the dispatches so far, Moves counts those among them by
	// which the answer was to move.
	Attempt int
	Moves   int
	// Delivered counts the tokens that the caller has.
	Delivered int64
	// Ran is the most that an endpoint may have run.
	Ran invoker.Execution
	// Excluded lists endpoints that failed the request.
	Excluded []string
	// Rounds counts how often the exclusions were lifted.
	Rounds int
	// Waits counts the refusals by groups of engines that were busy.
	Waits int
	// Jitter, 0 to 1, spreads the pauses of different requests.
	Jitter float64
	// Pending marks a dispatch whose end is not known.
	Pending bool
	// Resumed marks that the current endpoint was already given a second try.
	Resumed bool
}

// Event is a step of a request: Refused, Failed, Stalled, Gone or Expired.
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
	// Connection marks a failure of the connection: the engine may still hold
	// the sequence.
	Connection bool
	Message    string
}

// Stalled reports that an engine is alive but has made no progress within the
// limit.
type Stalled struct{ Endpoint string }

// Gone reports that the caller has left or does not read.
type Gone struct{}

// Expired reports that the time limit has passed.
type Expired struct{}

func (Refused) event() {}
func (Failed) event()  {}
func (Stalled) event() {}
func (Gone) event()    {}
func (Expired) event() {}

// Action is what to do next: Dispatch, Resume, Stay, Abandon or Fail. Every
// action but Stay ends the current dispatch, which is cancelled on the engine.
type Action interface{ action() }

// Dispatch places the request again after a pause and goes on at the next
// token. It spends one retry, unless nothing was dispatched before.
type Dispatch struct{ After time.Duration }

// Resume dispatches to the same endpoint over a new connection. It spends one
// retry.
type Resume struct{}

// Stay keeps waiting for the current dispatch.
type Stay struct{}

// Abandon ends the request without an answer, because nobody reads it.
type Abandon struct{}

// Fail ends the request with an error.
type Fail struct {
	Code       string
	Message    string
	Ran        invoker.Execution
	RetryAfter time.Duration
}

func (Dispatch) action() {}
func (Resume) action()   {}
func (Stay) action()     {}
func (Abandon) action()  {}
func (Fail) action()     {}

// WithAttempt returns the state after a dispatch was begun. Until that has
// failed, an engine may run it.
func (sta State) WithAttempt() State {
	sta.Attempt++
	sta.Pending = true
	return sta
}

// WithMove returns the state after a second dispatch was begun beside the
// current one. It takes none of the attempts that failures may use.
func (sta State) WithMove() State {
	sta.Attempt++
	sta.Moves++
	return sta
}

// WithSwitch returns the state after the second dispatch took the place of the
// first.
func (sta State) WithSwitch() State {
	sta.Resumed = false
	return sta
}

// WithExcluded returns the state after an endpoint failed and another dispatch
// went on.
func (sta State) WithExcluded(end string) State {
	sta.Excluded = append(slices.Clip(sta.Excluded), end)
	return sta
}

// usedUp holds when failures have taken all attempts.
func (sta State) usedUp() bool { return sta.Attempt-sta.Moves >= MaxAttempts }

// WithDelivered returns the state after a token reached the caller. Progress
// gives the endpoint no further second try: one that breaks every stream would
// use up all attempts.
func (sta State) WithDelivered(cou int64) State {
	sta.Delivered = cou
	sta.Ran = invoker.Ran
	return sta
}

func (sta State) withFailure(end string, ran invoker.Execution) State {
	sta.Excluded = append(slices.Clip(sta.Excluded), end)
	sta.Resumed = false
	sta.Ran = worse(sta.Ran, ran)
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

// ProgressLimit is the time that an engine which is alive may take without any
// progress.
func (sta State) ProgressLimit(now time.Time) time.Duration {
	return max(minProgressLimit, min(maxProgressLimit, sta.Deadline.Sub(now)/progressShare))
}

// Next decides on an event. A retry is spent only if one is available.
func (sta State) Next(eve Event, retry bool, now time.Time) (State, Action) {
	switch eve := eve.(type) {
	case Refused:
		return sta.afterRefusal(eve, now)
	case Failed:
		sta.Pending = false
		return sta.afterFailure(eve, retry, now)
	case Stalled:
		return sta.afterStall(eve, retry, now)
	case Gone:
		return sta, Abandon{}
	case Expired:
		return sta, sta.fail("time_limit", "the time limit has passed")
	default:
		return sta, sta.fail("internal", "unknown event")
	}
}

// groupPause doubles with each refusal, so that hosts which race for the same
// engines don't meet again.
func (sta State) groupPause() time.Duration {
	dur := min(maxGroupPause, roundPause<<min(sta.Waits, 10))
	return time.Duration(float64(dur) * (0.5 + sta.Jitter))
}

func (sta State) afterRefusal(ref Refused, now time.Time) (State, Action) {
	if pau := sta.groupPause(); ref.Code == "group_unavailable" && sta.left(now) > pau+MinBudget {
		sta.Waits++
		return sta, Dispatch{After: pau}
	}
	again := ref.Code == "no_endpoint" && len(sta.Excluded) > 0
	if !again || sta.Rounds >= MaxRounds || sta.left(now) < roundPause+MinBudget {
		return sta, Fail{Code: ref.Code, Message: ref.Message, Ran: sta.ran(), RetryAfter: ref.RetryAfter}
	}
	sta.Excluded = nil
	sta.Rounds++
	return sta, Dispatch{After: roundPause}
}

func (sta State) afterFailure(fai Failed, retry bool, now time.Time) (State, Action) {
	if sta.mayResume(fai, retry, now) {
		sta.Resumed = true
		sta.Ran = worse(sta.Ran, fai.Ran)
		return sta, Resume{}
	}
	sta = sta.withFailure(fai.Endpoint, fai.Ran)
	switch {
	case fai.Permanent:
		return sta, sta.fail("endpoint_refused", fai.Message)
	case sta.left(now) < MinBudget:
		return sta, sta.fail("time_limit", "the time limit has passed")
	case sta.usedUp():
		return sta, sta.fail("endpoint_failed", fai.Message)
	case !retry:
		return sta, sta.fail("retry_budget", "an endpoint failed and this host has no retries left: "+fai.Message)
	}
	return sta, Dispatch{}
}

// mayResume holds when the connection failed, not the engine, and the endpoint
// has not failed again right after a resume.
func (sta State) mayResume(fai Failed, retry bool, now time.Time) bool {
	return fai.Connection && !fai.Permanent && !sta.Resumed && retry && !sta.usedUp() && sta.left(now) >= MinBudget
}

func (sta State) afterStall(eve Stalled, retry bool, now time.Time) (State, Action) {
	if !retry || sta.usedUp() || sta.left(now) < MinBudget {
		return sta, Stay{}
	}
	sta.Pending = false
	return sta.withFailure(eve.Endpoint, invoker.Unknown), Dispatch{}
}

func (sta State) left(now time.Time) time.Duration { return sta.Deadline.Sub(now) }

func (sta State) fail(code, message string) Fail {
	return Fail{Code: code, Message: message, Ran: sta.ran()}
}

func (sta State) ran() invoker.Execution {
	if sta.Pending {
		return worse(sta.Ran, invoker.Unknown)
	}
	return worse(sta.Ran, invoker.NotRun)
}
