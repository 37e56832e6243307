package scheduler

import (
	"slices"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/hasher"
)

const (
	// chunkTime is what an engine may spend on a prompt of lower priority before
	// it turns to one of higher priority.
	chunkTime = 20 * time.Millisecond
	// backlogWindow is the prefill work that a cell keeps on an engine. More
	// would wait in the engine's queue, where it can't be put in order anew.
	backlogWindow = 15 * time.Millisecond
	// overdueFactor and overdueGrace give the time after which the notice of a
	// first token counts as lost, from the expected time.
	overdueFactor = 2
	overdueGrace  = 200 * time.Millisecond
	// reportTimeout is the age at which an engine without a new load report
	// gets no more grants.
	reportTimeout = 20 * time.Second
	// releasedGrace is the time for which load reports may still list a
	// request that has ended.
	releasedGrace = time.Second
	// missingGrace is the time after a grant from which a report that does not
	// list its request shows that it has ended.
	missingGrace = 5 * time.Second
	// runningPenalty makes an engine with fewer sequences preferred.
	runningPenalty = time.Millisecond
	// assumedPrefillRate stands in for a report without one, in tokens a second.
	assumedPrefillRate = 100_000
)

// engine is the account of one engine of the cell.
type engine struct {
	id      string
	address string
	slot    int
	models  []string
	// listedLeaving and leaving come from the list and from the engine itself.
	listedLeaving bool
	leaving       bool
	incarnation   uint64
	// lost says that the last read of a report failed; doubted says that a
	// prompt has left the engine before its first token since the last report.
	lost    bool
	doubted bool

	memory     int64
	rate       float64
	step       time.Duration
	reportedAt time.Time
	// foreign is memory that other schedulers and hosts use.
	foreign       int64
	foreignQueued int64

	// used, running and prefills account for the cell's own grants. The
	// prefills are in the order in which the engine takes them.
	used int64
	// shared is the part of used that is cached blocks of prefilled prompts.
	shared int64
	// shortUsed is the part of used that short prompts have.
	shortUsed int64
	running   int
	prefills  []*part
	advanced  time.Time
	// decoder engines take answers that move; moves counts those on their way.
	decoder bool
	moves   int
}

// part is the share of one engine in a grant.
type part struct {
	gra    *grant
	eng    *engine
	memory int64
	// shared is the part of memory that the engine shares with later prompts.
	shared int64
	// left counts the prompt tokens that the engine still has to prefill. It
	// is estimated from the rate and stays at 1 until the first token arrives.
	left int64
	// overdue is when the first token should long have arrived, so that its
	// notice may be lost.
	overdue time.Time
	// since is when the memory was granted, missing when a report first did
	// not list the request.
	since   time.Time
	missing time.Time
}

// grant is an ask that has been granted.
type grant struct {
	ask       *ask
	parts     []*part
	expires   time.Time
	prefilled bool
	// target is the memory on the engine that the request moves to, until the
	// move is over; then answer says how a repeated Move is answered.
	target *part
	answer Action
}

// give returns the memory of a part to its engine.
func (par *part) give(now time.Time) {
	par.eng.advance(now)
	par.eng.remove(par)
}

// lost notes whether the engine lists the request of a part, and reports
// whether it has not done so for too long.
func (par *part) lost(listed bool, now time.Time) bool {
	switch {
	case listed || now.Sub(par.since) < missingGrace:
		par.missing = time.Time{}
	case par.missing.IsZero():
		par.missing = now
	default:
		return now.Sub(par.missing) >= releasedGrace
	}
	return false
}

func (eng *engine) prefillRate() float64 {
	if eng.rate <= 0 {
		return assumedPrefillRate
	}
	return eng.rate
}

func (eng *engine) chunkTokens() int64 { return int64(eng.prefillRate() * chunkTime.Seconds()) }

func (eng *engine) prefillTime(tokens int64) time.Duration {
	return time.Duration(float64(tokens) / eng.prefillRate() * float64(time.Second))
}

// advance estimates the progress of the prefills since the last look.
func (eng *engine) advance(now time.Time) {
	gap := now.Sub(eng.advanced)
	if gap <= 0 {
		return
	}
	eng.advanced = now
	bud := int64(gap.Seconds() * eng.prefillRate() * eng.efficiency())
	eng.foreignQueued = max(0, eng.foreignQueued-bud)
	for _, par := range eng.prefills {
		tak := min(bud, par.left-1)
		par.left -= tak
		bud -= tak
	}
}

// efficiency is the part of the prefill rate that the engine reaches.
func (eng *engine) efficiency() float64 {
	if eng.running == len(eng.prefills) {
		return 1
	}
	return 1 / eng.slowdown()
}

