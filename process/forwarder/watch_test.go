package forwarder

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"hemlockpin/process/configurer"
	"hemlockpin/process/follower"
	"hemlockpin/process/gossiper"
	"hemlockpin/version/parser"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// noSource is a store that is never read.
type noSource struct{}

func (noSource) Tables(context.Context, uint64, time.Duration) (follower.Tables, error) {
	return follower.Tables{}, nil
}

func (noSource) Endpoints(context.Context, uint64, time.Duration) (follower.Endpoints, error) {
	return follower.Endpoints{}, nil
}

// newHost makes a host among others that it knows, of which each twentieth has much
// processor time.
func newHost(t *testing.T, own, hosts int, within time.Duration) *Forwarder {
	t.Helper()
	set := configurer.Settings{
		Host:       configurer.Host{HostID: fmt.Sprintf("host-%d", own), CPUShare: shareOf(own), Region: "western", DataCenter: "colombo"},
		Forwarding: configurer.Forwarding{ApplyWithin: within, LeaveWithin: within},
	}
	fwd := New(set, Platform{Source: noSource{}}, zerolog.Nop(), 1)
	t.Cleanup(fwd.multiplexer.Close)
	for ind := range hosts {
		if ind != own {
			fwd.gossiper.MergePeer(gossiper.Peer{
				ID: fmt.Sprintf("host-%d", ind), Address: fmt.Sprintf("127.0.0.1:%d", ind+1), Region: "western", Incarnation: 1,
				State: gossiper.StateAlive, CapacityMilli: uint32(shareOf(ind) * 1000),
			})
		}
	}
	return fwd
}

func shareOf(ind int) float64 {
	if ind%20 == 0 {
		return 0.8
	}
	return 0.192
}

// TestWatchersAreCapable has 295 hosts choose who watches the store: all choose the
// same few, which have much processor time.
func TestWatchersAreCapable(t *testing.T) {
	const hosts = 295
	sel := map[string]bool{}
	var all []string
	for ind := range hosts {
		pers, self := newHost(t, ind, hosts, 4*time.Second).watchers(time.Now())
		var ids []string
		for _, per := range pers {
			ids = append(ids, per.ID)
			require.EqualValues(t, 800, per.CapacityMilli)
		}
		if self {
			sel[fmt.Sprintf("host-%d", ind)] = true
			require.Len(t, ids, watcherCount-1)
			continue
		}
		if all == nil {
			all = ids
		}
		require.Equal(t, all, ids)
	}
	require.Len(t, all, watcherCount)
	for _, id := range all {
		require.True(t, sel[id], "%s knows its duty", id)
	}
}

// TestDuty decides whether a host reads the store.
func TestDuty(t *testing.T) {
	const hosts, within = 60, 4 * time.Second
	pers, _ := newHost(t, 1, hosts, within).watchers(time.Now())
	var watcher int
	_, err := fmt.Sscanf(pers[0].ID, "host-%d", &watcher)
	require.NoError(t, err)
	tts := []struct {
		name string
		own  int
		// age is that of the knowledge.
		age     time.Duration
		leaving bool
		want    bool
	}{
		{"a host whose knowledge is confirmed", 1, 2500 * time.Millisecond, false, false},
		{"a host whose knowledge is stale", 1, 3050 * time.Millisecond, false, true},
		{"a watcher", watcher, 0, false, true},
		{"a watcher that drains", watcher, 0, true, false},
	}
	for _, tt := range tts {
		t.Run(tt.name, func(t *testing.T) {
			fwd := newHost(t, tt.own, hosts, within)
			now := time.Now()
			require.True(t, fwd.duty(now), "a host that knows nothing reads the store")
			fwd.draining.Store(tt.leaving)
			learn(fwd, now.Add(-tt.age))
			require.Equal(t, tt.want, fwd.duty(now))
		})
	}
}

// TestNoTablesYet starts hosts before the operators' first edit: those that are told so
// leave the store to the watchers.
func TestNoTablesYet(t *testing.T) {
	fwd := newHost(t, 1, 60, 4*time.Second)
	now := time.Now()
	fwd.takeTables(follower.Tables{Revision: 1}, now)
	fwd.takeEndpoints(follower.Endpoints{Whole: true, Revision: 1}, now)
	require.False(t, fwd.duty(now))
	require.False(t, fwd.patient(now))
	require.NotEmpty(t, fwd.unready())
	require.True(t, fwd.duty(now.Add(4*time.Second)))
}

