package planner

import (
	"cmp"
	"slices"
	"time"

	"hemlockpin/version/parser"
)

const (
	// grantGrace is the time after its deadline at which a grant ends.
	grantGrace = time.Second
	// askTimeout is the time after which an ask that its host does not repeat is
	// dropped. Hosts repeat theirs every second.
	askTimeout = 2500 * time.Millisecond
	// demandPeriod is the time over which the requests are averaged.
	demandPeriod = 3 * time.Second
)

// ask is a request that waits.
type pending struct {
	Request
	prompt  Prompt
	read    ms
	need    int64
	arrived time.Time
	seen    time.Time
	// patience is when the caller gives up without an event.
	patience time.Time
	// tried is when the plan looked at it last; zero if it has not yet.
	tried time.Time
	// latest is when it must start to meet its objective on idle engines.
	latest time.Time
}

// Plan is the state of one pool. Next changes it; it must not be used by two
// goroutines at a time. Its zero value is an empty pool.
type Plan struct {
	fig     figures
	engines map[string]*engine
	order   []*engine
	waiting []*pending
	grants  map[string]*grant
	acts    []Action
	// fresh says that an ask came since the plan looked at those that wait, dispatched
	// when that was.
	fresh      bool
	dispatched time.Time
	// long is the recent work of long prompts, in engines; short the recent rate of
	// short ones, a second.
	long  average
	short average
}

// Next takes an event and returns the actions that follow.
func (pla *Plan) Next(eve Event, now time.Time) []Action {
	if pla.engines == nil {
		pla.engines = map[string]*engine{}
		pla.grants = map[string]*grant{}
		pla.fig = newFigures(parser.Batching{})
	}
	pla.acts = nil
	for _, eng := range pla.order {
		eng.advance(pla.fig, now)
	}
	pla.take(eve, now)
	pla.expire(now)
	pla.dispatch(now)
	return pla.acts
}

func (pla *Plan) take(eve Event, now time.Time) {
	switch eve := eve.(type) {
	case Request:
		pla.ask(eve, now)
	case Cancel:
		pla.waiting = slices.DeleteFunc(pla.waiting, func(one *pending) bool { return one.ID == eve.ID })
		pla.end(eve.ID, now)
	case Began:
		pla.began(eve.ID, now)
	case Ended:
		pla.end(eve.ID, now)
	case Held:
		pla.hold(eve, now)
	case Failed:
		pla.failed(eve, now)
	case Listing:
		pla.list(eve.Engines)
	case Report:
		pla.report(eve, now)
	case Unreachable:
		if eng := pla.engines[eve.Endpoint]; eng != nil {
			eng.misses++
		}
	case HostRemoved:
		pla.hostGone(eve, now)
	case Parameters:
		pla.fig = newFigures(eve.Batching)
	}
}

// Waiting counts the asks that wait.
func (pla *Plan) Waiting() int { return len(pla.waiting) }

// Granted counts the grants that have not ended.
func (pla *Plan) Granted() int { return len(pla.grants) }

func (pla *Plan) ask(eve Request, now time.Time) {
	if gra := pla.grants[eve.ID]; gra != nil {
		pla.assign(gra, now)
		return
	}
	for _, one := range pla.waiting {
		if one.ID == eve.ID {
			one.seen = now
			return
		}
	}
	one := pla.newAsk(eve, now)
	pla.waiting = append(pla.waiting, one)
	pla.fresh = true
	if one.long() {
		pla.long = pla.long.with(float64(one.read)/1000, now)
	} else {
		pla.short = pla.short.with(1, now)
	}
}

func (pla *Plan) newAsk(eve Request, now time.Time) *pending {
	pro := eve.Prompt
	one := &pending{Request: eve, prompt: pro, read: pla.fig.read(pro.Tokens), arrived: now, seen: now}
	one.need = pro.Tokens + pla.answerTokens(pro)
	one.patience = patience(pro)
	return one
}

// hold takes a grant of another planner into the account. What its engines have
// read since then is taken as read.
func (pla *Plan) hold(eve Held, now time.Time) {
	pla.waiting = slices.DeleteFunc(pla.waiting, func(one *pending) bool { return one.ID == eve.Request.ID })
	if pla.grants[eve.Request.ID] != nil || len(eve.Parts) == 0 || pla.engines[eve.Parts[0].Endpoint] == nil {
		return
	}
	one := pla.newAsk(eve.Request, now)
	gra := &grant{ask: one, lead: pla.engines[eve.Parts[0].Endpoint], since: now.Add(-eve.Age), need: one.need, expected: now, began: eve.Begun}
	whole := eve.Parts[0].Reserve == 0
	for ind, out := range eve.Parts {
		eng := pla.engines[out.Endpoint]
		if eng == nil {
			continue
		}
		num := ms(len(eve.Parts))
		par := &part{gra: gra, eng: eng, read: one.read / num * eng.pace, tokens: float64(one.prompt.Tokens) / float64(num), memory: out.Reserve}
		if ind == 0 && whole {
			par.memory = one.need
		}
		par.size = par.read
		gra.parts = append(gra.parts, par)
	}
	gra.need = gra.parts[0].memory
	gra.lead.lead(gra)
	pla.grants[one.ID] = gra
	for _, par := range gra.parts {
		pla.holdPart(par, eve, now)
	}
}

