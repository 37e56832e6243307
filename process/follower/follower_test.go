package follower

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"hemlockpin/process/registrar"
	"hemlockpin/version/parser"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// store simulates the platform's store. While stalled, it sends no changes to watches. It
// has dropped the changes before revision compacted. In each era it holds other tables.
type store struct {
	mu        sync.Mutex
	era       uint64
	revision  uint64
	compacted uint64
	stalled   bool
	down      bool
	calls     int
}

func (sto *store) withLock(fn func(sto *store)) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	fn(sto)
}

func (sto *store) read(ctx context.Context, after registrar.Revision, wait time.Duration) (rev registrar.Revision, changed bool, err error) {
	sto.withLock(func(sto *store) { sto.calls++ })
	end := time.Now().Add(wait)
	for {
		sto.mu.Lock()
		rev = registrar.Revision{Era: sto.era, Number: sto.revision}
		down, stalled, compacted := sto.down, sto.stalled, sto.compacted
		sto.mu.Unlock()
		switch {
		case down:
			return registrar.Revision{}, false, errors.New("store down")
		case after.IsZero():
			return rev, true, nil
		case after.Number < compacted:
			if !stalled {
				return registrar.Revision{}, false, ErrCompacted
			}
		case rev.Number > after.Number && !stalled:
			return rev, true, nil
		}
		if !time.Now().Before(end) {
			if after.Number < compacted {
				return registrar.Revision{}, false, ErrCompacted
			}
			return rev, false, nil
		}
		select {
		case <-ctx.Done():
			return registrar.Revision{}, false, ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// erasApart is added to the revision of the tables in each further era.
const erasApart = 100

func (sto *store) Tables(ctx context.Context, after registrar.Revision, wait time.Duration) (Tables, error) {
	rev, changed, err := sto.read(ctx, after, wait)
	return Tables{Found: changed, Tables: parser.Tables{Revision: rev.Number + erasApart*rev.Era}, Revision: rev}, err
}

func (sto *store) Endpoints(ctx context.Context, after registrar.Revision, wait time.Duration) (Endpoints, error) {
	rev, _, err := sto.read(ctx, after, wait)
	return Endpoints{Complete: after.IsZero(), Endpoints: []registrar.Endpoint{{ID: "a", Revision: rev}}, Revision: rev}, err
}

// host records the calls of a Follower.
type host struct {
	mu          sync.Mutex
	tables      uint64
	endpoints   uint64
	unavailable int
	available   int
	shouldRead  bool
}

func (hos *host) withLock(fn func(hos *host)) {
	hos.mu.Lock()
	defer hos.mu.Unlock()
	fn(hos)
}

func (hos *host) revisions() (tab, end uint64) {
	hos.withLock(func(hos *host) { tab, end = hos.tables, hos.endpoints })
	return tab, end
}

// runFollower starts a Follower, waits until it has read revision 3, and runs test.
func runFollower(t *testing.T, test func(t *testing.T, sto *store, hos *host)) {
	synctest.Test(t, func(t *testing.T) {
		sto, hos := &store{revision: 3}, &host{shouldRead: true}
		fol := &Follower{
			Source: sto, Log: zerolog.Nop(),
			ShouldRead: func(time.Time) bool {
				var shouldRead bool
				hos.withLock(func(hos *host) { shouldRead = hos.shouldRead })
				return shouldRead
			},
			OnTables: func(result Tables, _ time.Time) {
				if result.Found {
					hos.withLock(func(hos *host) { hos.tables = result.Tables.Revision })
				}
			},
			OnEndpoints: func(result Endpoints, _ time.Time) {
				hos.withLock(func(hos *host) { hos.endpoints = result.Revision.Number })
			},
			OnUnavailable: func() { hos.withLock(func(hos *host) { hos.unavailable++ }) },
			OnAvailable:   func(time.Time) { hos.withLock(func(hos *host) { hos.available++ }) },
		}
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { fol.Run(ctx); close(done) }()
		time.Sleep(100 * time.Millisecond)
		tab, end := hos.revisions()
		require.EqualValues(t, 3, tab)
		require.EqualValues(t, 3, end)
		test(t, sto, hos)
		stop()
		<-done
	})
}

// TestWatchDeliversChange checks that a change reaches the host within 50 ms.
func TestWatchDeliversChange(t *testing.T) {
	runFollower(t, func(t *testing.T, sto *store, hos *host) {
		sto.withLock(func(sto *store) { sto.revision = 9 })
		time.Sleep(50 * time.Millisecond)
		tab, end := hos.revisions()
		require.EqualValues(t, 9, tab)
		require.EqualValues(t, 9, end)
	})
}

// TestHistoryDropped stalls the watches while a change is made and compacted away. The
// change nevertheless has to be in force within 2 s.
func TestHistoryDropped(t *testing.T) {
	runFollower(t, func(t *testing.T, sto *store, hos *host) {
		sto.withLock(func(sto *store) { sto.stalled, sto.revision, sto.compacted = true, 9, 9 })
		time.Sleep(2 * time.Second)
		tab, end := hos.revisions()
		require.EqualValues(t, 9, tab)
		require.EqualValues(t, 9, end)
	})
}

// TestOutage checks that an outage of the store is reported, that failed reads are
// repeated with pauses, and that the end of the outage is reported once.
func TestOutage(t *testing.T) {
	runFollower(t, func(t *testing.T, sto *store, hos *host) {
		sto.withLock(func(sto *store) { sto.down = true })
		time.Sleep(5 * time.Second)
		hos.withLock(func(hos *host) { require.Positive(t, hos.unavailable); require.Zero(t, hos.available) })
		var calls int
		sto.withLock(func(sto *store) { calls = sto.calls })
		require.Less(t, calls, 60, "failed calls are repeated with pauses")
		sto.withLock(func(sto *store) { sto.down, sto.revision = false, 12 })
		time.Sleep(1500 * time.Millisecond)
		hos.withLock(func(hos *host) { require.Equal(t, 1, hos.available) })
		tab, _ := hos.revisions()
		require.EqualValues(t, 12, tab)
	})
}

// TestShouldNotRead checks that a host that should not read the store does not call it,
// and reads everything once it should read again.
func TestShouldNotRead(t *testing.T) {
	runFollower(t, func(t *testing.T, sto *store, hos *host) {
		hos.withLock(func(hos *host) { hos.shouldRead = false })
		time.Sleep(time.Second)
		var before, after int
		sto.withLock(func(sto *store) { before = sto.calls })
		time.Sleep(10 * time.Second)
		sto.withLock(func(sto *store) { after = sto.calls; sto.revision = 20 })
		require.Equal(t, before, after, "a host that should not read does not call the store")
		hos.withLock(func(hos *host) { hos.shouldRead = true })
		time.Sleep(300 * time.Millisecond)
		tab, end := hos.revisions()
		require.EqualValues(t, 20, tab)
		require.EqualValues(t, 20, end)
	})
}

// TestStoreRestored guards against a host that goes on watching after a revision that the store
// had before it came back from an older copy: what was written up to the same number since is
// never sent.
func TestStoreRestored(t *testing.T) {
	for _, revision := range []uint64{3, 4, 50} {
		t.Run(fmt.Sprint(revision), func(t *testing.T) {
			runFollower(t, func(t *testing.T, sto *store, hos *host) {
				var before, after int
				for era := uint64(1); era <= 2; era++ {
					sto.withLock(func(sto *store) { before, sto.era, sto.revision = sto.calls, era, revision })
					time.Sleep(2 * time.Second)
					tab, end := hos.revisions()
					require.EqualValues(t, erasApart*era+revision, tab)
					require.EqualValues(t, revision, end)
					sto.withLock(func(sto *store) { after = sto.calls })
					require.LessOrEqual(t, after-before, 10, "a watch, a list and the next watches of two kinds")
				}
				hos.withLock(func(hos *host) { require.Zero(t, hos.unavailable) })
			})
		})
	}
}

// TestReplyOfEarlierEra guards against replies of an earlier era that take a host back, and against
// a store that names eras in turn being read without pauses.
func TestReplyOfEarlierEra(t *testing.T) {
	runFollower(t, func(t *testing.T, sto *store, hos *host) {
		sto.withLock(func(sto *store) { sto.era = 2 })
		time.Sleep(2 * time.Second)
		tab, _ := hos.revisions()
		require.EqualValues(t, 2*erasApart+3, tab)
		var before, after int
		sto.withLock(func(sto *store) { before, sto.era, sto.revision = sto.calls, 1, 60 })
		time.Sleep(5 * time.Second)
		tab, _ = hos.revisions()
		require.EqualValues(t, 2*erasApart+3, tab)
		sto.withLock(func(sto *store) { after, sto.era, sto.revision = sto.calls, 2, 70 })
		require.Less(t, after-before, 60)
		hos.withLock(func(hos *host) { require.Positive(t, hos.unavailable) })
		time.Sleep(1500 * time.Millisecond)
		tab, _ = hos.revisions()
		require.EqualValues(t, 2*erasApart+70, tab)
	})
}
