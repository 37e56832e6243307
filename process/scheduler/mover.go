package scheduler

import (
	"math"
	"time"

	"hemlockpin/request/hasher"
)

const (
	// answersPerDecoder is the mean number of answers planned for one decoder,
	// and decoderMemoryShare the mean share of its memory planned for them.
	answersPerDecoder  = 16
	decoderMemoryShare = 0.35
	// minEnginesForDecoders is the minimum number of live engines of a cell with
	// decoders, and maxDecoderShare bounds the share of the engines that are
	// decoders.
	minEnginesForDecoders = 4
	maxDecoderShare       = 0.5
	// minLongDemand is the mean number of engines busy with long prompts from which
	// on a cell has decoders. Below it, moving answers costs more than it saves.
	minLongDemand = 0.5
	// decoderTimeout is the time after the last Move event for which a cell has
	// decoders. If hosts send no Move, all engines prefill prompts.
	decoderTimeout = 5 * time.Second
	// maxIncomingMoves bounds the unfinished moves to one engine.
	maxIncomingMoves = 8
	// nonDecoderPenalty is added to a short prompt's estimate on engines that are
	// not decoders. A short prompt may take that much longer on a decoder, since
	// its answer needs no move from there.
	nonDecoderPenalty = 10 * time.Millisecond
	// maxUncopiedPrefill bounds the prefill time of the prompt tokens that a move
	// does not copy, as this prefill delays the answers on the decoder.
	maxUncopiedPrefill = 11 * time.Millisecond
	// minMoveTokens is the minimum MaxTokens of a request whose answer moves.
	minMoveTokens = 4
	// transferRate is the assumed rate of copying a prompt's blocks to another
	// engine, in tokens a second. maxTransferShare bounds the time of the copy
	// relative to the expected time of the answer.
	transferRate     = 2_000_000
	maxTransferShare = 1.0 / 3
)

// chooseDecoders dedicates live engines to decoding answers that move, so that the
// other engines prefill at their full rate. It chooses the first live engines in the
// list, so that the choice is stable.
func (cel *Cell) chooseDecoders(now time.Time) {
	cel.decoderCount = cel.countDecoders(now)
	left := cel.decoderCount
	for _, eng := range cel.engines {
		eng.decoder = left > 0 && eng.live(now)
		if eng.decoder {
			left--
		}
	}
}

// countDecoders returns the number of decoders needed for the mean number of
// answers and for the memory that they use.
func (cel *Cell) countDecoders(now time.Time) int {
	if now.Sub(cel.lastMoveRequest) > decoderTimeout || cel.longDemand.mean(now) < minLongDemand {
		return 0
	}
	live := 0
	var memory int64
	for _, eng := range cel.engines {
		if eng.live(now) {
			live++
			memory = max(memory, eng.memory)
		}
	}
	if live < minEnginesForDecoders {
		return 0
	}
	needed := max(cel.answerDemand.mean(now)/answersPerDecoder, cel.answerMemory.mean(now)/(decoderMemoryShare*float64(memory)))
	return max(1, min(int(maxDecoderShare*float64(live)), int(math.Ceil(needed))))
}

// canAvoidDecoders reports whether a live engine that is not a decoder can serve a
// request.
func (cel *Cell) canAvoidDecoders(ent *entry, now time.Time) bool {
	for _, eng := range cel.engines {
		if !eng.decoder && ent.canServe(eng) && eng.live(now) {
			return true
		}
	}
	return false
}

// placementPenalty returns nonDecoderPenalty for a short prompt on an engine that is
// not a decoder while the cell has decoders, else 0.
func (cel *Cell) placementPenalty(ent *entry, eng *engine) time.Duration {
	if ent.long || eng.decoder || cel.decoderCount == 0 {
		return 0
	}
	return nonDecoderPenalty
}