// holdPart gives an engine what it has not read of a part.
func (pla *Plan) holdPart(par *part, eve Held, now time.Time) {
	lef := par.read - msOf(eve.Age)
	if eve.Begun || lef <= 0 {
		par.eng.memory += par.memory
		return
	}
	par.tokens *= float64(lef / par.read)
	par.read = lef
	par.gra.unread++
	par.eng.add(pla.fig, par, now)
	if exp := now.Add(pla.firstAfter(par, now).duration()); exp.After(par.gra.expected) {
		par.gra.expected = exp
	}
}

// answerTokens is the memory set aside for an answer.
func (pla *Plan) answerTokens(pro Prompt) int64 {
	if pro.MaxTokens > 0 {
		return pro.MaxTokens
	}
	return 2 * cmp.Or(pro.AnswerTokens, pla.fig.UsualAnswer)
}

// average is the mean of what came in the last time. It falls in a straight line
// to nothing when nothing comes.
type average struct {
	sum float64
	at  time.Time
}

func (ave average) value(now time.Time) float64 {
	return ave.sum * max(0, 1-now.Sub(ave.at).Seconds()/demandPeriod.Seconds()/2)
}

// with adds an amount to the average a second.
func (ave average) with(amount float64, now time.Time) average {
	return average{ave.value(now) + amount/demandPeriod.Seconds(), now}
}

// longShare is the share of the engines that long prompts took up lately.
func (pla *Plan) longShare(now time.Time) float64 {
	return min(1, pla.long.value(now)/float64(max(1, len(pla.order))))
}

// began notes the first event of a grant. It also shows where the lead's passes
// end.
func (pla *Plan) began(id string, now time.Time) {
	gra := pla.grants[id]
	if gra == nil || gra.began {
		return
	}
	gra.began = true
	gra.unread = 0
	for _, par := range gra.parts[1:] {
		par.eng.remove(par, now)
	}
	gra.lead.confirm(gra.parts[0])
	gra.lead.ended(pla.fig, gra.parts[0], now.Add(-noticeDelay))
}

func (pla *Plan) end(id string, now time.Time) {
	gra := pla.grants[id]
	if gra == nil {
		return
	}
	delete(pla.grants, id)
	gra.lead.leave(gra)
	for _, par := range gra.parts {
		par.eng.remove(par, now)
		par.eng.memory -= par.memory
	}
}

func (pla *Plan) failed(eve Failed, now time.Time) {
	for _, eng := range pla.order {
		if eng.ID == eve.Endpoint || eng.Address == eve.Endpoint {
			eng.suspect = now.Add(suspectTime)
		}
	}
}

func (pla *Plan) list(ends []Engine) {
	see := map[string]bool{}
	for _, end := range ends {
		see[end.ID] = true
		eng := pla.engines[end.ID]
		if eng == nil || !eng.Started.Equal(end.Started) && !end.Started.IsZero() {
			eng = &engine{Engine: end, pace: 1}
			pla.engines[end.ID] = eng
		}
		eng.Engine, eng.gone = end, false
	}
	for id, eng := range pla.engines {
		if !see[id] {
			eng.gone = true
			if len(eng.grants) == 0 {
				delete(pla.engines, id)
			}
		}
	}
	pla.order = pla.order[:0]
	for _, eng := range pla.engines {
		pla.order = append(pla.order, eng)
	}
	slices.SortFunc(pla.order, func(one, two *engine) int { return cmp.Compare(one.ID, two.ID) })
}

func (pla *Plan) report(eve Report, now time.Time) {
	eng := pla.engines[eve.Endpoint]
	if eng == nil {
		return
	}
	if !eve.Load.Started.IsZero() && !eng.Started.IsZero() && !eve.Load.Started.Equal(eng.Started) {
		// Another process answers at the address; the listing will name it.
		eng.misses++
		return
	}
	eng.accept(eve.Load)
	lag := time.Duration(pla.fig.ReportLagMs * float64(time.Millisecond))
	// The report may be older than the newest grants, and contain them or not.
	var own, fresh int
	var freshMemory int64
	for _, gra := range eng.grants {
		own++
		if now.Sub(gra.since) < 2*lag {
			fresh++
			freshMemory += gra.need
		}
	}
	oth := eve.Load.Running + eve.Load.Waiting - own
	eng.foreign = max(0, min(max(eng.foreign, oth), oth+fresh))
	mem := eve.Load.MemoryUsed - eng.memory
	eng.foreignMemory = max(0, min(max(eng.foreignMemory, mem), mem+freshMemory))
}

func (pla *Plan) hostGone(eve HostRemoved, now time.Time) {
	gone := func(one *pending) bool { return one.Host == eve.Host && one.Incarnation <= eve.Incarnation }
	pla.waiting = slices.DeleteFunc(pla.waiting, gone)
	for id, gra := range pla.grants {
		if gone(gra.ask) {
			pla.end(id, now)
		}
	}
}

// expire ends what nobody waits for any more.
func (pla *Plan) expire(now time.Time) {
	for id, gra := range pla.grants {
		if now.After(gra.ask.prompt.Deadline.Add(grantGrace)) {
			pla.end(id, now)
		}
	}
	pla.waiting = slices.DeleteFunc(pla.waiting, func(one *pending) bool { return now.Sub(one.seen) > askTimeout })
}
