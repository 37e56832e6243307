package scheduler

import (
	"fmt"
	"testing"
	"time"

	"hemlockpin/request/placer"

	"github.com/stretchr/testify/require"
)

// TestReadPace reads cells of several sizes as the scheduler would: within the
// traffic, every engine in turn, and one that may have failed soon.
func TestReadPace(t *testing.T) {
	const (
		least  = 250 * time.Millisecond
		period = 2 * time.Minute
	)
	for _, cou := range []int{1, 14, 64} {
		var ends []placer.Endpoint
		for ind := range cou {
			ends = append(ends, placer.Endpoint{ID: fmt.Sprint(ind)})
		}
		var rea readPace
		itv := readInterval(cou, least)
		reads := map[string]int{}
		worst := map[string]time.Duration{}
		last := map[string]time.Time{}
		for now := epoch; now.Sub(epoch) < period; now = now.Add(least) {
			for _, end := range rea.due(ends, itv, func(id string) bool { return id == "0" }, now) {
				reads[end.ID]++
				if las, ok := last[end.ID]; ok {
					worst[end.ID] = max(worst[end.ID], now.Sub(las))
				}
				last[end.ID] = now
			}
		}
		all := 0
		for _, end := range ends {
			require.LessOrEqual(t, worst[end.ID], itv+least, "%d engines", cou)
			all += reads[end.ID]
		}
		require.LessOrEqual(t, worst["0"], lostInterval)
		require.LessOrEqual(t, float64(all*summaryBytes), (summaryRate+summaryBytes/lostInterval.Seconds())*period.Seconds()+float64(cou*summaryBytes))
	}
}
