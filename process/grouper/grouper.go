// Package grouper reserves memory on a group of engines that together hold one long
// prompt: on all of them or on none.
//
// Engines are reserved in the order of their names, whatever the order in the plan, and
// a host that waits for memory of an engine holds memory only of engines whose names
// sort before it. So hosts that compete for the same engines cannot deadlock. An engine
// keeps the memory that becomes free for the reservation that has waited longest, so
// that short prompts do not delay a long one for ever. The wait for an engine is
// bounded; when it ends without a reservation, all parts are released, so that a long
// prompt does not delay short ones for ever either.
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
	// waitDivisor bounds the wait for one engine to 1/waitDivisor of the request's
	// remaining time.
	waitDivisor = 8
)

// State is the state of a reservation in progress. It is an immutable value.
type State struct {
	// Parts are in the order in which they are reserved.
	Parts []invoker.Part
	// Held is the number of leading parts that are reserved.
	Held     int
	Deadline time.Time
}

// Event is an event of a reservation: Started, Granted, Denied, NoAnswer or
// RequestEnded.
type Event interface{ event() }

// Started starts the reservation with the first part.
type Started struct{}

// Granted reports that the engine reserved the next part.
type Granted struct{}

// Denied reports that the engine did not reserve the next part.
type Denied struct{ Message string }

// NoAnswer reports that it is not known whether the engine reserved the next part.
type NoAnswer struct{ Message string }

// RequestEnded reports that the request has ended, by its deadline or because its
// caller disconnected.
type RequestEnded struct{}

func (Started) event()      {}
func (Granted) event()      {}
func (Denied) event()       {}
func (NoAnswer) event()     {}
func (RequestEnded) event() {}

// Action is what to do next: Reserve, Complete or GiveUp.
type Action interface{ action() }

// Reserve requests a part from its engine, which waits at most Wait for free memory.
type Reserve struct {
	Part invoker.Part
	Wait time.Duration
}

// Complete ends the reservation with all parts held.
type Complete struct{}

// GiveUp releases the parts in Release and ends the reservation with none held. Engine
// is the engine that did not reserve its part; it is empty if the request has ended.
// NoAnswer reports that it is not known whether the engine reserved its part.
type GiveUp struct {
	Release  []invoker.Part
	Engine   string
	NoAnswer bool
	Message  string
}

func (Reserve) action()  {}
func (Complete) action() {}
func (GiveUp) action()   {}

// New returns the initial state of a reservation of the parts of a plan, sorted by the
// names of their engines.
func New(pars []invoker.Part, deadline time.Time) State {
	pars = slices.Clone(pars)
	slices.SortFunc(pars, func(par, other invoker.Part) int { return cmp.Compare(par.Endpoint, other.Endpoint) })
	return State{Parts: pars, Deadline: deadline}
}

// Next returns the state after an event and the next action.
func (sta State) Next(eve Event, now time.Time) (State, Action) {
	switch eve := eve.(type) {
	case Granted:
		sta.Held++
	case Denied:
		return sta.giveUp(sta.Held, false, eve.Message)
	case NoAnswer:
		return sta.giveUp(sta.Held+1, true, eve.Message)
	case RequestEnded:
		// The engine of the next part may still grant it.
		held := min(sta.Held+1, len(sta.Parts))
		return State{Parts: sta.Parts, Deadline: sta.Deadline}, GiveUp{Release: sta.Parts[:held], Message: "the request has ended"}
	}
	if sta.Held == len(sta.Parts) {
		return sta, Complete{}
	}
	return sta, Reserve{Part: sta.Parts[sta.Held], Wait: sta.wait(now)}
}

func (sta State) giveUp(held int, noAnswer bool, message string) (State, Action) {
	engine := sta.Parts[sta.Held].Endpoint
	return State{Parts: sta.Parts, Deadline: sta.Deadline}, GiveUp{Release: sta.Parts[:held], Engine: engine, NoAnswer: noAnswer, Message: message}
}

func (sta State) wait(now time.Time) time.Duration {
	return max(0, min(MaxWait, sta.Deadline.Sub(now)/waitDivisor))
}
