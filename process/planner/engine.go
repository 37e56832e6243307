package planner

import (
	"slices"
	"time"

	"hemlockpin/process/throttler"
)

const (
	// suspectTime is how long an engine is avoided after it failed a request, so that fewer
	// requests stall on a dead engine.
	suspectTime = 1500 * time.Millisecond
	// maxMissedReports is the number of successive reports that must fail before an engine
	// is no longer used.
	maxMissedReports = 2
	// memoryFill is the share of an engine's memory that grants may use, since answers can
	// be longer than expected.
	memoryFill = 0.97
	// arrivalDelay is the time from a grant until its request reaches the engine.
	arrivalDelay = 3 * time.Millisecond
	// noticeDelay is the time from an event until the plan receives notice of it.
	noticeDelay = 4 * time.Millisecond
	// stepDelay is the longest time in ms until a busy engine starts a new part of a divided
	// prompt: half a step, as a step that prefills 2,048 tokens takes about 25 ms.
	stepDelay = 12
	// errorPrior is the rate per second of sound answers that is taken for granted, so that a single
	// failure does not count as the rule.
	errorPrior = 0.3
	// minPass is the least duration of a pass, and of a part's remaining prefill, in ms.
	// It keeps the model from advancing in tiny steps.
	minPass = 1
)

// engine models the work of one engine. An engine that generates answers works in passes:
// each pass prefills up to a bound, generates a stride of tokens (Batching.Stride), which
// is one event, for every answer, and ends with the first events of the prompts that it has
// prefilled. Parts of divided prompts take
// precedence over undivided prompts, the newest first, and interrupt older prefills. A
// pass of the model prefills either one such part or the undivided prompts that wait.
type engine struct {
	Engine
	// removed reports that the last Listing lacks the engine, which is kept while it leads
	// grants.
	removed bool
	// pace is the factor by which the engine is slower than its parameters; its type is ms
	// only so that it multiplies times.
	pace          ms
	missedReports int
	// bucket counts the requests that a limited engine may get, coldBucket those that a cold one
	// may lead.
	bucket     throttler.Bucket
	coldBucket throttler.Bucket
	// suspectUntil is the time until which the engine is avoided after a failure.
	suspectUntil time.Time
	// passEnd is the time at which the pass in progress, which lasts passTime, ends; zero
	// for an idle engine.
	passEnd  time.Time
	passTime ms
	// inPass are the parts that the pass in progress prefills; dividedQueue and
	// undividedQueue are those that later passes prefill, the oldest first.
	inPass         []*part
	dividedQueue   []*part
	undividedQueue []*part
	// grants are those that the engine leads, shortPrompts is the number of short prompts
	// among them, and contextTokens the sum of their prompts' lengths. memory is the number
	// of tokens of memory that grants use.
	grants        []*grant
	shortPrompts  int
	contextTokens int64
	memory        int64
	// foreign counts requests on the engine that the plan has not granted, and
	// foreignMemory the tokens of memory that they use.
	foreign       int
	foreignMemory int64
	// errors is the rate of the requests that the engine led and answered with a failure, begun
	// that of those to which it sent a first event, per second.
	errors average
	begun  average
}

// errorShare is the share of its requests that the engine has recently answered with failures.
func (eng *engine) errorShare(now time.Time) float64 {
	errors := eng.errors.value(now)
	return errors / (errors + eng.begun.value(now) + errorPrior)
}

// addGrant adds a grant that the engine leads; removeGrant removes it.
func (eng *engine) addGrant(gra *grant) {
	eng.grants = append(eng.grants, gra)
	eng.contextTokens += gra.req.prompt.Tokens
	if !gra.req.long() {
		eng.shortPrompts++
	}
}

func (eng *engine) removeGrant(gra *grant) {
	i := slices.Index(eng.grants, gra)
	if i < 0 {
		return
	}
	eng.grants = slices.Delete(eng.grants, i, i+1)
	eng.contextTokens -= gra.req.prompt.Tokens
	if !gra.req.long() {
		eng.shortPrompts--
	}
}

// usable reports whether the engine may get work for a request now.
func (eng *engine) usable(pen *pending, now time.Time) bool {
	return eng.available(pen, now) && (!eng.Limited || eng.bucket.Allows())
}

// mayLead reports whether the engine may lead a request now, as far as its being cold is concerned.
func (eng *engine) mayLead() bool { return !eng.Cold.Cold() || eng.coldBucket.Allows() }

// available reports whether the engine may get work for a request, now or once its limit
// allows another request.
func (eng *engine) available(pen *pending, now time.Time) bool {
	if eng.removed || eng.missedReports >= maxMissedReports || now.Before(eng.suspectUntil) {
		return false
	}
	return !slices.Contains(pen.prompt.Excluded, eng.ID)
}

