package journaler

import (
	"context"
	"fmt"
	"maps"

	"hemlockpin/connection/persister"

	"github.com/rotisserie/eris"
)

const (
	// ringEntries is the number of entry objects of a shard. Entry n stands in
	// object n modulo ringEntries.
	ringEntries = 256
	// minBaseEntries is the least number of entries between two bases.
	minBaseEntries = 32
	// maxLoads bounds the attempts to load a log that others write.
	maxLoads = 3
)

var (
	errLapped = eris.New("journaler: the log moved on while it was read")
	errFull   = eris.New("journaler: the base of the log could not be written")
)

// shardLog is what one writer knows of the log of a shard.
//
// A commit writes one entry, which holds only what it changes, into the next
// object of a ring. The write is conditional on the version of the entry that
// stood there a lap ago, so that one writer only can write each entry, and a
// writer that was paused can't write into the past. The base object holds the
// shard as of an entry; an entry is overwritten only when the base covers it.
// No object is ever deleted.
type shardLog struct {
	store ObjectStore
	path  string
	ring  uint64

	shard Shard
	// seq is the newest entry that shard contains.
	seq   uint64
	known bool
	// baseSeq and baseVersion are those of the base object as last seen.
	baseSeq     uint64
	baseVersion uint64
	// sinceBase is the size of the entries after the base.
	sinceBase int
	// versions holds the versions of entry objects as last seen.
	versions map[uint64]uint64
}

func (slo *shardLog) slotOf(seq uint64) uint64       { return seq % slo.ring }
func (slo *shardLog) slotPath(slot uint64) string    { return fmt.Sprintf("%s/%03d", slo.path, slot) }
func (slo *shardLog) basePath() string               { return slo.path + "/base" }
func (slo *shardLog) entriesSinceBase() uint64       { return slo.seq - slo.baseSeq }
func (slo *shardLog) overwritesOpen(seq uint64) bool { return seq > slo.baseSeq+slo.ring }

// load catches up with the log.
func (slo *shardLog) load(ctx context.Context) error {
	var err error
	for range maxLoads {
		if !slo.known {
			if err = slo.loadBase(ctx); err != nil {
				return err
			}
		}
		err = slo.catchUp(ctx)
		if !eris.Is(err, errLapped) {
			return err
		}
		slo.known = false
	}
	return err
}

func (slo *shardLog) readBase(ctx context.Context) (base, uint64, error) {
	obj, err := slo.store.Get(ctx, slo.basePath())
	if eris.Is(err, persister.ErrNotFound) {
		return base{}, 0, nil
	}
	if err != nil {
		return base{}, 0, err
	}
	bas, err := decodeBase(obj.Value)
	return bas, obj.Version, eris.Wrapf(err, "shardLog.readBase: %s", slo.basePath())
}

func (slo *shardLog) loadBase(ctx context.Context) error {
	bas, ver, err := slo.readBase(ctx)
	if err != nil {
		return err
	}
	slo.shard, slo.seq = bas.shard, bas.seq
	slo.baseSeq, slo.baseVersion, slo.sinceBase = bas.seq, ver, 0
	slo.known = true
	return nil
}

// catchUp applies the entries after seq. The first object that holds an older
// entry, or none, is where the next one belongs.
func (slo *shardLog) catchUp(ctx context.Context) error {
	sha := Shard{claims: maps.Clone(slo.shard.claims), forgottenMs: slo.shard.forgottenMs, bytes: slo.shard.bytes}
	if sha.claims == nil {
		sha.claims = map[string]*Claim{}
	}
	for {
		ent, size, err := slo.readEntry(ctx, slo.slotOf(slo.seq+1))
		if err != nil {
			// What was applied so far is whole entries.
			slo.shard = sha
			return err
		}
		switch {
		case ent.seq == slo.seq+1:
			ent.apply(&sha)
			slo.seq++
			slo.sinceBase += size
		case ent.seq > slo.seq+1:
			return errLapped
		default:
			slo.shard = sha
			return nil
		}
	}
}

func (slo *shardLog) readEntry(ctx context.Context, slot uint64) (entry, int, error) {
	if slo.versions == nil {
		slo.versions = map[uint64]uint64{}
	}
	obj, err := slo.store.Get(ctx, slo.slotPath(slot))
	if eris.Is(err, persister.ErrNotFound) {
		slo.versions[slot] = 0
		return entry{}, 0, nil
	}
	if err != nil {
		return entry{}, 0, err
	}
	slo.versions[slot] = obj.Version
	ent, err := decodeEntry(obj.Value)
	return ent, len(obj.Value), eris.Wrapf(err, "shardLog.readEntry: %s", slo.slotPath(slot))
}

// append writes the entry that leads to nex. Errors of the platform tell as
// those of a Put whether the write took effect.
func (slo *shardLog) append(ctx context.Context, nex Shard) error {
	seq := slo.seq + 1
	slot := slo.slotOf(seq)
	if slo.overwritesOpen(seq) {
		if err := slo.writeBase(ctx); err != nil {
			return eris.Wrapf(errFull, "shardLog.append: %s: %v", slo.path, err)
		}
	}
	ver, ok := slo.versions[slot]
	if !ok {
		ent, _, err := slo.readEntry(ctx, slot)
		if err != nil {
			return eris.Wrapf(persister.ErrRateLimited, "shardLog.append: read %s: %v", slo.slotPath(slot), err)
		}
		if ent.seq >= seq {
			return persister.ErrConflict
		}
		ver = slo.versions[slot]
	}
	val, err := newEntry(seq, slo.shard, nex).encode()
	if err != nil {
		return err
	}
	ver, err = slo.store.Put(ctx, persister.Object{Path: slo.slotPath(slot), Version: ver, Value: val})
	if err != nil {
		delete(slo.versions, slot)
		return err
	}
	slo.versions[slot] = ver
	slo.shard, slo.seq = nex, seq
	slo.sinceBase += len(val)
	return nil
}

// baseDue reports whether a base would save more reading than it costs writing.
func (slo *shardLog) baseDue() bool {
	return slo.known && slo.entriesSinceBase() >= min(minBaseEntries, slo.ring) && slo.sinceBase >= slo.shard.Bytes()
}

// writeBase writes the shard as the base, unless another writer did.
func (slo *shardLog) writeBase(ctx context.Context) error {
	val, err := base{seq: slo.seq, shard: slo.shard}.encode()
	if err != nil {
		return err
	}
	ver, err := slo.store.Put(ctx, persister.Object{Path: slo.basePath(), Version: slo.baseVersion, Value: val})
	if err == nil {
		slo.baseSeq, slo.baseVersion, slo.sinceBase = slo.seq, ver, 0
		return nil
	}
	bas, ver, rea := slo.readBase(ctx)
	if rea != nil {
		return rea
	}
	was := slo.baseSeq
	slo.baseSeq, slo.baseVersion = bas.seq, ver
	if bas.seq > was {
		slo.sinceBase = 0
		return nil
	}
	return err
}
