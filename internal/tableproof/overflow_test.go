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

// twoRegions starts two regions of two hosts and two engines each, with even
// indexes in western and odd ones in mu-island.
func twoRegions(t *testing.T, overflow ...string) *fleet {
	tab := testkit.SampleTables()
	tab.Pools[0].Overflow = overflow
	tab.Routes[0].Match.MaxPromptTokens = 0
	tab.Routes = append(tab.Routes[:1], tab.Routes[2:]...)
	fle := start(t, testkit.Plan{Hosts: 4, Engines: 4, Regions: []string{"western", "mu-island"}, PlatformArgs: []string{"--list-lag", "200ms"}})
	_, err := fle.Edit(t.Context(), 0, tab, 1)
	require.NoError(t, err)
	fle.waitRevision(2, inForceBound, fle.Hosts...)
	return fle
}

// served counts the answers that workers got, and the longest time of one.
type served struct{ whole, refused, longest atomic.Int64 }

func (ser *served) run(ctx context.Context, gro *sync.WaitGroup, address string, workers int) {
	for wor := range workers {
		gro.Go(func() {
			for ind := 0; ctx.Err() == nil; ind++ {
				at := time.Now()
				err := ask(context.Background(), address, fmt.Sprintf("%s %d %d", address, wor, ind), 5)
				if err == nil {
					ser.whole.Add(1)
				} else {
					ser.refused.Add(1)
				}
				for old, dur := ser.longest.Load(), int64(time.Since(at)); dur > old && !ser.longest.CompareAndSwap(old, dur); {
					old = ser.longest.Load()
				}
			}
		})
	}
}

// killWestern ends the engines of western.
func (fle *fleet) killWestern() {
	for ind := 0; ind < len(fle.Engines); ind += 2 {
		fle.Engines[ind].Kill()
	}
}

// waitDigests waits until the hosts know cells of another region.
func (fle *fleet) waitDigests() {
	for _, hos := range fle.Hosts {
		require.NoError(fle.t, testkit.Poll(fle.t.Context(), settleBound, func() bool { return metrics(fle.t, hos)["far_cells"] > 0 }), hos.ID)
	}
}

// All engines of a region die under load, and its hosts have their requests
// served by the other region. While that region's hosts are silent, they refuse
// at once and truthfully; afterwards they are served again, and the engines'
// memory is free.
func TestOverflow(t *testing.T) {
	fle := twoRegions(t, "*")
	fle.waitDigests()
	var gro sync.WaitGroup
	ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
	defer stop()
	wes, isl := &served{}, &served{}
	wes.run(ctx, &gro, fle.Hosts[0].Address, 4)
	wes.run(ctx, &gro, fle.Hosts[2].Address, 4)
	isl.run(ctx, &gro, fle.Hosts[1].Address, 4)
	gro.Go(func() { time.Sleep(time.Second); fle.killWestern() })
	gro.Wait()
	t.Logf("killed: western %d whole, %d refused; mu-island %d whole", wes.whole.Load(), wes.refused.Load(), isl.whole.Load())
	require.Zero(t, isl.refused.Load())
	require.Greater(t, wes.whole.Load(), 100*wes.refused.Load())
	fle.requireTruthful(0, 2)
	t.Logf("median of a token: western %s, mu-island %s", median(t, fle.Hosts[0].Address), median(t, fle.Hosts[1].Address))

	for _, ind := range []int{1, 3} {
		require.NoError(t, fle.Hosts[ind].Freeze())
	}
	ctx, stop = context.WithTimeout(t.Context(), 5*time.Second)
	defer stop()
	alone := &served{}
	alone.run(ctx, &gro, fle.Hosts[0].Address, 2)
	alone.run(ctx, &gro, fle.Hosts[2].Address, 2)
	gro.Wait()
	t.Logf("other region silent: refused %d, longest %s", alone.refused.Load(), time.Duration(alone.longest.Load()))
	require.Zero(t, alone.whole.Load())
	require.Less(t, time.Duration(alone.longest.Load()), refusalBound)
	fle.requireTruthful(0, 2)
	for _, ind := range []int{1, 3} {
		require.NoError(t, fle.Hosts[ind].Resume())
	}
	require.NoError(t, testkit.Poll(t.Context(), settleBound, func() bool {
		return ask(t.Context(), fle.Hosts[0].Address, "healed", 1) == nil
	}))
	fle.waitMemoryFree()
}

// refusalBound is how soon a request is refused that no region can serve.
const refusalBound = 2 * time.Second

// requireTruthful requires that requests through hosts were answered whole or
// told that they had not run.
func (fle *fleet) requireTruthful(hosts ...int) {
	for _, ind := range hosts {
		for nam, val := range metrics(fle.t, fle.Hosts[ind]) {
			if strings.HasPrefix(nam, "requests{") && !strings.Contains(nam, `outcome="whole"`) {
				require.True(fle.t, strings.Contains(nam, `run="NotRun"`) || val == 0, "%s %v", nam, val)
			}
		}
	}
}

// median returns the median time to an answer of one token.
func median(t *testing.T, address string) time.Duration {
	var durs []time.Duration
	for ind := range 21 {
		at := time.Now()
		require.NoError(t, ask(t.Context(), address, fmt.Sprint("token ", ind), 1))
		durs = append(durs, time.Since(at))
	}
	slices.Sort(durs)
	return durs[len(durs)/2]
}

// waitMemoryFree waits until the engines that live hold no memory.
func (fle *fleet) waitMemoryFree() {
	for ind := 1; ind < len(fle.Engines); ind += 2 {
		require.NoError(fle.t, testkit.Poll(fle.t.Context(), settleBound, func() bool {
			var loa struct{ UsedTokens int64 }
			require.NoError(fle.t, testkit.GetJSON(fle.t.Context(), "http://"+fle.Engines[ind].Address+"/v1/load", &loa))
			return loa.UsedTokens == 0
		}), fle.Engines[ind].ID)
	}
}
