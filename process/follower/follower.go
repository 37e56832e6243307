// Package follower keeps the tables and the records of endpoints up to date with
// the platform's store.
//
// Some hosts have the duty to watch the store. What they learn goes to the others,
// which read the store themselves only when nobody has confirmed lately that
// their knowledge is still the newest.
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
	// defaultWait stands in for a Wait that is not set.
	defaultWait = 700 * time.Millisecond
	// watchGrace is added to the wait of a watch before it counts as lost.
	watchGrace = 300 * time.Millisecond
	// readTimeout bounds a read without a wait. A slow store answers within 250 ms.
	readTimeout = 900 * time.Millisecond
	// dutyInterval is how often a host without a duty looks whether it has one. Each
	// look wakes the process.
	dutyInterval = 200 * time.Millisecond
	// retryFirst and retryMax bound the pauses after failed calls. The store
	// answers within milliseconds, and hosts have to be up to date within seconds
	// of its return.
	retryFirst = 100 * time.Millisecond
	retryMax   = 800 * time.Millisecond
)

// ErrCompacted says that the store no longer holds the history after a revision.
var ErrCompacted = eris.New("follower: the store has dropped this history")

// Tables is a reading of the tables.
type Tables struct {
	// Found is false where the store holds no tables, or no newer ones.
	Found  bool
	Tables parser.Tables
	// Revision is the store's revision of the reading.
	Revision uint64
}

// Endpoints is a reading of the endpoints' entries.
type Endpoints struct {
	// Complete says that Endpoints holds all entries; otherwise it holds those that changed.
	Complete  bool
	Endpoints []registrar.Endpoint
	Revision  uint64
}

// Source reads the store. After revision 0 it reads everything at once; after
// any other it waits for changes.
type Source interface {
	Tables(ctx context.Context, after uint64, wait time.Duration) (Tables, error)
	Endpoints(ctx context.Context, after uint64, wait time.Duration) (Endpoints, error)
}

// Follower follows a Source. All its fields but Wait are needed.
type Follower struct {
	Source Source
	// Wait is how long one watch waits for a change. A watch may go silent, on a
	// connection that is lost or in a store that drops its history, so Wait is a
	// part of the time within which changes have to be in force. 0 is 700 ms.
	Wait time.Duration
	// ShouldRead reports whether this host is to read the store.
	ShouldRead func(now time.Time) bool
	// OnTables and OnEndpoints receive each reading and the time of the reply,
	// at which the store held nothing newer. A watch that ends without a change
	// tells so, too.
	OnTables    func(rea Tables, at time.Time)
	OnEndpoints func(rea Endpoints, at time.Time)
	// OnUnavailable and OnAvailable are called when the store stops and starts to answer.
	OnUnavailable func()
	OnAvailable   func(now time.Time)
	Log           zerolog.Logger

	mu   sync.Mutex
	lost map[string]time.Time
}

// Run follows the store until ctx ends.
func (fol *Follower) Run(ctx context.Context) {
	var gro sync.WaitGroup
	defer gro.Wait()
	gro.Go(func() { fol.follow(ctx, "tables", fol.readTables) })
	gro.Go(func() { fol.follow(ctx, "endpoints", fol.readEndpoints) })
}

// reader reads once and returns the revision to go on after.
type reader func(ctx context.Context, after uint64, wait time.Duration) (uint64, error)

func (fol *Follower) readTables(ctx context.Context, after uint64, wait time.Duration) (uint64, error) {
	tab, err := fol.Source.Tables(ctx, after, wait)
	if err != nil {
		return after, err
	}
	fol.OnTables(tab, time.Now())
	return tab.Revision, nil
}

func (fol *Follower) readEndpoints(ctx context.Context, after uint64, wait time.Duration) (uint64, error) {
	ends, err := fol.Source.Endpoints(ctx, after, wait)
	if err != nil {
		return after, err
	}
	fol.OnEndpoints(ends, time.Now())
	return ends.Revision, nil
}

// follow reads everything once and then watches, with pauses after failures.
func (fol *Follower) follow(ctx context.Context, what string, read reader) {
	bac := &backoff.ExponentialBackOff{InitialInterval: retryFirst, MaxInterval: retryMax, Multiplier: 2, RandomizationFactor: 0.3}
	bac.Reset()
	var rev uint64
	for ctx.Err() == nil {
		if !fol.ShouldRead(time.Now()) {
			// What changes meanwhile comes from peers; the next read is a whole one.
			rev = 0
			fol.rest(ctx, what)
			continue
		}
		nex, err := fol.once(ctx, what, rev, read)
		switch {
		case err == nil:
			fol.answered(what, rev, time.Now())
			rev = nex
			bac.Reset()
			continue
		case eris.Is(err, ErrCompacted):
			fol.Log.Info().Str("What", what).Uint64("Revision", rev).Msg("store history dropped; reading everything again")
			rev = 0
			continue
		case ctx.Err() != nil:
			return
		}
		fol.failed(what, rev, err, time.Now())
		select {
		case <-time.After(bac.NextBackOff()):
		case <-ctx.Done():
		}
	}
}

// rest waits without reading. A host without a duty does not know whether the
// store answers it.
func (fol *Follower) rest(ctx context.Context, what string) {
	fol.answered(what, 0, time.Now())
	select {
	case <-time.After(dutyInterval):
	case <-ctx.Done():
	}
}

// once reads with a bound on the time. After a failure it does not wait for
// changes, so that a store that is back is noticed at once.
func (fol *Follower) once(ctx context.Context, what string, rev uint64, read reader) (uint64, error) {
	wait := cmp.Or(fol.Wait, defaultWait)
	if rev == 0 || fol.isLost(what) {
		wait = 0
	}
	one, stop := context.WithTimeout(ctx, max(readTimeout, wait+watchGrace))
	defer stop()
	return read(one, rev, wait)
}

func (fol *Follower) isLost(what string) bool {
	fol.mu.Lock()
	defer fol.mu.Unlock()
	_, ok := fol.lost[what]
	return ok
}

func (fol *Follower) failed(what string, rev uint64, err error, now time.Time) {
	fol.mu.Lock()
	defer fol.mu.Unlock()
	if fol.lost == nil {
		fol.lost = map[string]time.Time{}
	}
	if _, ok := fol.lost[what]; ok {
		return
	}
	fol.lost[what] = now
	fol.Log.Warn().Str("What", what).Uint64("Revision", rev).Err(err).Msg("store lost")
	fol.OnUnavailable()
}

func (fol *Follower) answered(what string, rev uint64, now time.Time) {
	fol.mu.Lock()
	defer fol.mu.Unlock()
	sin, ok := fol.lost[what]
	if !ok {
		return
	}
	delete(fol.lost, what)
	fol.Log.Info().Str("What", what).Uint64("Revision", rev).Dur("AwayMs", now.Sub(sin)).Msg("store back")
	if len(fol.lost) == 0 {
		fol.OnAvailable(now)
	}
}
