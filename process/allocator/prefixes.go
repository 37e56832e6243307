package allocator

import (
	"sync"

	"hemlockpin/request/placer"
)

const (
	// maxPrefixBlocks bounds the blocks remembered, noteBlocks those of one
	// prompt.
	maxPrefixBlocks = 2048
	noteBlocks      = 64
)

// prefixes remembers which endpoint this host sent the leading blocks of its
// recent prompts to. It is a belief: the engine may have evicted them. Its zero
// value is empty.
type prefixes struct {
	mu   sync.Mutex
	last map[uint64]string
	// order lists the blocks as they came, in a ring.
	order []uint64
	next  int
}

// note remembers a prompt. The name of a block stands for all before it.
func (pre *prefixes) note(blos []uint64, endpoint string) {
	pre.mu.Lock()
	defer pre.mu.Unlock()
	if pre.last == nil {
		pre.last = map[uint64]string{}
	}
	for _, blo := range blos[:min(noteBlocks, len(blos))] {
		if _, known := pre.last[blo]; !known {
			pre.keep(blo)
		}
		pre.last[blo] = endpoint
	}
}

// keep gives a block the place of the one that came first.
func (pre *prefixes) keep(blo uint64) {
	if len(pre.order) < maxPrefixBlocks {
		pre.order = append(pre.order, blo)
		return
	}
	delete(pre.last, pre.order[pre.next])
	pre.order[pre.next] = blo
	pre.next = (pre.next + 1) % maxPrefixBlocks
}

// match returns the endpoint that got the longest prefix of a prompt.
func (pre *prefixes) match(blos []uint64) []placer.Cached {
	pre.mu.Lock()
	defer pre.mu.Unlock()
	var cac placer.Cached
	for ind, blo := range blos {
		end, ok := pre.last[blo]
		if !ok {
			break
		}
		cac = placer.Cached{Endpoint: end, Blocks: ind + 1}
	}
	if cac.Blocks == 0 {
		return nil
	}
	return []placer.Cached{cac}
}
