package planner

import (
	"slices"
	"time"
)

const (
	// suspectTime is how long an engine that failed a request is avoided. It is
	// the time for which work that depends on a dead engine stalls.
	suspectTime = 1500 * time.Millisecond
	// lostReports is the number of reports in a row that must fail before an
	// engine counts as lost.
	lostReports = 2
	// memoryFill is the share of an engine's memory that grants may take; answers
	// can be longer than expected.
	memoryFill = 0.97
	// arrivalDelay is the time from a grant until its request is at the engine.
	arrivalDelay = 3 * time.Millisecond
	// noticeDelay is the time from an event until the plan hears of it.
	noticeDelay = 4 * time.Millisecond
	// stepDelay is the time in ms until an engine turns to a new part: half a step,
	// which reads 2,048 tokens in some 25 ms.
	stepDelay = 12
	// doubtDelay is the time after its expected first event from which a grant's
	// parts count as not read, each with the probability doubtShare.
	doubtDelay = 60 * time.Millisecond
	doubtShare = 0.4
	// leastPass keeps the account of passes from going on in tiny steps.
	leastPass = 1
)

// engine is the account of one engine. An engine that writes answers works in
// passes: each one reads up to a bound, writes a stride of every answer, and ends
// with the first events of what it has read. Parts of divided prompts go ahead of
// whole prompts, the newest first, and interrupt older reads; a pass of the account
// reads one of them, or the whole prompts that wait.
type engine struct {
	Engine
	gone   bool
	pace   ms
	misses int
	// suspect is until when the engine is avoided after a failure.
	suspect time.Time
	// passEnd is when the pass in progress ends, which takes passTime; zero for an
	// idle engine.
	passEnd  time.Time
	passTime ms
	// reading are the parts of the pass in progress; divided and whole are those of
	// later ones, the oldest first.
	reading []*part
	divided []*part
	whole   []*part
	// unconfirmed are divided parts that should have been read, of grants whose first
	// event has not arrived.
	unconfirmed []*part
	// grants are those that the engine leads, shorts the number of short prompts among
	// them, and context their tokens.
	grants  []*grant
	shorts  int
	context int64
	memory  int64
	// foreign counts requests, and foreignMemory tokens, of others.
	foreign       int
	foreignMemory int64
}

// part is the read of one engine for a grant.
type part struct {
	gra *grant
	eng *engine
	// read is the time of what is left to read, at the engine's pace, and tokens
	// their number. taken is what the pass in progress reads of it, and size the time
	// of the whole part.
	read   ms
	size   ms
	tokens float64
	taken  ms
	memory int64
}

// divided reports whether other engines read parts of the same prompt.
func (par *part) divided() bool { return len(par.gra.parts) > 1 }

// grant is an ask that has engines.
type grant struct {
	ask   *pending
	lead  *engine
	parts []*part
	// unread counts the parts that are not read, as far as is estimated.
	unread int
	began  bool
	// spoiled answers have paused for too long, or will have.
	spoiled bool
	since   time.Time
	// expected is when the first event should arrive.
	expected time.Time
	need     int64
}

// writing reports whether the engine that leads writes the answer.
func (gra *grant) writing() bool { return gra.began || gra.unread == 0 }

// lead counts a grant that the engine leads; leave takes it back.
func (eng *engine) lead(gra *grant) {
	eng.grants = append(eng.grants, gra)
	eng.context += gra.ask.prompt.Tokens
	if !gra.ask.long() {
		eng.shorts++
	}
}

func (eng *engine) leave(gra *grant) {
	ind := slices.Index(eng.grants, gra)
	if ind < 0 {
		return
	}
	eng.grants = slices.Delete(eng.grants, ind, ind+1)
	eng.context -= gra.ask.prompt.Tokens
	if !gra.ask.long() {
		eng.shorts--
	}
}

// usable reports whether the engine may get work for a request.
func (eng *engine) usable(one *pending, now time.Time) bool {
	if eng.gone || eng.misses >= lostReports || now.Before(eng.suspect) {
		return false
	}
	return !slices.Contains(one.prompt.Excluded, eng.ID)
}

// advance lets passes end that should have.
func (eng *engine) advance(fig figures, now time.Time) {
	for !eng.passEnd.IsZero() && !now.Before(eng.passEnd) {
		eng.turn(fig, eng.passEnd)
	}
}

