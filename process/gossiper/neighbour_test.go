package gossiper

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestNewsReachesAll passes news on between neighbours: it reaches every host in few
// steps, and no host has more connections for it than the others.
func TestNewsReachesAll(t *testing.T) {
	for _, num := range []int{1, 2, 3, 5, 13, 20, 129, 295, 920} {
		t.Run(fmt.Sprint(num), func(t *testing.T) {
			var pers []Peer
			for ind := range num {
				pers = append(pers, Peer{ID: fmt.Sprintf("host-%d", ind), Region: "near"})
			}
			far := Peer{ID: "far", Region: "far"}
			out, in := map[string][]Peer{}, map[string]int{}
			for _, per := range pers {
				out[per.ID] = Neighbours(per, append([]Peer{far}, pers...))
				require.Len(t, out[per.ID], min(fanOut, num-1))
				for _, oth := range out[per.ID] {
					require.NotEqual(t, per.ID, oth.ID)
					in[oth.ID]++
				}
			}
			see, fresh := map[string]bool{"host-0": true}, []string{"host-0"}
			steps := 0
			for ; len(fresh) > 0; steps++ {
				var nex []string
				for _, id := range fresh {
					for _, per := range out[id] {
						if !see[per.ID] {
							see[per.ID] = true
							nex = append(nex, per.ID)
						}
					}
				}
				fresh = nex
			}
			require.Len(t, see, num)
			require.NotContains(t, see, "far")
			require.LessOrEqual(t, steps, 20, "a step takes some milliseconds, and changes have to be in force within 2 s")
			for _, per := range pers {
				require.Equal(t, min(fanOut, num-1), in[per.ID])
			}
		})
	}
}

// TestNeighboursStay ends one host of many: hardly any other gets new neighbours.
func TestNeighboursStay(t *testing.T) {
	const num = 295
	var pers []Peer
	for ind := range num {
		pers = append(pers, Peer{ID: fmt.Sprintf("host-%d", ind), Region: "near"})
	}
	changed := 0
	for _, per := range pers[1:] {
		bef, aft := Neighbours(per, pers), Neighbours(per, pers[1:])
		for ind := range bef {
			if bef[ind].ID != aft[ind].ID {
				changed++
			}
		}
	}
	require.Less(t, changed, fanOut*num/3)
}
