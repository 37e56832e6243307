package generator

import (
	"container/list"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/hasher"
)

// maxEvents bounds the cache events that are kept for readers.
const maxEvents = 4096

// cache is a prefix cache of block hashes. Blocks in use are pinned; the others
// are evicted, least recently used first. Its zero value is empty.
type cache struct {
	blocks map[uint64]*block
	// free lists the hashes of blocks that are not pinned, the oldest first.
	free   list.List
	pinned int
	// events are kept by number; those that a reader has not fetched in time
	// are lost.
	events   []loggedEvent
	sequence uint64
}

type block struct {
	pins int
	// place is the block's element of the free list, nil while it is pinned.
	place *list.Element
}

type loggedEvent struct {
	invoker.CacheEvent
	at time.Time
}

// match returns the leading blocks that are cached.
func (cac *cache) match(blos []uint64) []uint64 {
	for ind, blo := range blos {
		if cac.blocks[blo] == nil {
			return blos[:ind:ind]
		}
	}
	return blos
}

// store adds blocks, unless they are cached, and returns those that it added.
func (cac *cache) store(blos []uint64, now time.Time) []uint64 {
	if cac.blocks == nil {
		cac.blocks = map[uint64]*block{}
	}
	var out []uint64
	for _, has := range blos {
		if cac.blocks[has] != nil {
			continue
		}
		cac.blocks[has] = &block{place: cac.free.PushBack(has)}
		out = append(out, has)
	}
	if len(out) > 0 {
		cac.log(invoker.CacheEvent{Stored: out}, now)
	}
	return out
}

func (cac *cache) pin(blos []uint64, _ time.Time) {
	for _, has := range blos {
		blo := cac.blocks[has]
		if blo.place != nil {
			cac.free.Remove(blo.place)
			blo.place = nil
			cac.pinned++
		}
		blo.pins++
	}
}

func (cac *cache) unpin(blos []uint64) {
	for _, has := range blos {
		blo := cac.blocks[has]
		if blo.pins--; blo.pins == 0 {
			blo.place = cac.free.PushBack(has)
			cac.pinned--
		}
	}
}

// evict drops the block that was not used for longest.
func (cac *cache) evict(now time.Time) {
	has := cac.free.Remove(cac.free.Front()).(uint64)
	delete(cac.blocks, has)
	cac.log(invoker.CacheEvent{Evicted: []uint64{has}}, now)
}

func (cac *cache) pinnedTokens() int64 { return int64(cac.pinned) * hasher.BlockTokens }

func (cac *cache) freeTokens() int64 { return int64(cac.free.Len()) * hasher.BlockTokens }

func (cac *cache) tokens() int64 { return cac.pinnedTokens() + cac.freeTokens() }

func (cac *cache) log(eve invoker.CacheEvent, now time.Time) {
	cac.sequence++
	eve.Sequence = cac.sequence
	cac.events = append(cac.events, loggedEvent{eve, now})
	if len(cac.events) > maxEvents {
		cac.events = cac.events[len(cac.events)-maxEvents/2:]
	}
}

// after returns the events beyond a number that are older than the lag, without
// every gap-th.
func (cac *cache) after(num, gap uint64, lim time.Time) []invoker.CacheEvent {
	out := []invoker.CacheEvent{}
	for _, eve := range cac.events {
		lost := gap > 0 && eve.Sequence%gap == 0
		if eve.Sequence > num && !lost && !eve.at.After(lim) {
			out = append(out, eve.CacheEvent)
		}
	}
	return out
}
