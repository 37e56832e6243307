// Package attempter decides what happens to a prompt after each step: resume it on the
// same engine, dispatch it to another engine, keep waiting, or fail it. A failure says
// whether the prompt may have run.
package attempter

import (
	"slices"
	"time"

	"hemlockpin/connection/invoker"
)

const (
	// MaxAttempts bounds the dispatches of one request, not counting moves.
	MaxAttempts = 8
	// MaxRounds bounds how often a request returns to endpoints that have failed it.
	MaxRounds = 3
	// MinBudget is the least time left for which a dispatch is worthwhile.
	MinBudget = 5 * time.Millisecond

	// roundPause is the pause before excluded endpoints are used again, and, before it
	// is varied by Jitter, the first pause after a refused group; maxGroupPause bounds
	// the latter.
	roundPause    = 100 * time.Millisecond
	maxGroupPause = 2 * time.Second
	// minProgressLimit and maxProgressLimit bound ProgressLimit.
	minProgressLimit = time.Second
	maxProgressLimit = 20 * time.Second
	// An engine may use 1/progressDivisor of the time left without progress, so that
	// another engine can still answer.
	progressDivisor = 3
)

// State is the state of one request. It is an immutable value.
type State struct {
	Deadline time.Time
	// Attempt is the number of the newest dispatch; the first is 1. Moves counts the
	// dispatches that were made to move the answer.
	Attempt int
	Moves   int
	// Delivered counts the tokens sent to the caller.
	Delivered int64
	// Ran says whether an endpoint may have run the request: the most that any dispatch
	// did, in the order NotRun, Unknown, Ran.
	Ran invoker.Execution
	// Excluded lists the endpoints that failed the request.
	Excluded []string
	// Rounds counts how often the list of excluded endpoints was cleared.
	Rounds int
	// GroupRefusals counts the refusals because the engines of a group were busy.
	GroupRefusals int
	// Jitter, from 0 to 1, varies the pauses of different requests.
	Jitter float64
	// Pending says that a dispatch has not ended yet.
	Pending bool
	// Resumed says that the request was already resumed on the current endpoint.
	Resumed bool
}

// Event is a step of a request: Refused, Failed, Stalled, Gone or Expired.
type Event interface{ event() }

// Refused reports that no endpoint was available.
type Refused struct {
	Code       string
	Message    string
	RetryAfter time.Duration
}

// Failed reports that a dispatch ended without a complete answer.
type Failed struct {
	Endpoint string
	Ran      invoker.Execution
	// Permanent says that other endpoints would fail in the same way.
	Permanent bool
	// Connection says that the connection failed, so that the engine may still hold the
	// sequence.
	Connection bool
	Message    string
}

// Stalled reports that an engine responds but has made no progress within the limit.
type Stalled struct{ Endpoint string }

// Gone reports that the caller has disconnected or does not read the answer.
type Gone struct{}

// Expired reports that the time limit has passed.
type Expired struct{}

func (Refused) event() {}
func (Failed) event()  {}
func (Stalled) event() {}
func (Gone) event()    {}
func (Expired) event() {}

// Action is what to do next: Dispatch, Resume, Stay, Abandon or Fail. Every action but
// Stay ends the current dispatch. All but Resume also cancel it on the engine.
type Action interface{ action() }

// Dispatch places the request again after a pause; the answer continues at the next
// token. It spends one retry, unless it follows Refused.
type Dispatch struct{ After time.Duration }

// Resume dispatches to the same endpoint over a new connection. It spends one retry.
type Resume struct{}

// Stay keeps waiting for the current dispatch.
type Stay struct{}

// Abandon ends the request without an answer, because its caller no longer reads.
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

// WithAttempt returns the state after a dispatch was begun. Until the dispatch fails,
// an engine may run the request.
func (sta State) WithAttempt() State {
	sta.Attempt++
	sta.Pending = true
	return sta
}

