package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFullReportPace wants the full report of each of 64 busy engines every 4 s for
// 20 minutes. The traffic must stay within its limit, and every engine must be read.
func TestFullReportPace(t *testing.T) {
	const (
		engines   = 64
		sequences = 180
		period    = 20 * time.Minute
	)
	var pac fullReportPacer
	reads := map[string]int{}
	total := 0
	for elapsed := time.Duration(0); elapsed < period; elapsed += time.Second {
		for i := range engines {
			id := fmt.Sprint(i)
			// Each second, a quarter of the engines is tried.
			if int(elapsed/time.Second)%4 == i/16 && pac.due(id, sequences, epoch.Add(elapsed)) {
				reads[id]++
				total++
			}
		}
	}
	bytes := float64(total * (reportBytes + sequences*sequenceBytes))
	require.LessOrEqual(t, bytes, fullReportRate*period.Seconds()+fullReportBurst)
	require.GreaterOrEqual(t, bytes, 0.8*fullReportRate*period.Seconds())
	for i := range engines {
		require.NotZero(t, reads[fmt.Sprint(i)], "engine %d was never read", i)
	}
}

// TestFullReportsOfSmallCell checks that the full reports of a small cell's engines are
// read at once and then once per interval.
func TestFullReportsOfSmallCell(t *testing.T) {
	var pac fullReportPacer
	require.True(t, pac.due("a", 5, epoch))
	require.False(t, pac.due("a", 5, epoch.Add(fullReportInterval/2)))
	require.True(t, pac.due("b", 5, epoch.Add(fullReportInterval/2)))
	require.True(t, pac.due("a", 5, epoch.Add(fullReportInterval)))
}