// advance ends the passes that should have ended by now, and fills the buckets of a limited or
// cold engine.
func (eng *engine) advance(cos costModel, now time.Time) {
	if eng.Limited {
		eng.bucket = eng.bucket.WithFill(eng.Limit, now)
	} else {
		eng.bucket = throttler.Bucket{}
	}
	if eng.Cold.Cold() {
		eng.coldBucket = eng.coldBucket.WithFillTo(eng.Cold.Burst, eng.Cold.Rate, now)
	} else {
		eng.coldBucket = throttler.Bucket{}
	}
	for !eng.passEnd.IsZero() && !now.Before(eng.passEnd) {
		eng.nextPass(cos, eng.passEnd)
	}
}

// nextPass ends the pass in progress and begins the next one.
func (eng *engine) nextPass(cos costModel, at time.Time) {
	for _, par := range eng.inPass {
		if par.prefill -= par.passPrefill; par.prefill <= 0 {
			par.gra.pendingParts--
		} else {
			eng.requeue(par)
		}
	}
	eng.inPass = nil
	passTime := eng.decodeTime(cos)
	passTime += eng.fillPass(passTime > 0, cos)
	if passTime <= 0 {
		eng.passEnd = time.Time{}
		return
	}
	eng.passTime = min(maxPass, max(minPass, passTime))
	eng.passEnd = at.Add(eng.passTime.duration())
}

// requeue queues a part whose prefill has not ended.
func (eng *engine) requeue(par *part) {
	par.passPrefill = 0
	if par.divided() {
		eng.dividedQueue = append(eng.dividedQueue, par)
	} else {
		eng.undividedQueue = slices.Insert(eng.undividedQueue, 0, par)
	}
}

// fillPass chooses what the next pass prefills and returns the prefill time.
func (eng *engine) fillPass(decoding bool, cos costModel) ms {
	if last := len(eng.dividedQueue) - 1; last >= 0 {
		par := eng.dividedQueue[last]
		eng.dividedQueue = eng.dividedQueue[:last]
		return eng.startPart(par, 1)
	}
	var total ms
	budget := cos.passTokens()
	for budget > 0 && len(eng.undividedQueue) > 0 {
		par := eng.undividedQueue[0]
		eng.undividedQueue = eng.undividedQueue[1:]
		share := 1.0
		if decoding {
			share = min(1, budget/par.tokens)
		}
		budget -= par.tokens * share
		if total += eng.startPart(par, share); !decoding {
			break
		}
	}
	return total
}

// startPart adds a share of the rest of a part to the pass in progress.
func (eng *engine) startPart(par *part, share float64) ms {
	eng.inPass = append(eng.inPass, par)
	par.passPrefill = par.prefill * ms(share)
	par.tokens *= 1 - share
	return par.passPrefill
}

// passEnded corrects the model: the first event of a grant that the engine leads shows
// that a pass ended at a time. par is the part of the grant that the engine prefills.
func (eng *engine) passEnded(cos costModel, par *part, at time.Time) {
	if eng.hasPart(par) {
		eng.removePart(par, at)
		eng.nextPass(cos, at)
		return
	}
	// The pass in progress began later than in the model; postpone its end.
	if end := at.Add(eng.passTime.duration()); !eng.passEnd.IsZero() && end.After(eng.passEnd) {
		eng.passEnd = end
	}
}

// hasPart reports whether the engine has yet to finish the prefill of a part.
func (eng *engine) hasPart(par *part) bool {
	return slices.Contains(eng.inPass, par) || slices.Contains(eng.dividedQueue, par) || slices.Contains(eng.undividedQueue, par)
}

// queuedPrefill is the prefill time of the parts that wait for later passes.
func (eng *engine) queuedPrefill() ms {
	return totalPrefill(eng.dividedQueue) + totalPrefill(eng.undividedQueue)
}

func totalPassPrefill(pars []*part) ms {
	var total ms
	for _, par := range pars {
		total += par.passPrefill
	}
	return total
}

func totalPrefill(pars []*part) ms {
	var total ms
	for _, par := range pars {
		total += par.prefill
	}
	return total
}

// decodeTime is the time that a pass that begins now spends on generating answers.
func (eng *engine) decodeTime(cos costModel) ms {
	answers, contextTokens := eng.foreign, int64(0)
	for _, gra := range eng.grants {
		if gra.decoding() {
			answers++
			contextTokens += gra.req.prompt.Tokens
		}
	}
	return cos.decodePass(answers, contextTokens) * eng.pace
}

