package planner

import (
	"cmp"
	"slices"
	"time"

	"hemlockpin/process/localizer"
	"hemlockpin/version/parser"
)

const (
	// grantGrace is how long after its request's deadline a grant ends if no event has
	// ended it.
	grantGrace = time.Second
	// requestTimeout is the time after which a waiting request that its host has not
	// repeated is dropped. Hosts repeat their requests every second.
	requestTimeout = 2500 * time.Millisecond
	// demandPeriod is the period over which the demand for long and short prompts is
	// averaged.
	demandPeriod = 3 * time.Second
)

// pending is a request of the plan, waiting or granted.
type pending struct {
	Request
	// prompt is Request.Prompt, prefill its prefill time on one engine, and memory the
	// number of tokens of memory for the prompt and its answer.
	prompt   Prompt
	prefill  ms
	memory   int64
	arrived  time.Time
	lastSeen time.Time
	// callerDeadline is the time at which the caller gives up if no event has arrived.
	callerDeadline time.Time
	// evaluated is the time at which dispatch last evaluated the request; zero if it has
	// not yet.
	evaluated time.Time
	// inDemand reports that the prompt counts in Plan.longDemand.
	inDemand bool
	// latestStart is the latest time at which the request can start and still meet its
	// objective on idle engines.
	latestStart time.Time
}

// Plan is the state of one pool. Next changes it; it must not be used by two
// goroutines at a time. Its zero value is an empty pool.
type Plan struct {
	costs costModel
	// localizer tells what it costs to leave a data centre.
	localizer localizer.Localizer
	engines   map[string]*engine
	// sortedEngines are the engines by ID.
	sortedEngines []*engine
	waiting       []*pending
	grants        map[string]*grant
	actions       []Action
	// hasNewRequest reports that a request has arrived since lastDispatch, the time of the last
	// dispatch.
	hasNewRequest bool
	lastDispatch  time.Time
	// longDemand is the average work of long prompts in seconds of prefill per second,
	// that is in engines; shortDemand is the average rate of short prompts per second.
	longDemand  average
	shortDemand average
}

// Next takes an event and returns the actions that follow.
func (pla *Plan) Next(eve Event, now time.Time) []Action {
	if pla.engines == nil {
		pla.engines = map[string]*engine{}
		pla.grants = map[string]*grant{}
		pla.costs = newCostModel(parser.Batching{})
	}
	pla.actions = nil
	for _, eng := range pla.sortedEngines {
		eng.advance(pla.costs, now)
	}
	pla.apply(eve, now)
	pla.expire(now)
	pla.dispatch(now)
	return pla.actions
}

func (pla *Plan) apply(eve Event, now time.Time) {
	switch eve := eve.(type) {
	case Request:
		pla.enqueue(eve, now)
	case Cancel:
		pla.waiting = slices.DeleteFunc(pla.waiting, func(pen *pending) bool { return pen.ID == eve.ID })
		pla.endGrant(eve.ID, now)
	case Began:
		pla.markBegan(eve.ID, now)
	case Ended:
		pla.endGrant(eve.ID, now)
	case Announced:
		pla.adopt(eve, now)
	case Failed:
		pla.suspectEngine(eve, now)
	case Erred:
		if eng := pla.engines[eve.Endpoint]; eng != nil {
			eng.errors = eng.errors.plus(1, now)
		}
	case Listing:
		pla.setEngines(eve.Engines)
	case Report:
		pla.applyReport(eve, now)
	case Unreachable:
		if eng := pla.engines[eve.Endpoint]; eng != nil {
			eng.missedReports++
		}
	case HostRemoved:
		pla.removeHost(eve, now)
	case Parameters:
		pla.costs = newCostModel(eve.Batching)
		pla.localizer = newLocalizer(eve)
	}
}

// Waiting returns the number of requests that wait for engines.
func (pla *Plan) Waiting() int { return len(pla.waiting) }

// Granted returns the number of grants that have not ended.
func (pla *Plan) Granted() int { return len(pla.grants) }

func (pla *Plan) enqueue(req Request, now time.Time) {
	if gra := pla.grants[req.ID]; gra != nil {
		pla.appendAssign(gra, now)
		return
	}
	for _, pen := range pla.waiting {
		if pen.ID == req.ID {
			pen.lastSeen = now
			return
		}
	}
	pen := pla.newPending(req, now)
	pla.waiting = append(pla.waiting, pen)
	pla.hasNewRequest = true
	switch {
	case !pen.long():
		pla.shortDemand = pla.shortDemand.plus(1, now)
	case pla.idleFirst(pen) <= pen.timeLeft(now):
		// A prompt that is refused since it can't be read in time any more takes no engine.
		pla.longDemand = pla.longDemand.plus(float64(pen.prefill)/1000, now)
		pen.inDemand = true
	}
}

