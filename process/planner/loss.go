package planner

import "time"

const (
	// lateLoss is the part of a request's weight that is lost when its answer is
	// late: callers still use it, but have waited.
	lateLoss = 0.75
	// earlyShare and lateShare of the time left bound the estimates between which
	// a request may be late: estimates are off by some ten per cent.
	earlyShare = 0.55
	lateShare  = 1.05
	// delayWeight is the share of a request's weight that a delay by its whole
	// objective costs even where it should still be in time.
	delayWeight = 0.3
	// pauseShare is the share of an objective of pauses that a pass may take.
	pauseShare = 0.85
	// blockRead is the time in ms of a read from which short prompts that come
	// meanwhile are late.
	blockRead = 120
	// blockShare is the share of these prompts that finds no other engine.
	blockShare = 0.25
	// shortWeight is the weight of a short prompt that is not known yet.
	shortWeight = 1.4
	// assumedUsual stands in for the usual length of a prompt.
	assumedUsual = 10_000
)

// weight says how much a request counts against others. Callers with longer
// prompts are fewer and wait for more.
func (pla *Plan) weight(one *pending) float64 {
	usu := pla.fig.UsualPrompt
	if usu <= 0 {
		usu = assumedUsual
	}
	return 1 + float64(one.prompt.Tokens)/float64(usu)
}

// late is the expected loss of a request whose first event comes after a time.
func (pla *Plan) late(one *pending, first ms, now time.Time) float64 {
	wei := pla.weight(one)
	if first > msOf(one.patience.Sub(now)) {
		return wei
	}
	sla := one.slack(now)
	low, hig := earlyShare*sla, lateShare*sla
	switch {
	case sla <= 0 || first >= hig:
		return lateLoss * wei
	case first <= low:
		return 0
	default:
		return lateLoss * wei * float64((first-low)/(hig-low))
	}
}

// harm is the expected loss of the requests that an engine has when it gets a
// further read. A lead also gets the context of the answer.
func (pla *Plan) harm(eng *engine, read ms, context int64, divided bool, now time.Time) float64 {
	if len(eng.grants) == 0 && len(eng.unconfirmed) == 0 && eng.passEnd.IsZero() {
		return 0
	}
	old := eng.nextWriteTime(pla.fig, 0) + eng.queued()
	nex := eng.nextWriteTime(pla.fig, context) + eng.queued() + read*eng.pace
	var tot float64
	// The pass in progress grows, too.
	var cur ms
	if !eng.passEnd.IsZero() {
		cur = eng.passTime
	}
	for _, gra := range eng.grants {
		tot += pla.pauseHarm(gra, max(old, cur), max(nex, cur+read*eng.pace))
	}
	for _, par := range eng.behind(divided) {
		tot += pla.delayHarm(par, nex-old, now)
	}
	if !divided {
		for _, gra := range eng.joined() {
			tot += pla.joinHarm(gra, nex-old, now)
		}
	}
	for _, par := range eng.overdue(now) {
		tot += doubtShare * pla.overdueHarm(par, nex-old, now)
	}
	return tot
}

// block is the expected loss of the short prompts that will come while an engine
// which serves such prompts reads a long part. Those engines share them.
func (pla *Plan) block(eng *engine, read ms, shorts int, now time.Time) float64 {
	if read < blockRead || eng.shorts == 0 {
		return 0
	}
	return blockShare * lateLoss * shortWeight * pla.short.value(now) * float64(read) / 1000 / float64(max(1, shorts))
}

// shortEngines counts the engines that lead short prompts.
func (pla *Plan) shortEngines() int {
	num := 0
	for _, eng := range pla.order {
		if eng.shorts > 0 {
			num++
		}
	}
	return num
}

// pauseHarm is the loss of an answer whose pass takes longer than it may pause.
func (pla *Plan) pauseHarm(gra *grant, old, nex ms) float64 {
	lim := pauseShare * msOf(gra.ask.prompt.Pause)
	if lim <= 0 || gra.spoiled || old > lim || nex <= lim {
		return 0
	}
	return lateLoss * pla.weight(gra.ask)
}

// delayHarm is the loss of a request one of whose parts is read later.
func (pla *Plan) delayHarm(par *part, delay ms, now time.Time) float64 {
	gra := par.gra
	if gra.began {
		return 0
	}
	exp := msOf(gra.expected.Sub(now))
	nex := max(exp, pla.firstAfter(par, now)+delay)
	risk := delayWeight * pla.weight(gra.ask) * float64((nex-exp)/max(1, msOf(gra.ask.prompt.Objective)))
	return max(0, pla.late(gra.ask, nex, now)-pla.late(gra.ask, exp, now)) + risk
}

// joinHarm is the loss of a request whose first event comes with the pass that a further
// read prolongs.
func (pla *Plan) joinHarm(gra *grant, delay ms, now time.Time) float64 {
	exp := msOf(gra.expected.Sub(now))
	return max(0, pla.late(gra.ask, exp+delay, now)-pla.late(gra.ask, exp, now))
}

// overdueHarm is the loss of an overdue request if a part of it is read later.
func (pla *Plan) overdueHarm(par *part, delay ms, now time.Time) float64 {
	exp := par.eng.residual(now) + par.size + par.gra.lead.nextWriteTime(pla.fig, 0) + network
	return max(0, pla.late(par.gra.ask, exp+delay, now)-pla.late(par.gra.ask, exp, now))
}

// firstAfter is the time to the first event of a grant that waits for a part.
func (pla *Plan) firstAfter(par *part, now time.Time) ms {
	return par.eng.finish(par, now) + par.gra.lead.nextWriteTime(pla.fig, 0) + network
}

// spoil notes which answers a pass of an engine makes pause for too long.
func (eng *engine) spoil(fig figures) {
	pas := eng.nextWriteTime(fig, 0) + eng.queued()
	for _, gra := range eng.grants {
		lim := pauseShare * msOf(gra.ask.prompt.Pause)
		if lim > 0 && pas > lim && gra.writing() {
			gra.spoiled = true
		}
	}
}
