package publisher

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/version/parser"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// routeLimit is a route's number and its time limit in seconds.
type routeLimit struct{ route, limit int }

// tablesWithRoutes returns tables with the given routes.
func tablesWithRoutes(lims ...routeLimit) parser.Tables {
	tab := parser.Tables{Pools: []parser.Pool{{Name: "pool", Kind: parser.PoolEngine, Selector: parser.Selector{Service: "s"}}}}
	for _, lim := range lims {
		tab.Routes = append(tab.Routes, parser.Route{
			Name: fmt.Sprintf("route-%d", lim.route), Match: parser.Match{Model: fmt.Sprintf("model-%d", lim.route)}, Pool: "pool",
			TimeLimit: parser.Duration(time.Duration(lim.limit) * time.Second),
		})
	}
	return tab.Defaults()
}

// setLimit sets the limit of a route; 0 removes the route, and a new route is appended.
func setLimit(lims []routeLimit, update routeLimit) []routeLimit {
	out := slices.Clone(lims)
	i := slices.IndexFunc(out, func(lim routeLimit) bool { return lim.route == update.route })
	switch {
	case update.limit == 0:
		return slices.DeleteFunc(out, func(lim routeLimit) bool { return lim.route == update.route })
	case i < 0:
		return append(out, update)
	default:
		out[i] = update
		return out
	}
}

// exchange sends offers of one host to another until the receiver has the sender's revision.
func exchange(t require.TestingT, from, to *Publisher) {
	full := false
	for range 3 {
		ack, err := to.Receive(from.Offer(to.Current().Revision(), full))
		require.NoError(t, err)
		if ack.GetRevision() >= from.Current().Revision() {
			return
		}
		full = ack.GetWantWhole()
	}
	require.Fail(t, "the peer did not catch up")
}

// Offers may be lost, duplicated, delayed or corrupted: no host may go back or adopt a
// document that was never accepted, and each must catch up by pulling.
func TestExchangeHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pubs := []*Publisher{{}, {}, {}}
		docs := map[uint64]string{}
		var lims []routeLimit
		var current parser.Tables
		var inFlight []*messenger.TablesPush
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			host := rapid.IntRange(0, 2).Draw(rt, "host")
			before := pubs[host].Current().Revision()
			switch rapid.SampledFrom([]string{"edit", "edit", "announce", "offer", "deliver", "deliver", "damage", "restart"}).Draw(rt, "step") {
			case "edit":
				lims = setLimit(lims, routeLimit{rapid.IntRange(0, 5).Draw(rt, "route"), rapid.IntRange(0, 2).Draw(rt, "limit")})
				current = tablesWithRoutes(lims...).WithEdit(current, parser.Edit{Revision: current.Revision + 1, Nonce: "n"})
				doc, _ := current.Encode()
				docs[current.Revision] = string(doc)
				_, err := pubs[host].Adopt(current)
				require.NoError(rt, err)
			case "announce":
				inFlight = append(inFlight, pubs[host].Announce())
			case "offer":
				inFlight = append(inFlight, pubs[host].Offer(uint64(rapid.IntRange(0, 20).Draw(rt, "have")), false))
			case "deliver":
				if len(inFlight) > 0 {
					_, _ = pubs[host].Receive(inFlight[rapid.IntRange(0, len(inFlight)-1).Draw(rt, "message")])
				}
			case "damage":
				if len(inFlight) > 0 {
					msg := proto.CloneOf(inFlight[rapid.IntRange(0, len(inFlight)-1).Draw(rt, "message")])
					msg.Revision += uint64(rapid.IntRange(0, 2).Draw(rt, "ahead"))
					for _, buf := range [][]byte{msg.Delta, msg.Document} {
						if len(buf) > 0 {
							buf[rapid.IntRange(0, len(buf)-1).Draw(rt, "byte")] ^= byte(rapid.IntRange(0, 255).Draw(rt, "flip"))
						}
					}
					_, _ = pubs[host].Receive(msg)
				}
			case "restart":
				pubs[host] = &Publisher{}
				before = 0
			}
			require.GreaterOrEqual(rt, pubs[host].Current().Revision(), before)
			if tab := pubs[host].Current().Tables(); tab.Revision > 0 {
				doc, _ := tab.Encode()
				require.Equal(rt, docs[tab.Revision], string(doc))
			}
		}
		for _, from := range pubs {
			for _, to := range pubs {
				exchange(rt, from, to)
			}
		}
		require.Equal(rt, pubs[0].Current().Tables(), pubs[1].Current().Tables())
		require.Equal(rt, pubs[0].Current().Tables(), pubs[2].Current().Tables())
	})
}

