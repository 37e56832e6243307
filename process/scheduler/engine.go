package scheduler

import (
	"slices"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/hasher"
)

const (
	// chunkTime is the duration of a prefill chunk. An engine finishes a chunk of a
	// lower-priority prompt before it starts a prompt of higher priority.
	chunkTime = 20 * time.Millisecond
	// backlogWindow is the prefill time of an engine's unfinished prompts up to
	// which the engine gets further prompts. Prompts beyond it would wait in the
	// engine's own queue, where the cell cannot reorder them.
	backlogWindow = 15 * time.Millisecond
	// The notice of a first token counts as lost after overdueFactor times the
	// expected time to the first token, plus overdueGrace.
	overdueFactor = 2
	overdueGrace  = 200 * time.Millisecond
	// reportTimeout is the age of an engine's last load report above which the
	// engine gets no grants.
	reportTimeout = 20 * time.Second
	// releasedGrace is the time for which load reports may still list a request
	// that has ended; its memory is not counted as foreign until then. It is also
	// the time for which reports must not list a granted request before the grant
	// ends.
	releasedGrace = time.Second
	// missingGrace is the time after a grant during which reports need not list the
	// request. Later, a request that reports do not list for releasedGrace counts
	// as ended.
	missingGrace = 5 * time.Second
	// runningPenalty is added to an engine's estimate for each running sequence,
	// so that engines with fewer sequences are preferred.
	runningPenalty = time.Millisecond
	// assumedPrefillRate is used if an engine reports no prefill rate, in tokens a
	// second.
	assumedPrefillRate = 100_000
)

// engine is the cell's model of one engine: what the engine last reported and
// what the cell has granted on it.
type engine struct {
	id      string
	address string
	// slot is the engine's bit in the masks of prefixes.
	slot   int
	models []string
	// listedLeaving reports whether the engine is listed as leaving or no longer
	// listed, leaving whether its own report says that it leaves.
	listedLeaving bool
	leaving       bool
	incarnation   uint64
	// unreachable reports whether the last read of a report failed, endedEarly
	// whether a request has ended before its first token since the last report.
	unreachable bool
	endedEarly  bool

	// memory is the total memory, in tokens; reportedRate is the prefill rate, in
	// tokens a second; stepTime is the duration of a decode step.
	memory       int64
	reportedRate float64
	stepTime     time.Duration
	reportedAt   time.Time
	// foreign is the memory, in tokens, used by requests that this cell has not
	// granted. foreignPrefill is the estimate of their queued prompt tokens.
	foreign        int64
	foreignPrefill int64

	// used is the memory of the cell's own grants on the engine, in tokens.
	used int64
	// cachedMemory is the part of used that holds cached blocks of prefilled prompts.
	cachedMemory int64
	// shortUsed is the part of used that belongs to short prompts.
	shortUsed int64
	// running is the number of the cell's own grants on the engine, prefills their
	// unfinished prefills in the order in which the engine runs them.
	running    int
	prefills   []*part
	advancedAt time.Time
	// decoder reports whether the engine is dedicated to answers that move.
	// incomingMoves is the number of unfinished moves to it.
	decoder       bool
	incomingMoves int
}

// part is the memory and the prefill work of a grant on one engine.
type part struct {
	grant  *grant
	engine *engine
	memory int64
	// cachedMemory is the part of memory that holds cached blocks, which later
	// prompts can use.
	cachedMemory int64
	// prefillLeft is the number of prompt tokens still to prefill. The estimate
	// decreases with the engine's prefill rate, but not below 1 until the first
	// token is reported.
	prefillLeft int64
	// overdue is the time after which the notice of the first token counts as
	// lost.
	overdue time.Time
	// grantedAt is when the memory was granted, missingSince when a report first
	// did not list the request.
	grantedAt    time.Time
	missingSince time.Time
}

// grant is a request that has been granted.
type grant struct {
	entry     *entry
	parts     []*part
	expires   time.Time
	prefilled bool
	// target is the memory on the engine that the request moves to, nil unless a
	// move is under way. moveReply is the reply to Move; a repeated Move gets the
	// same reply.
	target    *part
	moveReply Action
}

// release frees the memory of a part on its engine.
func (par *part) release(now time.Time) {
	par.engine.advance(now)
	par.engine.removePart(par)
}

// updateMissing records whether a load report lists the request of a part. It returns
// true if the request counts as ended: reports have not listed it for releasedGrace,
// not counting the first missingGrace after the grant.
func (par *part) updateMissing(listed bool, now time.Time) bool {
	switch {
	case listed || now.Sub(par.grantedAt) < missingGrace:
		par.missingSince = time.Time{}
	case par.missingSince.IsZero():
		par.missingSince = now
	default:
		return now.Sub(par.missingSince) >= releasedGrace
	}
	return false
}

func (eng *engine) prefillRate() float64 {
	if eng.reportedRate <= 0 {
		return assumedPrefillRate
	}
	return eng.reportedRate
}

func (eng *engine) chunkTokens() int64 { return int64(eng.prefillRate() * chunkTime.Seconds()) }

func (eng *engine) prefillTime(tokens int64) time.Duration {
	return time.Duration(float64(tokens) / eng.prefillRate() * float64(time.Second))
}

// advance estimates the progress of the prefills since the last call.
func (eng *engine) advance(now time.Time) {
	gap := now.Sub(eng.advancedAt)
	if gap <= 0 {
		return
	}
	eng.advancedAt = now
	budget := int64(gap.Seconds() * eng.prefillRate() * eng.efficiency())
	eng.foreignPrefill = max(0, eng.foreignPrefill-budget)
	for _, par := range eng.prefills {
		taken := min(budget, par.prefillLeft-1)
		par.prefillLeft -= taken
		budget -= taken
	}
}

