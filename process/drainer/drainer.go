// Package drainer ends a host without cutting off requests in progress.
//
// A draining host is not ready at once but serves new requests for a notice, so
// that the balancer can turn away. Then it takes no more connections, and ends
// when its requests and background writes have.
package drainer

import "time"

// Settings are the times of a drain.
type Settings struct {
	// Notice is how long a host that is not ready still takes requests.
	Notice time.Duration
	// Timeout bounds the requests in progress after the notice.
	Timeout time.Duration
}

// Phase is how far a drain is.
type Phase string

// Phases of a drain.
const (
	Serving  Phase = ""
	Noticing Phase = "Noticing"
	Closing  Phase = "Closing"
	Ended    Phase = "Ended"
)

// State is what is known of a drain. It is an immutable value; its zero value
// serves.
type State struct {
	Settings Settings
	Phase    Phase
	Began    time.Time
	Closed   time.Time
}

// Event is something that a drain learns: Signal or Progress.
type Event interface{ event() }

// Signal is the order to end. A second one ends at once.
type Signal struct{}

// Progress reports the work in progress.
type Progress struct {
	// Requests counts callers' requests, Writes the background writes.
	Requests int
	Writes   int
}

func (Signal) event()   {}
func (Progress) event() {}

// Action is what a drain does next: Announce, Close, End or Cut.
type Action interface{ action() }

// Announce ends readiness and tells peers that the host leaves.
type Announce struct{}

// Close takes no more connections.
type Close struct{}

// End ends the host with nothing left to do.
type End struct{}

// Cut ends the host although work is in progress.
type Cut struct{ Reason string }

func (Announce) action() {}
func (Close) action()    {}
func (End) action()      {}
func (Cut) action()      {}

// Next decides on an event. A nil action asks for nothing.
func (sta State) Next(eve Event, now time.Time) (State, Action) {
	switch eve := eve.(type) {
	case Signal:
		return sta.signal(now)
	case Progress:
		return sta.look(eve, now)
	default:
		return sta, nil
	}
}

func (sta State) signal(now time.Time) (State, Action) {
	switch sta.Phase {
	case Serving:
		sta.Phase = Noticing
		sta.Began = now
		return sta, Announce{}
	case Noticing, Closing:
		sta.Phase = Ended
		return sta, Cut{Reason: "second signal"}
	default:
		return sta, nil
	}
}

func (sta State) look(eve Progress, now time.Time) (State, Action) {
	switch sta.Phase {
	case Noticing:
		if now.Sub(sta.Began) < sta.Settings.Notice {
			return sta, nil
		}
		sta.Phase = Closing
		sta.Closed = now
		return sta, Close{}
	case Closing:
		return sta.closing(eve, now)
	default:
		return sta, nil
	}
}

func (sta State) closing(eve Progress, now time.Time) (State, Action) {
	switch {
	case eve.Requests == 0 && eve.Writes == 0:
		sta.Phase = Ended
		return sta, End{}
	case now.Sub(sta.Closed) >= sta.Settings.Timeout:
		sta.Phase = Ended
		return sta, Cut{Reason: "drain timeout"}
	default:
		return sta, nil
	}
}
