package scheduler

import (
	"slices"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/hasher"
)

const (
	// chunkTime is the duration of a prefill chunk. An engine finishes the chunk
	// of a prompt of lower priority before it starts one of higher priority.
	chunkTime = 20 * time.Millisecond
	// backlogWindow is the prefill work up to which an engine gets further
	// prompts. More would wait in the engine's own queue, where the cell can't
	// reorder it.
	backlogWindow = 15 * time.Millisecond
	// The notice of a first token counts as lost after overdueFactor times the
	// expected time to the first token, plus overdueGrace.
	overdueFactor = 2
	overdueGrace  = 200 * time.Millisecond
	// reportTimeout is the age of its last load report at which an engine gets no
	// more grants.
	reportTimeout = 20 * time.Second
	// releasedGrace is the time for which load reports may still list a request
	// that has ended. Until then, its memory is not counted as foreign.
	releasedGrace = time.Second
	// missingGrace is the time after a grant before which a report need not list
	// its request yet. Afterwards, a missing request counts as ended.
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
	slot    int
	models  []string
	// listedLeaving reports whether the engine is listed as leaving or no longer
	// listed, leaving whether its own report says that it leaves.
	listedLeaving bool
	leaving       bool
	incarnation   uint64
	// unreachable reports whether the last read of a report failed, suspected
	// whether a request has ended before its first token since the last report.
	unreachable bool
	suspected   bool

	memory       int64
	reportedRate float64
	stepTime     time.Duration
	reportedAt   time.Time
	// foreign is the memory, in tokens, used by requests that this cell has not
	// granted. foreignPrefill is the estimate of their queued prompt tokens.
	foreign        int64
	foreignPrefill int64

	// used, running and prefills are the memory, the number and the unfinished
	// prefills of the cell's own grants. The prefills are in the order in which
	// the engine runs them.
	used int64
	// shared is the part of used that holds cached blocks of prefilled prompts.
	shared int64
	// shortUsed is the part of used that belongs to short prompts.
	shortUsed  int64
	running    int
	prefills   []*part
	advancedAt time.Time
	// decoder reports whether the engine is dedicated to answers that move.
	// incomingMoves is the number of unfinished moves to it.
	decoder       bool
	incomingMoves int
}

// part is what a grant takes of one engine.
type part struct {
	grant  *grant
	engine *engine
	memory int64
	// shared is the part of memory that holds cached blocks, which later prompts
	// can use.
	shared int64
	// prefillLeft is the number of prompt tokens still to prefill. It is estimated
	// from the rate and stays at 1 until the first token is reported.
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
	// move is under way. moveAnswer is the reply to the first Move, which a
	// repeated one gets, too.
	target     *part
	moveAnswer Action
}

// release frees the memory of a part on its engine.
func (par *part) release(now time.Time) {
	par.engine.advance(now)
	par.engine.removePart(par)
}

// requestLost records whether the engine's report lists the request of a part. It
// reports whether the request has been missing for longer than releasedGrace.
func (par *part) requestLost(listed bool, now time.Time) bool {
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

// tokensAhead returns the prompt tokens that the engine prefills before a new
// prompt of the priority: those of the same or a higher priority, and at most one
// chunk of a lower one.
func (eng *engine) tokensAhead(priority int) int64 {
	var same, lower int64
	for _, par := range eng.prefills {
		if par.grant.entry.req.Priority >= priority {
			same += par.prefillLeft
		} else {
			lower += par.prefillLeft
		}
	}
	return same + min(lower, eng.chunkTokens()) + eng.foreignPrefill
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
	eng.shared -= par.shared
	par.shared = 0
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
// whether a request is the cell's own or has just ended.
func (eng *engine) acceptReport(loa invoker.Load, known func(requestID string) bool, now time.Time) {
	eng.advance(now)
	eng.reportedAt = now
	eng.unreachable, eng.suspected = false, false
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

// timeToFirstToken returns the expected time to the first token of a request, with
// a small penalty for the sequences that share the engine.
func (eng *engine) timeToFirstToken(ent *entry, cachedBlocks int) time.Duration {
	uncached := max(1, ent.req.PromptTokens-int64(cachedBlocks)*hasher.BlockTokens)
	estimate := eng.prefillTime(eng.tokensAhead(ent.req.Priority)+uncached) + time.Duration(eng.running)*runningPenalty
	if ent.long && eng.running > 0 {
		// The running sequences decode during at least a part of the prefill.
		estimate = time.Duration(float64(estimate) * eng.slowdown())
	}
	if eng.mayPrefillLong() {
		// The engine fills the chunk that prefills this request up with tokens of
		// the long prompt, so that it takes the full chunk time.
		estimate += chunkTime
	}
	return estimate
}
