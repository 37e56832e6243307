package planner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// TestLoad runs patterns of load against simulated engines. Each pattern gives, for each
// class, the least share of requests that must be in time, or served. Each line of a
// pattern is a phase: its length in seconds, and the factor on the usual rate of each
// class. seeds=n counts the requests of n runs together.
func TestLoad(t *testing.T) {
	datadriven.Walk(t, "testdata/load", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, dat *datadriven.TestData) string {
			require.Equal(t, "load", dat.Cmd)
			seed, seeds := 1, 1
			dat.MaybeScanArgs(t, "seed", &seed)
			dat.MaybeScanArgs(t, "seeds", &seeds)
			var all simulation
			for i := range seeds {
				all.ordered = append(all.ordered, simulate(t, dat, uint64(seed+i)).ordered...)
			}
			return compareShares(t, &all, dat)
		})
	})
}

// simulate runs a pattern once.
func simulate(t *testing.T, dat *datadriven.TestData, seed uint64) *simulation {
	engines := 14
	dat.MaybeScanArgs(t, "engines", &engines)
	// The usual rates are those of 14 engines; scale multiplies them.
	scale := 1
	dat.MaybeScanArgs(t, "scale", &scale)
	sim := newSimulation(engines, seed)
	slowEngines(t, sim, dat)
	sim.addPhases(t, dat.Input, float64(scale))
	sim.run()
	return sim
}

// addPhases adds the requests of the phases of a pattern, a phase a line.
func (sim *simulation) addPhases(t *testing.T, phases string, scale float64) {
	at := epoch
	for line := range strings.SplitSeq(strings.TrimSpace(phases), "\n") {
		var seconds, short, middle, long float64
		_, err := fmt.Sscanf(line, "seconds=%g short=%g middle=%g long=%g", &seconds, &short, &middle, &long)
		require.NoError(t, err, line)
		length := time.Duration(seconds * float64(time.Second))
		for index, factor := range []float64{short, middle, long} {
			sim.addArrivals(index, sim.fleet.classes[index].rate*factor*scale, at, length)
		}
		at = at.Add(length)
	}
}

// slowEngines makes some engines slower than their parameters say and reports their pace
// to the plan.
func slowEngines(t *testing.T, sim *simulation, dat *datadriven.TestData) {
	n, slowdown := 0, 1.0
	dat.MaybeScanArgs(t, "slow", &n)
	var text string
	if dat.MaybeScanArgs(t, "by", &text); text != "" {
		_, err := fmt.Sscan(text, &slowdown)
		require.NoError(t, err)
	}
	for i := range n {
		id := fmt.Sprintf("e%02d", i)
		sim.engines[id].slowdown = slowdown
		sim.next(Report{Endpoint: id, Load: Load{Pace: slowdown}}, epoch)
	}
}

// compareShares returns a line for each bound, which says whether the share reaches the
// bound.
func compareShares(t *testing.T, sim *simulation, dat *datadriven.TestData) string {
	var sb strings.Builder
	for index, cla := range classes {
		for _, what := range []string{"intime", "served"} {
			writeBound(t, &sb, dat, cla.name+"-"+what, sim.share(index, func(req *simRequest) bool {
				if what == "served" {
					return req.finished
				}
				return req.inTime(cla)
			}))
		}
	}
	return sb.String()
}

// writeBound writes whether a value reaches the bound that a pattern gives for a key, if it
// gives one.
func writeBound(t *testing.T, sb *strings.Builder, dat *datadriven.TestData, key string, value float64) {
	var text string
	if dat.MaybeScanArgs(t, key, &text); text == "" {
		return
	}
	var bound float64
	_, err := fmt.Sscan(text, &bound)
	require.NoError(t, err)
	name := strings.ReplaceAll(key, "-", " ")
	if value >= bound {
		fmt.Fprintf(sb, "%s: at least %g\n", name, bound)
		return
	}
	fmt.Fprintf(sb, "%s: %.3f is under %g\n", name, value, bound)
}
