// Package grouper reserves memory on a group of engines that together hold one
// long prompt: on all of them or on none.
//
// Engines are taken in the order of their names, whatever the plan says, and a
// host that waits for one holds only engines that come before it. So hosts that
// race for the same engines can't wait for each other in a circle. An engine
// keeps what becomes free for the reservation that waits longest, so that a long
// prompt is not passed by short ones for ever; the wait is bounded, after which
// everything is given back, so that short ones are not held up for ever either.
package grouper

import (
	"cmp"
	"slices"
	"time"

	"hemlockpin/connection/invoker"
)

const (
	// MaxWait bounds the wait for one engine.
	MaxWait = 5 * time.Second
	// waitShare of the time left may be spent on waiting for one engine.
	waitShare = 8
)

// State is a reservation in progress. It is an immutable value.
type State struct {
	// Parts are in the order in which they are taken.
	Parts []invoker.Part
	// Held counts the leading parts that are reserved.
	Held     int
	Deadline time.Time
}

// Event is a step of a reservation: Started, Granted, Denied, Lost or Expired.
type Event interface{ event() }

// Started begins with the first part.
type Started struct{}

// Granted reports that the engine holds the next part.
type Granted struct{}

// Denied reports that the engine does not hold the next part.
type Denied struct{ Message string }

// Lost reports that it is not known whether the engine holds the next part.
type NoAnswer struct{ Message string }

// Expired reports that the request has ended.
type Expired struct{}

func (Started) event()  {}
func (Granted) event()  {}
func (Denied) event()   {}
func (NoAnswer) event() {}
func (Expired) event()  {}

// Action is what to do next: Reserve, Complete or GiveUp.
type Action interface{ action() }

// Reserve asks an engine for its part and waits at most Wait for memory.
type Reserve struct {
	Part invoker.Part
	Wait time.Duration
}

// Complete ends with all parts held.
type Complete struct{}

// GiveUp releases the parts and ends with none held. Engine is the one that
// could not be had; it is empty when the request itself has ended. Lost says
// that the engine did not answer.
type GiveUp struct {
	Release  []invoker.Part
	Engine   string
	NoAnswer bool
	Message  string
}

func (Reserve) action()  {}
func (Complete) action() {}
func (GiveUp) action()   {}

// New puts the parts of a plan into the order in which they are taken.
func New(pars []invoker.Part, deadline time.Time) State {
	pars = slices.Clone(pars)
	slices.SortFunc(pars, func(one, two invoker.Part) int { return cmp.Compare(one.Endpoint, two.Endpoint) })
	return State{Parts: pars, Deadline: deadline}
}

// Next decides on an event.
func (sta State) Next(eve Event, now time.Time) (State, Action) {
	switch eve := eve.(type) {
	case Granted:
		sta.Held++
	case Denied:
		return sta.giveUp(sta.Held, false, eve.Message)
	case NoAnswer:
		return sta.giveUp(sta.Held+1, true, eve.Message)
	case Expired:
		// A reservation that is under way may still be granted.
		held := min(sta.Held+1, len(sta.Parts))
		return State{Parts: sta.Parts, Deadline: sta.Deadline}, GiveUp{Release: sta.Parts[:held], Message: "the request has ended"}
	}
	if sta.Held == len(sta.Parts) {
		return sta, Complete{}
	}
	return sta, Reserve{Part: sta.Parts[sta.Held], Wait: sta.wait(now)}
}

func (sta State) giveUp(held int, lost bool, message string) (State, Action) {
	eng := sta.Parts[sta.Held].Endpoint
	return State{Parts: sta.Parts, Deadline: sta.Deadline}, GiveUp{Release: sta.Parts[:held], Engine: eng, NoAnswer: lost, Message: message}
}

func (sta State) wait(now time.Time) time.Duration {
	return max(0, min(MaxWait, sta.Deadline.Sub(now)/waitShare))
}
