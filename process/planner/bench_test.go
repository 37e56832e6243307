package planner

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkStep measures the time of a step of the plan, which is a call of Next, with the
// numbers of engines that deployments have. Long prompts arrive at 2.8 times their usual
// rate, then short prompts at 2.5 times their usual rate. With a backlog, long prompts
// arrive at seven times their usual rate.
func BenchmarkStep(b *testing.B) {
	for _, engines := range []int{14, 45, 112, 300} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) { benchmarkStep(b, engines, 2.8) })
		b.Run(fmt.Sprintf("%d/backlog", engines), func(b *testing.B) { benchmarkStep(b, engines, 7) })
	}
}

func benchmarkStep(b *testing.B, engines int, longFactor float64) {
	var spent, longest time.Duration
	steps, waiting := 0, 0
	for b.Loop() {
		sim := newSimulation(engines, 1)
		sim.onNext = func(dur time.Duration) {
			spent += dur
			longest = max(longest, dur)
			steps++
			waiting = max(waiting, sim.plan.Waiting())
		}
		scale := float64(engines) / 14
		const phase = 3 * time.Second
		for index, factor := range []float64{0.35, 1.3, longFactor} {
			sim.addArrivals(index, classes[index].rate*factor*scale, epoch, phase)
		}
		for index, factor := range []float64{2.5, 0.5, 0.05} {
			sim.addArrivals(index, classes[index].rate*factor*scale, epoch.Add(phase), phase)
		}
		sim.run()
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(spent.Microseconds())/float64(steps), "us/step")
	b.ReportMetric(float64(longest.Microseconds())/1000, "ms/longest")
	b.ReportMetric(float64(steps)/float64(b.N)/6, "steps/s")
	b.ReportMetric(float64(waiting), "waiting")
	b.ReportMetric(spent.Seconds()/float64(b.N)/6, "cores")
}
