package generator

import (
	"time"

	"hemlockpin/request/hasher"
)

// admit starts waiting sequences in the order of priority while there is memory.
// A sequence in reserved memory needs no other memory, so it is not blocked by a
// sequence that lacks memory.
func (gen *Generator) admit(now time.Time) {
	var left []*sequence
	blocked := false
	for _, seq := range gen.waiting {
		if len(gen.running) >= gen.set.MaxBatch || blocked && !seq.reserved() || !gen.allocate(seq, now) {
			blocked = true
			left = append(left, seq)
			continue
		}
		gen.running = append(gen.running, seq)
		seq.progressAt = now
	}
	gen.waiting = left
}

// prefill spends one chunk of prompt tokens on the running sequences, in the
// order of priority, and returns the tokens that count towards the time of the
// step.
func (gen *Generator) prefill(now time.Time) int64 {
	left := gen.set.ChunkTokens
	for left > 0 {
		seq := gen.nextPrefill()
		if seq == nil {
			break
		}
		members := int64(max(1, len(seq.req.Group)))
		tokens := min(left*members, seq.contextTokens()-seq.prefilled)
		seq.prefilled += tokens
		seq.progressAt = now
		left -= max(1, tokens/members)
		if !seq.prefilling() {
			gen.cachePrompt(seq, now)
		}
	}
	return gen.set.ChunkTokens - max(0, left)
}

func (gen *Generator) nextPrefill() *sequence {
	var best *sequence
	for _, seq := range gen.running {
		if seq.prefilling() && (best == nil || byPriority(seq, best) < 0) {
			best = seq
		}
	}
	return best
}

// decode generates one token of each prefilled sequence.
func (gen *Generator) decode(now time.Time) bool {
	decoded := false
	for _, seq := range append([]*sequence(nil), gen.running...) {
		if seq.done || seq.prefilling() || seq.next-seq.nextRead >= maxUnread || !gen.grow(seq) {
			continue
		}
		decoded = true
		seq.next++
		seq.prefilled++
		seq.progressAt = now
		if seq.next >= seq.req.MaxTokens {
			gen.finishSequence(seq)
		}
		seq.notifyReader()
	}
	return decoded
}

// grow allocates memory for one more token and preempts sequences of the lowest
// priority until there is enough. It returns false if the sequence itself was
// preempted.
func (gen *Generator) grow(seq *sequence) bool {
	if !gen.isRunning(seq) {
		return false
	}
	if seq.reserved() {
		return true
	}
	for !gen.makeRoom(1, time.Time{}) {
		victim := gen.lowestPriority()
		gen.preempt(victim)
		if victim == seq {
			return false
		}
	}
	seq.memory++
	return true
}

func (gen *Generator) isRunning(seq *sequence) bool {
	for _, other := range gen.running {
		if other == seq {
			return true
		}
	}
	return false
}

func (gen *Generator) lowestPriority() *sequence {
	var last *sequence
	for _, seq := range gen.running {
		if !seq.reserved() && (last == nil || byPriority(seq, last) > 0) {
			last = seq
		}
	}
	return last
}

// preempt puts a running sequence back into the queue and frees its memory. Its
// generated tokens are kept; they and the prompt are prefilled again later.
func (gen *Generator) preempt(seq *sequence) {
	for i, other := range gen.running {
		if other == seq {
			gen.running = append(gen.running[:i:i], gen.running[i+1:]...)
			break
		}
	}
	gen.freeMemory(seq)
	seq.prefilled = 0
	gen.queue(seq)
}

// allocate takes the memory for the prompt and the generated tokens of a
// sequence, less its cached blocks. It returns false if there is too little.
func (gen *Generator) allocate(seq *sequence, now time.Time) bool {
	if seq.reserved() {
		return true
	}
	matched := gen.cache.match(seq.blocks)
	gen.cache.pin(matched, now)
	need := seq.contextTokens() - int64(len(matched))*hasher.BlockTokens
	if !gen.makeRoom(need+gen.reservedAhead(seq), now) {
		gen.cache.unpin(matched)
		return false
	}
	seq.pinned = matched
	seq.memory = need
	seq.cached = int64(len(matched)) * hasher.BlockTokens
	seq.prefilled = seq.cached
	return true
}

// freeMemory frees the memory of a sequence. Its blocks in the prefix cache are
// unpinned and stay there until they are evicted.
func (gen *Generator) freeMemory(seq *sequence) {
	gen.cache.unpin(seq.pinned)
	seq.pinned = nil
	seq.memory = 0
}

// cachePrompt moves the full blocks of a prefilled prompt into the prefix cache,
// pinned while the sequence runs.
func (gen *Generator) cachePrompt(seq *sequence, now time.Time) {
	if seq.reserved() {
		return
	}
	hashes := gen.cache.store(seq.blocks[len(seq.pinned):], now)
	gen.cache.pin(hashes, now)
	seq.pinned = append(seq.pinned[:len(seq.pinned):len(seq.pinned)], hashes...)
	seq.memory -= int64(len(hashes)) * hasher.BlockTokens
}

// usedTokens returns the memory that cannot be evicted: running sequences, their
// cached blocks and holds.
func (gen *Generator) usedTokens() int64 {
	used := gen.cache.pinnedTokens()
	for _, seq := range gen.running {
		used += seq.memory
	}
	for _, hol := range gen.holds {
		used += hol.tokens
	}
	return used
}

// makeRoom evicts cached blocks until need more tokens fit. It returns false if
// they do not fit.
func (gen *Generator) makeRoom(need int64, now time.Time) bool {
	used := gen.usedTokens()
	if used+need > gen.set.MemoryTokens {
		return false
	}
	for used+gen.cache.freeTokens()+need > gen.set.MemoryTokens {
		gen.cache.evict(now)
	}
	return true
}
