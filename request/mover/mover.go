// Package mover decides, step by step, how an answer begun on one engine, the source,
// continues on another, the target. A failed move does not affect the answer: the
// source generates it until the target has the same tokens and at least one more.
package mover

import "time"

const (
	// MinTime is the least time left for which a move is worthwhile.
	MinTime = time.Second
	// CatchUpLimit bounds the time for which both engines generate the same answer.
	CatchUpLimit = time.Second
	// MinCaughtUpTokens is the number of tokens that the target must generate before
	// the switch. The time of the first token shows only how long the request was
	// queued, not the decode rate.
	MinCaughtUpTokens = 2
	// StepLimit bounds each of the steps before the dispatch to the target.
	StepLimit = 5 * time.Second

	// The transfer of a prompt is estimated at transferBase plus its tokens at
	// transferRate, in tokens a second, and the rest of the answer at stepTime for each
	// token. The rest must take minGainFactor times as long as the transfer.
	transferBase  = 20 * time.Millisecond
	transferRate  = 2e6
	stepTime      = 10 * time.Millisecond
	minGainFactor = 3
)

// Step is the progress of a move.
type Step int

// Steps, in their order.
const (
	// Idle means that the move has not begun.
	Idle Step = iota
	// Requesting means that a target with memory for the answer is sought.
	Requesting
	// Exporting means that the source is to keep the prompt's blocks.
	Exporting
	// Importing means that the target fetches the blocks.
	Importing
	// CatchingUp means that both engines generate.
	CatchingUp
	// Comparing means that the target is ahead of the caller, and its tokens are to be
	// compared.
	Comparing
	// Over means that the move has ended, whether completed or aborted.
	Over
)

var stepNames = [...]string{"Idle", "Ask", "Export", "Import", "CatchUp", "Switch", "Over"}

// String returns the name of the step, as in the label step of the metric moves_failed
// and the span attribute Step.
func (ste Step) String() string { return stepNames[ste] }

// State is the state of one move. It is an immutable value; the zero value is a move
// that has not begun.
type State struct {
	Step Step
	// PromptTokens is the length of the prompt.
	PromptTokens int64
	// Blocks counts the blocks of the prompt that engines can transfer.
	Blocks int
}

// Remaining holds the tokens left until the limit of an answer, and the time left until
// its deadline.
type Remaining struct {
	Tokens int64
	Time   time.Duration
}

// Event is a step of a move: Began, Offered, Exported, Imported, CaughtUp, Behind,
// Agreed, Failed, SourceFailed or Ended.
type Event interface{ event() }

// Began reports the first token of the answer.
type Began struct{ Remaining Remaining }

// Offered reports that a target with memory for the answer was found.
type Offered struct{}

// Exported reports that the source keeps the prompt's blocks for the transfer.
type Exported struct{}

// Imported reports that the target has the prompt's blocks.
type Imported struct{ Remaining Remaining }

// CaughtUp reports that the target has generated a token that the caller has not
// received.
type CaughtUp struct{}

// Behind reports that the caller has received more tokens than the target has
// generated.
type Behind struct{}

// Agreed reports that the target's tokens equal those that the caller received.
type Agreed struct{}

// Failed reports that the step in progress failed, or that the tokens differ.
type Failed struct{}

// SourceFailed reports that the source's stream has failed.
type SourceFailed struct{}

// Ended reports that the request has ended, with a complete answer or without.
type Ended struct{}

func (Began) event()        {}
func (Offered) event()      {}
func (Exported) event()     {}
func (Imported) event()     {}
func (CaughtUp) event()     {}
func (Behind) event()       {}
func (Agreed) event()       {}
func (Failed) event()       {}
func (SourceFailed) event() {}
func (Ended) event()        {}

// Action is what to do next: Ask, Export, Import, CatchUp, Compare, Switch, Await,
// Abort or Nothing.
type Action interface{ action() }

// Ask requests a target for the answer.
type Ask struct{}

// Export makes the source keep the prompt's blocks.
type Export struct{}

// Import makes the target fetch the blocks.
type Import struct{}

