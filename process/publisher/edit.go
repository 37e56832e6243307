package publisher

import (
	"hemlockpin/connection/persister"
	"hemlockpin/version/parser"

	"github.com/rotisserie/eris"
)

// Result is how an edit ended.
type Result string

// Results of an edit. NotAccepted and Raced mean that nothing was changed by it.
const (
	Accepted    Result = "Accepted"
	Raced       Result = "Raced"
	Unknown     Result = "Unknown"
	NotAccepted Result = "NotAccepted"
)

// step is what an edit waits for.
type step string

const (
	stepReading     step = "Reading"
	stepKeeping     step = "Keeping"
	stepWriting     step = "Writing"
	stepReadingBack step = "ReadingBack"
	stepSpreading   step = "Spreading"
	stepDone        step = "Done"
)

// EditState is what is known of one edit. It is an immutable value.
type EditState struct {
	// Document holds the new content; Edit identifies it.
	Document parser.Tables
	Edit     parser.Edit
	// Known is what the host had in force when the edit began.
	Known parser.Tables

	step    step
	version uint64
	target  parser.Tables
}

// EditEvent is a step of an edit: Begun, Read, HistoryWritten, Wrote, BroadcastDone or TimedOut.
type EditEvent interface{ editEvent() }

// Begun starts an edit.
type Begun struct{}

// Read reports the stored tables. Version 0 stands for none.
type Read struct {
	Tables  parser.Tables
	Version uint64
	Err     error
}

// HistoryWritten reports the write of the revision before to the history.
type HistoryWritten struct{ Err error }

// Wrote reports the conditional write of the new revision.
type Wrote struct{ Err error }

// BroadcastDone reports how many peers were asked to take the new revision, and how
// many have it in force.
type BroadcastDone struct{ Asked, Confirmed int }

// TimedOut reports that the time for the edit is over.
type TimedOut struct{}

func (Begun) editEvent()          {}
func (Read) editEvent()           {}
func (HistoryWritten) editEvent() {}
func (Wrote) editEvent()          {}
func (BroadcastDone) editEvent()  {}
func (TimedOut) editEvent()       {}

// EditAction is what an edit does next: ReadStore, ReadAgain, WriteHistory,
// WriteStore, BroadcastTables or Finish.
type EditAction interface{ editAction() }

// ReadStore reads the stored tables.
type ReadStore struct{}

// ReadAgain reads the stored tables after a pause.
type ReadAgain struct{}

// WriteHistory writes a revision to the history, unless it stands there.
type WriteHistory struct{ Tables parser.Tables }

// WriteStore writes the tables if the object still has the version.
type WriteStore struct {
	Tables  parser.Tables
	Version uint64
}

// BroadcastTables puts accepted tables in force and offers them to peers.
type BroadcastTables struct{ Tables parser.Tables }

// Finish ends the edit. Tables are those accepted, or those that won a race.
type Finish struct {
	Result Result
	Tables parser.Tables
	// InForce counts the hosts known to have the revision in force.
	InForce int
	// Asked counts the peers that were asked to take it.
	Asked int
	Err   error
}

func (ReadStore) editAction()       {}
func (ReadAgain) editAction()       {}
func (WriteHistory) editAction()    {}
func (WriteStore) editAction()      {}
func (BroadcastTables) editAction() {}
func (Finish) editAction()          {}

// Next decides on an event. An event that does not fit the step ends the edit
// as unknown, which is always truthful.
func (sta EditState) Next(eve EditEvent) (EditState, EditAction) {
	if _, ok := eve.(TimedOut); ok {
		return sta.elapsed()
	}
	switch sta.step {
	case "":
		if _, ok := eve.(Begun); ok {
			sta.step = stepReading
			return sta, ReadStore{}
		}
	case stepReading:
		if eve, ok := eve.(Read); ok {
			return sta.read(eve)
		}
	case stepKeeping:
		if eve, ok := eve.(HistoryWritten); ok {
			return sta.kept(eve)
		}
	case stepWriting:
		if eve, ok := eve.(Wrote); ok {
			return sta.wrote(eve)
		}
	case stepReadingBack:
		if eve, ok := eve.(Read); ok {
			return sta.readBack(eve)
		}
	case stepSpreading:
		if eve, ok := eve.(BroadcastDone); ok {
			return sta.finish(Finish{Result: Accepted, Tables: sta.target, InForce: eve.Confirmed + 1, Asked: eve.Asked})
		}
	}
	return sta.finish(Finish{Result: Unknown, Err: eris.Errorf("EditState.Next: event %T at step %q", eve, sta.step)})
}

