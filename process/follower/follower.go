// Package follower keeps the tables and the records of endpoints up to date with
// the platform's store.
//
// Only some hosts watch the store. They pass changes on to the other hosts, which
// read the store themselves only when no peer has recently confirmed that their
// state is up to date.
package follower

import (
	"cmp"
	"context"
	"sync"
	"time"

	"hemlockpin/process/registrar"
	"hemlockpin/version/parser"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

const (
	// defaultWait is the Wait of a Follower that sets none.
	defaultWait = 700 * time.Millisecond
	// watchTimeoutMargin is added to the wait of a watch to get its timeout.
	watchTimeoutMargin = 300 * time.Millisecond
	// readTimeout is the least timeout of a read. A slow store answers within 250 ms.
	readTimeout = 900 * time.Millisecond
	// idleCheckInterval is the interval at which a host that does not read the store
	// checks whether it has to. Each check wakes the process.
	idleCheckInterval = 200 * time.Millisecond
	// retryMinPause and retryMaxPause bound the pauses after failed calls. The store
	// answers within milliseconds, and hosts have to be up to date within seconds
	// after it answers again.
	retryMinPause = 100 * time.Millisecond
	retryMaxPause = 800 * time.Millisecond
)

// ErrCompacted means that the store no longer holds the changes after a revision, so
// that everything has to be read again.
var ErrCompacted = eris.New("follower: store has compacted the history after this revision")

// errLaterEra means that the store has come back from an older copy since a revision. Its changes
// after the revision's number say nothing of what the store has lost or written before.
var errLaterEra = eris.Wrap(ErrCompacted, "follower: store is in a later era than this revision")

// errEarlierEra means that a reply is of an earlier era than a revision that is known already.
var errEarlierEra = eris.New("follower: reply of the store is of an earlier era than this revision")

// InvalidEntry is an entry of the store that can't be used, such as one of another writer.
type InvalidEntry struct {
	// Name is empty if it can't be read.
	Name string
	// Revision is the store's revision of the entry's last change; its number is 0 if it can't be
	// read.
	Revision registrar.Revision
	Problem  string
}

// Tables is the result of one read of the tables.
type Tables struct {
	// Found is false if the store holds no tables, or no newer ones.
	Found  bool
	Tables parser.Tables
	// Invalid are the entries that have been left out.
	Invalid []InvalidEntry
	// Revision is the store's revision at the read.
	Revision registrar.Revision
}

// Endpoints is the result of one read of the endpoints.
type Endpoints struct {
	// Complete reports whether Endpoints holds all endpoints; otherwise it holds only
	// those that have changed.
	Complete  bool
	Endpoints []registrar.Endpoint
	// Invalid are the entries that name no endpoint to use. Those that have names that endpoints
	// can have are among Endpoints, too, marked as Gone.
	Invalid []InvalidEntry
	// Revision is the store's revision at the read.
	Revision registrar.Revision
}

// Evacuations is the result of one read of the evacuations of data centres.
type Evacuations struct {
	// Complete reports whether Evacuations holds all that are in force; otherwise it holds those
	// that have changed.
	Complete    bool
	Evacuations []registrar.Evacuation
	// Invalid are the entries that have been left out.
	Invalid []InvalidEntry
	// Revision is the store's revision at the read.
	Revision registrar.Revision
}

// Source reads the store. With the zero revision it returns everything at once; with any other
// one it waits up to the given time for changes after it, in whichever era the store is. It
// returns ErrCompacted if the store no longer holds these changes.
type Source interface {
	Tables(ctx context.Context, after registrar.Revision, wait time.Duration) (Tables, error)
	Endpoints(ctx context.Context, after registrar.Revision, wait time.Duration) (Endpoints, error)
}

// EvacuationSource reads the evacuations like a Source.
type EvacuationSource interface {
	Evacuations(ctx context.Context, after registrar.Revision, wait time.Duration) (Evacuations, error)
}

// Follower follows a Source. All exported fields have to be set but Wait and those of
// evacuations.
type Follower struct {
	Source Source
	// Wait is how long one watch waits for a change. A watch may stall on a lost
	// connection or when the store compacts its history, so Wait has to be a fraction
	// of the time within which changes have to be in force. 0 stands for 700 ms.
	Wait time.Duration
	// ShouldRead reports whether this host has to read the store.
	ShouldRead func(now time.Time) bool
	// OnTables and OnEndpoints receive the result of each read and the time of the
	// reply, at which the store held nothing newer. They are called for a watch that
	// ends without a change, too.
	OnTables    func(result Tables, at time.Time)
	OnEndpoints func(result Endpoints, at time.Time)
	// Evacuations reads the evacuations, which OnEvacuations receives; nil if there are none.
	// EvacuationWait is how long one watch of them waits for a change.
	// ShouldReadEvacuations reports whether this host has to read them.
	Evacuations           EvacuationSource
	EvacuationWait        time.Duration
	OnEvacuations         func(result Evacuations)
	ShouldReadEvacuations func(now time.Time) bool
	// OnUnavailable is called when reads of tables begin to fail, and when reads of
	// endpoints do. OnAvailable is called once neither fails any more: each has succeeded
	// again, or this host has stopped reading the store.
	OnUnavailable func()
	OnAvailable   func(now time.Time)
	Log           zerolog.Logger

	mu          sync.Mutex
	failedSince map[string]time.Time
}

// Run follows the store until ctx ends.
func (fol *Follower) Run(ctx context.Context) {
	var gro sync.WaitGroup
	defer gro.Wait()
	gro.Go(func() { fol.follow(ctx, "tables", watch{fol.Wait, fol.ShouldRead, fol.readTables}) })
	gro.Go(func() { fol.follow(ctx, "endpoints", watch{fol.Wait, fol.ShouldRead, fol.readEndpoints}) })
	if fol.Evacuations != nil {
		gro.Go(func() {
			fol.follow(ctx, "evacuations", watch{fol.EvacuationWait, fol.ShouldReadEvacuations, fol.readEvacuations})
		})
	}
}

// readFunc reads tables, endpoints or evacuations once, passes them to the host and returns the
// revision after which to read next.
type readFunc func(ctx context.Context, after registrar.Revision, wait time.Duration) (registrar.Revision, error)

func (fol *Follower) readTables(ctx context.Context, after registrar.Revision, wait time.Duration) (registrar.Revision, error) {
	tab, err := fol.Source.Tables(ctx, after, wait)
	if err = cmp.Or(err, checkEra(after, tab.Revision)); err != nil {
		return after, err
	}
	fol.OnTables(tab, time.Now())
	return tab.Revision, nil
}

func (fol *Follower) readEndpoints(ctx context.Context, after registrar.Revision, wait time.Duration) (registrar.Revision, error) {
	ends, err := fol.Source.Endpoints(ctx, after, wait)
	if err = cmp.Or(err, checkEra(after, ends.Revision)); err != nil {
		return after, err
	}
	fol.OnEndpoints(ends, time.Now())
	return ends.Revision, nil
}

func (fol *Follower) readEvacuations(ctx context.Context, after registrar.Revision, wait time.Duration) (registrar.Revision, error) {
	evas, err := fol.Evacuations.Evacuations(ctx, after, wait)
	if err = cmp.Or(err, checkEra(after, evas.Revision)); err != nil {
		return after, err
	}
	fol.OnEvacuations(evas)
	return evas.Revision, nil
}

// checkEra returns why a watch from a revision can't go on at the revision of its reply, or nil if
// it can. A complete read, which has no revision to go on from, may begin in any era.
func checkEra(after, reply registrar.Revision) error {
	switch {
	case after.IsZero() || after.Era == reply.Era:
		return nil
	case after.Era < reply.Era:
		return errLaterEra
	default:
		return errEarlierEra
	}
}

// watch is how the entries of one kind are followed.
type watch struct {
	// wait is how long one watch waits for a change.
	wait time.Duration
	// due reports whether this host has to read.
	due  func(now time.Time) bool
	read readFunc
}

// follow reads everything once and then watches for changes, with pauses after failures.
func (fol *Follower) follow(ctx context.Context, kind string, wat watch) {
	bac := &backoff.ExponentialBackOff{InitialInterval: retryMinPause, MaxInterval: retryMaxPause, Multiplier: 2, RandomizationFactor: 0.3}
	bac.Reset()
	var rev registrar.Revision
	for ctx.Err() == nil {
		if !wat.due(time.Now()) {
			// In the meantime changes arrive from peers and rev does not follow them, so
			// the next read has to be complete.
			rev = registrar.Revision{}
			fol.waitIdle(ctx, kind)
			continue
		}
		next, err := fol.readOnce(ctx, kind, rev, wat)
		switch {
		case err == nil:
			fol.clearFailure(kind, rev, time.Now())
			rev = next
			bac.Reset()
			continue
		case eris.Is(err, ErrCompacted):
			fol.Log.Info().Str("What", kind).Uint64("Revision", rev.Number).Uint64("Era", rev.Era).Err(err).Msg("store can't send the changes after this revision; reading everything again")
			rev = registrar.Revision{}
			continue
		case ctx.Err() != nil:
			return
		}
		fol.recordFailure(kind, rev, err, time.Now())
		select {
		case <-time.After(bac.NextBackOff()):
		case <-ctx.Done():
		}
	}
}

// waitIdle waits without reading. Whether the store answers is unknown meanwhile, so
// earlier failures are cleared.
func (fol *Follower) waitIdle(ctx context.Context, kind string) {
	fol.clearFailure(kind, registrar.Revision{}, time.Now())
	select {
	case <-time.After(idleCheckInterval):
	case <-ctx.Done():
	}
}

// readOnce reads once, within a timeout. After a failure it does not wait for changes,
// so that a store that answers again is noticed at once.
func (fol *Follower) readOnce(ctx context.Context, kind string, rev registrar.Revision, wat watch) (registrar.Revision, error) {
	wait := cmp.Or(wat.wait, defaultWait)
	if rev.IsZero() || fol.isFailing(kind) {
		wait = 0
	}
	readCtx, stop := context.WithTimeout(ctx, max(readTimeout, wait+watchTimeoutMargin))
	defer stop()
	return wat.read(readCtx, rev, wait)
}

func (fol *Follower) isFailing(kind string) bool {
	fol.mu.Lock()
	defer fol.mu.Unlock()
	_, ok := fol.failedSince[kind]
	return ok
}

func (fol *Follower) recordFailure(kind string, rev registrar.Revision, err error, now time.Time) {
	fol.mu.Lock()
	defer fol.mu.Unlock()
	if fol.failedSince == nil {
		fol.failedSince = map[string]time.Time{}
	}
	if _, ok := fol.failedSince[kind]; ok {
		return
	}
	fol.failedSince[kind] = now
	fol.Log.Warn().Str("What", kind).Uint64("Revision", rev.Number).Err(err).Msg("reading the store failed; retrying, further failures are not logged")
	fol.OnUnavailable()
}

// clearFailure ends the failure of reads of a kind, if they have failed.
func (fol *Follower) clearFailure(kind string, rev registrar.Revision, now time.Time) {
	fol.mu.Lock()
	defer fol.mu.Unlock()
	since, ok := fol.failedSince[kind]
	if !ok {
		return
	}
	delete(fol.failedSince, kind)
	fol.Log.Info().Str("What", kind).Uint64("Revision", rev.Number).Dur("AwayMs", now.Sub(since)).Msg("failure of reading the store ended: a read succeeded or this host stopped reading")
	if len(fol.failedSince) == 0 {
		fol.OnAvailable(now)
	}
}
