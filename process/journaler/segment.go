package journaler

import (
	"context"
	"sync"

	"hemlockpin/connection/persister"

	"github.com/rotisserie/eris"
)

const (
	// maxSegmentEntries and dueSegmentBytes are when a segment is due.
	maxSegmentEntries = 64
	dueSegmentBytes   = 512 << 10
	// maxSegmentBytes bounds a segment. It lies below the platform's limit of a
	// value.
	maxSegmentBytes = 900 << 10
	// Claims of old segments are carried over to new ones so that this part of
	// the segments stays free, but at least minFreeSegments.
	freeShare       = 8
	minFreeSegments = 2
)

// readAll reads objects at once. An absent one has version 0 and no value.
func (slo *shardLog) readAll(ctx context.Context, paths []string) ([]persister.Object, error) {
	objs := make([]persister.Object, len(paths))
	errs := make([]error, len(paths))
	var gro sync.WaitGroup
	for ind, path := range paths {
		if len(paths) == 1 {
			objs[0], errs[0] = slo.read(ctx, path)
			continue
		}
		gro.Go(func() { objs[ind], errs[ind] = slo.read(ctx, path) })
	}
	gro.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return objs, nil
}

func (slo *shardLog) read(ctx context.Context, path string) (persister.Object, error) {
	obj, err := slo.store.Get(ctx, path)
	if eris.Is(err, persister.ErrNotFound) {
		return persister.Object{Path: path}, nil
	}
	return obj, err
}

func (slo *shardLog) readHead(ctx context.Context) error {
	obj, err := slo.read(ctx, slo.headPath())
	if err != nil {
		return err
	}
	hea := head{first: 1}
	if obj.Version != 0 {
		if hea, err = decodeHead(obj.Value); err != nil {
			return eris.Wrapf(err, "shardLog.readHead: %s", slo.headPath())
		}
	}
	slo.head, slo.headVersion = hea, obj.Version
	return nil
}

// join applies the segments after last. Those that the head does not name yet
// count too.
func (slo *shardLog) join(ctx context.Context) error {
	for !slo.joined {
		var paths []string
		for num := slo.last + 1; num <= slo.head.last+1 && len(paths) < maxSegmentReads; num++ {
			paths = append(paths, slo.segmentPath(num))
		}
		if len(paths) == 0 {
			paths = []string{slo.segmentPath(slo.last + 1)}
		}
		objs, err := slo.readAll(ctx, paths)
		if err != nil {
			return err
		}
		for _, obj := range objs {
			if err := slo.joinSegment(obj); err != nil {
				return err
			}
		}
	}
	return nil
}

// joinSegment applies an object that holds the next segment. An older one, or
// none, ends the segments.
func (slo *shardLog) joinSegment(obj persister.Object) error {
	seg, err := decodeSegment(obj.Value)
	switch {
	case err != nil:
		return eris.Wrapf(err, "shardLog.joinSegment: %s", obj.Path)
	case seg.number > slo.last+1:
		return errLapped
	case seg.number < slo.last+1 && slo.last < slo.head.last:
		return eris.Errorf("shardLog.joinSegment: %s holds segment %d instead of %d", obj.Path, seg.number, slo.last+1)
	}
	slo.versions[obj.Path] = obj.Version
	if seg.number < slo.last+1 {
		slo.joined = true
		return nil
	}
	slo.shard.take(seg.delta)
	slo.seq = seg.through
	slo.covered(seg)
	return nil
}

// covered follows a segment that is in the store.
func (slo *shardLog) covered(seg segment) {
	for key, cla := range seg.delta.claims {
		if kep, ok := slo.shard.claims[key]; ok && cla != nil {
			kep.segment = seg.number
		}
	}
	slo.last, slo.through = seg.number, seg.through
	slo.dirty, slo.pending = map[string]struct{}{}, 0
}

// segmentDue reports whether a segment would save more reading than it costs
// writing.
func (slo *shardLog) segmentDue() bool {
	return slo.known() && (slo.seq-slo.through >= min(maxSegmentEntries, slo.ring) || slo.pending >= dueSegmentBytes)
}

// writeSegment writes the next segment and the head. Where another writer came
// first, the log is read anew.
func (slo *shardLog) writeSegment(ctx context.Context) error {
	seg := segment{number: slo.last + 1, through: slo.seq, delta: slo.unjoined()}
	path := slo.segmentPath(seg.number)
	slo.carry(&seg)
	if seg.number >= slo.head.first+slo.segments {
		if err := slo.writeHead(ctx); err != nil {
			return err
		}
		if seg.number >= slo.head.first+slo.segments {
			return eris.Wrap(errFull, "shardLog.writeSegment")
		}
	}
	val, err := seg.encode()
	if err != nil {
		return err
	}
	ver, err := slo.versionOf(ctx, path, seg.number)
	if err == nil {
		ver, err = slo.store.Put(ctx, persister.Object{Path: path, Version: ver, Value: val})
	}
	if err != nil {
		delete(slo.versions, path)
		if eris.Is(err, persister.ErrConflict) {
			slo.reset()
		}
		return err
	}
	slo.versions[path] = ver
	slo.covered(seg)
	return slo.writeHead(ctx)
}

// unjoined returns what the entries after the segments changed.
func (slo *shardLog) unjoined() Delta {
	del := Delta{forgottenMs: slo.shard.forgottenMs, bodilessMs: slo.shard.bodilessMs, claims: make(map[string]*Claim, len(slo.dirty))}
	for key := range slo.dirty {
		del.claims[key] = slo.shard.claims[key]
	}
	return del
}

// first returns the oldest segment that holds a claim as it is. Older ones are
// needed no more: their claims stand in later segments or entries, or are gone.
func (slo *shardLog) first() uint64 {
	fir := slo.last + 1
	for _, cla := range slo.shard.claims {
		if cla.segment != 0 {
			fir = min(fir, cla.segment)
		}
	}
	return fir
}

// carry adds claims of the oldest segments to a new one, where too few segments
// are free.
func (slo *shardLog) carry(seg *segment) {
	roo := maxSegmentBytes - slo.pending
	lim := slo.segments - max(minFreeSegments, slo.segments/freeShare)
	if seg.number <= slo.head.first+lim {
		return
	}
	for key, cla := range slo.shard.claims {
		if cla.segment == 0 || cla.segment+lim >= seg.number {
			continue
		}
		if roo -= cla.size(); roo < 0 {
			return
		}
		seg.delta.claims[key] = cla
	}
}

// writeHead writes which segments are needed, unless another writer wrote more.
func (slo *shardLog) writeHead(ctx context.Context) error {
	hea := head{first: max(slo.first(), slo.head.first), last: slo.last}
	if hea.last < slo.head.last {
		return persister.ErrConflict
	}
	val, err := hea.encode()
	if err != nil {
		return err
	}
	ver, err := slo.store.Put(ctx, persister.Object{Path: slo.headPath(), Version: slo.headVersion, Value: val})
	if err == nil {
		slo.head, slo.headVersion = hea, ver
		return nil
	}
	if rea := slo.readHead(ctx); rea != nil {
		return rea
	}
	if slo.head.last >= hea.last {
		return nil
	}
	return err
}