func (pla *Plan) newPending(req Request, now time.Time) *pending {
	pro := req.Prompt.withinBounds(now)
	pen := &pending{Request: req, prompt: pro, prefill: pla.costs.prefill(pro.Tokens), arrived: now, lastSeen: now}
	pen.memory = pro.Tokens + pla.answerTokens(pro)
	pen.callerDeadline = callerDeadline(pro)
	return pen
}

// adopt adds a grant that another planner has made. Prefill that its engines should have
// done since the grant counts as done.
func (pla *Plan) adopt(eve Announced, now time.Time) {
	pla.waiting = slices.DeleteFunc(pla.waiting, func(pen *pending) bool { return pen.ID == eve.Request.ID })
	eve.Age = max(0, boundTime(eve.Age))
	if pla.grants[eve.Request.ID] != nil || len(eve.Parts) == 0 || pla.engines[eve.Parts[0].Endpoint] == nil {
		return
	}
	pen := pla.newPending(eve.Request, now)
	gra := &grant{req: pen, lead: pla.engines[eve.Parts[0].Endpoint], grantedAt: now.Add(-eve.Age), leadMemory: pen.memory, expectedFirst: now, began: eve.Began}
	leadHoldsAll := eve.Parts[0].Reserve == 0
	for i, assigned := range eve.Parts {
		eng := pla.engines[assigned.Endpoint]
		if eng == nil {
			continue
		}
		n := ms(len(eve.Parts))
		par := &part{gra: gra, eng: eng, prefill: pen.prefill / n * eng.pace, tokens: float64(pen.prompt.Tokens) / float64(n), memory: boundTokens(assigned.Reserve)}
		if i == 0 && leadHoldsAll {
			par.memory = pen.memory
		}
		gra.parts = append(gra.parts, par)
	}
	gra.leadMemory = gra.parts[0].memory
	gra.lead.addGrant(gra)
	pla.grants[pen.ID] = gra
	for _, par := range gra.parts {
		pla.adoptPart(par, eve, now)
	}
}

// adoptPart queues on its engine what is left of the prefill of an adopted part.
func (pla *Plan) adoptPart(par *part, eve Announced, now time.Time) {
	remaining := par.prefill - msOf(eve.Age)
	if eve.Began || remaining <= 0 {
		par.eng.memory += par.memory
		return
	}
	par.tokens *= float64(remaining / par.prefill)
	par.prefill = remaining
	par.gra.pendingParts++
	par.eng.addPart(pla.costs, par, now)
	if expected := now.Add(pla.firstEventDelay(par, now).duration()); expected.After(par.gra.expectedFirst) {
		par.gra.expectedFirst = expected
	}
}

// answerTokens is the number of tokens of memory that is reserved for an answer: its
// limit, or twice its expected length.
func (pla *Plan) answerTokens(pro Prompt) int64 {
	if pro.MaxTokens > 0 {
		return pro.MaxTokens
	}
	return 2 * cmp.Or(pro.AnswerTokens, pla.costs.UsualAnswer)
}

// average is a moving average; rate is its value at the time at. It falls linearly to zero
// over twice demandPeriod when nothing is added.
type average struct {
	rate float64
	at   time.Time
}

func (ave average) value(now time.Time) float64 {
	return ave.rate * max(0, 1-now.Sub(ave.at).Seconds()/demandPeriod.Seconds()/2)
}

// plus returns the average after an amount has been added, as a rate per second.
func (ave average) plus(amount float64, now time.Time) average {
	return average{ave.value(now) + amount/demandPeriod.Seconds(), now}
}

// longShare is the share of the engines that long prompts other than a request's have
// recently occupied.
func (pla *Plan) longShare(pen *pending, now time.Time) float64 {
	demand := pla.longDemand.value(now)
	if pen.inDemand {
		demand -= average{}.plus(float64(pen.prefill)/1000, pen.arrived).value(now)
	}
	return min(1, max(0, demand)/float64(max(1, len(pla.sortedEngines))))
}

// shortShare is the share of the engines' slots that the answers to short prompts have
// recently occupied.
func (pla *Plan) shortShare(now time.Time) float64 {
	answerTime := pla.costs.decodeAnswer(pla.costs.UsualAnswer, pla.costs.UsualPrompt)
	slots := pla.costs.Slots * max(1, len(pla.sortedEngines))
	return min(1, pla.shortDemand.value(now)*float64(answerTime)/1000/float64(slots))
}

