package journaler

import (
	"time"

	"hemlockpin/connection/messenger"
)

// Batch decides how the changes that wait for one shard get into the store with
// one conditional write. It is an immutable value beside the shard that it reads,
// and does no input or output.
//
// A result is answered only when a conditional write of the batch succeeded or
// a read that began after the batch shows it. A write without an answer is
// followed by a read, which shows by the nonces whether it took effect.
type Batch struct {
	Changes []*messenger.ClaimCommit

	shard   *Shard
	version uint64
	// loaded says that shard is what the log held at version.
	loaded bool
	// fresh says that shard was read after the batch began.
	fresh bool
	// lost says that a write of the batch may have taken effect or may yet do so.
	lost    bool
	results []*messenger.ClaimResult
	message string
}

// NewBatch begins a batch with what the writer remembers of the shard. The
// version counts the entries of its log.
func NewBatch(changes []*messenger.ClaimCommit, sha *Shard, version uint64, known bool) Batch {
	return Batch{Changes: changes, shard: sha, version: version, loaded: known}
}

// Event is a step of a batch.
type Event interface{ event() }

// Begun starts the batch.
type Started struct{}

// Loaded reports what a read returned.
type Loaded struct {
	Shard   *Shard
	Version uint64
}

// LoadFailed reports a read without result.
type LoadFailed struct{ Message string }

// Stored reports a write that took effect.
type Stored struct{ Version uint64 }

// Conflicted reports that another writer wrote first.
type Conflicted struct{}

// Refused reports a write that certainly had no effect.
type Refused struct{ Message string }

// Lost reports a write of which it is unknown whether it took effect.
type WriteUnknown struct{ Message string }

// Expired reports that the time of the batch has passed.
type Expired struct{}

func (Started) event()      {}
func (Loaded) event()       {}
func (LoadFailed) event()   {}
func (Stored) event()       {}
func (Conflicted) event()   {}
func (Refused) event()      {}
func (WriteUnknown) event() {}
func (Expired) event()      {}

// Action is what to do next: Load, Store or Answer.
type Action interface{ action() }

// Load reads the log, after a pause if Pause is set.
type Load struct{ Pause bool }

// Store writes the change on the condition that the log of the shard ends at the
// version.
type Store struct {
	Delta   Delta
	Version uint64
}

// Answer ends the batch with a result for each change.
type Answer struct{ Results []*messenger.ClaimResult }

func (Load) action()   {}
func (Store) action()  {}
func (Answer) action() {}

// Next decides on an event.
func (bat Batch) Next(eve Event, now time.Time) (Batch, Action) {
	switch eve := eve.(type) {
	case Started:
		if !bat.loaded {
			return bat, Load{}
		}
		return bat.attempt(now)
	case Loaded:
		bat.shard, bat.version = eve.Shard, eve.Version
		bat.loaded, bat.fresh = true, true
		return bat.attempt(now)
	case Stored:
		bat.version = eve.Version
		return bat, Answer{bat.results}
	case LoadFailed:
		return bat.reload(eve.Message, true)
	case Conflicted:
		return bat.reload("", false)
	case Refused:
		return bat.reload(eve.Message, true)
	case WriteUnknown:
		bat.lost = true
		return bat.reload(eve.Message, true)
	default:
		return bat, Answer{bat.expired()}
	}
}

func (bat Batch) attempt(now time.Time) (Batch, Action) {
	del, ress, cha := bat.shard.Evaluate(bat.Changes, now)
	switch {
	case cha:
		bat.results = ress
		bat.loaded = false
		return bat, Store{Delta: del, Version: bat.version}
	case bat.fresh:
		return bat, Answer{ress}
	default:
		// What the writer remembers may be old, so it can't refuse by itself.
		return bat, Load{}
	}
}

func (bat Batch) reload(message string, pause bool) (Batch, Action) {
	bat.loaded, bat.fresh = false, false
	if message != "" {
		bat.message = message
	}
	return bat, Load{Pause: pause}
}

// expired is not committed only if no write can have taken effect.
func (bat Batch) expired() []*messenger.ClaimResult {
	sta := messenger.ClaimResult_STATE_NOT_COMMITTED
	if bat.lost {
		sta = messenger.ClaimResult_STATE_UNKNOWN
	}
	ress := make([]*messenger.ClaimResult, 0, len(bat.Changes))
	for range bat.Changes {
		ress = append(ress, &messenger.ClaimResult{State: sta, Message: bat.message})
	}
	return ress
}
