package scheduler

import (
	"container/list"
	"math/bits"

	"hemlockpin/request/hasher"
)

const (
	// maxSlots is the number of bits in a mask of engines.
	maxSlots = 64
	// maxCacheBlocks bounds the blocks that are tracked for one engine.
	maxCacheBlocks = 4096
)

// prefixes estimates which engines cache which blocks of prompts, with a mask of
// engines for each block. It uses only the cell's own grants: it assumes that an
// engine caches the prompts that it has prefilled until it needs the memory, and
// then evicts the least recently used blocks. A wrong estimate costs one prefill.
// Its zero value is empty.
type prefixes struct {
	masks  map[uint64]uint64
	caches [maxSlots]blockCache
}

// blockCache lists the blocks of one engine, the least recently used first.
type blockCache struct {
	elements map[uint64]*list.Element
	order    list.List
}

// store records that the engine of a slot caches the blocks and has just used them.
func (pre *prefixes) store(slot int, blocks []uint64) {
	cac := &pre.caches[slot]
	if pre.masks == nil {
		pre.masks = map[uint64]uint64{}
	}
	if cac.elements == nil {
		cac.elements = map[uint64]*list.Element{}
	}
	for _, block := range blocks {
		if element := cac.elements[block]; element != nil {
			cac.order.MoveToBack(element)
			continue
		}
		cac.elements[block] = cac.order.PushBack(block)
		pre.masks[block] |= 1 << slot
	}
}

// trim evicts the least recently used blocks of an engine until at most maxBlocks are
// left.
func (pre *prefixes) trim(slot int, maxBlocks int64) {
	cac := &pre.caches[slot]
	limit := int(min(maxCacheBlocks, max(0, maxBlocks)))
	for cac.order.Len() > limit {
		block := cac.order.Remove(cac.order.Front()).(uint64)
		delete(cac.elements, block)
		pre.unmark(slot, block)
	}
}

// clear drops all blocks of an engine.
func (pre *prefixes) clear(slot int) { pre.trim(slot, 0) }

func (pre *prefixes) unmark(slot int, block uint64) {
	mask := pre.masks[block] &^ (1 << slot)
	if mask == 0 {
		delete(pre.masks, block)
		return
	}
	pre.masks[block] = mask
}

// match writes to out, by slot, the number of leading blocks that each engine is
// estimated to cache.
func (pre *prefixes) match(blocks []uint64, out *[maxSlots]uint16) {
	matching := ^uint64(0)
	for i, block := range blocks {
		stillMatching := matching & pre.masks[block]
		// ended has the engines that cache the first i blocks but not block i.
		for ended := matching &^ stillMatching; ended != 0 && i > 0; ended &= ended - 1 {
			out[bits.TrailingZeros64(ended)] = uint16(min(i, 1<<16-1))
		}
		if matching = stillMatching; matching == 0 {
			return
		}
	}
	for ; matching != 0; matching &= matching - 1 {
		out[bits.TrailingZeros64(matching)] = uint16(min(len(blocks), 1<<16-1))
	}
}

// recordCache records that an engine caches the complete blocks of a prompt, which
// it has prefilled or received by a move.
func (cel *Cell) recordCache(par *part) {
	blocks := par.grant.entry.req.Prefix
	par.cachedMemory = min(par.memory, int64(len(blocks))*hasher.BlockTokens)
	par.engine.cachedMemory += par.cachedMemory
	cel.prefixes.store(par.engine.slot, blocks)
	cel.trimCache(par.engine)
}

// trimCache drops the blocks that no longer fit beside the engine's prompts.
func (cel *Cell) trimCache(eng *engine) {
	cel.prefixes.trim(eng.slot, (eng.freeMemory()+eng.cachedMemory)/hasher.BlockTokens)
}
