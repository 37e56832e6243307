package journaler

import (
	"context"
	"sync"

	"hemlockpin/connection/persister"

	"github.com/rotisserie/eris"
)

const (
	// A segment is due after dueSegmentEntries entries or dueSegmentBytes of entries.
	dueSegmentEntries = 64
	dueSegmentBytes   = 512 << 10
	// maxSegmentBytes bounds the size of a segment. It is below the platform's limit for
	// a value.
	maxSegmentBytes = 900 << 10
	// freeDivisor and minFreeSegments determine how many segment objects stay free:
	// 1/freeDivisor of them, but at least minFreeSegments. Claims of old segments are
	// copied to new segments so that the old segments can be overwritten.
	freeDivisor     = 8
	minFreeSegments = 2
)

// readAll reads objects concurrently. An absent object has version 0 and no value.
func (slo *shardLog) readAll(ctx context.Context, paths []string) ([]persister.Object, error) {
	objs := make([]persister.Object, len(paths))
	errs := make([]error, len(paths))
	var wg sync.WaitGroup
	for i, path := range paths {
		if len(paths) == 1 {
			objs[0], errs[0] = slo.read(ctx, path)
			continue
		}
		wg.Go(func() { objs[i], errs[i] = slo.read(ctx, path) })
	}
	wg.Wait()
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

// readSegments applies the segments after lastSegment, including those that the head does
// not yet list.
func (slo *shardLog) readSegments(ctx context.Context) error {
	for !slo.segmentsRead {
		var paths []string
		for number := slo.lastSegment + 1; number <= slo.head.last+1 && len(paths) < maxSegmentReads; number++ {
			paths = append(paths, slo.segmentPath(number))
		}
		if len(paths) == 0 {
			paths = []string{slo.segmentPath(slo.lastSegment + 1)}
		}
		objs, err := slo.readAll(ctx, paths)
		if err != nil {
			return err
		}
		for _, obj := range objs {
			if err := slo.applySegment(obj); err != nil {
				return err
			}
		}
	}
	return nil
}

// applySegment applies an object if it holds the next segment. An older segment or an
// absent object means that there are no more segments, unless the head lists the next
// segment, which is an error.
func (slo *shardLog) applySegment(obj persister.Object) error {
	seg, err := decodeSegment(obj.Value)
	switch {
	case err != nil:
		return eris.Wrapf(err, "shardLog.applySegment: %s", obj.Path)
	case seg.number > slo.lastSegment+1:
		return errOverwritten
	case seg.number < slo.lastSegment+1 && slo.lastSegment < slo.head.last:
		return eris.Errorf("shardLog.applySegment: %s holds segment %d instead of %d", obj.Path, seg.number, slo.lastSegment+1)
	}
	slo.versions[obj.Path] = obj.Version
	if seg.number < slo.lastSegment+1 {
		slo.segmentsRead = true
		return nil
	}
	slo.shard.apply(seg.delta)
	slo.seq = seg.through
	slo.markCovered(seg)
	return nil
}

// markCovered records that a stored segment covers the uncovered slots.
func (slo *shardLog) markCovered(seg segment) {
	for slot, cla := range seg.delta.claims {
		if current, ok := slo.shard.claims[slot]; ok && cla != nil {
			current.segment = seg.number
		}
	}
	slo.lastSegment, slo.coveredThrough = seg.number, seg.through
	slo.uncovered, slo.uncoveredBytes = map[string]struct{}{}, 0
}

// segmentDue reports whether enough entries, or enough bytes of entries, are uncovered
// for a new segment.
func (slo *shardLog) segmentDue() bool {
	return slo.loaded() && (slo.seq-slo.coveredThrough >= min(dueSegmentEntries, slo.entryObjects) || slo.uncoveredBytes >= dueSegmentBytes)
}

// writeSegment writes the next segment and the head. If another writer wrote this
// segment first, the copy of the log is discarded, so that the next batch reads the log
// again.
func (slo *shardLog) writeSegment(ctx context.Context) error {
	seg := segment{number: slo.lastSegment + 1, through: slo.seq, delta: slo.uncoveredDelta()}
	path := slo.segmentPath(seg.number)
	slo.carryOver(&seg)
	if seg.number >= slo.head.first+slo.segmentObjects {
		if err := slo.writeHead(ctx); err != nil {
			return err
		}
		if seg.number >= slo.head.first+slo.segmentObjects {
			return eris.Wrap(errFull, "shardLog.writeSegment")
		}
	}
	value, err := seg.encode()
	if err != nil {
		return err
	}
	version, err := slo.versionOf(ctx, path, seg.number)
	if err == nil {
		version, err = slo.store.Put(ctx, persister.Object{Path: path, Version: version, Value: value})
	}
	if err != nil {
		delete(slo.versions, path)
		if eris.Is(err, persister.ErrConflict) {
			slo.reset()
		}
		return err
	}
	slo.versions[path] = version
	slo.markCovered(seg)
	return slo.writeHead(ctx)
}

// uncoveredDelta returns the combined delta of the entries after coveredThrough.
func (slo *shardLog) uncoveredDelta() Delta {
	del := Delta{forgottenMs: slo.shard.forgottenMs, bodilessMs: slo.shard.bodilessMs, claims: make(map[string]*Claim, len(slo.uncovered))}
	for slot := range slo.uncovered {
		del.claims[slot] = slo.shard.claims[slot]
	}
	return del
}

// oldestNeeded returns the oldest segment that contains a claim in its present state.
// Older segments are not needed: their claims are in later segments or entries, or were
// dropped.
func (slo *shardLog) oldestNeeded() uint64 {
	first := slo.lastSegment + 1
	for _, cla := range slo.shard.claims {
		if cla.segment != 0 {
			first = min(first, cla.segment)
		}
	}
	return first
}

// carryOver adds claims of the oldest segments to seg, as far as they fit, if too few
// segment objects are free.
func (slo *shardLog) carryOver(seg *segment) {
	room := maxSegmentBytes - slo.uncoveredBytes
	usableObjects := slo.segmentObjects - max(minFreeSegments, slo.segmentObjects/freeDivisor)
	if seg.number <= slo.head.first+usableObjects {
		return
	}
	for slot, cla := range slo.shard.claims {
		if cla.segment == 0 || cla.segment+usableObjects >= seg.number {
			continue
		}
		if room -= cla.size(); room < 0 {
			return
		}
		seg.delta.claims[slot] = cla
	}
}

// writeHead writes the numbers of the oldest needed segment and of the newest segment,
// unless another writer has written a later head.
func (slo *shardLog) writeHead(ctx context.Context) error {
	hea := head{first: max(slo.oldestNeeded(), slo.head.first), last: slo.lastSegment}
	if hea.last < slo.head.last {
		return persister.ErrConflict
	}
	value, err := hea.encode()
	if err != nil {
		return err
	}
	version, err := slo.store.Put(ctx, persister.Object{Path: slo.headPath(), Version: slo.headVersion, Value: value})
	if err == nil {
		slo.head, slo.headVersion = hea, version
		return nil
	}
	if readErr := slo.readHead(ctx); readErr != nil {
		return readErr
	}
	if slo.head.last >= hea.last {
		return nil
	}
	return err
}
