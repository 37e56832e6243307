// Package follower keeps the tables and the records of endpoints up to date with
// the platform's store.
//
// Each host watches the store itself. What one host learns also goes to its
// peers, so a host that the store turns away follows the others.
package follower

import (
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
	// watchWait is how long one watch waits for a change. It bounds the time for
	// which a connection that has gone silent is not noticed.
	watchWait = 10 * time.Second
	// watchGrace is added to watchWait before a watch counts as lost.
	watchGrace = 1500 * time.Millisecond
	// readTimeout bounds a read without a wait.
	readTimeout = 1500 * time.Millisecond
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
	// Whole says that Endpoints are all entries; otherwise they have changed.
	Whole     bool
	Endpoints []registrar.Endpoint
	Revision  uint64
}

// Source reads the store. After revision 0 it reads everything at once; after
// any other it waits for changes.
type Source interface {
	Tables(ctx context.Context, after uint64, wait time.Duration) (Tables, error)
	Endpoints(ctx context.Context, after uint64, wait time.Duration) (Endpoints, error)
}

// Follower follows a Source. All its fields are needed.
type Follower struct {
	Source Source
	// TakeTables and TakeEndpoints are told each reading.
	TakeTables    func(Tables, time.Time)
	TakeEndpoints func(Endpoints, time.Time)
	// Away and Back are told when the store stops and starts to answer.
	Away func()
	Back func(now time.Time)
	Log  zerolog.Logger

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
	fol.TakeTables(tab, time.Now())
	return tab.Revision, nil
}

func (fol *Follower) readEndpoints(ctx context.Context, after uint64, wait time.Duration) (uint64, error) {
	ends, err := fol.Source.Endpoints(ctx, after, wait)
	if err != nil {
		return after, err
	}
	fol.TakeEndpoints(ends, time.Now())
	return ends.Revision, nil
}

// follow reads everything once and then watches, with pauses after failures.
func (fol *Follower) follow(ctx context.Context, what string, read reader) {
	bac := &backoff.ExponentialBackOff{InitialInterval: retryFirst, MaxInterval: retryMax, Multiplier: 2, RandomizationFactor: 0.3}
	bac.Reset()
	var rev uint64
	for ctx.Err() == nil {
		nex, err := fol.once(ctx, rev, read)
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

// once reads with a bound on the time. After a failure it does not wait for
// changes, so that a store that is back is noticed at once.
func (fol *Follower) once(ctx context.Context, rev uint64, read reader) (uint64, error) {
	wait := watchWait
	if rev == 0 || fol.isLost() {
		wait = 0
	}
	one, stop := context.WithTimeout(ctx, max(readTimeout, wait+watchGrace))
	defer stop()
	return read(one, rev, wait)
}

func (fol *Follower) isLost() bool {
	fol.mu.Lock()
	defer fol.mu.Unlock()
	return len(fol.lost) > 0
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
	fol.Away()
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
		fol.Back(now)
	}
}
