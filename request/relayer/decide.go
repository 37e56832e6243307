package relayer

import (
	"net/http"
	"time"

	"hemlockpin/version/parser"
)

const (
	// maxDials bounds the failed connection attempts of a call.
	maxDials = 4
	// minObjectiveShare is the share of the latency objective that must be left for
	// another send. With less, another endpoint is unlikely to begin in time.
	minObjectiveShare = 0.25
	// minSendTime is the least time left for another send.
	minSendTime = 50 * time.Millisecond
	// codeQuarantined is the code of calls that are refused because engines crash on parts
	// of their prompts.
	codeQuarantined = "prompt_quarantined"
	// codeStopping is the code of calls that the host ends because it stops.
	codeStopping = "host_stopping"
)

// Outcome is the result of a send: Whole, Answered, NotRun, Unreached, Quarantined, Broken,
// TimedOut, Stopping or CallerDisconnected.
type Outcome interface{ outcome() }

// Whole is a complete answer that reports no failure, or a complete stream. Framed says that
// a length or chunks mark its end; if not, it ended with its connection.
type Whole struct{ Framed bool }

// Answered is a complete answer of the endpoint that reports a failure.
type Answered struct{ Status int }

// NotRun says that the endpoint refused the call without running it.
type NotRun struct{}

// Unreached says that no connection to the endpoint was made.
type Unreached struct{}

// Quarantined says that the call was not sent, because engines crash on its prompt.
type Quarantined struct{}

// Broken says that the send failed: the answer was aborted, invalid, too large or
// stalled. Cause is the text of the error.
type Broken struct{ Cause string }

// TimedOut says that the time limit of the call has passed. Sent says whether the call
// had been sent to an endpoint by then.
type TimedOut struct{ Sent bool }

// Stopping says that the host stops before the call has ended. Sent says whether the call
// had been sent to an endpoint by then.
type Stopping struct{ Sent bool }

// CallerDisconnected says that the caller has closed its connection.
type CallerDisconnected struct{}

func (Whole) outcome()              {}
func (Answered) outcome()           {}
func (NotRun) outcome()             {}
func (Unreached) outcome()          {}
func (Quarantined) outcome()        {}
func (Broken) outcome()             {}
func (TimedOut) outcome()           {}
func (Stopping) outcome()           {}
func (CallerDisconnected) outcome() {}

// State is the history of a call. It is an immutable value.
type State struct {
	// Sends counts the endpoints to which the call was sent, FailedDials the connection
	// attempts that failed.
	Sends       int
	FailedDials int
	// Ran says that an endpoint may have run the call.
	Ran bool
	// Events counts the events forwarded to the caller.
	Events int
	// Numbered says that the last event forwarded had an ID, after which a stream can be
	// resumed.
	Numbered bool
	// CallerFramed says that a stream to the caller has begun and that chunks will mark its
	// end.
	CallerFramed bool
}

// WithSend returns the state after the call was sent.
func (sta State) WithSend() State {
	sta.Sends++
	return sta
}

// SendLimits limit the sends of a call.
type SendLimits struct {
	Route parser.Route
	// Left is the time until the deadline of the call.
	Left time.Duration
	// TakeRetry takes a retry from the budget. It returns false if none is left.
	TakeRetry func() bool
}

// Decision is Deliver, Resend, Refuse, Fail or Cut.
type Decision interface{ decision() }

// Deliver passes the endpoint's answer on unchanged.
type Deliver struct{}

// Resend sends the call to another endpoint; a stream continues after the last event
// that the caller received.
type Resend struct{}

// Refuse answers that the call has not run and will not run.
type Refuse struct{ Code string }

// Fail answers that the call failed and may have run.
type Fail struct {
	Status int
	Code   string
}

// Cut aborts the answer, so that the caller does not take it for complete.
type Cut struct{ Code string }

func (Deliver) decision() {}
func (Resend) decision()  {}
func (Refuse) decision()  {}
func (Fail) decision()    {}
func (Cut) decision()     {}

// Next decides what follows a send.
func Next(sta State, out Outcome, lim SendLimits) (State, Decision) {
	switch out := out.(type) {
	case Whole:
		if sta.CallerFramed && !out.Framed {
			// The end of the caller's answer would say more than the endpoint's.
			return sta.resendBroken(lim)
		}
		return sta, Deliver{}
	case CallerDisconnected:
		sta.Ran = true
		return sta, Cut{Code: "caller_gone"}
	case TimedOut:
		sta.Ran = sta.Ran || out.Sent
		return sta, sta.endIncomplete(http.StatusGatewayTimeout, "time_limit")
	case Stopping:
		sta.Ran = sta.Ran || out.Sent
		return sta, sta.endIncomplete(http.StatusGatewayTimeout, codeStopping)
	case Answered:
		sta.Ran = true
		if sta.allowsResend(lim.Route) && out.Status >= http.StatusInternalServerError && sta.mayResend(lim) {
			return sta, Resend{}
		}
		return sta, Deliver{}
	case NotRun:
		if sta.mayResend(lim) {
			return sta, Resend{}
		}
		return sta, sta.endIncomplete(http.StatusBadGateway, "endpoint_refused")
	case Unreached:
		// The call was not sent, although WithSend has counted it.
		sta.Sends--
		sta.FailedDials++
		if sta.FailedDials < maxDials && lim.Left > minSendTime {
			return sta, Resend{}
		}
		return sta, sta.endIncomplete(http.StatusBadGateway, "endpoint_unreached")
	case Quarantined:
		// The call was not sent, although WithSend has counted it.
		sta.Sends--
		return sta, sta.endIncomplete(http.StatusBadGateway, codeQuarantined)
	case Broken:
		return sta.resendBroken(lim)
	default:
		return sta, sta.endIncomplete(http.StatusBadGateway, "internal")
	}
}

// resendBroken returns the decision after an answer that broke off, or that may have.
func (sta State) resendBroken(lim SendLimits) (State, Decision) {
	sta.Ran = true
	if sta.allowsResend(lim.Route) && sta.mayResend(lim) {
		return sta, Resend{}
	}
	return sta, sta.endIncomplete(http.StatusBadGateway, "endpoint_failed")
}

// endIncomplete returns the decision that ends a call without a complete answer. A
// stream that has begun is aborted, since its events cannot be undone. A call that may
// have run must not be reported as refused.
func (sta State) endIncomplete(status int, code string) Decision {
	switch {
	case sta.Events > 0:
		return Cut{Code: code}
	case sta.Ran:
		return Fail{Status: status, Code: code}
	default:
		return Refuse{Code: code}
	}
}

// allowsResend reports whether another endpoint may run a call that an endpoint may have run.
// Once events were forwarded, it must resume after the last one: another run from the start
// may have other events.
func (sta State) allowsResend(rou parser.Route) bool {
	if sta.Events == 0 {
		return rou.AllowsResend()
	}
	return rou.Resumable && sta.Numbered
}

func (sta State) mayResend(lim SendLimits) bool {
	minLeft := max(minSendTime, time.Duration(minObjectiveShare*float64(lim.Route.FirstTarget)))
	return sta.Sends < lim.Route.Attempts() && lim.Left >= minLeft && lim.TakeRetry()
}
