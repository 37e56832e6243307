package scheduler

import "math/bits"

const (
	// maxSlots is the most engines that a cell has.
	maxSlots = 64
	// maxPrefixBlocks bounds the blocks that a cell remembers.
	maxPrefixBlocks = 1 << 16
)

// prefixes says which engines are believed to hold which blocks, a bit for each
// engine. Its zero value is empty. A wrong belief costs one prefill.
type prefixes struct {
	masks map[uint64]uint64
	order []uint64
}

// store notes that the engine of a slot holds the blocks.
func (pre *prefixes) store(slot int, blocks []uint64) {
	if pre.masks == nil {
		pre.masks = map[uint64]uint64{}
	}
	for _, blo := range blocks {
		mas, ok := pre.masks[blo]
		if !ok {
			pre.order = append(pre.order, blo)
		}
		pre.masks[blo] = mas | 1<<slot
	}
	if len(pre.order) > maxPrefixBlocks {
		pre.trim()
	}
}

// trim forgets the older half.
func (pre *prefixes) trim() {
	cut := len(pre.order) / 2
	for _, blo := range pre.order[:cut] {
		delete(pre.masks, blo)
	}
	pre.order = append([]uint64(nil), pre.order[cut:]...)
}

// evict notes that the engine no longer holds the blocks.
func (pre *prefixes) evict(slot int, blocks []uint64) {
	for _, blo := range blocks {
		if mas, ok := pre.masks[blo]; ok {
			pre.masks[blo] = mas &^ (1 << slot)
		}
	}
}

// clear forgets all blocks of an engine.
func (pre *prefixes) clear(slot int) {
	for blo, mas := range pre.masks {
		pre.masks[blo] = mas &^ (1 << slot)
	}
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