// efficiency returns the share of the prefill rate that the engine reaches: all of
// it while no sequence decodes.
func (eng *engine) efficiency() float64 {
	if eng.running == len(eng.prefills) {
		return 1
	}
	return 1 / eng.slowdown()
}

// slowdown returns the factor by which prefills take longer while the engine
// decodes, as it runs a decode step after each prefill chunk.
func (eng *engine) slowdown() float64 {
	return (chunkTime + eng.stepTime).Seconds() / chunkTime.Seconds()
}

// tokensAhead returns the prompt tokens that the engine prefills before a new prompt
// of the given priority: all tokens of prompts of the same or a higher priority, at
// most one chunk of prompts of lower priority, and the estimate for requests that this
// cell has not granted.
func (eng *engine) tokensAhead(priority int) int64 {
	var sameOrHigher, lower int64
	for _, par := range eng.prefills {
		if par.grant.entry.req.Priority >= priority {
			sameOrHigher += par.prefillLeft
		} else {
			lower += par.prefillLeft
		}
	}
	return sameOrHigher + min(lower, eng.chunkTokens()) + eng.foreignPrefill
}

// busyWithLong reports whether the engine prefills a long prompt that it does not
// finish within backlogWindow, so that another long prompt would wait.
func (eng *engine) busyWithLong() bool {
	for _, par := range eng.prefills {
		if par.grant.entry.long && eng.prefillTime(par.prefillLeft) > backlogWindow {
			return true
		}
	}
	return false
}

// mayPrefillLong reports whether the engine may still prefill a long prompt: the
// notice of its first token has not arrived and is not overdue.
func (eng *engine) mayPrefillLong() bool {
	for _, par := range eng.prefills {
		if par.grant.entry.long && eng.advancedAt.Before(par.overdue) {
			return true
		}
	}
	return false
}

func (eng *engine) isLeaving() bool { return eng.leaving || eng.listedLeaving }

func (eng *engine) freeMemory() int64 { return eng.memory - eng.used - eng.foreign }

func (eng *engine) live(now time.Time) bool {
	return !eng.isLeaving() && !eng.unreachable && eng.memory > 0 && now.Sub(eng.reportedAt) <= reportTimeout
}

// addPart adds a part of a grant to the engine's model.
func (eng *engine) addPart(par *part) {
	eng.chargeMemory(par, par.memory)
	eng.running++
	if par.prefillLeft <= 0 {
		return
	}
	par.overdue = eng.advancedAt.Add(overdueFactor*eng.prefillTime(eng.tokensAhead(par.grant.entry.req.Priority)+par.prefillLeft) + overdueGrace)
	pos := len(eng.prefills)
	for pos > 0 && eng.prefills[pos-1].grant.entry.req.Priority < par.grant.entry.req.Priority {
		pos--
	}
	eng.prefills = slices.Insert(eng.prefills, pos, par)
}

func (eng *engine) removePart(par *part) {
	eng.chargeMemory(par, -par.memory)
	eng.cachedMemory -= par.cachedMemory
	par.cachedMemory = 0
	eng.running--
	eng.finishPrefill(par)
}

func (eng *engine) chargeMemory(par *part, tokens int64) {
	eng.used += tokens
	if !par.grant.entry.long {
		eng.shortUsed += tokens
	}
}

func (eng *engine) finishPrefill(par *part) {
	par.prefillLeft = 0
	eng.prefills = slices.DeleteFunc(eng.prefills, func(other *part) bool { return other == par })
}

// acceptReport updates the engine's model from its load report. known reports
// whether the cell has a grant for a Request.ID, or released one within releasedGrace.
func (eng *engine) acceptReport(loa invoker.Load, known func(requestID string) bool, now time.Time) {
	eng.advance(now)
	eng.reportedAt = now
	eng.unreachable, eng.endedEarly = false, false
	eng.memory = loa.MemoryTokens
	eng.reportedRate = loa.PrefillRate
	eng.stepTime = time.Duration(loa.StepMs * float64(time.Millisecond))
	eng.leaving = loa.Leaving
	if len(loa.Models) > 0 {
		eng.models = loa.Models
	}
	if loa.Partial {
		return
	}
	var foreign, total int64
	for _, seq := range loa.Sequences {
		total += seq.Tokens
		if !known(seq.RequestID) {
			foreign += seq.Tokens
		}
	}
	eng.foreign = foreign
	eng.foreignPrefill = 0
	if total > 0 {
		eng.foreignPrefill = int64(float64(loa.QueuedPromptTokens) * float64(foreign) / float64(total))
	}
}

// timeToFirstToken returns the expected time to the first token of a request, plus
// runningPenalty for each running sequence.
func (eng *engine) timeToFirstToken(ent *entry, cachedBlocks int) time.Duration {
	uncached := max(1, ent.req.PromptTokens-int64(cachedBlocks)*hasher.BlockTokens)
	estimate := eng.prefillTime(eng.tokensAhead(ent.req.Priority)+uncached) + time.Duration(eng.running)*runningPenalty
	if ent.long && eng.running > 0 {
		// The running sequences decode during at least a part of the prefill.
		estimate = time.Duration(float64(estimate) * eng.slowdown())
	}
	if eng.mayPrefillLong() {
		// The engine fills the rest of this request's chunk with tokens of the long
		// prompt, so the chunk takes the full chunkTime.
		estimate += chunkTime
	}
	return estimate
}
