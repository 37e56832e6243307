package journaler

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Member is a live host that accepts requests of callers.
type Member struct {
	ID string
	// Address is the IP:port at which the host accepts connections of other hosts.
	Address string
}

// Members provides the live hosts.
type Members interface {
	// Live returns the hosts that are live in this host's view, in any order.
	Live() []Member
}

const (
	// Shards is the number of shards to which keys are hashed.
	Shards = 64
	// maxForwards bounds the peers to which a host forwards a change before it writes the
	// shard itself.
	maxForwards = 2
)

// ShardOf returns the shard of a key.
func ShardOf(key string) uint32 { return uint32(xxhash.Sum64String(key) % Shards) }

// WriterHosts returns the hosts to try as writers of a shard, by descending rendezvous
// score: at most maxForwards hosts with a higher score than self, then self, since any
// host may write a shard.
func WriterHosts(shard uint32, live []Member, self Member) []Member {
	out := make([]Member, 0, maxForwards+1)
	var scores [maxForwards]uint64
	prefix := strconv.FormatUint(uint64(shard), 10) + "/"
	ownScore := score(prefix, self)
	for _, mem := range live {
		memScore := score(prefix, mem)
		if mem.ID == self.ID || memScore < ownScore {
			continue
		}
		i := len(out)
		for i > 0 && memScore > scores[i-1] {
			i--
		}
		if i == maxForwards {
			continue
		}
		out = slices.Insert(out, i, mem)
		copy(scores[i+1:], scores[i:])
		scores[i] = memScore
		out = out[:min(len(out), maxForwards)]
	}
	return append(out, self)
}

func score(prefix string, mem Member) uint64 {
	var dig xxhash.Digest
	dig.Reset()
	_, _ = dig.WriteString(prefix)
	_, _ = dig.WriteString(mem.ID)
	return dig.Sum64()
}
