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
	// ringEntries is the number of entry objects of a shard. Entry n stands in
	// object n modulo ringEntries.
	ringEntries = 256
	// ringSegments is the same for segments.
	ringSegments = 64
	// maxLoads bounds the attempts to load a log that others write.
	maxLoads = 3
	// maxEntryReads and maxSegmentReads bound what is read at once.
	maxEntryReads   = 16
	maxSegmentReads = 4
)

var (
	errLapped = eris.New("journaler: the log moved on while it was read")
	errFull   = eris.New("journaler: the segments of the log could not be written")
)

// shardLog is what one writer knows of the log of a shard.
//
// A commit writes one entry, which holds only what it changes, into the next
// object of a ring. The write is conditional on the version of the entry that
// stood there a lap ago, so that one writer only can write each entry, and a
// writer that was paused can't write into the past.
//
// Segments are a second log of the same kind: segment n joins the entries after
// those of segment n-1, so any writer may write it, and the first one counts. An
// entry is overwritten only when a segment covers it, and a segment only when
// the head says that its claims stand in later ones or were dropped. The head
// is where a reader begins; an old one costs reads, not claims. No object is
// ever deleted.
type shardLog struct {
	store ObjectStore
	path  string
	// ring and segments are the numbers of objects.
	ring     uint64
	segments uint64

	shard Shard
	// seq is the newest entry that shard contains.
	seq uint64
	// opened says that the head was read, joined that the segments were.
	opened bool
	joined bool

	// head and headVersion are those of the head object as last seen.
	head        head
	headVersion uint64
	// last is the newest segment, through the last entry that it covers.
	last    uint64
	through uint64
	// dirty are the slots that entries after the segments changed, and pending
	// the size of those entries.
	dirty   map[string]struct{}
	pending int
	// versions holds the versions of entries and segments as last seen.
	versions map[string]uint64
}

func (slo *shardLog) entryPath(seq uint64) string {
	return fmt.Sprintf("%s/%03d", slo.path, seq%slo.ring)
}

func (slo *shardLog) segmentPath(num uint64) string {
	return fmt.Sprintf("%s/segment-%02d", slo.path, num%slo.segments)
}

func (slo *shardLog) headPath() string { return slo.path + "/base" }

// known reports whether the shard is what the log held at seq.
func (slo *shardLog) known() bool { return slo.joined }

// reset forgets what was read.
func (slo *shardLog) reset() {
	*slo = shardLog{store: slo.store, path: slo.path, ring: slo.ring, segments: slo.segments}
}

// load catches up with the log. What was read before a failure is kept.
func (slo *shardLog) load(ctx context.Context) error {
	var err error
	for range maxLoads {
		err = slo.catchUp(ctx)
		if !eris.Is(err, errLapped) {
			return err
		}
		slo.reset()
	}
	return err
}

func (slo *shardLog) catchUp(ctx context.Context) error {
	if err := slo.open(ctx); err != nil {
		return err
	}
	if err := slo.join(ctx); err != nil {
		return err
	}
	return slo.follow(ctx)
}

// open begins with the head.
func (slo *shardLog) open(ctx context.Context) error {
	if slo.opened {
		return nil
	}
	slo.reset()
	slo.versions, slo.dirty = map[string]uint64{}, map[string]struct{}{}
	if err := slo.readHead(ctx); err != nil {
		return err
	}
	slo.last = slo.head.first - 1
	slo.opened = true
	return nil
}

// follow applies the entries after seq. The first object that holds an older
// entry, or none, is where the next one belongs.
func (slo *shardLog) follow(ctx context.Context) error {
	for cou := 1; ; cou = min(2*cou, maxEntryReads) {
		var paths []string
		for ind := range cou {
			paths = append(paths, slo.entryPath(slo.seq+1+uint64(ind)))
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

// applyEntry applies an object that holds the next entry, and reports whether
// the log ends before it.
func (slo *shardLog) applyEntry(obj persister.Object) (bool, error) {
	ent, err := decodeEntry(obj.Value)
	switch {
	case err != nil:
		return false, eris.Wrapf(err, "shardLog.applyEntry: %s", obj.Path)
	case ent.seq > slo.seq+1:
		return false, errLapped
	case ent.seq < slo.seq+1:
		slo.versions[obj.Path] = obj.Version
		return true, nil
	}
	slo.versions[obj.Path] = obj.Version
	slo.taken(ent, len(obj.Value))
	return false, nil
}

// taken follows an entry that is in the log.
func (slo *shardLog) taken(ent entry, size int) {
	slo.shard.take(ent.delta)
	slo.seq = ent.seq
	slo.pending += size
	for key := range maps.Keys(ent.delta.claims) {
		slo.dirty[key] = struct{}{}
	}
}

// append writes the entry of a change. Errors of the platform tell as those of a
// Put whether the write took effect.
func (slo *shardLog) append(ctx context.Context, del Delta) error {
	ent := entry{seq: slo.seq + 1, delta: del}
	val, err := ent.encode()
	if err != nil {
		return err
	}
	if slo.seq >= slo.through+slo.ring || slo.pending+len(val) > maxSegmentBytes {
		if err := slo.writeSegment(ctx); err != nil {
			return eris.Wrapf(errFull, "shardLog.append: %s: %v", slo.path, err)
		}
	}
	path := slo.entryPath(ent.seq)
	ver, err := slo.versionOf(ctx, path, ent.seq)
	if err != nil {
		return err
	}
	ver, err = slo.store.Put(ctx, persister.Object{Path: path, Version: ver, Value: val})
	if err != nil {
		delete(slo.versions, path)
		return err
	}
	slo.versions[path] = ver
	slo.taken(ent, len(val))
	return nil
}

// versionOf returns the version of the object that a number goes to, on the
// condition that it holds an older number.
func (slo *shardLog) versionOf(ctx context.Context, path string, num uint64) (uint64, error) {
	if ver, ok := slo.versions[path]; ok {
		return ver, nil
	}
	obj, err := slo.read(ctx, path)
	if err != nil {
		return 0, eris.Wrapf(persister.ErrRateLimited, "shardLog.versionOf: read %s: %v", path, err)
	}
	var rec NumberRecord
	if err := proto.Unmarshal(obj.Value, &rec); err != nil {
		return 0, eris.Wrapf(err, "shardLog.versionOf: %s", path)
	}
	if rec.GetNumber() >= num {
		return 0, persister.ErrConflict
	}
	slo.versions[path] = obj.Version
	return obj.Version, nil
}