func learn(fwd *Forwarder, at time.Time) {
	fwd.takeTables(follower.Tables{Found: true, Tables: parser.Tables{Revision: 1}, Revision: 1}, at)
	fwd.takeEndpoints(follower.Endpoints{Whole: true, Revision: 1}, at)
}

// TestPatience decides how long a host that starts waits for its peers before it reads
// the store.
func TestPatience(t *testing.T) {
	const hosts, within = 60, 4 * time.Second
	pers, _ := newHost(t, 1, hosts, within).watchers(time.Now())
	var watcher int
	_, err := fmt.Sscanf(pers[0].ID, "host-%d", &watcher)
	require.NoError(t, err)
	tts := []struct {
		name  string
		own   int
		up    time.Duration
		wait  time.Duration
		knows bool
		want  bool
	}{
		{"at once", 1, 0, peerWait, false, true},
		{"peers have told", 1, 0, peerWait, true, false},
		{"nobody has told", 1, peerWait, peerWait, false, false},
		{"first start", 1, peerWait, time.Second, false, true},
		{"a watcher at the first start", watcher, peerWait, time.Second, false, false},
		{"first start, and no watcher has told", 1, time.Second, time.Second, false, false},
	}
	for _, tt := range tts {
		t.Run(tt.name, func(t *testing.T) {
			fwd := newHost(t, tt.own, hosts, within)
			fwd.Settings.StartWait = tt.wait
			now := time.Now()
			fwd.started = now.Add(-tt.up)
			if tt.knows {
				learn(fwd, now)
				<-fwd.ready
			}
			require.Equal(t, tt.want, fwd.patient(now))
		})
	}
}

// TestIntervals derives the intervals from the time within which changes have to be in
// force: a change that a watch misses is read in time all the same.
func TestIntervals(t *testing.T) {
	for _, within := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second, 10 * time.Second} {
		for ind := range 40 {
			fwd := newHost(t, ind, 5, within)
			const storeRead = 300 * time.Millisecond
			require.Less(t, fwd.staleAge()+storeRead, within)
			require.Less(t, fwd.watchWait()+fwd.askInterval(), fwd.staleAge(), "a host that asks in time never reads the store")
		}
	}
}

// TestSuspendedHost suspends a host for longer than its steady clock shows: its knowledge
// is stale, calls wait for news, and peers are told the true age.
func TestSuspendedHost(t *testing.T) {
	fwd := newHost(t, 1, 60, 4*time.Second)
	var slept time.Duration
	fwd.detector.Clocks = func() (time.Duration, time.Duration, error) { return 0, slept, nil }
	now := time.Now()
	require.Zero(t, fwd.slept(now))
	learn(fwd, now)
	require.True(t, fwd.fresh(now))
	slept = 5 * time.Second
	now = now.Add(100 * time.Millisecond)
	require.Equal(t, slept, fwd.slept(now))
	require.False(t, fwd.fresh(now))
	require.True(t, fwd.duty(now), "it reads the store")
	require.True(t, fwd.staleSinceWake(now))
	_, age := fwd.gossiper.Payload.Endpoints(now)
	require.GreaterOrEqual(t, age, slept)
	now = now.Add(100 * time.Millisecond)
	learn(fwd, now)
	require.True(t, fwd.fresh(now))
	require.False(t, fwd.staleSinceWake(now))
}

// TestFreshWhileChanging has records and tables change between any two exchanges of a host
// and a watcher: what the host pulls counts as confirmed, so that it leaves the store alone.
func TestFreshWhileChanging(t *testing.T) {
	const within = 4 * time.Second
	fwd, wat := newHost(t, 1, 2, within), newHost(t, 0, 2, within)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer lis.Close()
	go func() { _ = wat.multiplexer.Serve(lis) }()
	learn(fwd, time.Now().Add(-time.Minute))
	require.False(t, fwd.fresh(time.Now()))
	at := time.Now()
	wat.takeTables(follower.Tables{Found: true, Tables: parser.Tables{Revision: 9}, Revision: 9}, at)
	wat.takeEndpoints(follower.Endpoints{Whole: true, Revision: 9}, at)
	fwd.gossiper.ProbeNow(t.Context(), gossiper.Peer{ID: "host-0", Address: lis.Addr().String()})
	require.Eventually(t, func() bool { return fwd.fresh(time.Now()) }, 5*time.Second, time.Millisecond)
	require.EqualValues(t, 9, fwd.publisher.Current().Revision())
	rev, _ := fwd.registry.Revision()
	require.EqualValues(t, 9, rev)
	for _, con := range []time.Time{fwd.registry.Confirmed(), fwd.publisher.Confirmed()} {
		require.WithinDuration(t, at, con, 100*time.Millisecond)
	}
}
