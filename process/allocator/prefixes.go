package allocator

import (
	"sync"

	"hemlockpin/request/placer"
)

const (
	// maxPrefixBlocks bounds the recorded blocks, maxRecordedBlocks those of one
	// prompt.
	maxPrefixBlocks   = 2048
	maxRecordedBlocks = 64
)

// prefixes records to which endpoint this host sent the leading blocks of its recent
// prompts. It is an estimate of the engines' caches: an engine may have evicted the
// blocks. Its zero value is empty.
type prefixes struct {
	mu        sync.Mutex
	endpoints map[uint64]string
	// order is a ring buffer of the blocks in the order of their insertion; next
	// is the position of the oldest once the buffer is full.
	order []uint64
	next  int
}

// record records the blocks of a prompt. The hash of a block covers all blocks before
// it.
func (pre *prefixes) record(blocks []uint64, endpoint string) {
	pre.mu.Lock()
	defer pre.mu.Unlock()
	if pre.endpoints == nil {
		pre.endpoints = map[uint64]string{}
	}
	for _, block := range blocks[:min(maxRecordedBlocks, len(blocks))] {
		if _, known := pre.endpoints[block]; !known {
			pre.insert(block)
		}
		pre.endpoints[block] = endpoint
	}
}

// insert adds a block. Once the buffer is full, the block replaces the oldest.
func (pre *prefixes) insert(block uint64) {
	if len(pre.order) < maxPrefixBlocks {
		pre.order = append(pre.order, block)
		return
	}
	delete(pre.endpoints, pre.order[pre.next])
	pre.order[pre.next] = block
	pre.next = (pre.next + 1) % maxPrefixBlocks
}

// match returns the endpoint that got the longest recorded prefix of a prompt, or nil.
func (pre *prefixes) match(blocks []uint64) []placer.Cached {
	pre.mu.Lock()
	defer pre.mu.Unlock()
	var cached placer.Cached
	for i, block := range blocks {
		endpoint, ok := pre.endpoints[block]
		if !ok {
			break
		}
		cached = placer.Cached{Endpoint: endpoint, Blocks: i + 1}
	}
	if cached.Blocks == 0 {
		return nil
	}
	return []placer.Cached{cached}
}