// WithMove returns the state after a dispatch to the target of a move was begun. That
// dispatch does not count against MaxAttempts, which limits failures.
func (sta State) WithMove() State {
	sta.Attempt++
	sta.Moves++
	return sta
}

// WithSwitch returns the state after the target of a move replaced the source.
func (sta State) WithSwitch() State {
	sta.Resumed = false
	return sta
}

// WithExcluded returns the state after an endpoint failed while another dispatch
// continued.
func (sta State) WithExcluded(end string) State {
	sta.Excluded = append(slices.Clip(sta.Excluded), end)
	return sta
}

// exhausted reports whether failures have used all attempts.
func (sta State) exhausted() bool { return sta.Attempt-sta.Moves >= MaxAttempts }

// WithDelivered returns the state after a token was sent to the caller. It does not
// reset Resumed; otherwise an endpoint that aborts every stream after some tokens would
// use all attempts.
func (sta State) WithDelivered(delivered int64) State {
	sta.Delivered = delivered
	sta.Ran = invoker.Ran
	return sta
}

func (sta State) withFailure(end string, ran invoker.Execution) State {
	sta.Excluded = append(slices.Clip(sta.Excluded), end)
	sta.Resumed = false
	sta.Ran = maxExecution(sta.Ran, ran)
	return sta
}

// maxExecution returns the greater of two values in the order NotRun, Unknown, Ran.
func maxExecution(a, b invoker.Execution) invoker.Execution {
	for _, exe := range []invoker.Execution{invoker.Ran, invoker.Unknown} {
		if a == exe || b == exe {
			return exe
		}
	}
	return invoker.NotRun
}

// ProgressLimit returns how long an engine that responds may make no progress.
func (sta State) ProgressLimit(now time.Time) time.Duration {
	return max(minProgressLimit, min(maxProgressLimit, sta.Deadline.Sub(now)/progressDivisor))
}

// Next decides on an event. retry says whether a retry is available; an action that
// spends a retry is chosen only then.
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

// groupPause doubles with each refusal, and varies by Jitter, so that hosts that
// compete for the same engines do not collide again.
func (sta State) groupPause() time.Duration {
	pause := min(maxGroupPause, roundPause<<min(sta.GroupRefusals, 10))
	return time.Duration(float64(pause) * (0.5 + sta.Jitter))
}

func (sta State) afterRefusal(ref Refused, now time.Time) (State, Action) {
	if pause := sta.groupPause(); ref.Code == "group_unavailable" && sta.left(now) > pause+MinBudget {
		sta.GroupRefusals++
		return sta, Dispatch{After: pause}
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
		sta.Ran = maxExecution(sta.Ran, fai.Ran)
		return sta, Resume{}
	}
	sta = sta.withFailure(fai.Endpoint, fai.Ran)
	switch {
	case fai.Permanent:
		return sta, sta.fail("endpoint_refused", fai.Message)
	case sta.left(now) < MinBudget:
		return sta, sta.fail("time_limit", "the time limit has passed")
	case sta.exhausted():
		return sta, sta.fail("endpoint_failed", fai.Message)
	case !retry:
		return sta, sta.fail("retry_budget", "an endpoint failed and this host has no retries left: "+fai.Message)
	}
	return sta, Dispatch{}
}

// mayResume reports whether to resume on the same endpoint: only the connection failed,
// this is the first resumption there, and a retry, an attempt and time are left.
func (sta State) mayResume(fai Failed, retry bool, now time.Time) bool {
	return fai.Connection && !fai.Permanent && !sta.Resumed && retry && !sta.exhausted() && sta.left(now) >= MinBudget
}

func (sta State) afterStall(eve Stalled, retry bool, now time.Time) (State, Action) {
	if !retry || sta.exhausted() || sta.left(now) < MinBudget {
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
		return maxExecution(sta.Ran, invoker.Unknown)
	}
	return maxExecution(sta.Ran, invoker.NotRun)
}