// A host that is several revisions behind must be offered a delta, not the full document.
func TestOfferIsSmall(t *testing.T) {
	lims := []routeLimit{{0, 1}, {1, 1}, {2, 1}, {3, 1}}
	from, to := &Publisher{}, &Publisher{}
	tab := tablesWithRoutes(lims...).WithRevision(1, "a")
	for _, pub := range []*Publisher{from, to} {
		_, err := pub.Adopt(tab)
		require.NoError(t, err)
	}
	for rev := uint64(2); rev <= 5; rev++ {
		lims = setLimit(lims, routeLimit{0, int(rev)})
		tab = tablesWithRoutes(lims...).WithEdit(tab, parser.Edit{Revision: rev, Nonce: "n"})
		_, err := from.Adopt(tab)
		require.NoError(t, err)
	}
	pus := from.Offer(1, false)
	require.NotEmpty(t, pus.GetDelta())
	require.Empty(t, pus.GetDocument())
	ack, err := to.Receive(pus)
	require.NoError(t, err)
	require.Equal(t, uint64(5), ack.GetRevision())
	require.Equal(t, from.Current().Tables(), to.Current().Tables())
}

// Two composed deltas may give another order of routes than applying them one by one. The
// peer must detect this by the checksum and request the full document.
func TestComposedDeltaWithOtherRouteOrder(t *testing.T) {
	from, to := &Publisher{}, &Publisher{}
	for rev, lims := range [][]routeLimit{{{0, 1}, {1, 1}}, {{1, 1}}, {{1, 1}, {0, 1}}} {
		tab := tablesWithRoutes(lims...).WithRevision(uint64(rev+1), "n")
		_, err := from.Adopt(tab)
		require.NoError(t, err)
		if rev == 0 {
			_, err = to.Adopt(tab)
			require.NoError(t, err)
		}
	}
	pus := from.Offer(1, false)
	require.NotEmpty(t, pus.GetDelta())
	ack, err := to.Receive(pus)
	require.NoError(t, err)
	require.True(t, ack.GetWantWhole())
	exchange(t, from, to)
	require.Equal(t, from.Current().Tables(), to.Current().Tables())
}

// regionHosts is a set of hosts of a region that refresh their tables from one store.
type regionHosts struct {
	mu    sync.Mutex
	calls int
	pubs  map[string]*Publisher
	stops map[string]context.CancelFunc
}

func (reg *regionHosts) ids() []string {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return slices.Collect(maps.Keys(reg.pubs))
}

func (reg *regionHosts) storeCalls() int {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return reg.calls
}

func (reg *regionHosts) start(ctx context.Context, sto *fakeStore, id string) {
	ctx, stop := context.WithCancel(ctx)
	pub := &Publisher{Store: sto}
	reg.mu.Lock()
	reg.pubs[id] = pub
	reg.stops[id] = stop
	reg.mu.Unlock()
	go (&Refresher{Publisher: pub, Self: id, LiveHosts: reg.ids}).Run(ctx)
}

// watchers returns the hosts that watch the store.
func (reg *regionHosts) watchers() map[string]*Publisher {
	out := map[string]*Publisher{}
	ids := reg.ids()
	for _, id := range ids {
		if Watches(id, ids, WatchersPerRegion) {
			out[id] = reg.pubs[id]
		}
	}
	return out
}

