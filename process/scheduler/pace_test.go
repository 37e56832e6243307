package scheduler

import (
	"fmt"
	"testing"
	"time"

	"hemlockpin/request/placer"

	"github.com/stretchr/testify/require"
)

// TestSummaryPace reads the summaries of cells of several sizes. Engine 0 may have
// failed. The test checks the traffic limit, that every engine is read once per
// interval, and that engine 0 is read more often.
func TestSummaryPace(t *testing.T) {
	const (
		minInterval = 250 * time.Millisecond
		period      = 2 * time.Minute
	)
	for _, engines := range []int{1, 14, 64} {
		var ends []placer.Endpoint
		for i := range engines {
			ends = append(ends, placer.Endpoint{ID: fmt.Sprint(i)})
		}
		var pac summaryPacer
		interval := summaryInterval(engines, minInterval)
		reads := map[string]int{}
		longestGap := map[string]time.Duration{}
		last := map[string]time.Time{}
		for now := epoch; now.Sub(epoch) < period; now = now.Add(minInterval) {
			for _, end := range pac.due(ends, interval, func(id string) bool { return id == "0" }, now) {
				reads[end.ID]++
				if previous, ok := last[end.ID]; ok {
					longestGap[end.ID] = max(longestGap[end.ID], now.Sub(previous))
				}
				last[end.ID] = now
			}
		}
		total := 0
		for _, end := range ends {
			require.LessOrEqual(t, longestGap[end.ID], interval+minInterval, "%d engines", engines)
			total += reads[end.ID]
		}
		require.LessOrEqual(t, longestGap["0"], suspectInterval)
		require.LessOrEqual(t, float64(total*summaryBytes), (summaryRate+summaryBytes/suspectInterval.Seconds())*period.Seconds()+float64(engines*summaryBytes))
	}
}