// markBegan records the first event of a grant. The event also shows when a pass of the
// lead engine ended.
func (pla *Plan) markBegan(id string, now time.Time) {
	gra := pla.grants[id]
	if gra == nil || gra.began {
		return
	}
	gra.began = true
	gra.lead.begun = gra.lead.begun.plus(1, now)
	gra.pendingParts = 0
	for _, par := range gra.parts[1:] {
		par.eng.removePart(par, now)
	}
	gra.lead.passEnded(pla.costs, gra.parts[0], now.Add(-noticeDelay))
}

// endGrant ends a grant; it does nothing for an unknown ID.
func (pla *Plan) endGrant(id string, now time.Time) {
	gra := pla.grants[id]
	if gra == nil {
		return
	}
	delete(pla.grants, id)
	gra.lead.removeGrant(gra)
	for _, par := range gra.parts {
		par.eng.removePart(par, now)
		par.eng.memory -= par.memory
	}
}

func (pla *Plan) suspectEngine(eve Failed, now time.Time) {
	for _, eng := range pla.sortedEngines {
		if eng.ID == eve.Endpoint || eng.Address == eve.Endpoint {
			eng.suspectUntil = now.Add(suspectTime)
		}
	}
}

func (pla *Plan) setEngines(engines []Engine) {
	listed := map[string]bool{}
	for _, info := range engines {
		listed[info.ID] = true
		eng := pla.engines[info.ID]
		if eng == nil || !eng.Started.Equal(info.Started) && !info.Started.IsZero() {
			eng = &engine{Engine: info, pace: 1}
			pla.engines[info.ID] = eng
		}
		eng.Engine, eng.removed = info, false
	}
	for id, eng := range pla.engines {
		if !listed[id] {
			eng.removed = true
			if len(eng.grants) == 0 {
				delete(pla.engines, id)
			}
		}
	}
	pla.sortedEngines = pla.sortedEngines[:0]
	for _, eng := range pla.engines {
		pla.sortedEngines = append(pla.sortedEngines, eng)
	}
	slices.SortFunc(pla.sortedEngines, func(a, b *engine) int { return cmp.Compare(a.ID, b.ID) })
}

func (pla *Plan) applyReport(eve Report, now time.Time) {
	eng := pla.engines[eve.Endpoint]
	if eng == nil {
		return
	}
	if !eve.Load.Started.IsZero() && !eng.Started.IsZero() && !eve.Load.Started.Equal(eng.Started) {
		// The report comes from another process at the address, which the next Listing
		// will name.
		eng.missedReports++
		return
	}
	if eve.Load.problem() != "" {
		eng.missedReports++
		return
	}
	eng.applyLoad(eve.Load)
	lag := time.Duration(pla.costs.ReportLagMs * float64(time.Millisecond))
	// The report may be older than the newest grants, so that it may or may not include
	// them.
	var granted, recent int
	var recentMemory int64
	for _, gra := range eng.grants {
		granted++
		if now.Sub(gra.grantedAt) < 2*lag {
			recent++
			recentMemory += gra.leadMemory
		}
	}
	unknownRequests := eve.Load.Running + eve.Load.Waiting - granted
	// unknownRequests is the number of foreign requests if the report includes the recent
	// grants, unknownRequests+recent that if it does not. foreign is kept within these
	// bounds, foreignMemory likewise.
	eng.foreign = max(0, min(max(eng.foreign, unknownRequests), unknownRequests+recent))
	unknownMemory := eve.Load.MemoryUsed - eng.memory
	eng.foreignMemory = max(0, min(max(eng.foreignMemory, unknownMemory), unknownMemory+recentMemory))
}

func (pla *Plan) removeHost(eve HostRemoved, now time.Time) {
	match := func(pen *pending) bool { return pen.Host == eve.Host && pen.Incarnation <= eve.Incarnation }
	pla.waiting = slices.DeleteFunc(pla.waiting, match)
	for id, gra := range pla.grants {
		if match(gra.req) {
			pla.endGrant(id, now)
		}
	}
}

// expire ends the grants whose deadline has passed and drops the requests that their hosts
// no longer repeat.
func (pla *Plan) expire(now time.Time) {
	for id, gra := range pla.grants {
		if now.After(gra.req.prompt.Deadline.Add(grantGrace)) {
			pla.endGrant(id, now)
		}
	}
	pla.waiting = slices.DeleteFunc(pla.waiting, func(pen *pending) bool { return now.Sub(pen.lastSeen) > requestTimeout })
}
