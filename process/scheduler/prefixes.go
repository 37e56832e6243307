package scheduler

import (
	"container/list"
	"math/bits"

	"hemlockpin/request/hasher"
)

const (
	// maxSlots is the most engines that a cell has.
	maxSlots = 64
	// maxCacheBlocks bounds the blocks that are remembered of one engine.
	maxCacheBlocks = 4096
)

// prefixes says which engines are believed to hold which blocks, a bit for each
// engine. It rests on the cell's own grants: an engine holds the prompts that it
// has prefilled until it needs the room, and then drops the blocks that were not
// used for longest. A wrong belief costs one prefill. Its zero value is empty.
type prefixes struct {
	masks  map[uint64]uint64
	caches [maxSlots]blockCache
}

// blockCache lists the blocks of one engine, the one not used for longest first.
type blockCache struct {
	places map[uint64]*list.Element
	order  list.List
}

// store notes that the engine of a slot holds the blocks and has used them now.
func (pre *prefixes) store(slot int, blocks []uint64) {
	cac := &pre.caches[slot]
	if pre.masks == nil {
		pre.masks = map[uint64]uint64{}
	}
	if cac.places == nil {
		cac.places = map[uint64]*list.Element{}
	}
	for _, blo := range blocks {
		if pla := cac.places[blo]; pla != nil {
			cac.order.MoveToBack(pla)
			continue
		}
		cac.places[blo] = cac.order.PushBack(blo)
		pre.masks[blo] |= 1 << slot
	}
}

// trim drops the blocks of an engine that has room for a number of them only.
func (pre *prefixes) trim(slot int, room int64) {
	cac := &pre.caches[slot]
	lim := int(min(maxCacheBlocks, max(0, room)))
	for cac.order.Len() > lim {
		blo := cac.order.Remove(cac.order.Front()).(uint64)
		delete(cac.places, blo)
		pre.unmark(slot, blo)
	}
}

// clear forgets all blocks of an engine.
func (pre *prefixes) clear(slot int) { pre.trim(slot, 0) }

func (pre *prefixes) unmark(slot int, blo uint64) {
	mas := pre.masks[blo] &^ (1 << slot)
	if mas == 0 {
		delete(pre.masks, blo)
		return
	}
	pre.masks[blo] = mas
}

// match counts the leading blocks that each engine is believed to hold.
func (pre *prefixes) match(blocks []uint64, out *[maxSlots]uint16) {
	all := ^uint64(0)
	for ind, blo := range blocks {
		nex := all & pre.masks[blo]
		for end := all &^ nex; end != 0 && ind > 0; end &= end - 1 {
			out[bits.TrailingZeros64(end)] = uint16(min(ind, 1<<16-1))
		}
		if all = nex; all == 0 {
			return
		}
	}
	for ; all != 0; all &= all - 1 {
		out[bits.TrailingZeros64(all)] = uint16(min(len(blocks), 1<<16-1))
	}
}

// cache notes that an engine holds the whole blocks of a prompt that it has
// prefilled or taken over.
func (cel *Cell) cache(par *part) {
	pre := par.gra.ask.req.Prefix
	par.shared = min(par.memory, int64(len(pre))*hasher.BlockTokens)
	par.eng.shared += par.shared
	cel.prefixes.store(par.eng.slot, pre)
	cel.makeCacheRoom(par.eng)
}

// makeCacheRoom drops the blocks that had to give way to the engine's prompts.
func (cel *Cell) makeCacheRoom(eng *engine) {
	cel.prefixes.trim(eng.slot, (eng.free()+eng.shared)/hasher.BlockTokens)
}