func (reg *regionHosts) stop(id string) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	reg.stops[id]()
	delete(reg.pubs, id)
}

// Few hosts of a region may watch the store, and other hosts must take over when they stop.
func TestWatchersAreFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts = 40
		ctx, stop := context.WithCancel(t.Context())
		reg := &regionHosts{pubs: map[string]*Publisher{}, stops: map[string]context.CancelFunc{}}
		sto := &fakeStore{choose: func(string) fault {
			reg.mu.Lock()
			defer reg.mu.Unlock()
			reg.calls++
			return faultNone
		}}
		editor := &Publisher{Store: sto}
		for i := range hosts {
			reg.start(ctx, sto, fmt.Sprintf("host-%d", i))
		}
		for rev := range uint64(4) {
			_, err := editor.Edit(ctx, parser.Tables{}, rev, time.Now())
			require.NoError(t, err)
			time.Sleep(2 * initialPollInterval)
			watchers := reg.watchers()
			require.Len(t, watchers, WatchersPerRegion)
			for id, pub := range watchers {
				require.Equal(t, rev+1, pub.Current().Revision())
				reg.stop(id)
			}
			time.Sleep(2 * watcherCheckInterval)
		}
		before := reg.storeCalls()
		time.Sleep(10 * time.Minute)
		perSecond := float64(reg.storeCalls()-before) / (10 * time.Minute).Seconds()
		require.Less(t, perSecond, WatchersPerRegion/watchWait.Seconds()+2*hosts/pollInterval.Seconds())
		stop()
		time.Sleep(watchWait)
	})
}

// A stale answer of the store must neither change nor confirm the tables.
func TestLaggingStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sto := &fakeStore{}
		pub := &Publisher{Store: sto}
		for rev := range uint64(2) {
			_, err := pub.Edit(t.Context(), parser.Tables{}, rev, time.Now())
			require.NoError(t, err)
		}
		confirmed := pub.Confirmed()
		time.Sleep(time.Minute)
		sto.choose = func(string) fault { return faultLagging }
		require.NoError(t, pub.Refresh(t.Context(), time.Now()))
		require.Equal(t, uint64(2), pub.Current().Revision())
		require.Equal(t, confirmed, pub.Confirmed())
		_, age := pub.Freshness(time.Now())
		require.GreaterOrEqual(t, age, time.Minute)
	})
}

// All revisions from Oldest to Newest must be readable, and older ones must be deleted from
// the store.
func TestHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sto := &fakeStore{}
		pub := &Publisher{Store: sto}
		for rev := range uint64(HistoryLength + 5) {
			_, err := pub.Edit(t.Context(), tablesWithRoutes(routeLimit{0, int(rev) + 1}), rev, time.Now())
			require.NoError(t, err)
		}
		synctest.Wait()
		his := pub.History()
		require.Equal(t, uint64(HistoryLength+5), his.Newest)
		require.Len(t, his.Edits, parser.MaxRecentEdits)
		require.Equal(t, his.Newest, his.Edits[0].Revision)
		for _, rev := range []uint64{his.Newest, his.Newest - 1, his.Oldest} {
			tab, err := pub.ReadRevision(t.Context(), rev)
			require.NoError(t, err)
			require.Equal(t, rev, tab.Revision)
			require.Equal(t, parser.Duration(time.Duration(rev)*time.Second), tab.Routes[0].TimeLimit)
		}
		_, err := pub.ReadRevision(t.Context(), his.Oldest-1)
		require.Error(t, err)
		require.LessOrEqual(t, len(sto.objects), HistoryLength+2)
	})
}

// TestGreatestRevision guards against tables with a revision that no later ones exceed.
func TestGreatestRevision(t *testing.T) {
	var pub Publisher
	for _, revision := range []uint64{math.MaxUint64, math.MaxInt64 + 1, 7} {
		_, err := pub.Adopt(parser.Tables{}.WithRevision(revision, "n"))
		require.NoError(t, err)
	}
	require.EqualValues(t, 7, pub.Current().Revision())
}
