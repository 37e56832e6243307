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
	"hemlockpin/process/registrar"
	"hemlockpin/version/parser"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// noSource is a store that is never read.
type noSource struct{}

func (noSource) Tables(context.Context, registrar.Revision, time.Duration) (follower.Tables, error) {
	return follower.Tables{}, nil
}

func (noSource) Endpoints(context.Context, registrar.Revision, time.Duration) (follower.Endpoints, error) {
	return follower.Endpoints{}, nil
}

func (noSource) Evacuations(context.Context, registrar.Revision, time.Duration) (follower.Evacuations, error) {
	return follower.Evacuations{}, nil
}

// newHost returns host number index of a cluster of the given number of hosts, with all
// other hosts as its peers. limit is the time within which changes have to be in force.
// Each twentieth host has 0.8 cores, the others 0.192.
func newHost(t *testing.T, index, hosts int, limit time.Duration) *Forwarder {
	t.Helper()
	set := configurer.Settings{
		Host:       configurer.Host{HostID: fmt.Sprintf("host-%d", index), CPUShare: cpuShareOf(index), Region: "western", DataCenter: "colombo"},
		Forwarding: configurer.Forwarding{ApplyWithin: limit, LeaveWithin: limit},
	}
	fwd := New(set, Platform{Source: noSource{}}, zerolog.Nop(), 1)
	t.Cleanup(fwd.multiplexer.Close)
	for i := range hosts {
		if i != index {
			fwd.gossiper.MergePeer(gossiper.Peer{
				ID: fmt.Sprintf("host-%d", i), Address: fmt.Sprintf("127.0.0.1:%d", i+1), Region: "western", Incarnation: 1,
				State: gossiper.StateAlive, CapacityMilli: uint32(cpuShareOf(i) * 1000),
			})
		}
	}
	return fwd
}

func cpuShareOf(i int) float64 {
	if i%20 == 0 {
		return 0.8
	}
	return 0.192
}

// TestWatchersHaveProcessorTime checks that 295 hosts, each by itself, choose the same
// watchers of the store, and only hosts with enough processor time.
func TestWatchersHaveProcessorTime(t *testing.T) {
	const hosts = 295
	selected := map[string]bool{}
	var watchers []string
	for i := range hosts {
		pers, self := newHost(t, i, hosts, 4*time.Second).watchers(time.Now())
		var ids []string
		for _, per := range pers {
			ids = append(ids, per.ID)
			require.EqualValues(t, 800, per.CapacityMilli)
		}
		if self {
			selected[fmt.Sprintf("host-%d", i)] = true
			require.Len(t, ids, watcherCount-1)
			continue
		}
		if watchers == nil {
			watchers = ids
		}
		require.Equal(t, watchers, ids)
	}
	require.Len(t, watchers, watcherCount)
	for _, id := range watchers {
		require.True(t, selected[id], "%s is chosen by other hosts but not by itself", id)
	}
}

// TestShouldReadStore checks that only watchers and hosts with stale state read the
// store: if each host did, the store would be overloaded.
func TestShouldReadStore(t *testing.T) {
	const hosts, limit = 60, 4 * time.Second
	pers, _ := newHost(t, 1, hosts, limit).watchers(time.Now())
	var watcher int
	_, err := fmt.Sscanf(pers[0].ID, "host-%d", &watcher)
	require.NoError(t, err)
	tts := []struct {
		name  string
		index int
		// age is the age of the host's state, which becomes stale at 2.6 to 3 s, by the
		// host's ID.
		age     time.Duration
		leaving bool
		want    bool
	}{
		{"a host whose state is confirmed", 1, 2500 * time.Millisecond, false, false},
		{"a host whose state is stale", 1, 3050 * time.Millisecond, false, true},
		{"a watcher", watcher, 0, false, true},
		{"a watcher that drains", watcher, 0, true, false},
	}
	for _, tt := range tts {
		t.Run(tt.name, func(t *testing.T) {
			fwd := newHost(t, tt.index, hosts, limit)
			now := time.Now()
			require.True(t, fwd.shouldReadStore(now), "a host without state reads the store")
			fwd.draining.Store(tt.leaving)
			applyState(fwd, now.Add(-tt.age))
			require.Equal(t, tt.want, fwd.shouldReadStore(now))
		})
	}
}

// TestStoreWithoutTables starts a host while the store holds no tables. Once this is confirmed,
// the host must not read the store itself until its state becomes stale.
func TestStoreWithoutTables(t *testing.T) {
	fwd := newHost(t, 1, 60, 4*time.Second)
	now := time.Now()
	fwd.applyTables(follower.Tables{Revision: registrar.Revision{Number: 1}}, now)
	fwd.applyEndpoints(follower.Endpoints{Complete: true, Revision: registrar.Revision{Number: 1}}, now)
	require.False(t, fwd.shouldReadStore(now))
	require.False(t, fwd.waitsForPeers(now))
	require.NotEmpty(t, fwd.notReadyReason())
	require.True(t, fwd.shouldReadStore(now.Add(4*time.Second)))
}

