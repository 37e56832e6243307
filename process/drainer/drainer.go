// Package drainer stops a host without aborting requests in progress.
//
// A draining host reports itself as not ready at once, but accepts new requests for a
// notice period, in which the load balancer takes it out of rotation. Then it closes its
// listener, dispatches only requests that end before the drain does, and stops once its
// requests and background writes have ended. Requests that last longer are answered shortly
// before the process ends.
package drainer

import "time"

// maxAnswerTime is the longest time at the end of a drain for the answers to requests that
// are still in progress, and answerDivisor divides the timeout of a short drain for it.
const (
	maxAnswerTime = 300 * time.Millisecond
	answerDivisor = 4
)

// Settings holds the time limits of a drain.
type Settings struct {
	// Notice is how long a host that reports not ready still accepts requests.
	Notice time.Duration
	// Timeout bounds the time after the notice for requests and background writes to end.
	Timeout time.Duration
}

// answerTime returns the part of the timeout in which requests still in progress are
// answered.
func (set Settings) answerTime() time.Duration {
	return min(maxAnswerTime, set.Timeout/answerDivisor)
}

// Phase is the phase of a drain.
type Phase string

// Phases of a drain.
const (
	// Serving is the phase before a drain.
	Serving Phase = ""
	// InNotice is the notice period: not ready, but accepting connections.
	InNotice Phase = "Noticing"
	// Closing accepts no connections and waits for the work in progress.
	Closing Phase = "Closing"
	// Answering ends the requests in progress with an answer of the host.
	Answering Phase = "Answering"
	// Ended is the phase after a drain, whether or not work was aborted.
	Ended Phase = "Ended"
)

// State is the state of a drain. It is an immutable value; the zero value is a host that
// is not draining.
type State struct {
	Settings  Settings
	Phase     Phase
	StartedAt time.Time
	// ClosingAt and AnsweringAt are when the phases Closing and Answering began.
	ClosingAt   time.Time
	AnsweringAt time.Time
}

// Event is an input to a drain: Signal or Work.
type Event interface{ event() }

// Signal starts the drain. A second signal ends it at once.
type Signal struct{}

// Work counts the work in progress.
type Work struct {
	// Requests counts callers' requests, Writes the background work: writes, and calls
	// that have to be recorded.
	Requests int
	Writes   int
}

func (Signal) event() {}
func (Work) event()   {}

// Action is the next step of a drain: Announce, Close, Answer, End or Abort.
type Action interface{ action() }

// Announce makes the readiness check fail and notifies peers that the host is leaving.
type Announce struct{}

// Close stops accepting connections.
type Close struct{}

// Answer ends the requests in progress with an answer of the host.
type Answer struct{}

// End ends the drain with no work left.
type End struct{}

// Abort ends the drain early and aborts the work in progress, if any.
type Abort struct{ Reason string }

func (Announce) action() {}
func (Close) action()    {}
func (Answer) action()   {}
func (End) action()      {}
func (Abort) action()    {}

// Next returns the state after an event and the action to take; a nil action means none.
func (sta State) Next(eve Event, now time.Time) (State, Action) {
	switch eve := eve.(type) {
	case Signal:
		return sta.signal(now)
	case Work:
		return sta.work(eve, now)
	default:
		return sta, nil
	}
}

func (sta State) signal(now time.Time) (State, Action) {
	switch sta.Phase {
	case Serving:
		sta.Phase = InNotice
		sta.StartedAt = now
		return sta, Announce{}
	case InNotice, Closing, Answering:
		sta.Phase = Ended
		return sta, Abort{Reason: "second signal"}
	default:
		return sta, nil
	}
}

func (sta State) work(eve Work, now time.Time) (State, Action) {
	switch sta.Phase {
	case InNotice:
		if now.Sub(sta.StartedAt) < sta.Settings.Notice {
			return sta, nil
		}
		sta.Phase = Closing
		sta.ClosingAt = now
		return sta, Close{}
	case Closing:
		return sta.closing(eve, now)
	case Answering:
		return sta.answering(eve, now)
	default:
		return sta, nil
	}
}

func (sta State) closing(eve Work, now time.Time) (State, Action) {
	switch {
	case eve.Requests == 0 && eve.Writes == 0:
		sta.Phase = Ended
		return sta, End{}
	case !now.Before(sta.answersAt()):
		sta.Phase = Answering
		sta.AnsweringAt = now
		return sta, Answer{}
	default:
		return sta, nil
	}
}

// answering ends the drain once the requests are answered. The time for the answers counts
// from their beginning, also if the host was late.
func (sta State) answering(eve Work, now time.Time) (State, Action) {
	if eve.Requests == 0 && eve.Writes == 0 || now.Sub(sta.AnsweringAt) >= sta.Settings.answerTime() {
		sta.Phase = Ended
		return sta, Abort{Reason: "drain timeout"}
	}
	return sta, nil
}

// answersAt returns when requests that are still in progress are answered by the host.
func (sta State) answersAt() time.Time {
	closingAt := sta.ClosingAt
	if sta.Phase == InNotice {
		closingAt = sta.StartedAt.Add(sta.Settings.Notice)
	}
	return closingAt.Add(sta.Settings.Timeout - sta.Settings.answerTime())
}

// Permits reports whether a request with this deadline may be sent to an endpoint. In the
// notice period the balancer still chooses this host, so every request may. After it, a
// request may be sent only if its deadline ends it before the drain does: another host
// takes any other request at once, whereas this one would have to break it off.
func (sta State) Permits(deadline, now time.Time) bool {
	switch sta.Phase {
	case Serving:
		return true
	case InNotice:
		return now.Sub(sta.StartedAt) < sta.Settings.Notice || !deadline.After(sta.answersAt())
	case Closing:
		return now.Before(sta.answersAt()) && !deadline.After(sta.answersAt())
	default:
		return false
	}
}