// turn ends the pass in progress and begins the next one.
func (eng *engine) turn(fig figures, at time.Time) {
	for _, par := range eng.reading {
		if par.read -= par.taken; par.read <= 0 {
			par.gra.unread--
			if par.divided() && !par.gra.began {
				eng.unconfirmed = append(eng.unconfirmed, par)
			}
		} else {
			eng.putBack(par)
		}
	}
	eng.reading = nil
	dur := eng.writeTime(fig)
	dur += eng.take(dur > 0, fig)
	if dur <= 0 {
		eng.passEnd = time.Time{}
		return
	}
	eng.passTime = max(leastPass, dur)
	eng.passEnd = at.Add(eng.passTime.duration())
}

// putBack queues a part that is not read to its end.
func (eng *engine) putBack(par *part) {
	par.taken = 0
	if par.divided() {
		eng.divided = append(eng.divided, par)
	} else {
		eng.whole = slices.Insert(eng.whole, 0, par)
	}
}

// take chooses what the next pass reads and returns the time for it.
func (eng *engine) take(writes bool, fig figures) ms {
	if las := len(eng.divided) - 1; las >= 0 {
		par := eng.divided[las]
		eng.divided = eng.divided[:las]
		return eng.begin(par, 1)
	}
	var tot ms
	bud := fig.passTokens()
	for bud > 0 && len(eng.whole) > 0 {
		par := eng.whole[0]
		eng.whole = eng.whole[1:]
		sha := 1.0
		if writes {
			sha = min(1, bud/par.tokens)
		}
		bud -= par.tokens * sha
		if tot += eng.begin(par, sha); !writes {
			break
		}
	}
	return tot
}

// begin lets the pass in progress read a share of what is left of a part.
func (eng *engine) begin(par *part, share float64) ms {
	eng.reading = append(eng.reading, par)
	par.taken = par.read * ms(share)
	par.tokens *= 1 - share
	return par.taken
}

// ended notes that a pass of the engine ended, with the first event of a part
// that it led.
func (eng *engine) ended(fig figures, par *part, at time.Time) {
	if eng.has(par) {
		eng.remove(par, at)
		eng.turn(fig, at)
		return
	}
	// The pass in progress was thought to have begun earlier.
	if end := at.Add(eng.passTime.duration()); !eng.passEnd.IsZero() && end.After(eng.passEnd) {
		eng.passEnd = end
	}
}

// has reports whether the engine has still to read a part.
func (eng *engine) has(par *part) bool {
	return slices.Contains(eng.reading, par) || slices.Contains(eng.divided, par) || slices.Contains(eng.whole, par)
}

// queued is the time of the reads that wait for later passes.
func (eng *engine) queued() ms { return sum(eng.divided) + sum(eng.whole) }

func taken(pars []*part) ms {
	var tot ms
	for _, par := range pars {
		tot += par.taken
	}
	return tot
}

func sum(pars []*part) ms {
	var tot ms
	for _, par := range pars {
		tot += par.read
	}
	return tot
}

// writeTime is the time in which the pass in progress writes answers.
func (eng *engine) writeTime(fig figures) ms {
	answers, context := eng.foreign, int64(0)
	for _, gra := range eng.grants {
		if gra.writing() {
			answers++
			context += gra.ask.prompt.Tokens
		}
	}
	return fig.pass(answers, context) * eng.pace
}

// nextWriteTime is that of the next pass, when what is read now is written too,
// with some more tokens of context.
func (eng *engine) nextWriteTime(fig figures, more int64) ms {
	answers, context := eng.foreign+len(eng.grants), more+eng.context
	if more > 0 {
		answers++
	}
	return fig.pass(answers, context) * eng.pace
}

// add gives the engine a part to read.
func (eng *engine) add(fig figures, par *part, now time.Time) {
	eng.memory += par.memory
	if !par.divided() {
		eng.whole = append(eng.whole, par)
	} else {
		eng.interrupt(now)
		eng.divided = append(eng.divided, par)
	}
	if eng.passEnd.IsZero() {
		eng.turn(fig, now.Add(arrivalDelay))
	}
}

