package planner

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkStep gives the time of a step of the plan while long prompts come at 2.8
// times their rate and, after them, short ones at 2.5 times theirs, for as many engines
// as deployments have. With a backlog long prompts come at seven times their rate.
func BenchmarkStep(b *testing.B) {
	for _, num := range []int{14, 45, 112, 300} {
		b.Run(fmt.Sprint(num), func(b *testing.B) { benchmarkStep(b, num, 2.8) })
		b.Run(fmt.Sprintf("%d/backlog", num), func(b *testing.B) { benchmarkStep(b, num, 7) })
	}
}

func benchmarkStep(b *testing.B, num int, long float64) {
	var spent, most time.Duration
	steps, waiting := 0, 0
	for b.Loop() {
		wor := newWorld(num, 1)
		wor.timed = func(dur time.Duration) {
			spent += dur
			most = max(most, dur)
			steps++
			waiting = max(waiting, wor.plan.Waiting())
		}
		sca := float64(num) / 14
		const phase = 3 * time.Second
		for cla, mul := range []float64{0.35, 1.3, long} {
			wor.arrive(cla, classes[cla].rate*mul*sca, epoch, phase)
		}
		for cla, mul := range []float64{2.5, 0.5, 0.05} {
			wor.arrive(cla, classes[cla].rate*mul*sca, epoch.Add(phase), phase)
		}
		wor.run()
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(spent.Microseconds())/float64(steps), "us/step")
	b.ReportMetric(float64(most.Microseconds())/1000, "ms/longest")
	b.ReportMetric(float64(steps)/float64(b.N)/6, "steps/s")
	b.ReportMetric(float64(waiting), "waiting")
	b.ReportMetric(spent.Seconds()/float64(b.N)/6, "cores")
}
