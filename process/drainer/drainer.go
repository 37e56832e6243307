// Package drainer stops a host without aborting requests in progress.
//
// A draining host reports itself as not ready at once, but accepts new requests for a
// notice period, in which the load balancer takes it out of rotation. Then it closes its
// listener, and stops once its requests and background writes have ended.
package drainer

import "time"

// Settings holds the time limits of a drain.
type Settings struct {
	// Notice is how long a host that reports not ready still accepts requests.
	Notice time.Duration
	// Timeout bounds the time after the notice for requests and background writes to end.
	Timeout time.Duration
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
	// Ended is the phase after a drain, whether or not work was aborted.
	Ended Phase = "Ended"
)

// State is the state of a drain. It is an immutable value; the zero value is a host that
// is not draining.
type State struct {
	Settings  Settings
	Phase     Phase
	StartedAt time.Time
	// ClosingAt is when the phase Closing began.
	ClosingAt time.Time
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

// Action is the next step of a drain: Announce, Close, End or Abort.
type Action interface{ action() }

// Announce makes the readiness check fail and notifies peers that the host is leaving.
type Announce struct{}

// Close stops accepting connections.
type Close struct{}

// End ends the drain with no work left.
type End struct{}

// Abort ends the drain early and aborts the work in progress, if any.
type Abort struct{ Reason string }

func (Announce) action() {}
func (Close) action()    {}
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
	case InNotice, Closing:
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
	default:
		return sta, nil
	}
}

func (sta State) closing(eve Work, now time.Time) (State, Action) {
	switch {
	case eve.Requests == 0 && eve.Writes == 0:
		sta.Phase = Ended
		return sta, End{}
	case now.Sub(sta.ClosingAt) >= sta.Settings.Timeout:
		sta.Phase = Ended
		return sta, Abort{Reason: "drain timeout"}
	default:
		return sta, nil
	}
}
