package planner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// TestLoad plays patterns of load against simulated engines. Each pattern states
// the share of each kind of request that has to be in time; the shares come from
// what callers are to get, not from what was measured. A line of a pattern is a
// phase: its seconds, and by how much each kind is above its usual rate. With seeds
// the shares are those of several plays.
func TestLoad(t *testing.T) {
	datadriven.Walk(t, "testdata/load", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, dat *datadriven.TestData) string {
			require.Equal(t, "load", dat.Cmd)
			seed, num := 1, 1
			dat.MaybeScanArgs(t, "seed", &seed)
			dat.MaybeScanArgs(t, "seeds", &num)
			var all world
			for ind := range num {
				all.order = append(all.order, play(t, dat, uint64(seed+ind)).order...)
			}
			return verdict(t, &all, dat)
		})
	})
}

// play plays a pattern once.
func play(t *testing.T, dat *datadriven.TestData, seed uint64) *world {
	engs := 14
	dat.MaybeScanArgs(t, "engines", &engs)
	// The usual rates are those of 14 engines; scale multiplies them.
	sca := 1
	dat.MaybeScanArgs(t, "scale", &sca)
	wor := newWorld(engs, seed)
	slowEngines(t, wor, dat)
	at := epoch
	for lin := range strings.SplitSeq(strings.TrimSpace(dat.Input), "\n") {
		var sec, sho, mid, lon float64
		_, err := fmt.Sscanf(lin, "seconds=%g short=%g middle=%g long=%g", &sec, &sho, &mid, &lon)
		require.NoError(t, err, lin)
		dur := time.Duration(sec * float64(time.Second))
		for cla, mul := range []float64{sho, mid, lon} {
			wor.arrive(cla, classes[cla].rate*mul*float64(sca), at, dur)
		}
		at = at.Add(dur)
	}
	wor.run()
	return wor
}

// slowEngines makes some engines work more slowly than their figures say, and
// reports it.
func slowEngines(t *testing.T, wor *world, dat *datadriven.TestData) {
	num, by := 0, 1.0
	dat.MaybeScanArgs(t, "slow", &num)
	var txt string
	if dat.MaybeScanArgs(t, "by", &txt); txt != "" {
		_, err := fmt.Sscan(txt, &by)
		require.NoError(t, err)
	}
	for ind := range num {
		id := fmt.Sprintf("e%02d", ind)
		wor.engines[id].slow = by
		wor.next(Report{Endpoint: id, Load: Load{Pace: by}}, epoch)
	}
}

// verdict compares the shares with the bounds.
func verdict(t *testing.T, wor *world, dat *datadriven.TestData) string {
	var bui strings.Builder
	for cla, one := range classes {
		for _, what := range []string{"intime", "served"} {
			var txt string
			if dat.MaybeScanArgs(t, one.name+"-"+what, &txt); txt == "" {
				continue
			}
			var bou float64
			_, err := fmt.Sscan(txt, &bou)
			require.NoError(t, err)
			got := wor.share(cla, func(req *simRequest) bool {
				if what == "served" {
					return req.finished
				}
				return req.inTime()
			})
			if got >= bou {
				fmt.Fprintf(&bui, "%s %s: at least %g\n", one.name, what, bou)
			} else {
				fmt.Fprintf(&bui, "%s %s: %.3f is under %g\n", one.name, what, got, bou)
			}
		}
	}
	return bui.String()
}
