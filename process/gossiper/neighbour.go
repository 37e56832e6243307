package gossiper

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Neighbours returns the peers of a host's region to which the host forwards broadcasts.
// The live hosts of the region form a ring in the order of the hashes of their IDs, and the
// neighbours of a host are the hosts at the distances 1, k, k^2 and k^3, with k the fourth
// root of the number of hosts; fanOut sets the 4. So each host is the neighbour of as many
// hosts as it has neighbours, a broadcast reaches all hosts in about 3 k steps, and
// connections are reused, which is not the case with randomly chosen peers.
func Neighbours(self Peer, live []Peer) []Peer {
	type position struct {
		hash uint64
		peer Peer
	}
	ring := []position{{xxhash.Sum64String(self.ID), self}}
	for _, per := range live {
		if per.Region == self.Region && per.ID != self.ID {
			ring = append(ring, position{xxhash.Sum64String(per.ID), per})
		}
	}
	slices.SortFunc(ring, func(a, b position) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.peer.ID, b.peer.ID))
	})
	selfIndex := slices.IndexFunc(ring, func(pos position) bool { return pos.peer.ID == self.ID })
	num := len(ring)
	// An empty result is not nil, because a nil cache entry means that it has not been computed.
	out := make([]Peer, 0, fanOut)
	last := 0
	for i := range fanOut {
		distance := max(last+1, int(math.Pow(float64(num), float64(i)/fanOut)))
		if distance >= num {
			break
		}
		last = distance
		out = append(out, ring[(selfIndex+distance)%num].peer)
	}
	return out
}
