package scheduler

import (
	"container/list"
	"math/bits"

	"hemlockpin/request/hasher"
)

const (
	// maxSlots is the maximum number of engines of a cell, as a mask has one bit
	// for each.
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

// trim evicts the least recently used blocks of an engine until the given number
// is left.
func (pre *prefixes) trim(slot int, room int64) {
	cac := &pre.caches[slot]
	maxBlocks := int(min(maxCacheBlocks, max(0, room)))
	for cac.order.Len() > maxBlocks {
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

// match counts the leading blocks that each engine is estimated to cache.
func (pre *prefixes) match(blocks []uint64, out *[maxSlots]uint16) {
	all := ^uint64(0)
	for i, block := range blocks {
		next := all & pre.masks[block]
		for ended := all &^ next; ended != 0 && i > 0; ended &= ended - 1 {
			out[bits.TrailingZeros64(ended)] = uint16(min(i, 1<<16-1))
		}
		if all = next; all == 0 {
			return
		}
	}
	for ; all != 0; all &= all - 1 {
		out[bits.TrailingZeros64(all)] = uint16(min(len(blocks), 1<<16-1))
	}
}

// recordCache records that an engine caches the complete blocks of a prompt, which
// it has prefilled or received by a move.
func (cel *Cell) recordCache(par *part) {
	blocks := par.grant.entry.req.Prefix
	par.shared = min(par.memory, int64(len(blocks))*hasher.BlockTokens)
	par.engine.shared += par.shared
	cel.prefixes.store(par.engine.slot, blocks)
	cel.trimCache(par.engine)
}

// trimCache drops the blocks that no longer fit beside the engine's prompts.
func (cel *Cell) trimCache(eng *engine) {
	cel.prefixes.trim(eng.slot, (eng.freeMemory()+eng.shared)/hasher.BlockTokens)
}
