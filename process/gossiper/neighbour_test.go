package gossiper

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestBroadcastReachesAllHosts forwards an update between neighbours: it must reach every
// host in few steps, and all hosts must have the same number of connections for it.
func TestBroadcastReachesAllHosts(t *testing.T) {
	for _, num := range []int{1, 2, 3, 5, 13, 20, 129, 295, 920} {
		t.Run(fmt.Sprint(num), func(t *testing.T) {
			var pers []Peer
			for i := range num {
				pers = append(pers, Peer{ID: fmt.Sprintf("host-%d", i), Region: "near"})
			}
			far := Peer{ID: "far", Region: "far"}
			out, in := map[string][]Peer{}, map[string]int{}
			for _, per := range pers {
				out[per.ID] = Neighbours(per, append([]Peer{far}, pers...))
				require.Len(t, out[per.ID], min(fanOut, num-1))
				for _, other := range out[per.ID] {
					require.NotEqual(t, per.ID, other.ID)
					in[other.ID]++
				}
			}
			seen, frontier := map[string]bool{"host-0": true}, []string{"host-0"}
			steps := 0
			for ; len(frontier) > 0; steps++ {
				var next []string
				for _, id := range frontier {
					for _, per := range out[id] {
						if !seen[per.ID] {
							seen[per.ID] = true
							next = append(next, per.ID)
						}
					}
				}
				frontier = next
			}
			require.Len(t, seen, num)
			require.NotContains(t, seen, "far")
			require.LessOrEqual(t, steps, 20, "a step takes some milliseconds, and changes have to be in force within 2 s")
			for _, per := range pers {
				require.Equal(t, min(fanOut, num-1), in[per.ID])
			}
		})
	}
}

// TestNeighboursAreStable removes one of many hosts: most neighbours of the other hosts must
// stay the same, since connections to them are reused.
func TestNeighboursAreStable(t *testing.T) {
	const num = 295
	var pers []Peer
	for i := range num {
		pers = append(pers, Peer{ID: fmt.Sprintf("host-%d", i), Region: "near"})
	}
	changed := 0
	for _, per := range pers[1:] {
		before, after := Neighbours(per, pers), Neighbours(per, pers[1:])
		for i := range before {
			if before[i].ID != after[i].ID {
				changed++
			}
		}
	}
	require.Less(t, changed, fanOut*num/3)
}
