package planner

import (
	"cmp"
	"slices"
	"time"
)

const (
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
	// newLeadCost is the cost, in units of loss, of placing a short prompt on an engine
	// that leads no answer with as tight a limit on pauses. It keeps such engines free for
	// long prompts, and falls as 1/(1+n) with the n such answers that the engine leads.
	newLeadCost = 0.3
	// tieCost is the cost of the time to the first event, per weight of the request and as a
	// share of its objective. It decides between choices of equal loss.
	tieCost = 0.07
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

// timeLeft is the time until the caller gives up or the deadline passes.
func (pen *pending) timeLeft(now time.Time) ms {
	return msOf(min(pen.callerDeadline.Sub(now), pen.prompt.Deadline.Sub(now)))
}

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
	// reserve is the memory to reserve on each engine; nil if the lead engine holds the
	// whole prompt.
	reserve []int64
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
		if !eng.usable(pen, now) || !eng.mayLead() || eng.freeMemory(pla.costs.MemoryTokens) < pen.memory || len(eng.grants)+eng.foreign >= pla.costs.Slots {
			continue
		}
		cho := choice{lead: eng, engines: []*engine{eng}}
		cro := pla.crossing(pen, eng)
		cho.first = eng.startDelay(false, now) + eng.nextDecodeTime(pla.costs, pen.prompt.Tokens) + pen.prefill*eng.pace + networkTime + msOf(cro.Delay)
		cho.loss = pla.latenessLoss(pen, cho.first, now) + pla.interferenceLoss(eng, pen.prefill, pen.prompt.Tokens, false, now)
		cho.cost = cho.loss + pla.tieLoss(pen, cho.first) + pla.errorLoss(pen, eng, now) + cro.Loss + newLeadCost/float64(1+eng.tightAnswers(pen.prompt.Pause))
		if !found || cho.cost < best.cost {
			best, found = cho, true
		}
	}
	return best, found
}

// tieLoss is what a choice costs whose first event arrives in the time first from now, in
// addition to its loss.
func (pla *Plan) tieLoss(pen *pending, first ms) float64 {
	return tieCost * pla.weight(pen) * float64(first/max(1, msOf(pen.prompt.Objective)))
}

// errorLoss is the expected loss of a request that an engine leads which answers some with
// failures. It only decides between engines: waiting would not help.
func (pla *Plan) errorLoss(pen *pending, eng *engine, now time.Time) float64 {
	return pla.weight(pen) * eng.errorShare(now)
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
		// The engines with their reservations must keep their order.
		if lead = 0; !cans[0].eng.mayLead() {
			return choice{}, false
		}
	}
	chosen := append([]candidate{cans[lead]}, slices.Delete(slices.Clone(cans), lead, lead+1)[:partCount-1]...)
	for _, can := range chosen {
		cho.engines = append(cho.engines, can.eng)
		cho.first = max(cho.first, can.startDelay+prefill*can.eng.pace)
		cho.loss += can.interferenceLoss
	}
	cho.lead = cho.engines[0]
	cro := pla.crossing(pen, cho.lead)
	cho.first += cho.lead.nextDecodeTime(pla.costs, pen.prompt.Tokens) + networkTime + msOf(cro.Delay)
	cho.loss += pla.latenessLoss(pen, cho.first, now)
	cho.cost = cho.loss + pla.tieLoss(pen, cho.first) + pla.errorLoss(pen, cho.lead, now) + cro.Loss
	return cho, true
}

// chooseLead returns the index of the engine that holds the prompt and generates the answer;
// -1 if none has the memory. Answers are concentrated on few engines, so that other engines
// can prefill long parts without delaying answers.
func (pla *Plan) chooseLead(pen *pending, cans []candidate, prefill ms, now time.Time) int {
	lead := -1
	var best ms
	for i, can := range cans {
		if can.freeMemory < pen.memory || !can.eng.mayLead() {
			continue
		}
		leadLoss := pla.interferenceLoss(can.eng, prefill, pen.prompt.Tokens, true, now)
		sortKey := can.sortKey + delayPerLoss*ms(leadLoss-can.interferenceLoss) + newLeadDelay/ms(1+can.eng.tightAnswers(pen.prompt.Pause)) + delayPerLoss*ms(pla.errorLoss(pen, can.eng, now))
		cro := pla.crossing(pen, can.eng)
		sortKey += msOf(cro.Delay) + delayPerLoss*ms(cro.Loss)
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
