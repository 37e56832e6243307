package generator

import "hemlockpin/request/hasher"

const maxCachedBlocks = 400

// cache is a prefix cache of block hashes, least recently stored first.
type cache struct {
	order []uint64
	has   map[uint64]bool
}

// match counts the leading blocks that are cached.
func (cac *cache) match(blos []uint64) int64 {
	for ind, blo := range blos {
		if !cac.has[blo] {
			return int64(ind)
		}
	}
	return int64(len(blos))
}

// store adds blocks and evicts the oldest.
func (cac *cache) store(blos []uint64) {
	if cac.has == nil {
		cac.has = map[uint64]bool{}
	}
	for _, blo := range blos {
		if cac.has[blo] {
			continue
		}
		cac.has[blo] = true
		cac.order = append(cac.order, blo)
	}
	for len(cac.order) > maxCachedBlocks {
		delete(cac.has, cac.order[0])
		cac.order = cac.order[1:]
	}
}

func (cac *cache) tokens() int64 { return int64(len(cac.order)) * hasher.BlockTokens }