func (sta EditState) finish(fin Finish) (EditState, EditAction) {
	sta.step = stepDone
	return sta, fin
}

func (sta EditState) read(eve Read) (EditState, EditAction) {
	if eve.Err != nil {
		return sta.finish(Finish{Result: NotAccepted, Err: eve.Err})
	}
	// A lagging answer of the store is older than what this host has in force.
	cur := eve.Tables
	if Adopts(cur.Revision, sta.Known.Revision) {
		cur = sta.Known
	}
	if cur.Revision >= sta.Edit.Revision {
		return sta.finish(Finish{Result: Raced, Tables: cur})
	}
	if cur.Revision+1 != sta.Edit.Revision {
		err := eris.Errorf("EditState.read: the newest revision that can be read is %d, older than the base of the edit", cur.Revision)
		return sta.finish(Finish{Result: NotAccepted, Tables: cur, Err: err})
	}
	sta.target = sta.Document.WithEdit(cur, sta.Edit)
	sta.version = eve.Version
	if cur.Revision == 0 {
		return sta.write()
	}
	sta.step = stepKeeping
	return sta, WriteHistory{cur}
}

func (sta EditState) write() (EditState, EditAction) {
	sta.step = stepWriting
	return sta, WriteStore{Tables: sta.target, Version: sta.version}
}

func (sta EditState) kept(eve HistoryWritten) (EditState, EditAction) {
	if eve.Err != nil {
		return sta.finish(Finish{Result: NotAccepted, Err: eve.Err})
	}
	return sta.write()
}

func (sta EditState) wrote(eve Wrote) (EditState, EditAction) {
	switch {
	case eve.Err == nil:
		sta.step = stepSpreading
		return sta, BroadcastTables{sta.target}
	case eris.Is(eve.Err, persister.ErrTooLarge), eris.Is(eve.Err, persister.ErrRateLimited):
		return sta.finish(Finish{Result: NotAccepted, Err: eve.Err})
	default:
		sta.step = stepReadingBack
		return sta, ReadAgain{}
	}
}

// readBack finds out whether the write took effect.
func (sta EditState) readBack(eve Read) (EditState, EditAction) {
	if eve.Err != nil {
		return sta, ReadAgain{}
	}
	inc, kno := eve.Tables.Includes(sta.target.Revision, sta.Edit.Nonce)
	switch {
	case inc:
		sta.step = stepSpreading
		sta.target = eve.Tables
		return sta, BroadcastTables{eve.Tables}
	case eve.Tables.Revision+1 == sta.target.Revision:
		// The write may still be on its way. A second one is harmless: it has the
		// same nonce, and only one of them can meet the version.
		sta.version = eve.Version
		return sta.write()
	case eve.Tables.Revision < sta.target.Revision:
		return sta, ReadAgain{}
	case kno:
		return sta.finish(Finish{Result: Raced, Tables: eve.Tables})
	default:
		return sta.finish(Finish{Result: Unknown, Tables: eve.Tables})
	}
}

func (sta EditState) elapsed() (EditState, EditAction) {
	switch sta.step {
	case stepWriting, stepReadingBack:
		return sta.finish(Finish{Result: Unknown})
	case stepSpreading:
		return sta.finish(Finish{Result: Accepted, Tables: sta.target, InForce: 1})
	default:
		return sta.finish(Finish{Result: NotAccepted, Err: eris.New("EditState.elapsed: no answer of the store in time")})
	}
}
