package generator

import (
	"time"

	"hemlockpin/request/hasher"
)

// admit starts waiting sequences by urgency while memory lasts. Those that live
// in reserved memory need none, so they never wait behind one that does.
func (gen *Generator) admit(now time.Time) {
	var left []*sequence
	blocked := false
	for _, seq := range gen.waiting {
		if len(gen.running) >= gen.set.MaxBatch || blocked && !seq.reserved() || !gen.occupy(seq, now) {
			blocked = true
			left = append(left, seq)
			continue
		}
		gen.running = append(gen.running, seq)
		seq.movedAt = now
	}
	gen.waiting = left
}

// prefill spends one chunk on the prompts, by urgency, and returns the tokens
// that count towards the time of the step.
func (gen *Generator) prefill(now time.Time) int64 {
	left := gen.set.ChunkTokens
	for left > 0 {
		seq := gen.nextPrefill()
		if seq == nil {
			break
		}
		members := int64(max(1, len(seq.req.Group)))
		tok := min(left*members, seq.total()-seq.prefilled)
		seq.prefilled += tok
		seq.movedAt = now
		left -= max(1, tok/members)
		if !seq.prefilling() {
			gen.share(seq, now)
		}
	}
	return gen.set.ChunkTokens - max(0, left)
}

func (gen *Generator) nextPrefill() *sequence {
	var bes *sequence
	for _, seq := range gen.running {
		if seq.prefilling() && (bes == nil || byUrgency(seq, bes) < 0) {
			bes = seq
		}
	}
	return bes
}

// decode generates one token of each prefilled sequence.
func (gen *Generator) decode(now time.Time) bool {
	did := false
	for _, seq := range append([]*sequence(nil), gen.running...) {
		if seq.done || seq.prefilling() || seq.next-seq.read >= maxUnread || !gen.grow(seq) {
			continue
		}
		did = true
		seq.next++
		seq.prefilled++
		seq.movedAt = now
		if seq.next >= seq.req.MaxTokens {
			gen.end(seq)
		}
		seq.tell()
	}
	return did
}

// grow takes the memory of one more token, if need be from the least urgent
// sequence. It reports whether the sequence may go on.
func (gen *Generator) grow(seq *sequence) bool {
	if !gen.isRunning(seq) {
		return false
	}
	if seq.reserved() {
		return true
	}
	for !gen.makeRoom(1, time.Time{}) {
		vic := gen.leastUrgent()
		gen.preempt(vic)
		if vic == seq {
			return false
		}
	}
	seq.memory++
	return true
}

func (gen *Generator) isRunning(seq *sequence) bool {
	for _, oth := range gen.running {
		if oth == seq {
			return true
		}
	}
	return false
}

func (gen *Generator) leastUrgent() *sequence {
	var las *sequence
	for _, seq := range gen.running {
		if !seq.reserved() && (las == nil || byUrgency(seq, las) > 0) {
			las = seq
		}
	}
	return las
}

// preempt puts a running sequence back into the queue. Its tokens stay, its
// memory is computed again later.
func (gen *Generator) preempt(seq *sequence) {
	for ind, oth := range gen.running {
		if oth == seq {
			gen.running = append(gen.running[:ind:ind], gen.running[ind+1:]...)
			break
		}
	}
	gen.vacate(seq)
	seq.prefilled = 0
	gen.queue(seq)
}

// occupy takes the memory that a sequence starts with, unless there is too
// little.
func (gen *Generator) occupy(seq *sequence, now time.Time) bool {
	if seq.reserved() {
		return true
	}
	mat := gen.cache.match(seq.blocks)
	gen.cache.pin(mat, now)
	need := seq.total() - int64(len(mat))*hasher.BlockTokens
	if !gen.makeRoom(need+gen.promisedBefore(seq), now) {
		gen.cache.unpin(mat)
		return false
	}
	seq.pinned = mat
	seq.memory = need
	seq.cached = int64(len(mat)) * hasher.BlockTokens
	seq.prefilled = seq.cached
	return true
}

// vacate frees the memory of a sequence. Its shared blocks stay in the cache.
func (gen *Generator) vacate(seq *sequence) {
	gen.cache.unpin(seq.pinned)
	seq.pinned = nil
	seq.memory = 0
}

// share moves the whole blocks of a prefilled prompt into the cache, pinned
// while the sequence runs.
func (gen *Generator) share(seq *sequence, now time.Time) {
	if seq.reserved() {
		return
	}
	blos := gen.cache.store(seq.blocks[len(seq.pinned):], now)
	gen.cache.pin(blos, now)
	seq.pinned = append(seq.pinned[:len(seq.pinned):len(seq.pinned)], blos...)
	seq.memory -= int64(len(blos)) * hasher.BlockTokens
}

// used is the memory that can't be evicted.
func (gen *Generator) used() int64 {
	use := gen.cache.pinnedTokens()
	for _, seq := range gen.running {
		use += seq.memory
	}
	for _, hol := range gen.holds {
		use += hol.tokens
	}
	return use
}

// makeRoom evicts cached blocks until need more tokens fit.
func (gen *Generator) makeRoom(need int64, now time.Time) bool {
	use := gen.used()
	if use+need > gen.set.MemoryTokens {
		return false
	}
	for use+gen.cache.freeTokens()+need > gen.set.MemoryTokens {
		gen.cache.evict(now)
	}
	return true
}
