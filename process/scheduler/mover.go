package scheduler

import (
	"math"
	"time"

	"hemlockpin/request/hasher"
)

const (
	// decoderAnswers is the number of answers that one decoder is meant for,
	// and decoderFill the part of its memory that they take in the mean.
	decoderAnswers = 16
	decoderFill    = 0.35
	// minDecoderCell is the least number of live engines of which some decode
	// the answers of others, and maxDecoderShare bounds the decoders' share.
	minDecoderCell  = 4
	maxDecoderShare = 0.5
	// minLongEngines is the prefill work of long prompts, in engines, from
	// which it is worth while to move answers out of their way.
	minLongEngines = 0.5
	// moveMemory is the time after a question for a move for which decoders
	// are set apart. Hosts that never ask leave all engines to prompts.
	moveMemory = 5 * time.Second
	// maxMoves bounds the answers on their way to one engine.
	maxMoves = 8
	// shortDetour is how much longer a short prompt may take on a decoder than
	// elsewhere, since its answer needs no move from there.
	shortDetour = 10 * time.Millisecond
	// maxReread bounds the prefill of what the copy of a prompt leaves out, as
	// it holds up the answers on the decoder.
	maxReread = 11 * time.Millisecond
	// minMoveAnswer is the least answer that is worth a move, in tokens.
	minMoveAnswer = 4
	// transferRate is the assumed rate of the copy to another engine, in
	// tokens a second, and maxTransferShare bounds its time, as a part of that
	// of the answer.
	transferRate     = 2_000_000
	maxTransferShare = 1.0 / 3
)

// chooseDecoders sets the engines apart that go on with the answers of others,
// so that these prefill at their full rate. The first ones that are live are
// taken, so the choice is stable.
func (cel *Cell) chooseDecoders(now time.Time) {
	cel.decoders = cel.countDecoders(now)
	lef := cel.decoders
	for _, eng := range cel.engines {
		eng.decoder = lef > 0 && eng.live(now)
		if eng.decoder {
			lef--
		}
	}
}

// countDecoders follows the number of the answers and the memory that they hold.
func (cel *Cell) countDecoders(now time.Time) int {
	if now.Sub(cel.moveAsked) > moveMemory || cel.longs.level(now) < minLongEngines {
		return 0
	}
	liv := 0
	var mem int64
	for _, eng := range cel.engines {
		if eng.live(now) {
			liv++
			mem = max(mem, eng.memory)
		}
	}
	if liv < minDecoderCell {
		return 0
	}
	cou := max(cel.answers.level(now)/decoderAnswers, cel.held.level(now)/(decoderFill*float64(mem)))
	return max(1, min(int(maxDecoderShare*float64(liv)), int(math.Ceil(cou))))
}

// sparesDecoders reports whether an ask has engines to go to beside the decoders.
func (cel *Cell) sparesDecoders(one *ask, now time.Time) bool {
	for _, eng := range cel.engines {
		if !eng.decoder && one.takes(eng) && eng.live(now) {
			return true
		}
	}
	return false
}

// detour is added to the estimate of an engine that a short prompt had better
// leave to long ones.
func (cel *Cell) detour(one *ask, eng *engine) time.Duration {
	if one.long || eng.decoder || cel.decoders == 0 {
		return 0
	}
	return shortDetour
}

// move answers whether the answer of a grant goes on elsewhere. The question
// may come before the notice of the first token.
func (cel *Cell) move(id string, now time.Time) {
	cel.moveAsked = now
	cel.prefilled(id)
	gra := cel.grants[id]
	if gra == nil {
		cel.actions = append(cel.actions, Stay{ID: id})
		return
	}
	if gra.answer == nil {
		gra.answer = cel.moveTo(gra, now)
	}
	cel.actions = append(cel.actions, gra.answer)
}

// moveTo sets memory aside on the decoder with the fewest sequences.
func (cel *Cell) moveTo(gra *grant, now time.Time) Action {
	sou := gra.parts[0]
	if len(gra.parts) > 1 || sou.eng.decoder || !cel.movable(gra.ask) {
		return Stay{ID: gra.ask.id}
	}
	var bes *engine
	for _, eng := range cel.engines {
		if cel.takesMove(gra, eng, now) && (bes == nil || eng.running < bes.running) {
			bes = eng
		}
	}
	if bes == nil {
		return Stay{ID: gra.ask.id}
	}
	bes.advance(now)
	gra.target = &part{gra: gra, eng: bes, memory: sou.memory, left: gra.ask.reread(), since: now}
	bes.add(gra.target)
	cel.makeCacheRoom(bes)
	bes.moves++
	return MoveTo{ID: gra.ask.id, Endpoint: bes.id, Address: bes.address}
}

// movable reports whether the answer of an ask takes clearly longer than its
// copy to another engine.
func (cel *Cell) movable(one *ask) bool {
	if one.group || one.req.MaxTokens < minMoveAnswer || cel.prefillTime(one.reread()) > maxReread {
		return false
	}
	cop := float64(one.req.PromptTokens) / transferRate
	return cop <= maxTransferShare*cel.answerTime(one.req.MaxTokens).Seconds()
}

// reread counts the tokens after the prompt's last whole block. Engines pass
// on whole blocks only.
func (one *ask) reread() int64 {
	return max(0, one.req.PromptTokens-int64(len(one.req.Prefix))*hasher.BlockTokens)
}

// takesMove reports whether an engine can go on with the answer of a grant.
func (cel *Cell) takesMove(gra *grant, eng *engine, now time.Time) bool {
	if !eng.decoder || !eng.live(now) || !gra.ask.takes(eng) || eng.moves >= maxMoves {
		return false
	}
	if lim := cel.limits.MaxOutstanding; lim > 0 && eng.running >= lim {
		return false
	}
	return eng.free()-cel.othersShare(gra.ask, eng) >= gra.parts[0].memory
}

// moved frees the memory of a request on the engine that it has left.
func (cel *Cell) moved(id string, now time.Time) {
	gra := cel.grants[id]
	if gra == nil || gra.target == nil {
		return
	}
	gra.parts[0].give(now)
	gra.parts[0] = gra.target
	gra.target.eng.prefilled(gra.target)
	gra.target.eng.moves--
	gra.target = nil
	cel.cache(gra.parts[0])
}

// stayed frees the memory set aside for a move that did not come about. A
// question that arrives later gets no engine any more.
func (cel *Cell) stayed(id string, now time.Time) {
	gra := cel.grants[id]
	if gra == nil || gra.target == nil && gra.answer != nil {
		return
	}
	cel.giveTarget(gra, now)
	gra.answer = Stay{ID: id}
}

func (cel *Cell) giveTarget(gra *grant, now time.Time) {
	if gra.target == nil {
		return
	}
	gra.target.give(now)
	gra.target.eng.moves--
	gra.target = nil
}
