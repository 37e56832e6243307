package gossiper

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Neighbours returns the peers of the own region to which a host forwards news at
// once. The live hosts stand in a circle, in the order of the hashes of their names,
// and each has those at the distances 1, k, k^2 and k^3 as its neighbours, with k the
// fourth root of their number. So every host is the neighbour of as many others as it
// has itself, news reaches all in some 3 k steps, and connections are used again,
// which those to random peers are not.
func Neighbours(self Peer, live []Peer) []Peer {
	type place struct {
		hash uint64
		peer Peer
	}
	circle := []place{{xxhash.Sum64String(self.ID), self}}
	for _, per := range live {
		if per.Region == self.Region && per.ID != self.ID {
			circle = append(circle, place{xxhash.Sum64String(per.ID), per})
		}
	}
	slices.SortFunc(circle, func(one, two place) int {
		return cmp.Or(cmp.Compare(one.hash, two.hash), cmp.Compare(one.peer.ID, two.peer.ID))
	})
	own := slices.IndexFunc(circle, func(pla place) bool { return pla.peer.ID == self.ID })
	num := len(circle)
	// Not nil, so that an empty result can be told from one that is not known.
	out := make([]Peer, 0, fanOut)
	las := 0
	for ind := range fanOut {
		dis := max(las+1, int(math.Pow(float64(num), float64(ind)/fanOut)))
		if dis >= num {
			break
		}
		las = dis
		out = append(out, circle[(own+dis)%num].peer)
	}
	return out
}
