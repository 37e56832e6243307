package planner

import "time"

const (
	// lateLoss is the share of a request's weight that is lost when its answer is late:
	// callers still use it, but have waited.
	lateLoss = 0.75
	// A request counts as in time if the estimated time to its first event is at most
	// onTimeShare of its slack, and as late from lateShare on. In between, the expected
	// loss rises linearly, since estimates are off by some ten per cent.
	onTimeShare = 0.55
	lateShare   = 1.05
	// delayWeight is the loss, as a share of its weight, of a request that is delayed by
	// its full objective, in addition to the loss from lateness.
	delayWeight = 0.3
	// pauseShare is the share of the limit on pauses that a pass may take.
	pauseShare = 0.85
	// blockingPrefill is the prefill time of a part in ms from which short prompts are late
	// that arrive on the engine during the prefill.
	blockingPrefill = 120
	// blockedShare is the share of these short prompts for which no other engine is free.
	blockedShare = 0.25
	// shortWeight is the weight of a short prompt that has not arrived yet.
	shortWeight = 1.4
	// defaultUsualPrompt is the usual length of a prompt in tokens if the pool's
	// parameters do not give it.
	defaultUsualPrompt = 10_000
)

// weight is the importance of a request relative to others. Longer prompts are rarer, and
// their answers are worth more to the callers.
func (pla *Plan) weight(pen *pending) float64 {
	usual := pla.costs.UsualPrompt
	if usual <= 0 {
		usual = defaultUsualPrompt
	}
	return 1 + float64(pen.prompt.Tokens)/float64(usual)
}

// latenessLoss is the expected loss of a request whose first event is expected in the time
// first from now.
func (pla *Plan) latenessLoss(pen *pending, first ms, now time.Time) float64 {
	weight := pla.weight(pen)
	if first > msOf(pen.callerDeadline.Sub(now)) {
		return weight
	}
	slack := pen.slack(now)
	low, high := onTimeShare*slack, lateShare*slack
	switch {
	case slack <= 0 || first >= high:
		return lateLoss * weight
	case first <= low:
		return 0
	default:
		return lateLoss * weight * float64((first-low)/(high-low))
	}
}

// interferenceLoss is the expected loss of the requests on an engine when the engine gets
// a further prefill. contextTokens is the length of the prompt if the engine also generates
// the answer, and otherwise 0.
func (pla *Plan) interferenceLoss(eng *engine, prefill ms, contextTokens int64, divided bool, now time.Time) float64 {
	if len(eng.grants) == 0 && eng.passEnd.IsZero() {
		return 0
	}
	// passBefore and passAfter are the durations of the next pass without and with the
	// prefill.
	passBefore := eng.nextDecodeTime(pla.costs, 0) + eng.queuedPrefill()
	passAfter := eng.nextDecodeTime(pla.costs, contextTokens) + eng.queuedPrefill() + prefill*eng.pace
	var total float64
	// The prefill also prolongs the pass in progress.
	var current ms
	if !eng.passEnd.IsZero() {
		current = eng.passTime
	}
	for _, gra := range eng.grants {
		total += pla.pauseLoss(gra, max(passBefore, current), max(passAfter, current+prefill*eng.pace))
	}
	for _, par := range eng.delayedParts(divided) {
		total += pla.delayLoss(par, passAfter-passBefore, now)
	}
	if !divided {
		for _, gra := range eng.undividedAwaitingFirst() {
			total += pla.prolongedPassLoss(gra, passAfter-passBefore, now)
		}
	}
	return total
}

// blockingLoss is the expected loss of the short prompts that will arrive while an engine
// which leads short prompts prefills a long part. shortEngines is the number of such
// engines, over which these prompts are divided.
func (pla *Plan) blockingLoss(eng *engine, prefill ms, shortEngines int, now time.Time) float64 {
	if prefill < blockingPrefill || eng.shortPrompts == 0 {
		return 0
	}
	return blockedShare * lateLoss * shortWeight * pla.shortDemand.value(now) * float64(prefill) / 1000 / float64(max(1, shortEngines))
}

// shortEngines counts the engines that lead short prompts.
func (pla *Plan) shortEngines() int {
	n := 0
	for _, eng := range pla.sortedEngines {
		if eng.shortPrompts > 0 {
			n++
		}
	}
	return n
}

// pauseLoss is the loss of a request if a prefill prolongs the next pass from passBefore to
// passAfter, so that its answer pauses for longer than its limit.
func (pla *Plan) pauseLoss(gra *grant, passBefore, passAfter ms) float64 {
	limit := pauseShare * msOf(gra.req.prompt.Pause)
	if limit <= 0 || gra.pauseExceeded || passBefore > limit || passAfter <= limit {
		return 0
	}
	return lateLoss * pla.weight(gra.req)
}

// delayLoss is the loss of a request if the prefill of one of its parts is delayed.
func (pla *Plan) delayLoss(par *part, delay ms, now time.Time) float64 {
	gra := par.gra
	if gra.began {
		return 0
	}
	expected := msOf(gra.expectedFirst.Sub(now))
	delayed := max(expected, pla.firstEventDelay(par, now)+delay)
	risk := delayWeight * pla.weight(gra.req) * float64((delayed-expected)/max(1, msOf(gra.req.prompt.Objective)))
	return max(0, pla.latenessLoss(gra.req, delayed, now)-pla.latenessLoss(gra.req, expected, now)) + risk
}

// prolongedPassLoss is the loss of a request whose first event arrives at the end of a
// pass that a further prefill prolongs.
func (pla *Plan) prolongedPassLoss(gra *grant, delay ms, now time.Time) float64 {
	expected := msOf(gra.expectedFirst.Sub(now))
	return max(0, pla.latenessLoss(gra.req, expected+delay, now)-pla.latenessLoss(gra.req, expected, now))
}

// firstEventDelay is the time to the first event of a grant that waits for the prefill of
// a part.
func (pla *Plan) firstEventDelay(par *part, now time.Time) ms {
	return par.eng.finishDelay(par, now) + par.gra.lead.nextDecodeTime(pla.costs, 0) + networkTime
}

// markExceededPauses records which answers the next pass of an engine makes pause for
// longer than their limit.
func (eng *engine) markExceededPauses(cos costModel) {
	pass := eng.nextDecodeTime(cos, 0) + eng.queuedPrefill()
	for _, gra := range eng.grants {
		limit := pauseShare * msOf(gra.req.prompt.Pause)
		if limit > 0 && pass > limit && gra.decoding() {
			gra.pauseExceeded = true
		}
	}
}
