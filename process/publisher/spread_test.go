package publisher

import (
	"context"
	"flag"
	"fmt"
	"maps"
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

// limited is a route with a time limit in seconds.
type limited struct{ name, limit int }

// routesTables returns tables with the routes given.
func routesTables(lims ...limited) parser.Tables {
	tab := parser.Tables{Pools: []parser.Pool{{Name: "pool", Kind: parser.PoolEngine, Selector: parser.Selector{Service: "s"}}}}
	for _, lim := range lims {
		tab.Routes = append(tab.Routes, parser.Route{
			Name: fmt.Sprintf("route-%d", lim.name), Match: parser.Match{Model: fmt.Sprintf("model-%d", lim.name)}, Pool: "pool",
			TimeLimit: parser.Duration(time.Duration(lim.limit) * time.Second),
		})
	}
	return tab.Defaults()
}

// change gives a route a limit; 0 removes it, and a new one goes to the end.
func change(lims []limited, one limited) []limited {
	out := slices.Clone(lims)
	ind := slices.IndexFunc(out, func(lim limited) bool { return lim.name == one.name })
	switch {
	case one.limit == 0:
		return slices.DeleteFunc(out, func(lim limited) bool { return lim.name == one.name })
	case ind < 0:
		return append(out, one)
	default:
		out[ind] = one
		return out
	}
}

// exchange lets a host pull until it has what the other has.
func exchange(t require.TestingT, from, to *Publisher) {
	whole := false
	for range 3 {
		ack, err := to.Receive(from.Offer(to.Current().Revision(), whole))
		require.NoError(t, err)
		if ack.GetRevision() >= from.Current().Revision() {
			return
		}
		whole = ack.GetWantWhole()
	}
	require.Fail(t, "the peer did not catch up")
}

// Offers may be lost, doubled, late or damaged: no host goes back or takes a
// document that was never accepted, and each catches up by asking.
func TestSpreadHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pubs := []*Publisher{{}, {}, {}}
		docs := map[uint64]string{}
		var lims []limited
		var cur parser.Tables
		var flight []*messenger.TablesPush
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			one := rapid.IntRange(0, 2).Draw(rt, "host")
			before := pubs[one].Current().Revision()
			switch rapid.SampledFrom([]string{"edit", "edit", "announce", "offer", "deliver", "deliver", "damage", "restart"}).Draw(rt, "step") {
			case "edit":
				lims = change(lims, limited{rapid.IntRange(0, 5).Draw(rt, "route"), rapid.IntRange(0, 2).Draw(rt, "limit")})
				cur = routesTables(lims...).WithEdit(cur, parser.Edit{Revision: cur.Revision + 1, Nonce: "n"})
				doc, _ := cur.Encode()
				docs[cur.Revision] = string(doc)
				_, err := pubs[one].Accept(cur)
				require.NoError(rt, err)
			case "announce":
				flight = append(flight, pubs[one].Announce())
			case "offer":
				flight = append(flight, pubs[one].Offer(uint64(rapid.IntRange(0, 20).Draw(rt, "have")), false))
			case "deliver":
				if len(flight) > 0 {
					_, _ = pubs[one].Receive(flight[rapid.IntRange(0, len(flight)-1).Draw(rt, "message")])
				}
			case "damage":
				if len(flight) > 0 {
					mes := proto.CloneOf(flight[rapid.IntRange(0, len(flight)-1).Draw(rt, "message")])
					mes.Revision += uint64(rapid.IntRange(0, 2).Draw(rt, "ahead"))
					for _, buf := range [][]byte{mes.Delta, mes.Document} {
						if len(buf) > 0 {
							buf[rapid.IntRange(0, len(buf)-1).Draw(rt, "byte")] ^= byte(rapid.IntRange(0, 255).Draw(rt, "flip"))
						}
					}
					_, _ = pubs[one].Receive(mes)
				}
			case "restart":
				pubs[one] = &Publisher{}
				before = 0
			}
			require.GreaterOrEqual(rt, pubs[one].Current().Revision(), before)
			if tab := pubs[one].Current().Tables(); tab.Revision > 0 {
				doc, _ := tab.Encode()
				require.Equal(rt, docs[tab.Revision], string(doc))
			}
		}
		for _, fro := range pubs {
			for _, to := range pubs {
				exchange(rt, fro, to)
			}
		}
		require.Equal(rt, pubs[0].Current().Tables(), pubs[1].Current().Tables())
		require.Equal(rt, pubs[0].Current().Tables(), pubs[2].Current().Tables())
	})
}

