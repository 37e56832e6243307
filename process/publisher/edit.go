package publisher

import (
	"hemlockpin/connection/persister"
	"hemlockpin/version/parser"

	"github.com/rotisserie/eris"
)

// Result is the outcome of an edit.
type Result string

// Results of an edit. NotAccepted and Raced mean that the edit changed nothing.
const (
	Accepted    Result = "Accepted"
	Raced       Result = "Raced"
	Unknown     Result = "Unknown"
	NotAccepted Result = "NotAccepted"
)

// step is what an edit is waiting for.
type step string

const (
	stepReading        step = "Reading"
	stepWritingHistory step = "Keeping"
	stepWriting        step = "Writing"
	stepReadingBack    step = "ReadingBack"
	stepBroadcasting   step = "Spreading"
	stepDone           step = "Done"
)

// EditState is the state machine of one edit. It is an immutable value.
type EditState struct {
	// Content holds the new content; Edit identifies the edit.
	Content parser.Tables
	Edit    parser.Edit
	// Known holds the tables in force on this host when the edit began.
	Known parser.Tables

	step step
	// version is the version of the object that the write replaces, target the tables to
	// write.
	version uint64
	target  parser.Tables
}

// EditEvent is an input of EditState: Begun, StoreRead, HistoryWritten, StoreWritten,
// BroadcastDone or TimedOut.
type EditEvent interface{ editEvent() }

// Begun starts an edit.
type Begun struct{}

// StoreRead reports the stored tables. Version 0 means that none are stored.
type StoreRead struct {
	Tables  parser.Tables
	Version uint64
	Err     error
}

// HistoryWritten reports that the previous revision was written to the history, or why not.
type HistoryWritten struct{ Err error }

// StoreWritten reports the result of the conditional write of the new revision.
type StoreWritten struct{ Err error }

// BroadcastDone reports how many peers were offered the new revision, and how
// many have it in force.
type BroadcastDone struct{ Offered, Adopted int }

// TimedOut reports that the time limit of the edit has passed.
type TimedOut struct{}

func (Begun) editEvent()          {}
func (StoreRead) editEvent()      {}
func (HistoryWritten) editEvent() {}
func (StoreWritten) editEvent()   {}
func (BroadcastDone) editEvent()  {}
func (TimedOut) editEvent()       {}

// EditAction is an output of EditState: ReadStore, ReadAgain, WriteHistory,
// WriteStore, BroadcastTables or Finish.
type EditAction interface{ editAction() }

// ReadStore reads the stored tables.
type ReadStore struct{}

// ReadAgain reads the stored tables after a pause.
type ReadAgain struct{}

// WriteHistory writes a revision to the history, unless it is there already.
type WriteHistory struct{ Tables parser.Tables }

// WriteStore writes the tables if the stored object still has the version.
type WriteStore struct {
	Tables  parser.Tables
	Version uint64
}

// BroadcastTables puts accepted tables in force and offers them to peers.
type BroadcastTables struct{ Tables parser.Tables }

// Finish ends the edit. Tables are the accepted tables if Result is Accepted, else the
// tables that decided the result, if any.
type Finish struct {
	Result Result
	Tables parser.Tables
	// InForce is the number of hosts known to have the revision in force.
	InForce int
	// Offered is the number of peers that were offered the revision.
	Offered int
	Err     error
}

func (ReadStore) editAction()       {}
func (ReadAgain) editAction()       {}
func (WriteHistory) editAction()    {}
func (WriteStore) editAction()      {}
func (BroadcastTables) editAction() {}
func (Finish) editAction()          {}

