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
	// overdueFactor and overdueSlack give the time after which a read counts as
	// done although no notice of its first event has come.
	overdueFactor = 3
	overdueSlack  = 2000
	// memoryFill is the share of an engine's memory that grants may take; answers
	// can be longer than expected.
	memoryFill = 0.97
)

// engine is the account of one engine.
type engine struct {
	Engine
	gone   bool
	pace   float64
	misses int
	// suspect is until when the engine is avoided after a failure.
	suspect time.Time
	// reads are the parts that the engine has not read, in their order.
	reads    []*part
	advanced time.Time
	// grants are those that the engine leads.
	grants map[string]*grant
	memory int64
	// foreign counts requests, and foreignMemory tokens, of others.
	foreign       int
	foreignMemory int64
	reported      time.Time
}

// part is a read of one engine for a grant.
type part struct {
	gra *grant
	eng *engine
	// left is the time of the read that is left, at the engine's pace.
	left  ms
	since time.Time
	// expected is when it should be done.
	expected time.Time
	memory   int64
}

// grant is an ask that has engines.
type grant struct {
	ask   *ask
	lead  *engine
	parts []*part
	began bool
	since time.Time
	need  int64
}

// usable reports whether the engine may get work for a request.
func (eng *engine) usable(one *ask, now time.Time) bool {
	if eng.gone || eng.misses >= lostReports || now.Before(eng.suspect) {
		return false
	}
	return !slices.Contains(one.prompt.Excluded, eng.ID)
}

// advance estimates the progress of the reads.
func (eng *engine) advance(now time.Time) {
	gap := msOf(now.Sub(eng.advanced))
	eng.advanced = now
	if gap <= 0 {
		return
	}
	for _, par := range eng.reads {
		tak := min(gap, par.left)
		par.left -= tak
		gap -= tak
	}
	eng.reads = slices.DeleteFunc(eng.reads, func(par *part) bool {
		exp := msOf(par.expected.Sub(par.since))
		return par.left <= 0 && msOf(now.Sub(par.since)) > overdueFactor*exp+overdueSlack
	})
}

// backlog is the time of the reads that the engine has to do.
func (eng *engine) backlog() ms {
	var sum ms
	for _, par := range eng.reads {
		sum += par.left
	}
	return sum
}

// writing counts the answers that the engine writes and their contexts.
func (eng *engine) writing() (answers int, context int64) {
	for _, gra := range eng.grants {
		if gra.began {
			answers++
			context += gra.ask.prompt.Tokens
		}
	}
	return answers + eng.foreign, context
}

// tightest is the shortest objective of pauses of what the engine leads.
func (eng *engine) tightest() ms {
	tig := ms(0)
	for _, gra := range eng.grants {
		if pau := msOf(gra.ask.prompt.Pause); pau > 0 && (tig == 0 || pau < tig) {
			tig = pau
		}
	}
	return tig
}

// free is the memory for further grants.
func (eng *engine) free(total int64) int64 {
	return int64(memoryFill*float64(total)) - eng.memory - eng.foreignMemory
}

// remove ends the part that a grant has in the engine's reads.
func (eng *engine) remove(par *part) {
	eng.reads = slices.DeleteFunc(eng.reads, func(oth *part) bool { return oth == par })
}

// accept takes a report. own is the number of the plan's own requests.
func (eng *engine) accept(loa Load, now time.Time) {
	eng.misses = 0
	eng.reported = now
	eng.pace = max(1, loa.Pace)
}
