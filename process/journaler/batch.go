package journaler

import (
	"time"

	"hemlockpin/connection/messenger"
)

// Batch decides how the queued changes of one shard are written with one conditional
// write. It is an immutable value, apart from the shard that it reads, and does no
// input or output.
//
// A definite result is returned only after a conditional write of the batch took effect
// or a read that began after the start of the batch confirmed the result. If the time
// for the batch passes first, all results are NOT_COMMITTED or UNKNOWN. After a write
// without an answer the log is read again; the nonces show whether the write took
// effect.
type Batch struct {
	Changes []*messenger.ClaimCommit

	shard *Shard
	seq   uint64
	// loaded reports that shard is the content of the log at seq. It is false while a
	// write is in progress.
	loaded bool
	// readInBatch reports that shard was read after the start of the batch.
	readInBatch bool
	// mayHaveEffect reports that a write of the batch may have taken effect or may still
	// take effect.
	mayHaveEffect bool
	results       []*messenger.ClaimResult
	lastError     string
}

// NewBatch returns a batch with the writer's cached content of the shard. seq is the
// number of the newest entry in the shard's log; loaded reports whether the cached
// content is valid.
func NewBatch(changes []*messenger.ClaimCommit, sha *Shard, seq uint64, loaded bool) Batch {
	return Batch{Changes: changes, shard: sha, seq: seq, loaded: loaded}
}

// Event is an event of a batch.
type Event interface{ event() }

// Started starts the batch.
type Started struct{}

// Loaded reports the content that was read.
type Loaded struct {
	Shard *Shard
	Seq   uint64
}

// LoadFailed reports a read that failed.
type LoadFailed struct{ Message string }

// Stored reports a write that took effect.
type Stored struct{ Seq uint64 }

// Conflicted reports that another writer wrote first, so that the write had no effect.
type Conflicted struct{}

// Refused reports a write that had no effect, for another reason than a conflict. The
// batch tries again.
type Refused struct{ Message string }

// WriteUnknown reports a write of which it is not known whether it took effect.
type WriteUnknown struct{ Message string }

// Expired reports that the time for the batch has passed.
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

// Store appends Delta to the log on condition that Seq is the number of its newest
// entry.
type Store struct {
	Delta Delta
	Seq   uint64
}

// Answer ends the batch with a result for each change.
type Answer struct{ Results []*messenger.ClaimResult }

func (Load) action()   {}
func (Store) action()  {}
func (Answer) action() {}

// Next returns the state of the batch after an event and the next action.
func (bat Batch) Next(eve Event, now time.Time) (Batch, Action) {
	switch eve := eve.(type) {
	case Started:
		if !bat.loaded {
			return bat, Load{}
		}
		return bat.evaluate(now)
	case Loaded:
		bat.shard, bat.seq = eve.Shard, eve.Seq
		bat.loaded, bat.readInBatch = true, true
		return bat.evaluate(now)
	case Stored:
		bat.seq = eve.Seq
		return bat, Answer{bat.results}
	case LoadFailed:
		return bat.reload(eve.Message, true)
	case Conflicted:
		return bat.reload("", false)
	case Refused:
		return bat.reload(eve.Message, true)
	case WriteUnknown:
		bat.mayHaveEffect = true
		return bat.reload(eve.Message, true)
	default:
		return bat, Answer{bat.expired()}
	}
}

func (bat Batch) evaluate(now time.Time) (Batch, Action) {
	del, results, changed := bat.shard.Evaluate(bat.Changes, now)
	switch {
	case changed:
		bat.results = results
		bat.loaded = false
		return bat, Store{Delta: del, Seq: bat.seq}
	case bat.readInBatch:
		return bat, Answer{results}
	default:
		// The cached content may be out of date, so the log is read before the changes
		// are refused.
		return bat, Load{}
	}
}

func (bat Batch) reload(message string, pause bool) (Batch, Action) {
	bat.loaded, bat.readInBatch = false, false
	if message != "" {
		bat.lastError = message
	}
	return bat, Load{Pause: pause}
}

// expired returns the results of a batch whose time has passed: NOT_COMMITTED if no
// write can have taken effect, and UNKNOWN otherwise.
func (bat Batch) expired() []*messenger.ClaimResult {
	sta := messenger.ClaimResult_STATE_NOT_COMMITTED
	if bat.mayHaveEffect {
		sta = messenger.ClaimResult_STATE_UNKNOWN
	}
	results := make([]*messenger.ClaimResult, 0, len(bat.Changes))
	for range bat.Changes {
		results = append(results, &messenger.ClaimResult{State: sta, Message: bat.lastError})
	}
	return results
}
