package follower

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"hemlockpin/process/registrar"
	"hemlockpin/version/parser"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// store is a stand-in for the platform's store.
type store struct {
	mu       sync.Mutex
	revision uint64
	dropped  uint64
	deaf     bool
	down     bool
	calls    int
}

func (sto *store) set(fun func(sto *store)) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	fun(sto)
}

func (sto *store) read(ctx context.Context, after uint64, wait time.Duration) (rev uint64, news bool, err error) {
	sto.set(func(sto *store) { sto.calls++ })
	end := time.Now().Add(wait)
	for {
		sto.mu.Lock()
		rev, down, deaf, dropped := sto.revision, sto.down, sto.deaf, sto.dropped
		sto.mu.Unlock()
		switch {
		case down:
			return 0, false, errors.New("store down")
		case after == 0:
			return rev, true, nil
		case after < dropped:
			if !deaf {
				return 0, false, ErrCompacted
			}
		case rev > after && !deaf:
			return rev, true, nil
		}
		if !time.Now().Before(end) {
			if after < dropped {
				return 0, false, ErrCompacted
			}
			return after, false, nil
		}
		select {
		case <-ctx.Done():
			return 0, false, ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func (sto *store) Tables(ctx context.Context, after uint64, wait time.Duration) (Tables, error) {
	rev, news, err := sto.read(ctx, after, wait)
	return Tables{Found: news, Tables: parser.Tables{Revision: rev}, Revision: rev}, err
}

func (sto *store) Endpoints(ctx context.Context, after uint64, wait time.Duration) (Endpoints, error) {
	rev, _, err := sto.read(ctx, after, wait)
	return Endpoints{Complete: after == 0, Endpoints: []registrar.Endpoint{{ID: "a", Revision: rev}}, Revision: rev}, err
}

// host follows a store.
type host struct {
	mu        sync.Mutex
	tables    uint64
	endpoints uint64
	away      int
	back      int
	duty      bool
}

func (hos *host) get(fun func(hos *host)) {
	hos.mu.Lock()
	defer hos.mu.Unlock()
	fun(hos)
}

func (hos *host) knows() (tab, end uint64) {
	hos.get(func(hos *host) { tab, end = hos.tables, hos.endpoints })
	return tab, end
}

func run(t *testing.T, test func(t *testing.T, sto *store, hos *host)) {
	synctest.Test(t, func(t *testing.T) {
		sto, hos := &store{revision: 3}, &host{duty: true}
		fol := &Follower{
			Source: sto, Log: zerolog.Nop(),
			ShouldRead: func(time.Time) bool {
				var dut bool
				hos.get(func(hos *host) { dut = hos.duty })
				return dut
			},
			OnTables: func(rea Tables, _ time.Time) {
				if rea.Found {
					hos.get(func(hos *host) { hos.tables = rea.Tables.Revision })
				}
			},
			OnEndpoints:   func(rea Endpoints, _ time.Time) { hos.get(func(hos *host) { hos.endpoints = rea.Revision }) },
			OnUnavailable: func() { hos.get(func(hos *host) { hos.away++ }) },
			OnAvailable:   func(time.Time) { hos.get(func(hos *host) { hos.back++ }) },
		}
		ctx, stop := context.WithCancel(t.Context())
		don := make(chan struct{})
		go func() { fol.Run(ctx); close(don) }()
		time.Sleep(100 * time.Millisecond)
		tab, end := hos.knows()
		require.EqualValues(t, 3, tab)
		require.EqualValues(t, 3, end)
		test(t, sto, hos)
		stop()
		<-don
	})
}

func TestChange(t *testing.T) {
	run(t, func(t *testing.T, sto *store, hos *host) {
		sto.set(func(sto *store) { sto.revision = 9 })
		time.Sleep(50 * time.Millisecond)
		tab, end := hos.knows()
		require.EqualValues(t, 9, tab)
		require.EqualValues(t, 9, end)
	})
}

// TestHistoryDropped has the watches hear nothing while a change is made and its
// history is dropped. The change has to be in force within 2 s.
func TestHistoryDropped(t *testing.T) {
	run(t, func(t *testing.T, sto *store, hos *host) {
		sto.set(func(sto *store) { sto.deaf, sto.revision, sto.dropped = true, 9, 9 })
		time.Sleep(2 * time.Second)
		tab, end := hos.knows()
		require.EqualValues(t, 9, tab)
		require.EqualValues(t, 9, end)
	})
}

func TestOutage(t *testing.T) {
	run(t, func(t *testing.T, sto *store, hos *host) {
		sto.set(func(sto *store) { sto.down = true })
		time.Sleep(5 * time.Second)
		hos.get(func(hos *host) { require.Positive(t, hos.away); require.Zero(t, hos.back) })
		var calls int
		sto.set(func(sto *store) { calls = sto.calls })
		require.Less(t, calls, 60, "calls that are turned away are bounded")
		sto.set(func(sto *store) { sto.down, sto.revision = false, 12 })
		time.Sleep(1500 * time.Millisecond)
		hos.get(func(hos *host) { require.Equal(t, 1, hos.back) })
		tab, _ := hos.knows()
		require.EqualValues(t, 12, tab)
	})
}

func TestNoDuty(t *testing.T) {
	run(t, func(t *testing.T, sto *store, hos *host) {
		hos.get(func(hos *host) { hos.duty = false })
		time.Sleep(time.Second)
		var bef, aft int
		sto.set(func(sto *store) { bef = sto.calls })
		time.Sleep(10 * time.Second)
		sto.set(func(sto *store) { aft = sto.calls; sto.revision = 20 })
		require.Equal(t, bef, aft, "a host without the duty does not call the store")
		hos.get(func(hos *host) { hos.duty = true })
		time.Sleep(300 * time.Millisecond)
		tab, end := hos.knows()
		require.EqualValues(t, 20, tab)
		require.EqualValues(t, 20, end)
	})
}