// Next applies an event and returns the next action. An event that is unexpected at the
// current step ends the edit as Unknown, which claims nothing about the store.
func (sta EditState) Next(eve EditEvent) (EditState, EditAction) {
	if _, ok := eve.(TimedOut); ok {
		return sta.timedOut()
	}
	switch sta.step {
	case "":
		if _, ok := eve.(Begun); ok {
			sta.step = stepReading
			return sta, ReadStore{}
		}
	case stepReading:
		if eve, ok := eve.(StoreRead); ok {
			return sta.read(eve)
		}
	case stepWritingHistory:
		if eve, ok := eve.(HistoryWritten); ok {
			return sta.historyWritten(eve)
		}
	case stepWriting:
		if eve, ok := eve.(StoreWritten); ok {
			return sta.wrote(eve)
		}
	case stepReadingBack:
		if eve, ok := eve.(StoreRead); ok {
			return sta.readBack(eve)
		}
	case stepBroadcasting:
		if eve, ok := eve.(BroadcastDone); ok {
			return sta.finish(Finish{Result: Accepted, Tables: sta.target, InForce: eve.Adopted + 1, Offered: eve.Offered})
		}
	}
	return sta.finish(Finish{Result: Unknown, Err: eris.Errorf("EditState.Next: event %T at step %q", eve, sta.step)})
}

func (sta EditState) finish(fin Finish) (EditState, EditAction) {
	sta.step = stepDone
	return sta, fin
}

func (sta EditState) read(eve StoreRead) (EditState, EditAction) {
	if eve.Err != nil {
		return sta.finish(Finish{Result: NotAccepted, Err: eve.Err})
	}
	// A lagging store may return tables older than those in force on this host.
	current := eve.Tables
	if Adopts(current.Revision, sta.Known.Revision) {
		current = sta.Known
	}
	if current.Revision >= sta.Edit.Revision {
		return sta.finish(Finish{Result: Raced, Tables: current})
	}
	if current.Revision+1 != sta.Edit.Revision {
		err := eris.Errorf("EditState.read: the newest revision that can be read is %d, older than the base of the edit", current.Revision)
		return sta.finish(Finish{Result: NotAccepted, Tables: current, Err: err})
	}
	sta.target = sta.Content.WithEdit(current, sta.Edit)
	sta.version = eve.Version
	if current.Revision == 0 {
		return sta.write()
	}
	sta.step = stepWritingHistory
	return sta, WriteHistory{current}
}

func (sta EditState) write() (EditState, EditAction) {
	sta.step = stepWriting
	return sta, WriteStore{Tables: sta.target, Version: sta.version}
}

func (sta EditState) historyWritten(eve HistoryWritten) (EditState, EditAction) {
	if eve.Err != nil {
		return sta.finish(Finish{Result: NotAccepted, Err: eve.Err})
	}
	return sta.write()
}

func (sta EditState) wrote(eve StoreWritten) (EditState, EditAction) {
	switch {
	case eve.Err == nil:
		sta.step = stepBroadcasting
		return sta, BroadcastTables{sta.target}
	case eris.Is(eve.Err, persister.ErrTooLarge), eris.Is(eve.Err, persister.ErrRateLimited):
		return sta.finish(Finish{Result: NotAccepted, Err: eve.Err})
	default:
		sta.step = stepReadingBack
		return sta, ReadAgain{}
	}
}

// readBack determines whether the write took effect.
func (sta EditState) readBack(eve StoreRead) (EditState, EditAction) {
	if eve.Err != nil {
		return sta, ReadAgain{}
	}
	included, conclusive := eve.Tables.Includes(sta.target.Revision, sta.Edit.Nonce)
	switch {
	case included:
		sta.step = stepBroadcasting
		sta.target = eve.Tables
		return sta, BroadcastTables{eve.Tables}
	case eve.Tables.Revision+1 == sta.target.Revision:
		// The write may still be in transit. Repeating it is safe: both writes have the
		// same nonce, and only one of them can match the version.
		sta.version = eve.Version
		return sta.write()
	case eve.Tables.Revision < sta.target.Revision:
		return sta, ReadAgain{}
	case conclusive:
		return sta.finish(Finish{Result: Raced, Tables: eve.Tables})
	default:
		return sta.finish(Finish{Result: Unknown, Tables: eve.Tables})
	}
}

func (sta EditState) timedOut() (EditState, EditAction) {
	switch sta.step {
	case stepWriting, stepReadingBack:
		return sta.finish(Finish{Result: Unknown})
	case stepBroadcasting:
		return sta.finish(Finish{Result: Accepted, Tables: sta.target, InForce: 1})
	default:
		return sta.finish(Finish{Result: NotAccepted, Err: eris.New("EditState.elapsed: no answer of the store in time")})
	}
}
