package relayer

import (
	"net/http"
	"time"

	"hemlockpin/version/parser"
)

const (
	// maxDials bounds the endpoints that are tried without a connection.
	maxDials = 4
	// minObjectiveShare is the share of the latency objective that must be left
	// for another send; with less, the endpoint could hardly begin.
	minObjectiveShare = 0.25
	// minSendTime is the least time left for another send.
	minSendTime = 50 * time.Millisecond
)

// Outcome is what came of a send: Whole, Answered, NotRun, Unreached, Broken,
// TimedOut or CallerDisconnected.
type Outcome interface{ outcome() }

// Whole is a whole answer without a failure, or a stream to its end.
type Whole struct{}

// Answered is a whole answer of the endpoint that reports a failure.
type Answered struct{ Status int }

// NotRun says that the endpoint refused the call without running it.
type NotRun struct{}

// Unreached says that no connection to the endpoint was made.
type Unreached struct{}

// Broken says that the answer broke off, was none, or stayed out for too long.
type Broken struct{ Step string }

// TimedOut says that the time of the call is over. Sent tells whether an endpoint
// had it then.
type TimedOut struct{ Sent bool }

// CallerDisconnected says that the caller has left.
type CallerDisconnected struct{}

func (Whole) outcome()              {}
func (Answered) outcome()           {}
func (NotRun) outcome()             {}
func (Unreached) outcome()          {}
func (Broken) outcome()             {}
func (TimedOut) outcome()           {}
func (CallerDisconnected) outcome() {}

// State is what has happened to a call. It is an immutable value.
type State struct {
	// Sends counts the endpoints to which the call was sent, Dials those that
	// could not be reached.
	Sends int
	Dials int
	// Ran says that an endpoint has run the call or may have.
	Ran bool
	// Events counts the events that the caller got.
	Events int
}

// WithSend returns the state after the call was sent.
func (sta State) WithSend() State {
	sta.Sends++
	return sta
}

// SendLimits are what bounds the sends of a call.
type SendLimits struct {
	Route parser.Route
	// Left is the time left.
	Left time.Duration
	// TakeRetry reports whether the host may send the call once more.
	TakeRetry func() bool
}

// Decision is Deliver, Resend, Refuse, Fail or Cut.
type Decision interface{ decision() }

// Deliver passes the endpoint's answer on as it is.
type Deliver struct{}

// Resend sends the call to another endpoint, after the last event that the
// caller has.
type Resend struct{}

// Refuse tells the caller that the call has not run and will not.
type Refuse struct{ Code string }

// Fail tells the caller that the call failed and may have run.
type Fail struct {
	Status int
	Code   string
}

// Cut breaks the answer off, so that it does not look whole.
type Cut struct{ Code string }

func (Deliver) decision() {}
func (Resend) decision()  {}
func (Refuse) decision()  {}
func (Fail) decision()    {}
func (Cut) decision()     {}

// Next decides what follows a send.
func Next(sta State, out Outcome, ter SendLimits) (State, Decision) {
	switch out := out.(type) {
	case Whole:
		return sta, Deliver{}
	case CallerDisconnected:
		sta.Ran = true
		return sta, Cut{Code: "caller_gone"}
	case TimedOut:
		sta.Ran = sta.Ran || out.Sent
		return sta, sta.give(http.StatusGatewayTimeout, "time_limit")
	case Answered:
		sta.Ran = true
		if ter.Route.Repeatable && out.Status >= http.StatusInternalServerError && sta.resends(ter) {
			return sta, Resend{}
		}
		return sta, Deliver{}
	case NotRun:
		if sta.resends(ter) {
			return sta, Resend{}
		}
		return sta, sta.give(http.StatusBadGateway, "endpoint_refused")
	case Unreached:
		sta.Sends--
		sta.Dials++
		if sta.Dials < maxDials && ter.Left > minSendTime {
			return sta, Resend{}
		}
		return sta, sta.give(http.StatusBadGateway, "endpoint_unreached")
	case Broken:
		sta.Ran = true
		if ter.Route.Reruns() && sta.resends(ter) {
			return sta, Resend{}
		}
		return sta, sta.give(http.StatusBadGateway, "endpoint_failed")
	default:
		return sta, sta.give(http.StatusBadGateway, "internal")
	}
}

// give ends a call without an answer: what the caller has of a stream can't be
// taken back, and what may have run is no refusal.
func (sta State) give(status int, code string) Decision {
	switch {
	case sta.Events > 0:
		return Cut{Code: code}
	case sta.Ran:
		return Fail{Status: status, Code: code}
	default:
		return Refuse{Code: code}
	}
}

func (sta State) resends(ter SendLimits) bool {
	least := max(minSendTime, time.Duration(minObjectiveShare*float64(ter.Route.FirstTarget)))
	return sta.Sends < ter.Route.Attempts() && ter.Left >= least && ter.TakeRetry()
}