// interrupt ends the reads of the pass in progress.
func (eng *engine) interrupt(now time.Time) {
	tak := taken(eng.reading)
	if tak <= 0 {
		return
	}
	res := eng.residual(now)
	lef := min(res, tak)
	for _, par := range eng.reading {
		par.read = max(leastPass, par.read-par.taken*(1-lef/tak))
		eng.putBack(par)
	}
	eng.reading = nil
	if eng.passTime -= lef; res > lef {
		eng.passEnd = now.Add((res - lef).duration())
	} else {
		eng.passEnd = time.Time{}
	}
}

// remove takes a part back. A pass that reads it ends sooner.
func (eng *engine) remove(par *part, now time.Time) {
	is := func(oth *part) bool { return oth == par }
	if slices.ContainsFunc(eng.reading, is) {
		eng.passTime = max(leastPass, eng.passTime-par.taken)
		if end := eng.passEnd.Add(-par.taken.duration()); end.After(now) {
			eng.passEnd = end
		} else {
			eng.passEnd = now
		}
	}
	eng.reading = slices.DeleteFunc(eng.reading, is)
	eng.divided = slices.DeleteFunc(eng.divided, is)
	eng.whole = slices.DeleteFunc(eng.whole, is)
	eng.unconfirmed = slices.DeleteFunc(eng.unconfirmed, is)
}

// confirm notes that a part has been read.
func (eng *engine) confirm(par *part) {
	eng.unconfirmed = slices.DeleteFunc(eng.unconfirmed, func(oth *part) bool { return oth == par })
}

// overdue returns the parts that the engine may still have to read although the
// account says otherwise: their first events have not come when they should have.
func (eng *engine) overdue(now time.Time) []*part {
	var out []*part
	for _, par := range eng.unconfirmed {
		if now.Sub(par.gra.expected) > doubtDelay {
			out = append(out, par)
		}
	}
	return out
}

// doubt is the expected time of reads that the account has missed.
func (eng *engine) doubt(now time.Time) ms {
	var tot ms
	for _, par := range eng.overdue(now) {
		tot += doubtShare * par.size
	}
	return tot
}

// residual is the time left of the pass in progress.
func (eng *engine) residual(now time.Time) ms {
	if eng.passEnd.IsZero() {
		return 0
	}
	return max(0, msOf(eng.passEnd.Sub(now)))
}

// backlog is the time until the engine has read what it was given.
func (eng *engine) backlog(now time.Time) ms {
	if len(eng.reading) == 0 && len(eng.divided) == 0 && len(eng.whole) == 0 {
		return 0
	}
	return eng.residual(now) + eng.queued()
}

// ready is the time until the engine turns to a new part.
func (eng *engine) ready(divided bool, now time.Time) ms {
	if divided {
		return min(eng.residual(now), stepDelay)
	}
	return eng.residual(now) + eng.queued() + eng.doubt(now)
}

// finish is the time until the engine has read a part that it was given.
func (eng *engine) finish(par *part, now time.Time) ms {
	tot := eng.residual(now)
	if slices.Contains(eng.reading, par) && par.taken >= par.read {
		return tot
	}
	for _, oth := range slices.Backward(eng.divided) {
		if tot += oth.read; oth == par {
			return tot
		}
	}
	for _, oth := range eng.whole {
		if tot += oth.read; oth == par {
			break
		}
	}
	return tot
}

// behind returns the parts that a new part would delay.
func (eng *engine) behind(divided bool) []*part {
	if !divided {
		return nil
	}
	return slices.Concat(eng.reading, eng.divided, eng.whole)
}

// joined returns the whole prompts that the engine leads whose first events have not come.
// An engine reads on within a pass, and the first events come with its end.
func (eng *engine) joined() []*grant {
	var out []*grant
	for _, gra := range eng.grants {
		if !gra.began && len(gra.parts) == 1 {
			out = append(out, gra)
		}
	}
	return out
}

// tight counts the answers that the engine leads whose pauses are bound as
// tightly as those of a request.
func (eng *engine) tight(pause time.Duration) int {
	num := 0
	for _, gra := range eng.grants {
		if gra.ask.prompt.Pause > 0 && gra.ask.prompt.Pause <= pause {
			num++
		}
	}
	return num
}

// free is the memory for further grants.
func (eng *engine) free(total int64) int64 {
	return int64(memoryFill*float64(total)) - eng.memory - eng.foreignMemory
}

// accept takes a report.
func (eng *engine) accept(loa Load) {
	eng.misses = 0
	eng.pace = ms(max(1, loa.Pace))
}
