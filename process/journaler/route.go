package journaler

import (
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
	out := make([]Member, 0, maxForwards+1)
	var scos [maxForwards]uint64
	pre := strconv.FormatUint(uint64(shard), 10) + "/"
	own := score(pre, self)
	for _, mem := range live {
		sco := score(pre, mem)
		if mem.ID == self.ID || sco < own {
			continue
		}
		ind := len(out)
		for ind > 0 && sco > scos[ind-1] {
			ind--
		}
		if ind == maxForwards {
			continue
		}
		out = slices.Insert(out, ind, mem)
		copy(scos[ind+1:], scos[ind:])
		scos[ind] = sco
		out = out[:min(len(out), maxForwards)]
	}
	return append(out, self)
}

func score(pre string, mem Member) uint64 {
	var dig xxhash.Digest
	dig.Reset()
	_, _ = dig.WriteString(pre)
	_, _ = dig.WriteString(mem.ID)
	return dig.Sum64()
}