// CatchUp dispatches to the target from the next token on, unless that was done, and
// reads until the target is ahead of the source.
type CatchUp struct{}

// Compare compares the target's tokens with those that the caller received.
type Compare struct{}

// Switch continues the answer on the target and cancels the request on the source.
// Export says that the export must be released.
type Switch struct{ Export bool }

// Await waits for the target, since the source has failed.
type Await struct{}

// Abort aborts the move and frees everything that it may hold. At is the step that did
// not succeed.
type Abort struct {
	At Step
	// Target says that a target may have been reserved, Export that the export may be
	// held, Dispatch that the target may be generating.
	Target   bool
	Export   bool
	Dispatch bool
}

// Nothing means that there is nothing to do.
type Nothing struct{}

func (Ask) action()     {}
func (Export) action()  {}
func (Import) action()  {}
func (CatchUp) action() {}
func (Compare) action() {}
func (Switch) action()  {}
func (Await) action()   {}
func (Abort) action()   {}
func (Nothing) action() {}

// Next decides on an event. An event that does not fit the step has arrived late and
// changes nothing.
func (sta State) Next(eve Event) (State, Action) {
	switch eve := eve.(type) {
	case Began:
		return sta.afterBegan(eve.Remaining)
	case Offered:
		return sta.afterOffered()
	case Exported:
		return sta.advance(Exporting, Importing, Import{})
	case Imported:
		return sta.afterImported(eve.Remaining)
	case CaughtUp:
		return sta.advance(CatchingUp, Comparing, Compare{})
	case Behind:
		return sta.advance(Comparing, CatchingUp, CatchUp{})
	case Agreed:
		return sta.advance(Comparing, Over, Switch{Export: sta.Blocks > 0})
	case SourceFailed:
		return sta.afterSourceFailure()
	case Failed, Ended:
		return sta.abort()
	default:
		return sta, Nothing{}
	}
}

func (sta State) advance(from, to Step, act Action) (State, Action) {
	if sta.Step != from {
		return sta, Nothing{}
	}
	sta.Step = to
	return sta, act
}

func (sta State) afterBegan(rem Remaining) (State, Action) {
	if sta.Step == Idle && !sta.worthWhile(rem) {
		sta.Step = Over
		return sta, Nothing{}
	}
	return sta.advance(Idle, Requesting, Ask{})
}

// afterOffered skips the transfer if the prompt is shorter than one block.
func (sta State) afterOffered() (State, Action) {
	if sta.Blocks == 0 {
		return sta.advance(Requesting, CatchingUp, CatchUp{})
	}
	return sta.advance(Requesting, Exporting, Export{})
}

func (sta State) afterImported(rem Remaining) (State, Action) {
	if sta.Step == Importing && !sta.worthWhile(rem) {
		return sta.abort()
	}
	return sta.advance(Importing, CatchingUp, CatchUp{})
}

// afterSourceFailure waits for the target only if the target already has the request.
func (sta State) afterSourceFailure() (State, Action) {
	if sta.Step == CatchingUp || sta.Step == Comparing {
		return sta, Await{}
	}
	return sta.abort()
}

// abort frees what may be held, including the result of a step that was in progress, as
// that step may have been completed.
func (sta State) abort() (State, Action) {
	at := sta.Step
	sta.Step = Over
	if at == Idle || at == Over {
		return sta, Nothing{}
	}
	return sta, Abort{
		At: at, Target: at >= Requesting, Export: at >= Exporting && sta.Blocks > 0, Dispatch: at >= CatchingUp,
	}
}

// worthWhile reports whether the rest of the answer takes at least minGainFactor times
// as long as the transfer of the prompt, and at least MinTime is left.
func (sta State) worthWhile(rem Remaining) bool {
	answerTime := time.Duration(rem.Tokens) * stepTime
	return rem.Time >= MinTime && answerTime >= minGainFactor*sta.transferTime()
}

func (sta State) transferTime() time.Duration {
	return transferBase + time.Duration(float64(sta.PromptTokens)/transferRate*float64(time.Second))
}
