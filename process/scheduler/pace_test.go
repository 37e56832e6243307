package scheduler

import (
	"fmt"
	"testing"
	"time"

	"hemlockpin/request/placer"

	"github.com/stretchr/testify/require"
)

// TestSummaryPace reads cells of several sizes as the scheduler does. It checks the
// traffic limit, that every engine is read once per interval, and that an engine
// that may have failed is read more often.
func TestSummaryPace(t *testing.T) {
	const (
		least  = 250 * time.Millisecond
		period = 2 * time.Minute
	)
	for _, engines := range []int{1, 14, 64} {
		var ends []placer.Endpoint
		for i := range engines {
			ends = append(ends, placer.Endpoint{ID: fmt.Sprint(i)})
		}
		var pac summaryPacer
		interval := summaryInterval(engines, least)
		reads := map[string]int{}
		worst := map[string]time.Duration{}
		last := map[string]time.Time{}
		for now := epoch; now.Sub(epoch) < period; now = now.Add(least) {
			for _, end := range pac.due(ends, interval, func(id string) bool { return id == "0" }, now) {
				reads[end.ID]++
				if previous, ok := last[end.ID]; ok {
					worst[end.ID] = max(worst[end.ID], now.Sub(previous))
				}
				last[end.ID] = now
			}
		}
		total := 0
		for _, end := range ends {
			require.LessOrEqual(t, worst[end.ID], interval+least, "%d engines", engines)
			total += reads[end.ID]
		}
		require.LessOrEqual(t, worst["0"], suspectInterval)
		require.LessOrEqual(t, float64(total*summaryBytes), (summaryRate+summaryBytes/suspectInterval.Seconds())*period.Seconds()+float64(engines*summaryBytes))
	}
}
