// Package mover decides, step by step, how an answer that one engine has begun
// goes on at another. The answer never depends on a move: until the second
// engine has the very tokens of the first and one more, the first one answers.
package mover

import "time"

const (
	// MinTime is the least time left for which a move is worth while.
	MinTime = time.Second
	// CatchUpLimit bounds the time for which two engines work on one answer.
	CatchUpLimit = time.Second
	// MinCaughtUpTokens is the number of tokens from which the pace of the second engine
	// shows; the first one tells its queue only.
	MinCaughtUpTokens = 2
	// StepLimit bounds each of the steps before the second dispatch.
	StepLimit = 5 * time.Second

	// A prompt is taken to move at transferRate tokens a second after
	// transferBase, and an answer to take stepTime a token. What is left of an
	// answer must take worth times as long as the move.
	transferBase = 20 * time.Millisecond
	transferRate = 2e6
	stepTime     = 10 * time.Millisecond
	worth        = 3
)

// Step is how far a move has come.
type Step int

// Steps, in their order.
const (
	Idle Step = iota
	Asking
	Exporting
	Importing
	// CatchingUp has both engines generate.
	CatchingUp
	// Caught has the second engine ahead of the first.
	Caught
	// Over ends a move, whether it was carried out or given up.
	Over
)

var names = [...]string{"Idle", "Ask", "Export", "Import", "CatchUp", "Switch", "Over"}

// String returns the name of the step.
func (ste Step) String() string { return names[ste] }

// State is how far one move has come. It is an immutable value; the zero value
// is a move that was not begun.
type State struct {
	Step Step
	// PromptTokens is the length of the prompt.
	PromptTokens int64
	// Blocks counts the blocks of the prompt that engines can pass on.
	Blocks int
}

// Remaining is what is left of an answer.
type Remaining struct {
	Tokens int64
	Time   time.Duration
}

// Event is a step of a move: Began, Offered, Exported, Imported, CaughtUp,
// Behind, Agreed, Failed, SourceFailed or Ended.
type Event interface{ event() }

// Began reports the first token of the answer.
type Began struct{ Remaining Remaining }

// Offered reports an engine that has memory for the answer.
type Offered struct{}

// Exported reports that the first engine keeps the prompt's blocks.
type Exported struct{}

// Imported reports that the second engine has the prompt's blocks.
type Imported struct{ Remaining Remaining }

// CaughtUp reports that the second engine has a token which the caller has not.
type CaughtUp struct{}

// Behind reports that the caller has got more tokens meanwhile.
type Behind struct{}

// Agreed reports that the second engine's tokens are those that the caller has.
type Agreed struct{}

// Failed reports that the step in progress failed, or that the tokens differ.
type Failed struct{}

// SourceFailed reports that the first engine's stream has failed.
type SourceFailed struct{}

// Ended reports that the request has ended, whole or not.
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

// Action is what to do next: Ask, Export, Import, CatchUp, Compare, Switch,
// Await, Abort or Nothing.
type Action interface{ action() }

// Ask looks for an engine that goes on with the answer.
type Ask struct{}

// Export makes the first engine keep the prompt's blocks.
type Export struct{}

// Import makes the second engine fetch them.
type Import struct{}

// CatchUp dispatches to the second engine from the next token on, unless that
// is done, and reads until it is ahead of the first.
type CatchUp struct{}

// Compare holds the second engine's tokens against those that the caller has.
type Compare struct{}

// Switch goes on with the second engine and gives up the first one, with the
// export if there is one.
type Switch struct{ Export bool }

// Await waits for the second engine, since the first one has failed.
type Await struct{}

// Abort gives up the move. At is the step that did not succeed. Everything that
// the move may hold is freed.
type Abort struct {
	At Step
	// Target says that an engine may have been offered, Export that the export
	// may be held, Dispatch that the second engine may generate.
	Target   bool
	Export   bool
	Dispatch bool
}

// Nothing leaves things as they are.
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

// Next decides on an event. An event that does not fit the step is late and
// changes nothing.
func (sta State) Next(eve Event) (State, Action) {
	switch eve := eve.(type) {
	case Began:
		return sta.afterBegin(eve.Remaining)
	case Offered:
		return sta.afterOffer()
	case Exported:
		return sta.advance(Exporting, Importing, Import{})
	case Imported:
		return sta.afterImport(eve.Remaining)
	case CaughtUp:
		return sta.advance(CatchingUp, Caught, Compare{})
	case Behind:
		return sta.advance(Caught, CatchingUp, CatchUp{})
	case Agreed:
		return sta.advance(Caught, Over, Switch{Export: sta.Blocks > 0})
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

func (sta State) afterBegin(res Remaining) (State, Action) {
	if sta.Step == Idle && !sta.worthWhile(res) {
		sta.Step = Over
		return sta, Nothing{}
	}
	return sta.advance(Idle, Asking, Ask{})
}

// afterOffer passes no blocks on where the prompt is shorter than one.
func (sta State) afterOffer() (State, Action) {
	if sta.Blocks == 0 {
		return sta.advance(Asking, CatchingUp, CatchUp{})
	}
	return sta.advance(Asking, Exporting, Export{})
}

func (sta State) afterImport(res Remaining) (State, Action) {
	if sta.Step == Importing && !sta.worthWhile(res) {
		return sta.abort()
	}
	return sta.advance(Importing, CatchingUp, CatchUp{})
}

// afterSourceFailure counts on the second engine only where it has the request.
func (sta State) afterSourceFailure() (State, Action) {
	if sta.Step == CatchingUp || sta.Step == Caught {
		return sta, Await{}
	}
	return sta.abort()
}

// abort frees what may be held. A step whose end is not known may have been
// carried out.
func (sta State) abort() (State, Action) {
	at := sta.Step
	sta.Step = Over
	if at == Idle || at == Over {
		return sta, Nothing{}
	}
	return sta, Abort{
		At: at, Target: at >= Asking, Export: at >= Exporting && sta.Blocks > 0, Dispatch: at >= CatchingUp,
	}
}

// worthWhile holds when what is left of the answer takes well longer than its
// move.
func (sta State) worthWhile(res Remaining) bool {
	lef := time.Duration(res.Tokens) * stepTime
	return res.Time >= MinTime && lef >= worth*sta.transferTime()
}

func (sta State) transferTime() time.Duration {
	return transferBase + time.Duration(float64(sta.PromptTokens)/transferRate*float64(time.Second))
}
