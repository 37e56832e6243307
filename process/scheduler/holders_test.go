package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHoldersPace reads a cell of 64 busy engines as the scheduler would and
// checks that the traffic stays within its rate while every engine is read.
func TestHoldersPace(t *testing.T) {
	const (
		engines   = 64
		sequences = 180
		period    = 20 * time.Minute
	)
	var hol holderPace
	reads := map[string]int{}
	all := 0
	for pas := time.Duration(0); pas < period; pas += time.Second {
		for ind := range engines {
			id := fmt.Sprint(ind)
			if int(pas/time.Second)%4 == ind/16 && hol.due(id, sequences, epoch.Add(pas)) {
				reads[id]++
				all++
			}
		}
	}
	bytes := float64(all * (reportBytes + sequences*sequenceBytes))
	require.LessOrEqual(t, bytes, holdersRate*period.Seconds()+holdersBurst)
	require.GreaterOrEqual(t, bytes, 0.8*holdersRate*period.Seconds())
	for ind := range engines {
		require.NotZero(t, reads[fmt.Sprint(ind)], "engine %d was never read", ind)
	}
}

// A small cell is read at once and then each interval.
func TestHoldersOfSmallCell(t *testing.T) {
	var hol holderPace
	require.True(t, hol.due("a", 5, epoch))
	require.False(t, hol.due("a", 5, epoch.Add(holdersInterval/2)))
	require.True(t, hol.due("b", 5, epoch.Add(holdersInterval/2)))
	require.True(t, hol.due("a", 5, epoch.Add(holdersInterval)))
}
