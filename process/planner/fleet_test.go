package planner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"hemlockpin/version/parser"
)

// drawFleet draws a pool of engines and the requests that it gets. The engines differ in
// speed, slots and memory; the requests occupy a share of the engines' time that varies
// less.
func drawFleet(ran *rand.Rand) fleet {
	between := func(low, high float64) float64 { return low + (high-low)*ran.Float64() }
	bat := parser.Batching{
		Slots: int(between(8, 33)), MemoryTokens: int64(between(200_000, 600_000)), StepMs: between(0.5, 2), SequenceMs: 0.00425, ContextMs: 0.00285,
		ReadRate: between(100_000, 300_000), PairsMs: between(0.1, 0.25), ChunkTokens: 2048, HopMs: 0.05, ReportLagMs: 200, UsualPrompt: 11_108, UsualAnswer: 1622,
	}
	bat.Stride = int(between(35, 60) / bat.StepMs)
	fle := fleet{engines: int(between(8, 40)), batching: bat, classes: append([]class(nil), classes...)}
	fle.classes[2].mean = between(100_000, 260_000)
	fle.classes[2].worth = 21 * fle.classes[2].mean / 154_000
	fle.classes[2].objective = time.Duration(between(3, 4) * float64(time.Second))
	engines := float64(fle.engines)
	fle.classes[0].rate = between(1.4, 2.1) * engines
	fle.classes[1].rate = between(0.03, 0.06) * engines / fle.work(1)
	fle.classes[2].rate = between(0.2, 0.25) * engines / fle.work(2)
	return fle
}

// work is the mean time in seconds in which one engine prefills a prompt of a class.
func (fle fleet) work(index int) float64 {
	cla := fle.classes[index]
	square := cla.mean * cla.mean * math.Exp(cla.sigma*cla.sigma)
	return cla.mean/fle.batching.ReadRate + fle.batching.PairsMs*square/2/1e9
}

// simulateTurns runs a fleet whose short and long prompts come in turns.
func simulateTurns(fle fleet, seed uint64) *simulation {
	sim := simulateFleet(fle, seed)
	at := epoch
	for _, factors := range [][3]float64{{0.35, 1.3, 2.7}, {2.4, 0.5, 0.05}, {0.35, 1.3, 2.7}} {
		for index, factor := range factors {
			sim.addArrivals(index, fle.classes[index].rate*factor, at, 9500*time.Millisecond)
		}
		at = at.Add(9500 * time.Millisecond)
	}
	sim.run()
	return sim
}

func TestDrawnFleets(t *testing.T) {
	var sum [4]float64
	n := 96
	results := make([][4]float64, n)
	t.Run("g", func(t *testing.T) {
		for seed := range n {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				fle := drawFleet(rand.New(rand.NewPCG(uint64(seed), 2)))
				sim := simulateTurns(fle, uint64(seed))
				results[seed][0] = sim.worth(func(*simRequest) bool { return true })
				for i := range 3 {
					results[seed][i+1] = sim.worth(func(req *simRequest) bool { return req.class == i })
				}
				ref := sim.share(2, func(r *simRequest) bool { return r.refused })
				t.Logf("engines %d slots %d mem %d rate %.0f step %.2f long %.0f: worth %.3f short %.3f mid %.3f long %.3f refused long %.3f late long %.3f", fle.engines, fle.batching.Slots, fle.batching.MemoryTokens, fle.batching.ReadRate, fle.batching.StepMs, fle.classes[2].mean, results[seed][0], results[seed][1], results[seed][2], results[seed][3], ref, sim.share(2, func(r *simRequest) bool { return r.finished && !r.inTime(fle.classes[2]) }))
			})
		}
	})
	for _, r := range results {
		for i := range r {
			sum[i] += r[i] / float64(n)
		}
	}
	t.Logf("mean %.4f short %.4f mid %.4f long %.4f", sum[0], sum[1], sum[2], sum[3])
}
