package planner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"hemlockpin/version/parser"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// TestFleets runs patterns of load against pools of engines that are drawn at random. Each
// pattern gives the least mean worth of the answers to all requests and to the requests of
// each class. Lines of a pattern are phases, as in TestLoad.
func TestFleets(t *testing.T) {
	datadriven.Walk(t, "testdata/fleets", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, dat *datadriven.TestData) string {
			require.Equal(t, "fleets", dat.Cmd)
			var count int
			dat.ScanArgs(t, "count", &count)
			sims := simulateFleets(t, dat, count)
			var sb strings.Builder
			writeBound(t, &sb, dat, "all", meanWorth(sims, func(*simRequest) bool { return true }))
			for index, cla := range classes {
				writeBound(t, &sb, dat, cla.name, meanWorth(sims, func(req *simRequest) bool { return req.class == index }))
			}
			return sb.String()
		})
	})
}

// simulateFleets runs a pattern once on each of a number of pools.
func simulateFleets(t *testing.T, dat *datadriven.TestData, count int) []*simulation {
	sims := make([]*simulation, count)
	t.Run("fleets", func(t *testing.T) {
		for seed := range sims {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				sim := simulateFleet(drawFleet(rand.New(rand.NewPCG(uint64(seed), 2))), uint64(seed))
				sim.addPhases(t, dat.Input, 1)
				sim.run()
				sims[seed] = sim
				t.Logf("%d engines of %d slots, %.0f tokens a second, long prompts of %.0f tokens: worth %.3f",
					sim.fleet.engines, sim.fleet.batching.Slots, sim.fleet.batching.ReadRate, sim.fleet.classes[2].mean, sim.worth(func(*simRequest) bool { return true }))
			})
		}
	})
	return sims
}

// drawFleet draws the engines of a pool and the requests that it gets at the usual rates.
// The engines differ much, the share of their time that the requests occupy only little.
func drawFleet(ran *rand.Rand) fleet {
	between := func(low, high float64) float64 { return low + (high-low)*ran.Float64() }
	bat := parser.Batching{
		Slots: int(between(8, 33)), MemoryTokens: int64(between(200_000, 600_000)), StepMs: between(0.5, 2), SequenceMs: 0.00425, ContextMs: 0.00285,
		ReadRate: between(100_000, 300_000), PairsMs: between(0.1, 0.25), ChunkTokens: 2048, HopMs: 0.05, ReportLagMs: 200, UsualPrompt: 11_108, UsualAnswer: 1622,
	}
	bat.Stride = int(between(35, 60) / bat.StepMs)
	fle := fleet{engines: int(between(8, 40)), batching: bat, classes: slices.Clone(classes)}
	long := &fle.classes[2]
	usualMean := long.mean
	long.mean = between(100_000, 260_000)
	long.worth *= long.mean / usualMean
	long.objective = time.Duration(between(3, 4) * float64(time.Second))
	engines := float64(fle.engines)
	fle.classes[0].rate = between(1.4, 2.1) * engines
	fle.classes[1].rate = between(0.03, 0.06) * engines / fle.meanPrefill(1)
	long.rate = between(0.2, 0.25) * engines / fle.meanPrefill(2)
	return fle
}

// meanPrefill is the mean time in seconds in which one engine prefills a prompt of a class.
func (fle fleet) meanPrefill(index int) float64 {
	cla := fle.classes[index]
	meanSquare := cla.mean * cla.mean * math.Exp(cla.sigma*cla.sigma)
	return cla.mean/fle.batching.ReadRate + fle.batching.PairsMs*meanSquare/2/1e9
}

// meanWorth is the mean worth over simulations of the answers to the requests for which
// match holds.
func meanWorth(sims []*simulation, match func(*simRequest) bool) float64 {
	var total float64
	for _, sim := range sims {
		total += sim.worth(match)
	}
	return total / float64(len(sims))
}
