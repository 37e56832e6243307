package journaler

import (
	"context"
	"fmt"
	"maps"

	"hemlockpin/connection/persister"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

const (
	// entryObjects is the number of entry objects of a shard. Entry n is stored in
	// object n modulo entryObjects.
	entryObjects = 256
	// segmentObjects is the number of segment objects of a shard. Segment n is stored
	// in object n modulo segmentObjects.
	segmentObjects = 64
	// maxLoadAttempts bounds the attempts to load a log whose objects other writers
	// overwrite during the load.
	maxLoadAttempts = 3
	// maxEntryReads and maxSegmentReads bound the objects that are read concurrently.
	maxEntryReads   = 16
	maxSegmentReads = 4
)

var (
	errOverwritten = eris.New("journaler: the log moved on while it was read")
	errFull        = eris.New("journaler: the segments of the log could not be written")
)

// shardLog is one writer's copy of the log of a shard.
//
// A batch writes one entry, which holds only the delta of that batch, into the next
// object of a ring. The write is conditional on the version of the object's previous
// entry, so that only one writer can write an entry with a given number, even if
// another writer was paused in the meantime.
//
// Segments are a second log of the same kind: segment n combines the entries after
// those of segment n-1. Any writer may write a segment; only the first write succeeds.
// An entry is overwritten only after a segment covers it, and a segment only after the
// head no longer lists it, since its claims are in later segments or were dropped.
// Readers start with the head; an outdated head costs more reads but loses no claims.
// Objects are never deleted.
type shardLog struct {
	store ObjectStore
	path  string
	// entryObjects and segmentObjects are the numbers of entry objects and segment
	// objects.
	entryObjects   uint64
	segmentObjects uint64

	shard Shard
	// seq is the number of the newest entry that is applied to shard.
	seq uint64
	// headRead and segmentsRead report whether the head and the segments were read.
	headRead     bool
	segmentsRead bool

	// head and headVersion are the last known content and version of the head object.
	head        head
	headVersion uint64
	// lastSegment is the number of the newest segment that was read or written, and
	// coveredThrough the number of the last entry that this segment covers.
	lastSegment    uint64
	coveredThrough uint64
	// uncovered holds the slots that entries after coveredThrough changed, and
	// uncoveredBytes is the size of these entries.
	uncovered      map[string]struct{}
	uncoveredBytes int
	// versions holds the last known versions of entry objects and segment objects.
	versions map[string]uint64
}

func (slo *shardLog) entryPath(seq uint64) string {
	return fmt.Sprintf("%s/%03d", slo.path, seq%slo.entryObjects)
}

func (slo *shardLog) segmentPath(number uint64) string {
	return fmt.Sprintf("%s/segment-%02d", slo.path, number%slo.segmentObjects)
}

// headPath returns the path of the head. Format 1 stored its base object there, so a
// store in that format is detected when the head is read.
func (slo *shardLog) headPath() string { return slo.path + "/base" }

// loaded reports whether shard is the content of the log at seq.
func (slo *shardLog) loaded() bool { return slo.segmentsRead }

// reset discards what was read.
func (slo *shardLog) reset() {
	*slo = shardLog{store: slo.store, path: slo.path, entryObjects: slo.entryObjects, segmentObjects: slo.segmentObjects}
}

// load reads the new part of the log. After a failed read it keeps what was read; after
// errOverwritten it starts again from the head.
func (slo *shardLog) load(ctx context.Context) error {
	var err error
	for range maxLoadAttempts {
		err = slo.catchUp(ctx)
		if !eris.Is(err, errOverwritten) {
			return err
		}
		slo.reset()
	}
	return err
}

// catchUp reads the head and the segments, unless they were read already, and then the
// new entries.
func (slo *shardLog) catchUp(ctx context.Context) error {
	if err := slo.startLoad(ctx); err != nil {
		return err
	}
	if err := slo.readSegments(ctx); err != nil {
		return err
	}
	return slo.readEntries(ctx)
}

// startLoad discards the copy of the log and reads the head, unless the head was read
// already.
func (slo *shardLog) startLoad(ctx context.Context) error {
	if slo.headRead {
		return nil
	}
	slo.reset()
	slo.versions, slo.uncovered = map[string]uint64{}, map[string]struct{}{}
	if err := slo.readHead(ctx); err != nil {
		return err
	}
	slo.lastSegment = slo.head.first - 1
	slo.headRead = true
	return nil
}

// readEntries applies the entries after seq. The log ends at the first object that
// holds an older entry or does not exist; the next entry is written there.
func (slo *shardLog) readEntries(ctx context.Context) error {
	for count := 1; ; count = min(2*count, maxEntryReads) {
		var paths []string
		for i := range count {
			paths = append(paths, slo.entryPath(slo.seq+1+uint64(i)))
		}
		objs, err := slo.readAll(ctx, paths)
		if err != nil {
			return err
		}
		for _, obj := range objs {
			end, err := slo.applyEntry(obj)
			if end || err != nil {
				return err
			}
		}
	}
}

// applyEntry applies an object if it holds the next entry, and reports whether the log
// ends before it.
func (slo *shardLog) applyEntry(obj persister.Object) (bool, error) {
	ent, err := decodeEntry(obj.Value)
	switch {
	case err != nil:
		return false, eris.Wrapf(err, "shardLog.applyEntry: %s", obj.Path)
	case ent.seq > slo.seq+1:
		return false, errOverwritten
	case ent.seq < slo.seq+1:
		slo.versions[obj.Path] = obj.Version
		return true, nil
	}
	slo.versions[obj.Path] = obj.Version
	slo.advance(ent, len(obj.Value))
	return false, nil
}

// advance applies an entry that is in the log.
func (slo *shardLog) advance(ent entry, size int) {
	slo.shard.apply(ent.delta)
	slo.seq = ent.seq
	slo.uncoveredBytes += size
	for slot := range maps.Keys(ent.delta.claims) {
		slo.uncovered[slot] = struct{}{}
	}
}

// append writes a delta as the next entry. An error of ObjectStore.Put is returned as
// it is, so that writer.store can determine whether the write took effect; errFull
// means that nothing was written to the entry.
func (slo *shardLog) append(ctx context.Context, del Delta) error {
	ent := entry{seq: slo.seq + 1, delta: del}
	value, err := ent.encode()
	if err != nil {
		return err
	}
	if slo.seq >= slo.coveredThrough+slo.entryObjects || slo.uncoveredBytes+len(value) > maxSegmentBytes {
		if err := slo.writeSegment(ctx); err != nil {
			return eris.Wrapf(errFull, "shardLog.append: %s: %v", slo.path, err)
		}
	}
	path := slo.entryPath(ent.seq)
	version, err := slo.versionOf(ctx, path, ent.seq)
	if err != nil {
		return err
	}
	version, err = slo.store.Put(ctx, persister.Object{Path: path, Version: version, Value: value})
	if err != nil {
		delete(slo.versions, path)
		return err
	}
	slo.versions[path] = version
	slo.advance(ent, len(value))
	return nil
}

// versionOf returns the version of the object into which the entry or segment with a
// number is to be written. It fails with ErrConflict if the object already holds this
// number or a later one, and with ErrRateLimited, which stands for a write that was not
// sent, if the object cannot be read.
func (slo *shardLog) versionOf(ctx context.Context, path string, number uint64) (uint64, error) {
	if version, ok := slo.versions[path]; ok {
		return version, nil
	}
	obj, err := slo.read(ctx, path)
	if err != nil {
		return 0, eris.Wrapf(persister.ErrRateLimited, "shardLog.versionOf: read %s: %v", path, err)
	}
	var rec NumberRecord
	if err := proto.Unmarshal(obj.Value, &rec); err != nil {
		return 0, eris.Wrapf(err, "shardLog.versionOf: %s", path)
	}
	if rec.GetNumber() >= number {
		return 0, persister.ErrConflict
	}
	slo.versions[path] = obj.Version
	return obj.Version, nil
}
