package generator

import (
	"container/list"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/hasher"
)

// maxEvents bounds the cache events that are kept for readers; when it is
// exceeded, the oldest half is dropped.
const maxEvents = 4096

// cache is a prefix cache of block hashes. Blocks in use are pinned; unpinned
// blocks are evicted, least recently used first. Its zero value is empty.
type cache struct {
	blocks map[uint64]*block
	// free lists the hashes of the unpinned blocks, least recently used first.
	free   list.List
	pinned int
	// events are the newest events, in the order of their sequence numbers. A
	// reader that is slower than maxEvents misses the dropped events.
	events   []loggedEvent
	sequence uint64
}

type block struct {
	pins int
	// element is the block's element of the free list; nil while it is pinned.
	element *list.Element
}

type loggedEvent struct {
	invoker.CacheEvent
	at time.Time
}

// match returns the longest prefix of hashes whose blocks are all cached.
func (cac *cache) match(hashes []uint64) []uint64 {
	for i, hash := range hashes {
		if cac.blocks[hash] == nil {
			return hashes[:i:i]
		}
	}
	return hashes
}

// store adds the blocks that are not cached yet and returns their hashes.
func (cac *cache) store(hashes []uint64, now time.Time) []uint64 {
	if cac.blocks == nil {
		cac.blocks = map[uint64]*block{}
	}
	var out []uint64
	for _, hash := range hashes {
		if cac.blocks[hash] != nil {
			continue
		}
		cac.blocks[hash] = &block{element: cac.free.PushBack(hash)}
		out = append(out, hash)
	}
	if len(out) > 0 {
		cac.log(invoker.CacheEvent{Stored: out}, now)
	}
	return out
}

func (cac *cache) pin(hashes []uint64, _ time.Time) {
	for _, hash := range hashes {
		blo := cac.blocks[hash]
		if blo.element != nil {
			cac.free.Remove(blo.element)
			blo.element = nil
			cac.pinned++
		}
		blo.pins++
	}
}

func (cac *cache) unpin(hashes []uint64) {
	for _, hash := range hashes {
		blo := cac.blocks[hash]
		if blo.pins--; blo.pins == 0 {
			blo.element = cac.free.PushBack(hash)
			cac.pinned--
		}
	}
}

// evict drops the least recently used unpinned block.
func (cac *cache) evict(now time.Time) {
	hash := cac.free.Remove(cac.free.Front()).(uint64)
	delete(cac.blocks, hash)
	cac.log(invoker.CacheEvent{Evicted: []uint64{hash}}, now)
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

// after returns the events with a sequence number above the given one that were
// logged at or before a time. If gap is positive, it leaves out the events whose
// number is a multiple of gap.
func (cac *cache) after(sequence, gap uint64, before time.Time) []invoker.CacheEvent {
	out := []invoker.CacheEvent{}
	for _, eve := range cac.events {
		lost := gap > 0 && eve.Sequence%gap == 0
		if eve.Sequence > sequence && !lost && !eve.at.After(before) {
			out = append(out, eve.CacheEvent)
		}
	}
	return out
}