// replyToMove replies to a Move event with MoveTo or Stay. The event may arrive before
// the notice of the first token.
func (cel *Cell) replyToMove(id string, now time.Time) {
	cel.lastMoveRequest = now
	cel.markPrefilled(id)
	gra := cel.grants[id]
	if gra == nil {
		cel.actions = append(cel.actions, Stay{ID: id})
		return
	}
	if gra.moveReply == nil {
		gra.moveReply = cel.startMove(gra, now)
	}
	cel.actions = append(cel.actions, gra.moveReply)
}

// startMove allocates memory for an answer on the decoder with the fewest sequences
// and returns MoveTo. It returns Stay if the answer cannot move.
func (cel *Cell) startMove(gra *grant, now time.Time) Action {
	source := gra.parts[0]
	if len(gra.parts) > 1 || source.engine.decoder || !cel.movable(gra.entry) {
		return Stay{ID: gra.entry.id}
	}
	var best *engine
	for _, eng := range cel.engines {
		if cel.canTakeMove(gra, eng, now) && (best == nil || eng.running < best.running) {
			best = eng
		}
	}
	if best == nil {
		return Stay{ID: gra.entry.id}
	}
	best.advance(now)
	gra.target = &part{grant: gra, engine: best, memory: source.memory, prefillLeft: gra.entry.uncopiedTokens(), grantedAt: now}
	best.addPart(gra.target)
	cel.trimCache(best)
	best.incomingMoves++
	return MoveTo{ID: gra.entry.id, Endpoint: best.id, Address: best.address}
}

// movable reports whether an answer may move: the request needs no group, its answer
// may be long enough, the tokens that a move does not copy take little time to prefill,
// and copying the prompt's blocks takes clearly less time than the answer.
func (cel *Cell) movable(ent *entry) bool {
	if ent.group || ent.req.MaxTokens < minMoveTokens || cel.prefillTime(ent.uncopiedTokens()) > maxUncopiedPrefill {
		return false
	}
	copyTime := float64(ent.req.PromptTokens) / transferRate
	return copyTime <= maxTransferShare*cel.answerTime(ent.req.MaxTokens).Seconds()
}

// uncopiedTokens returns the number of tokens after the prompt's last complete
// block. Engines copy only complete blocks to each other.
func (ent *entry) uncopiedTokens() int64 {
	return max(0, ent.req.PromptTokens-int64(len(ent.req.Prefix))*hasher.BlockTokens)
}

// canTakeMove reports whether an engine can decode the rest of a grant's answer.
func (cel *Cell) canTakeMove(gra *grant, eng *engine, now time.Time) bool {
	if !eng.decoder || !eng.live(now) || !gra.entry.canServe(eng) || eng.incomingMoves >= maxIncomingMoves {
		return false
	}
	if limit := cel.limits.MaxOutstanding; limit > 0 && eng.running >= limit {
		return false
	}
	return eng.freeMemory()-cel.promisedToOthers(gra.entry, eng) >= gra.parts[0].memory
}

// finishMove makes the target the engine of the grant and frees the memory on the
// engine that prefilled the prompt.
func (cel *Cell) finishMove(id string, now time.Time) {
	gra := cel.grants[id]
	if gra == nil || gra.target == nil {
		return
	}
	gra.parts[0].release(now)
	gra.parts[0] = gra.target
	gra.target.engine.finishPrefill(gra.target)
	gra.target.engine.incomingMoves--
	gra.target = nil
	cel.recordCache(gra.parts[0])
}

// cancelMove frees the memory allocated for a move that did not happen. A Move event
// that arrives later is answered with Stay.
func (cel *Cell) cancelMove(id string, now time.Time) {
	gra := cel.grants[id]
	if gra == nil || gra.target == nil && gra.moveReply != nil {
		return
	}
	cel.releaseTarget(gra, now)
	gra.moveReply = Stay{ID: id}
}

func (cel *Cell) releaseTarget(gra *grant, now time.Time) {
	if gra.target == nil {
		return
	}
	gra.target.release(now)
	gra.target.engine.incomingMoves--
	gra.target = nil
}
