package planner

import (
	"cmp"
	"slices"
	"time"
)

const (
	// retryInterval is the shortest time between two evaluations of a waiting request. It
	// is short against the prefill of a part, which takes some tens of milliseconds. The
	// first retryBatch requests of a kind are evaluated at this interval, the next
	// retryBatch at twice the interval, and so on.
	retryInterval = 8 * time.Millisecond
	retryBatch    = 3
	// longPrefill is the prefill time on one engine, in ms, from which a prompt counts as
	// long and may be divided.
	longPrefill = 90
	// minPart is the shortest prefill time of a part in ms; smaller parts gain nothing.
	minPart = 40
	// maxHelpers is the number of engines that a call may name; the engines refuse calls
	// that name more. The lead engine is named only if it holds reserved memory.
	maxHelpers = 16
	// maxParts is the number of engines that may prefill one prompt.
	maxParts = maxHelpers + 1
	// acceptableLoss is the expected loss, to the request itself and to others, up to which
	// a request with time to wait starts at once, as a share of its weight.
	acceptableLoss = 0.06
	// waitShare is the spare time, as a share of the objective, below which a request
	// accepts more than acceptableLoss. The accepted loss rises linearly to lateLoss when no
	// spare time is left.
	waitShare = 0.5
	// waitMargin is the time in ms by which the slack of a request whose best choice is
	// late must exceed the time to the first event on idle engines for the request to wait
	// for a better choice.
	waitMargin = 40
	// shortRatePerEngine is the rate of short prompts per second at which an engine counts
	// as fully occupied, although its passes then spend only a third of their time on
	// prefill.
	shortRatePerEngine = 9
	// finalWindow is a time in ms. A late prompt whose first event is expected at most this
	// long before the caller gives up is prefilled even if other requests could use the
	// engines.
	finalWindow = 500
	// opportunityRate is the weight lost for each second in which an engine is not free
	// for a prompt that could still meet its objective.
	opportunityRate = 2.0
	// maxLateBacklog is the greatest backlog in ms of an engine that may get a long prompt
	// which misses its objective anyway.
	maxLateBacklog = 80
	// newLeadCost is the cost, in units of loss, of placing a short prompt on an engine
	// that leads no answer with as tight a limit on pauses. It keeps such engines free for
	// long prompts, and falls as 1/(1+n) with the n such answers that the engine leads. The
	// value fits a pool in which long prompts occupy half of the engines.
	newLeadCost = 0.3
	// shortTieCost is the cost of a short prompt's time to the first event, as a share of
	// the objective. It decides between choices of equal loss.
	shortTieCost = 0.1
	// longTieCost is the same cost for long prompts, relative to their weight.
	longTieCost = 0.05
	// delayPerLoss is the delay in ms that is accepted to avoid one unit of loss to
	// other requests.
	delayPerLoss = 200
	// newLeadDelay is the delay in ms that a long prompt accepts to avoid a lead engine
	// that leads no answer with as tight a limit on pauses. It falls with the number of
	// such answers as newLeadCost does.
	newLeadDelay = 300
	// networkTime is the time in ms that a request and its first event spend between
	// hosts.
	networkTime = 8

	// A caller abandons a stream after the longest of minCallerTimeout,
	// objectivesPerTimeout times its objective and pausesPerTimeout times its limit on
	// pauses, by the platform's contract of streams. The plan counts on timeoutShare of
	// that time; the rest is left for the answer to reach the caller.
	minCallerTimeout     = 2 * time.Second
	objectivesPerTimeout = 4
	pausesPerTimeout     = 8
	timeoutShare         = 0.85

	// minRetryAfter and maxRetryAfter bound the time that refused callers are asked to
	// wait.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// callerDeadline returns the time at which the caller of a prompt gives up.
func callerDeadline(pro Prompt) time.Time {
	timeout := max(minCallerTimeout, objectivesPerTimeout*pro.Objective, pausesPerTimeout*pro.Pause)
	deadline := pro.Target.Add(-pro.Objective).Add(time.Duration(timeoutShare * float64(timeout)))
	if deadline.After(pro.Deadline) {
		return pro.Deadline
	}
	return deadline
}

func (pen *pending) long() bool { return pen.prefill >= longPrefill }

// slack is the time until the first event is due.
func (pen *pending) slack(now time.Time) ms { return msOf(pen.prompt.Target.Sub(now)) }

// choice is a way to serve a request.
type choice struct {
	lead *engine
	// engines prefill one part each, the lead engine first.
	engines []*engine
	// first is the expected time to the first event.
	first ms
	// loss is the expected loss of this and other requests, in units of weight; cost adds
	// terms that decide between choices of equal loss.
	loss float64
	cost float64
	// backlog is the longest backlog of the choice's engines.
	backlog ms
	// reserve is the memory to reserve on each engine; nil if the lead engine holds the
	// whole prompt.
	reserve []int64
}

// dispatch grants engines to waiting requests, the most urgent first. A new request is
// evaluated at once if no request of its kind waits ahead of it. Waiting requests are
// evaluated again after retryInterval, and less often the more of their kind are ahead of
// them, so that the work of a call of Next hardly grows with the backlog.
func (pla *Plan) dispatch(now time.Time) {
	if len(pla.waiting) == 0 || !pla.hasNewRequest && now.Sub(pla.lastDispatch) < retryInterval {
		return
	}
	pla.hasNewRequest, pla.lastDispatch = false, now
	pla.sortWaiting(now)
	var aheadByKind [2]int
	var stillWaiting []*pending
	for _, pen := range pla.waiting {
		ahead := &aheadByKind[pen.kindIndex()]
		if !pen.due(*ahead, now) {
			stillWaiting = append(stillWaiting, pen)
			*ahead++
			continue
		}
		pen.evaluated = now
		cho, ok := pla.choose(pen, now)
		switch {
		case ok && pla.shouldStart(pen, cho, now):
			pla.grant(pen, cho, now)
		case pla.refuseIfInfeasible(pen, cho, ok, now):
		default:
			stillWaiting = append(stillWaiting, pen)
			*ahead++
		}
	}
	pla.waiting = stillWaiting
}

// kindIndex is the index of the request's kind in dispatch: 1 for a long prompt, 0 for a
// short one.
func (pen *pending) kindIndex() int {
	if pen.long() {
		return 1
	}
	return 0
}

// due reports whether a request is to be evaluated, given the number of requests of its
// kind ahead of it.
func (pen *pending) due(ahead int, now time.Time) bool {
	if pen.evaluated.IsZero() {
		return ahead == 0 || now.Sub(pen.arrived) >= retryInterval
	}
	return now.Sub(pen.evaluated) >= retryInterval*time.Duration(1+ahead/retryBatch)
}

// idleFirst is the shortest time to the first event of a request, on idle engines.
func (pla *Plan) idleFirst(pen *pending) ms {
	partCount := max(1, min(maxParts, len(pla.sortedEngines), int(pen.prefill/minPart)))
	return pen.prefill/ms(partCount) + pla.costs.decodePass(1, pen.prompt.Tokens) + networkTime
}

// sortWaiting orders the waiting requests: those that can still meet their objective come
// first, then by priority and by the latest time at which they must start.
func (pla *Plan) sortWaiting(now time.Time) {
	for _, pen := range pla.waiting {
		pen.latestStart = pen.prompt.Target.Add(-pla.idleFirst(pen).duration())
	}
	slices.SortStableFunc(pla.waiting, func(a, b *pending) int {
		if late := a.latestStart.Before(now); late != b.latestStart.Before(now) {
			if late {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(b.prompt.Priority, a.prompt.Priority), a.latestStart.Compare(b.latestStart))
	})
}

// shouldStart reports whether a request starts with a choice now instead of waiting for a
// better choice. The accepted loss grows as the request's spare time runs out.
func (pla *Plan) shouldStart(pen *pending, cho choice, now time.Time) bool {
	weight := pla.weight(pen)
	if cho.first > msOf(pen.callerDeadline.Sub(now)) {
		return false
	}
	ownLoss := pla.latenessLoss(pen, cho.first, now)
	spare := onTimeShare*pen.slack(now) - cho.first
	if ownLoss < lateLoss*weight {
		urgency := 1 - float64(spare)/(waitShare*float64(max(1, msOf(pen.prompt.Objective))))
		return cho.loss <= weight*(acceptableLoss+(lateLoss-acceptableLoss)*min(1, max(0, urgency)))
	}
	if pen.slack(now)-pla.idleFirst(pen) > waitMargin {
		// Engines that become idle in time could still meet the objective.
		return false
	}
	remainingWeight := (1 - lateLoss) * weight
	if msOf(pen.callerDeadline.Sub(now))-cho.first > finalWindow {
		remainingWeight -= pla.opportunityLoss(pen, now)
	}
	if pen.long() && cho.backlog > maxLateBacklog {
		return false
	}
	return cho.loss-ownLoss < remainingWeight
}

// opportunityLoss is the expected loss of the requests that will arrive while engines
// prefill a late prompt. It grows with the share of the engines that other requests
// occupy.
func (pla *Plan) opportunityLoss(pen *pending, now time.Time) float64 {
	engines := float64(max(1, len(pla.sortedEngines)))
	busy := min(1, pla.longShare(now)+pla.shortDemand.value(now)/(shortRatePerEngine*engines))
	return opportunityRate * busy * busy * float64(pen.prefill) / 1000
}

// choose finds the best way to serve a request now.
func (pla *Plan) choose(pen *pending, now time.Time) (choice, bool) {
	if pen.long() {
		return pla.chooseForLong(pen, now)
	}
	return pla.chooseForShort(pen, now)
}

// chooseForShort finds an engine for a short prompt.
func (pla *Plan) chooseForShort(pen *pending, now time.Time) (choice, bool) {
	var best choice
	found := false
	for _, eng := range pla.sortedEngines {
		if !eng.usable(pen, now) || eng.freeMemory(pla.costs.MemoryTokens) < pen.memory || len(eng.grants)+eng.foreign >= pla.costs.Slots {
			continue
		}
		cho := choice{lead: eng, engines: []*engine{eng}, backlog: eng.backlog(now)}
		cho.first = eng.startDelay(false, now) + eng.nextDecodeTime(pla.costs, pen.prompt.Tokens) + pen.prefill*eng.pace + networkTime
		cho.loss = pla.latenessLoss(pen, cho.first, now) + pla.interferenceLoss(eng, pen.prefill, pen.prompt.Tokens, false, now)
		cho.cost = cho.loss + shortTieCost*float64(cho.first/max(1, msOf(pen.prompt.Objective)))
		cho.cost += newLeadCost / float64(1+eng.tightAnswers(pen.prompt.Pause))
		if !found || cho.cost < best.cost {
			best, found = cho, true
		}
	}
	return best, found
}

// candidate is an engine that could prefill a part of a prompt.
type candidate struct {
	eng *engine
	// startDelay is the time until the engine would start the part, interferenceLoss the
	// expected loss of other requests, freeMemory the memory in tokens left for grants, and
	// sortKey the time until the engine has prefilled the part, with interferenceLoss
	// converted to a delay.
	startDelay       ms
	interferenceLoss float64
	freeMemory       int64
	sortKey          ms
}

// chooseForLong divides a long prompt over engines so that its first event arrives early and
// other requests lose little.
func (pla *Plan) chooseForLong(pen *pending, now time.Time) (choice, bool) {
	var cans []candidate
	for _, eng := range pla.sortedEngines {
		if !eng.usable(pen, now) || len(eng.grants)+eng.foreign >= pla.costs.Slots {
			continue
		}
		cans = append(cans, candidate{eng: eng, freeMemory: eng.freeMemory(pla.costs.MemoryTokens)})
	}
	var best choice
	found := false
	shortEngines := pla.shortEngines()
	limit := min(maxParts, len(cans), max(1, int(pen.prefill/minPart)))
	// Reduce the number of parts by a fifth at a time, to bound the work.
	for partCount := limit; partCount >= 1; partCount = min(partCount-1, partCount*4/5) {
		cho, ok := pla.divide(pen, cans, partCount, shortEngines, now)
		if ok && (!found || cho.cost < best.cost) {
			best, found = cho, true
		}
	}
	return best, found
}

// divide chooses engines for a prompt in a given number of parts. shortEngines is the
// number of engines that lead short prompts.
func (pla *Plan) divide(pen *pending, cans []candidate, partCount, shortEngines int, now time.Time) (choice, bool) {
	prefill := pen.prefill / ms(partCount)
	for i := range cans {
		can := &cans[i]
		can.startDelay = can.eng.startDelay(partCount > 1, now)
		can.interferenceLoss = pla.interferenceLoss(can.eng, prefill, 0, partCount > 1, now) + pla.blockingLoss(can.eng, prefill, shortEngines, now)
		can.sortKey = can.startDelay + prefill*can.eng.pace + delayPerLoss*ms(can.interferenceLoss)
	}
	slices.SortStableFunc(cans, func(a, b candidate) int { return cmp.Compare(a.sortKey, b.sortKey) })
	cho := choice{}
	lead := pla.chooseLead(pen, cans, prefill, now)
	if lead < 0 {
		var ok bool
		if partCount > maxHelpers {
			return choice{}, false
		}
		if cho.reserve, ok = pla.splitMemory(pen, cans[:partCount]); !ok {
			return choice{}, false
		}
		lead = 0
	}
	chosen := append([]candidate{cans[lead]}, slices.Delete(slices.Clone(cans), lead, lead+1)[:partCount-1]...)
	for _, can := range chosen {
		cho.engines = append(cho.engines, can.eng)
		cho.backlog = max(cho.backlog, can.eng.backlog(now))
		cho.first = max(cho.first, can.startDelay+prefill*can.eng.pace)
		cho.loss += can.interferenceLoss
	}
	cho.lead = cho.engines[0]
	cho.first += cho.lead.nextDecodeTime(pla.costs, pen.prompt.Tokens) + networkTime
	cho.loss += pla.latenessLoss(pen, cho.first, now)
	cho.cost = cho.loss + longTieCost*pla.weight(pen)*float64(cho.first/max(1, msOf(pen.prompt.Objective)))
	return cho, true
}

// chooseLead returns the index of the engine that holds the prompt and generates the answer;
// -1 if none has the memory. Answers are concentrated on few engines, so that other engines
// can prefill long parts without delaying answers.
func (pla *Plan) chooseLead(pen *pending, cans []candidate, prefill ms, now time.Time) int {
	lead := -1
	var best ms
	for i, can := range cans {
		if can.freeMemory < pen.memory {
			continue
		}
		leadLoss := pla.interferenceLoss(can.eng, prefill, pen.prompt.Tokens, true, now)
		sortKey := can.sortKey + delayPerLoss*ms(leadLoss-can.interferenceLoss) + newLeadDelay/ms(1+can.eng.tightAnswers(pen.prompt.Pause))
		if lead < 0 || sortKey < best {
			lead, best = i, sortKey
		}
	}
	return lead
}

// splitMemory sorts the candidates by free memory, the most first, and divides the memory
// of a prompt among them. It returns false if the prompt would fit into one idle engine or
// if the candidates lack the memory.
func (pla *Plan) splitMemory(pen *pending, cans []candidate) ([]int64, bool) {
	if pen.memory <= int64(memoryFill*float64(pla.costs.MemoryTokens)) {
		// The prompt fits into one engine; it waits until other requests on an engine have
		// ended.
		return nil, false
	}
	remaining := pen.memory
	reserve := make([]int64, len(cans))
	slices.SortStableFunc(cans, func(a, b candidate) int { return cmp.Compare(b.freeMemory, a.freeMemory) })
	for i, can := range cans {
		reserve[i] = max(0, min(remaining, can.freeMemory))
		remaining -= reserve[i]
	}
	return reserve, remaining <= 0
}

func (pla *Plan) grant(pen *pending, cho choice, now time.Time) {
	gra := &grant{req: pen, lead: cho.lead, grantedAt: now, leadMemory: pen.memory, expectedFirst: now.Add(cho.first.duration()), pendingParts: len(cho.engines)}
	cho.lead.addGrant(gra)
	for i, eng := range cho.engines {
		n := len(cho.engines)
		par := &part{gra: gra, eng: eng, prefill: pen.prefill / ms(n) * eng.pace, tokens: float64(pen.prompt.Tokens) / float64(n)}
		switch {
		case cho.reserve != nil:
			par.memory = cho.reserve[i]
		case i == 0:
			par.memory = pen.memory
		}
		par.fullPrefill = par.prefill
		gra.parts = append(gra.parts, par)
	}
	if len(gra.parts) == 1 {
		for _, other := range cho.lead.undividedAwaitingFirst() {
			if other != gra {
				other.expectedFirst = other.expectedFirst.Add(gra.parts[0].prefill.duration())
			}
		}
	}
	for _, par := range gra.parts {
		par.eng.addPart(pla.costs, par, now)
		par.eng.markExceededPauses(pla.costs)
		pla.postponeExpected(par.eng, now)
	}
	if cho.reserve != nil {
		gra.leadMemory = gra.parts[0].memory
	}
	pla.grants[pen.ID] = gra
	pla.appendAssign(gra, now)
}

// postponeExpected postpones the expected first events of the grants whose parts wait on
// an engine.
func (pla *Plan) postponeExpected(eng *engine, now time.Time) {
	for _, pars := range [][]*part{eng.dividedQueue, eng.undividedQueue} {
		for _, par := range pars {
			if expected := now.Add(pla.firstEventDelay(par, now).duration()); expected.After(par.gra.expectedFirst) {
				par.gra.expectedFirst = expected
			}
		}
	}
}

// appendAssign appends the action that grants engines to a request, also when a granted
// request is repeated.
func (pla *Plan) appendAssign(gra *grant, now time.Time) {
	act := Assign{ID: gra.req.ID, First: gra.expectedFirst.Sub(now), Waited: gra.grantedAt.Sub(gra.req.arrived)}
	leadHoldsAll := len(gra.parts) > 0 && gra.parts[0].memory >= gra.req.memory
	for _, par := range gra.parts {
		assigned := Part{Endpoint: par.eng.ID, Address: par.eng.Address}
		if !leadHoldsAll {
			assigned.Reserve = par.memory
		}
		act.Parts = append(act.Parts, assigned)
	}
	pla.actions = append(pla.actions, act)
}

// refuseIfInfeasible refuses a request that cannot be served in time and reports whether it
// did. cho is the best choice now if found is true.
func (pla *Plan) refuseIfInfeasible(pen *pending, cho choice, found bool, now time.Time) bool {
	usable := 0
	for _, eng := range pla.sortedEngines {
		if eng.usable(pen, now) {
			usable++
		}
	}
	timeLeft := msOf(min(pen.callerDeadline.Sub(now), pen.prompt.Deadline.Sub(now)))
	wait := pla.queueWait(pen, usable)
	if found {
		wait += max(0, cho.first-pla.idleFirst(pen))
	}
	switch {
	case usable == 0:
		pla.appendRefuse(pen, CodeNoEngine, "no engine of the pool can take the request", minRetryAfter)
	case pen.memory > int64(usable)*int64(memoryFill*float64(pla.costs.MemoryTokens)) && usable == len(pla.sortedEngines):
		pla.appendRefuse(pen, CodeTooLarge, "the prompt exceeds the memory of the engines together", 0)
	case pla.idleFirst(pen) > timeLeft:
		pla.appendRefuse(pen, CodeTooLate, "the prompt can't be read in the time left", minRetryAfter)
	case wait+pla.idleFirst(pen) > timeLeft:
		pla.appendRefuse(pen, CodeOverloaded, "the engines are busy for longer than the time left", wait.duration())
	default:
		return false
	}
	return true
}

// queueWait estimates how long the requests ahead of a request occupy the engines.
func (pla *Plan) queueWait(pen *pending, usable int) ms {
	if !pen.long() {
		return pla.slotWait(pen, usable)
	}
	var total ms
	for _, other := range pla.waiting {
		if other == pen {
			break
		}
		total += other.prefill
	}
	return total / ms(max(1, usable))
}

// slotWait estimates how long the short prompts ahead of a request occupy the slots.
func (pla *Plan) slotWait(pen *pending, usable int) ms {
	ahead := 0
	for _, other := range pla.waiting {
		if other == pen {
			break
		}
		if !other.long() {
			ahead++
		}
	}
	answerTime := pla.costs.decodeAnswer(pla.costs.UsualAnswer, pen.prompt.Tokens)
	return answerTime * ms(ahead) / ms(max(1, usable*pla.costs.Slots))
}

func (pla *Plan) appendRefuse(pen *pending, code, message string, retry time.Duration) {
	pla.actions = append(pla.actions, Refuse{ID: pen.ID, Code: code, Message: message, RetryAfter: min(maxRetryAfter, max(minRetryAfter, retry))})
}