// nextDecodeTime is the time that the next pass spends on generating answers, with the
// answers to the prompts being prefilled and, if extraTokens is positive, the answer to a
// further prompt of extraTokens tokens.
func (eng *engine) nextDecodeTime(cos costModel, extraTokens int64) ms {
	answers, contextTokens := eng.foreign+len(eng.grants), extraTokens+eng.contextTokens
	if extraTokens > 0 {
		answers++
	}
	return cos.decodePass(answers, contextTokens) * eng.pace
}

// addPart queues a part for prefill.
func (eng *engine) addPart(cos costModel, par *part, now time.Time) {
	eng.memory += par.memory
	if !par.divided() {
		eng.undividedQueue = append(eng.undividedQueue, par)
	} else {
		eng.interrupt(now)
		eng.dividedQueue = append(eng.dividedQueue, par)
	}
	if eng.passEnd.IsZero() {
		eng.nextPass(cos, now.Add(arrivalDelay))
	}
}

// interrupt ends the prefills of the pass in progress and requeues their rest.
func (eng *engine) interrupt(now time.Time) {
	passTotal := totalPassPrefill(eng.inPass)
	if passTotal <= 0 {
		return
	}
	residual := eng.residual(now)
	left := min(residual, passTotal)
	for _, par := range eng.inPass {
		par.prefill = max(minPass, par.prefill-par.passPrefill*(1-left/passTotal))
		eng.requeue(par)
	}
	eng.inPass = nil
	if eng.passTime -= left; residual > left {
		eng.passEnd = now.Add((residual - left).duration())
	} else {
		eng.passEnd = time.Time{}
	}
}

// removePart removes a part. The pass in progress ends earlier if it prefills the part.
func (eng *engine) removePart(par *part, now time.Time) {
	match := func(other *part) bool { return other == par }
	if slices.ContainsFunc(eng.inPass, match) {
		eng.passTime = max(minPass, eng.passTime-par.passPrefill)
		if end := eng.passEnd.Add(-par.passPrefill.duration()); end.After(now) {
			eng.passEnd = end
		} else {
			eng.passEnd = now
		}
	}
	eng.inPass = slices.DeleteFunc(eng.inPass, match)
	eng.dividedQueue = slices.DeleteFunc(eng.dividedQueue, match)
	eng.undividedQueue = slices.DeleteFunc(eng.undividedQueue, match)
}

// residual is the time left of the pass in progress.
func (eng *engine) residual(now time.Time) ms {
	if eng.passEnd.IsZero() {
		return 0
	}
	return max(0, msOf(eng.passEnd.Sub(now)))
}

// startDelay is the time until the engine starts the prefill of a new part.
func (eng *engine) startDelay(divided bool, now time.Time) ms {
	if divided {
		return min(eng.residual(now), stepDelay)
	}
	return eng.residual(now) + eng.queuedPrefill()
}

// finishDelay is the time until the engine has prefilled a part that it has.
func (eng *engine) finishDelay(par *part, now time.Time) ms {
	total := eng.residual(now)
	if slices.Contains(eng.inPass, par) && par.passPrefill >= par.prefill {
		return total
	}
	for _, other := range slices.Backward(eng.dividedQueue) {
		if total += other.prefill; other == par {
			return total
		}
	}
	for _, other := range eng.undividedQueue {
		if total += other.prefill; other == par {
			break
		}
	}
	return total
}

// delayedParts returns the parts that a new part would delay.
func (eng *engine) delayedParts(divided bool) []*part {
	if !divided {
		return nil
	}
	return slices.Concat(eng.inPass, eng.dividedQueue, eng.undividedQueue)
}

// undividedAwaitingFirst returns the grants with undivided prompts that the engine leads
// and whose first events have not arrived. The engine prefills a new undivided prompt
// within the pass in progress, and so delays the first events at the end of that pass.
func (eng *engine) undividedAwaitingFirst() []*grant {
	var out []*grant
	for _, gra := range eng.grants {
		if !gra.began && len(gra.parts) == 1 {
			out = append(out, gra)
		}
	}
	return out
}

// tightAnswers counts the answers that the engine leads whose limit on pauses is at most
// that of a request.
func (eng *engine) tightAnswers(pause time.Duration) int {
	n := 0
	for _, gra := range eng.grants {
		if gra.req.prompt.Pause > 0 && gra.req.prompt.Pause <= pause {
			n++
		}
	}
	return n
}

// freeMemory is the number of tokens of memory that is left for further grants. capacity
// is the engine's memory in tokens.
func (eng *engine) freeMemory(capacity int64) int64 {
	return int64(memoryFill*float64(capacity)) - eng.memory - eng.foreignMemory
}

// applyLoad records a report of the engine.
func (eng *engine) applyLoad(loa Load) {
	eng.missedReports = 0
	eng.pace = ms(max(1, loa.Pace))
}
