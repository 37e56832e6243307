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
	// leastPass keeps the account of passes from going on in tiny steps.
	leastPass = 1
)

// engine is the account of one engine. An engine works in passes: each one reads
// what waited when it began, writes a stride of every answer, and ends with the
// first events of what it has read.
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
	// reading are the parts of the pass in progress, pending those of the next.
	reading []*part
	pending []*part
	// grants are those that the engine leads.
	grants map[string]*grant
	memory int64
	// foreign counts requests, and foreignMemory tokens, of others.
	foreign       int
	foreignMemory int64
}

// part is the read of one engine for a grant.
type part struct {
	gra *grant
	eng *engine
	// read is the time of the read, at the engine's pace.
	read   ms
	memory int64
}

// grant is an ask that has engines.
type grant struct {
	ask   *ask
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

// usable reports whether the engine may get work for a request.
func (eng *engine) usable(one *ask, now time.Time) bool {
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
		par.gra.unread--
	}
	eng.reading, eng.pending = eng.pending, nil
	dur := eng.writeTime(fig) + sum(eng.reading)
	if dur <= 0 {
		eng.passEnd = time.Time{}
		return
	}
	eng.passTime = max(leastPass, dur)
	eng.passEnd = at.Add(eng.passTime.duration())
}

// ended notes that a pass of the engine ended, with the first event of a part
// that it led.
func (eng *engine) ended(fig figures, par *part, at time.Time) {
	if slices.Contains(eng.reading, par) || slices.Contains(eng.pending, par) {
		eng.remove(par, at)
		eng.turn(fig, at)
		return
	}
	// The pass in progress was thought to have begun earlier.
	if end := at.Add(eng.passTime.duration()); !eng.passEnd.IsZero() && end.After(eng.passEnd) {
		eng.passEnd = end
	}
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
	answers, context := eng.foreign+len(eng.grants), more
	for _, gra := range eng.grants {
		context += gra.ask.prompt.Tokens
	}
	if more > 0 {
		answers++
	}
	return fig.pass(answers, context) * eng.pace
}

// add gives the engine a part to read.
func (eng *engine) add(fig figures, par *part, now time.Time) {
	eng.memory += par.memory
	eng.pending = append(eng.pending, par)
	if eng.passEnd.IsZero() {
		eng.turn(fig, now.Add(arrivalDelay))
	}
}

// remove takes a part back. A pass that reads it ends sooner.
func (eng *engine) remove(par *part, now time.Time) {
	is := func(oth *part) bool { return oth == par }
	if slices.ContainsFunc(eng.reading, is) {
		eng.passTime = max(leastPass, eng.passTime-par.read)
		if end := eng.passEnd.Add(-par.read.duration()); end.After(now) {
			eng.passEnd = end
		} else {
			eng.passEnd = now
		}
	}
	eng.reading = slices.DeleteFunc(eng.reading, is)
	eng.pending = slices.DeleteFunc(eng.pending, is)
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
	if len(eng.reading) == 0 && len(eng.pending) == 0 {
		return 0
	}
	return eng.residual(now) + sum(eng.pending)
}

// holdsTight reports whether the engine leads an answer whose pauses are bound as
// tightly as those of a request.
func (eng *engine) holdsTight(pause time.Duration) bool {
	for _, gra := range eng.grants {
		if gra.ask.prompt.Pause > 0 && gra.ask.prompt.Pause <= pause {
			return true
		}
	}
	return false
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