func applyState(fwd *Forwarder, at time.Time) {
	fwd.applyTables(follower.Tables{Found: true, Tables: parser.Tables{Revision: 1}, Revision: registrar.Revision{Number: 1}}, at)
	fwd.applyEndpoints(follower.Endpoints{Complete: true, Revision: registrar.Revision{Number: 1}}, at)
}

// TestWaitsForPeers checks how long a starting host waits for its peers before it reads
// the store.
func TestWaitsForPeers(t *testing.T) {
	const hosts, limit = 60, 4 * time.Second
	pers, _ := newHost(t, 1, hosts, limit).watchers(time.Now())
	var watcher int
	_, err := fmt.Sscanf(pers[0].ID, "host-%d", &watcher)
	require.NoError(t, err)
	tts := []struct {
		name      string
		index     int
		up        time.Duration
		wait      time.Duration
		confirmed bool
		want      bool
	}{
		{"just started", 1, 0, startPeerWait, false, true},
		{"peers have answered", 1, 0, startPeerWait, true, false},
		{"no peer has answered", 1, startPeerWait, startPeerWait, false, false},
		{"StartWait is longer", 1, startPeerWait, time.Second, false, true},
		{"a watcher, and StartWait is longer", watcher, startPeerWait, time.Second, false, false},
		{"StartWait has passed, and no watcher has answered", 1, time.Second, time.Second, false, false},
	}
	for _, tt := range tts {
		t.Run(tt.name, func(t *testing.T) {
			fwd := newHost(t, tt.index, hosts, limit)
			fwd.Settings.StartWait = tt.wait
			now := time.Now()
			fwd.started = now.Add(-tt.up)
			if tt.confirmed {
				applyState(fwd, now)
				<-fwd.ready
			}
			require.Equal(t, tt.want, fwd.waitsForPeers(now))
		})
	}
}

// TestIntervalsKeepPropagationLimit checks that a change that a watch misses is still
// read from the store within the time in which changes have to be in force, and that a
// host that polls in time never reads the store itself.
func TestIntervalsKeepPropagationLimit(t *testing.T) {
	for _, limit := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second, 10 * time.Second} {
		for i := range 40 {
			fwd := newHost(t, i, 5, limit)
			const storeRead = 300 * time.Millisecond
			require.Less(t, fwd.staleAge()+storeRead, limit)
			require.Less(t, fwd.watchWait()+fwd.pollInterval(), fwd.staleAge(), "a host that polls in time never reads the store")
		}
	}
}

// TestSuspendedHost suspends a host, which its monotonic clock does not show. Its state
// has to count as stale, calls have to wait for an update, and peers have to receive the
// true age.
func TestSuspendedHost(t *testing.T) {
	fwd := newHost(t, 1, 60, 4*time.Second)
	var suspended time.Duration
	fwd.detector.Clocks = func() (time.Duration, time.Duration, error) { return 0, suspended, nil }
	now := time.Now()
	require.Zero(t, fwd.suspendedTime(now))
	applyState(fwd, now)
	require.True(t, fwd.confirmedRecently(now))
	suspended = 5 * time.Second
	now = now.Add(100 * time.Millisecond)
	require.Equal(t, suspended, fwd.suspendedTime(now))
	require.False(t, fwd.confirmedRecently(now))
	require.True(t, fwd.shouldReadStore(now), "a resumed host reads the store")
	require.True(t, fwd.staleSinceResume(now))
	_, age := fwd.gossiper.Payload.EndpointsRevision(now)
	require.GreaterOrEqual(t, age, suspended)
	now = now.Add(100 * time.Millisecond)
	applyState(fwd, now)
	require.True(t, fwd.confirmedRecently(now))
	require.False(t, fwd.staleSinceResume(now))
}

// TestConfirmedWhileChanging changes records and tables between any two exchanges of a
// host and a watcher, so that the host never sees an equal revision. What it pulls has to
// count as confirmed; otherwise each host would read the store.
func TestConfirmedWhileChanging(t *testing.T) {
	const limit = 4 * time.Second
	fwd, wat := newHost(t, 1, 2, limit), newHost(t, 0, 2, limit)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer lis.Close()
	go func() { _ = wat.multiplexer.Serve(lis) }()
	applyState(fwd, time.Now().Add(-time.Minute))
	require.False(t, fwd.confirmedRecently(time.Now()))
	at := time.Now()
	wat.applyTables(follower.Tables{Found: true, Tables: parser.Tables{Revision: 9}, Revision: registrar.Revision{Number: 9}}, at)
	wat.applyEndpoints(follower.Endpoints{Complete: true, Revision: registrar.Revision{Number: 9}}, at)
	fwd.gossiper.ProbeNow(t.Context(), gossiper.Peer{ID: "host-0", Address: lis.Addr().String()})
	require.Eventually(t, func() bool { return fwd.confirmedRecently(time.Now()) }, 5*time.Second, time.Millisecond)
	require.EqualValues(t, 9, fwd.publisher.Current().Revision())
	rev, _ := fwd.registry.Revision()
	require.EqualValues(t, 9, rev.Number)
	for _, confirmed := range []time.Time{fwd.registry.Confirmed(), fwd.publisher.Confirmed()} {
		require.WithinDuration(t, at, confirmed, 100*time.Millisecond)
	}
}