func TestOfferIsSmall(t *testing.T) {
	lims := []limited{{0, 1}, {1, 1}, {2, 1}, {3, 1}}
	one, two := &Publisher{}, &Publisher{}
	tab := routesTables(lims...).WithRevision(1, "a")
	for _, pub := range []*Publisher{one, two} {
		_, err := pub.Accept(tab)
		require.NoError(t, err)
	}
	for rev := uint64(2); rev <= 5; rev++ {
		lims = change(lims, limited{0, int(rev)})
		tab = routesTables(lims...).WithEdit(tab, parser.Edit{Revision: rev, Nonce: "n"})
		_, err := one.Accept(tab)
		require.NoError(t, err)
	}
	pus := one.Offer(1, false)
	require.NotEmpty(t, pus.GetDelta())
	require.Empty(t, pus.GetDocument())
	ack, err := two.Receive(pus)
	require.NoError(t, err)
	require.Equal(t, uint64(5), ack.GetRevision())
	require.Equal(t, one.Current().Tables(), two.Current().Tables())
}

// Two changes joined may lead to another order of routes than one by one. The
// peer finds that by the checksum and asks for the whole document.
func TestDeltaThatDoesNotLeadThere(t *testing.T) {
	one, two := &Publisher{}, &Publisher{}
	for rev, lims := range [][]limited{{{0, 1}, {1, 1}}, {{1, 1}}, {{1, 1}, {0, 1}}} {
		tab := routesTables(lims...).WithRevision(uint64(rev+1), "n")
		_, err := one.Accept(tab)
		require.NoError(t, err)
		if rev == 0 {
			_, err = two.Accept(tab)
			require.NoError(t, err)
		}
	}
	pus := one.Offer(1, false)
	require.NotEmpty(t, pus.GetDelta())
	ack, err := two.Receive(pus)
	require.NoError(t, err)
	require.True(t, ack.GetWantWhole())
	exchange(t, one, two)
	require.Equal(t, one.Current().Tables(), two.Current().Tables())
}

// region is a set of hosts that refresh their tables from one store.
type region struct {
	mu    sync.Mutex
	calls int
	pubs  map[string]*Publisher
	stops map[string]context.CancelFunc
}

func (reg *region) ids() []string {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return slices.Collect(maps.Keys(reg.pubs))
}

func (reg *region) count() int {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return reg.calls
}

func (reg *region) start(ctx context.Context, sto *fakeStore, id string) {
	ctx, stop := context.WithCancel(ctx)
	pub := &Publisher{Store: sto}
	reg.mu.Lock()
	reg.pubs[id] = pub
	reg.stops[id] = stop
	reg.mu.Unlock()
	go (&Refresher{Publisher: pub, Self: id, Region: reg.ids}).Run(ctx)
}

// watchers returns the hosts with the duty to watch, and stops them if asked.
func (reg *region) watchers() map[string]*Publisher {
	out := map[string]*Publisher{}
	ids := reg.ids()
	for _, id := range ids {
		if Watches(id, ids, WatchersPerRegion) {
			out[id] = reg.pubs[id]
		}
	}
	return out
}

func (reg *region) stop(id string) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	reg.stops[id]()
	delete(reg.pubs, id)
}

// Few hosts of a region watch the store, and others follow when those are gone.
func TestWatchersAreFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts = 40
		ctx, stop := context.WithCancel(t.Context())
		reg := &region{pubs: map[string]*Publisher{}, stops: map[string]context.CancelFunc{}}
		sto := &fakeStore{choose: func(string) fault {
			reg.mu.Lock()
			defer reg.mu.Unlock()
			reg.calls++
			return faultNone
		}}
		editor := &Publisher{Store: sto}
		for ind := range hosts {
			reg.start(ctx, sto, fmt.Sprintf("host-%d", ind))
		}
		for rev := range uint64(4) {
			_, err := editor.Edit(ctx, parser.Tables{}, rev, time.Now())
			require.NoError(t, err)
			time.Sleep(2 * firstInterval)
			wats := reg.watchers()
			require.Len(t, wats, WatchersPerRegion)
			for id, pub := range wats {
				require.Equal(t, rev+1, pub.Current().Revision())
				reg.stop(id)
			}
			time.Sleep(2 * dutyInterval)
		}
		before := reg.count()
		time.Sleep(10 * time.Minute)
		perSecond := float64(reg.count()-before) / (10 * time.Minute).Seconds()
		require.Less(t, perSecond, WatchersPerRegion/watchWait.Seconds()+2*hosts/pollInterval.Seconds())
		stop()
		time.Sleep(watchWait)
	})
}

// A lagging answer of the store changes and confirms nothing.
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

func TestHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sto := &fakeStore{}
		pub := &Publisher{Store: sto}
		for rev := range uint64(HistoryLength + 5) {
			_, err := pub.Edit(t.Context(), routesTables(limited{0, int(rev) + 1}), rev, time.Now())
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