// slowdown is the factor by which prefills take longer while the engine
// decodes, as a step of decoding follows each chunk.
func (eng *engine) slowdown() float64 {
	return (chunkTime + eng.step).Seconds() / chunkTime.Seconds()
}

// ahead returns the prompt tokens that the engine prefills before a new prompt
// of the priority.
func (eng *engine) ahead(priority int) int64 {
	var same, lower int64
	for _, par := range eng.prefills {
		if par.gra.ask.req.Priority >= priority {
			same += par.left
		} else {
			lower += par.left
		}
	}
	return same + min(lower, eng.chunkTokens()) + eng.foreignQueued
}

// longBusy reports whether the engine prefills a long prompt that it does not
// finish within the backlog window, so that another one would wait.
func (eng *engine) longBusy() bool {
	for _, par := range eng.prefills {
		if par.gra.ask.long && eng.prefillTime(par.left) > backlogWindow {
			return true
		}
	}
	return false
}

// sharesChunks reports whether the engine may still prefill a long prompt: its
// first token has not been seen, nor is it overdue.
func (eng *engine) sharesChunks() bool {
	for _, par := range eng.prefills {
		if par.gra.ask.long && eng.advanced.Before(par.overdue) {
			return true
		}
	}
	return false
}

func (eng *engine) gone() bool { return eng.leaving || eng.listedLeaving }

func (eng *engine) free() int64 { return eng.memory - eng.used - eng.foreign }

func (eng *engine) live(now time.Time) bool {
	return !eng.gone() && !eng.lost && eng.memory > 0 && now.Sub(eng.reportedAt) <= reportTimeout
}

// add accounts for a part of a grant.
func (eng *engine) add(par *part) {
	eng.account(par, par.memory)
	eng.running++
	if par.left <= 0 {
		return
	}
	par.overdue = eng.advanced.Add(overdueFactor*eng.prefillTime(eng.ahead(par.gra.ask.req.Priority)+par.left) + overdueGrace)
	pos := len(eng.prefills)
	for pos > 0 && eng.prefills[pos-1].gra.ask.req.Priority < par.gra.ask.req.Priority {
		pos--
	}
	eng.prefills = slices.Insert(eng.prefills, pos, par)
}

func (eng *engine) remove(par *part) {
	eng.account(par, -par.memory)
	eng.shared -= par.shared
	par.shared = 0
	eng.running--
	eng.prefilled(par)
}

func (eng *engine) account(par *part, tokens int64) {
	eng.used += tokens
	if !par.gra.ask.long {
		eng.shortUsed += tokens
	}
}

func (eng *engine) prefilled(par *part) {
	par.left = 0
	eng.prefills = slices.DeleteFunc(eng.prefills, func(oth *part) bool { return oth == par })
}

// accept takes the engine's own figures from a report. known tells whether a
// request is the cell's own or has just ended.
func (eng *engine) accept(loa invoker.Load, known func(requestID string) bool, now time.Time) {
	eng.advance(now)
	eng.reportedAt = now
	eng.lost, eng.doubted = false, false
	eng.memory = loa.MemoryTokens
	eng.rate = loa.PrefillRate
	eng.step = time.Duration(loa.StepMs * float64(time.Millisecond))
	eng.leaving = loa.Leaving
	if len(loa.Models) > 0 {
		eng.models = loa.Models
	}
	if loa.Partial {
		return
	}
	var oth, all int64
	for _, seq := range loa.Sequences {
		all += seq.Tokens
		if !known(seq.RequestID) {
			oth += seq.Tokens
		}
	}
	eng.foreign = oth
	eng.foreignQueued = 0
	if all > 0 {
		eng.foreignQueued = int64(float64(loa.QueuedPromptTokens) * float64(oth) / float64(all))
	}
}

// estimate returns the expected time to the first token of an ask, with a
// small penalty for the sequences that share the engine.
func (eng *engine) estimate(ask *ask, cachedBlocks int) time.Duration {
	own := max(1, ask.req.PromptTokens-int64(cachedBlocks)*hasher.BlockTokens)
	est := eng.prefillTime(eng.ahead(ask.req.Priority)+own) + time.Duration(eng.running)*runningPenalty
	if ask.long && eng.running > 0 {
		// What runs there decodes for a part of the prompt at least.
		est = time.Duration(float64(est) * eng.slowdown())
	}
	if eng.sharesChunks() {
		// The engine fills the ask's own chunk up with the long prompt.
		est += chunkTime
	}
	return est
}
