package tableproof_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hemlockpin/internal/testkit"

	"github.com/stretchr/testify/require"
)

// twoRegions starts two regions of two hosts and two engines each. Those with even
// indexes are in western, the others in mu-island.
func twoRegions(t *testing.T, overflow ...string) *fleet {
	tab := testkit.SampleTables()
	tab.Pools[0].Overflow = overflow
	tab.Routes[0].Match.MaxPromptTokens = 0
	tab.Routes = append(tab.Routes[:1], tab.Routes[2:]...)
	fle := startFleet(t, testkit.Plan{Hosts: 4, Engines: 4, Regions: []string{"western", "mu-island"}, PlatformArgs: []string{"--list-lag", "200ms"}})
	_, err := fle.Edit(t.Context(), 0, tab, 1)
	require.NoError(t, err)
	fle.waitRevision(2, inForceBound, fle.Hosts...)
	return fle
}

// tally counts the complete answers and the failed requests of workers, and holds
// the duration of the longest request in nanoseconds.
type tally struct{ complete, refused, longest atomic.Int64 }

func (tal *tally) run(ctx context.Context, wg *sync.WaitGroup, address string, workers int) {
	for worker := range workers {
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				at := time.Now()
				err := ask(context.Background(), address, fmt.Sprintf("%s %d %d", address, worker, i), 5)
				if err == nil {
					tal.complete.Add(1)
				} else {
					tal.refused.Add(1)
				}
				for old, elapsed := tal.longest.Load(), int64(time.Since(at)); elapsed > old && !tal.longest.CompareAndSwap(old, elapsed); {
					old = tal.longest.Load()
				}
			}
		})
	}
}

// killWestern kills the engines of western.
func (fle *fleet) killWestern() {
	for i := 0; i < len(fle.Engines); i += 2 {
		fle.Engines[i].Kill()
	}
}

// waitDigests waits until all hosts have received digests of cells in another
// region.
func (fle *fleet) waitDigests() {
	for _, host := range fle.Hosts {
		require.NoError(fle.t, testkit.Poll(fle.t.Context(), settleBound, func() bool { return metrics(fle.t, host)["far_cells"] > 0 }), host.ID)
	}
}

// All engines of a region are killed under load; its requests must overflow to the
// other region. While the hosts of that region are frozen, the first region's hosts
// must refuse requests within refusalBound and report them as not run. After the
// hosts have resumed, requests must be served again and all memory must be freed.
func TestOverflow(t *testing.T) {
	fle := twoRegions(t, "*")
	fle.waitDigests()
	var wg sync.WaitGroup
	ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
	defer stop()
	western, island := &tally{}, &tally{}
	western.run(ctx, &wg, fle.Hosts[0].Address, 4)
	western.run(ctx, &wg, fle.Hosts[2].Address, 4)
	island.run(ctx, &wg, fle.Hosts[1].Address, 4)
	wg.Go(func() { time.Sleep(time.Second); fle.killWestern() })
	wg.Wait()
	t.Logf("engines killed: western %d complete, %d refused; mu-island %d complete", western.complete.Load(), western.refused.Load(), island.complete.Load())
	require.Zero(t, island.refused.Load())
	require.Greater(t, western.complete.Load(), 100*western.refused.Load())
	fle.requireTruthful(0, 2)
	t.Logf("median time to an answer of one token: western %s, mu-island %s", median(t, fle.Hosts[0].Address), median(t, fle.Hosts[1].Address))

	for _, i := range []int{1, 3} {
		require.NoError(t, fle.Hosts[i].Freeze())
	}
	ctx, stop = context.WithTimeout(t.Context(), 5*time.Second)
	defer stop()
	isolated := &tally{}
	isolated.run(ctx, &wg, fle.Hosts[0].Address, 2)
	isolated.run(ctx, &wg, fle.Hosts[2].Address, 2)
	wg.Wait()
	t.Logf("other region frozen: refused %d, longest %s", isolated.refused.Load(), time.Duration(isolated.longest.Load()))
	require.Zero(t, isolated.complete.Load())
	require.Less(t, time.Duration(isolated.longest.Load()), refusalBound)
	fle.requireTruthful(0, 2)
	for _, i := range []int{1, 3} {
		require.NoError(t, fle.Hosts[i].Resume())
	}
	require.NoError(t, testkit.Poll(t.Context(), settleBound, func() bool {
		return ask(t.Context(), fle.Hosts[0].Address, "healed", 1) == nil
	}))
	fle.waitMemoryFree()
}

// refusalBound is the time within which a request that no region can serve must be
// refused.
const refusalBound = 2 * time.Second

// requireTruthful requires that all requests through the given hosts either got a
// complete answer or were reported as not run.
func (fle *fleet) requireTruthful(hosts ...int) {
	for _, i := range hosts {
		for name, value := range metrics(fle.t, fle.Hosts[i]) {
			if strings.HasPrefix(name, "requests{") && !strings.Contains(name, `outcome="whole"`) {
				require.True(fle.t, strings.Contains(name, `run="NotRun"`) || value == 0, "%s %v", name, value)
			}
		}
	}
}

// median returns the median time to an answer of one token.
func median(t *testing.T, address string) time.Duration {
	var durations []time.Duration
	for i := range 21 {
		at := time.Now()
		require.NoError(t, ask(t.Context(), address, fmt.Sprint("token ", i), 1))
		durations = append(durations, time.Since(at))
	}
	slices.Sort(durations)
	return durations[len(durations)/2]
}

// waitMemoryFree waits until the engines of mu-island, which are alive, hold no
// memory.
func (fle *fleet) waitMemoryFree() {
	for i := 1; i < len(fle.Engines); i += 2 {
		require.NoError(fle.t, testkit.Poll(fle.t.Context(), settleBound, func() bool {
			var loa struct{ UsedTokens int64 }
			require.NoError(fle.t, testkit.GetJSON(fle.t.Context(), "http://"+fle.Engines[i].Address+"/v1/load", &loa))
			return loa.UsedTokens == 0
		}), fle.Engines[i].ID)
	}
}
