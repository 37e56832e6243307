package journaler

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Member is a live entry host.
type Member struct {
	ID string
	// Address takes calls of other hosts, as IP:port.
	Address string
}

// Members names the live hosts.
type Members interface {
	// Live returns the hosts believed to be live, in any order.
	Live() []Member
}

const (
	// Shards is the number of shard objects that keys are hashed to.
	Shards = 64
	// maxForwards bounds the peers that are asked before a host writes itself.
	maxForwards = 2
)

// ShardOf returns the shard of a key.
func ShardOf(key string) uint32 { return uint32(xxhash.Sum64String(key) % Shards) }

// Writers returns the hosts that a change of a shard is offered to, best first,
// by rendezvous hashing. It ends with self, since any host may write a shard.
func Writers(shard uint32, live []Member, self Member) []Member {
	type scored struct {
		mem   Member
		score uint64
	}
	scos := make([]scored, 0, len(live)+1)
	pre := strconv.FormatUint(uint64(shard), 10) + "/"
	for _, mem := range append(slices.Clip(live), self) {
		scos = append(scos, scored{mem, xxhash.Sum64String(pre + mem.ID)})
	}
	slices.SortFunc(scos, func(one, two scored) int {
		return cmp.Or(cmp.Compare(two.score, one.score), cmp.Compare(one.mem.ID, two.mem.ID))
	})
	var out []Member
	for _, sco := range scos {
		if len(out) == maxForwards || sco.mem.ID == self.ID {
			break
		}
		out = append(out, sco.mem)
	}
	return append(out, self)
}
