package planner

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// longRead is the time of a read on one engine from which a prompt counts as
	// long and may be divided.
	longRead = 90
	// leastPart is the least time of a part; smaller ones gain nothing.
	leastPart = 40
	// maxParts is the number of engines that may read one prompt: the first one
	// and 16 helpers.
	maxParts = 17
	// pauseShare is the share of the shortest objective of pauses that a pass of
	// an engine may take.
	pauseShare = 0.8
	// aheadTime is the backlog up to which a long prompt joins an engine although
	// it could still wait for others to go first.
	aheadTime = 250
	// lateAhead is the same for prompts that miss their objective anyway.
	lateAhead = 80
	// urgentSlack is the slack below which a prompt does not wait any longer.
	urgentSlack = 300
	// openCost is the cost of giving a short prompt an engine that long prompts
	// could use as a whole, when these take up half of the engines.
	openCost = 80
	// network is the time that a request spends between hosts.
	network = 8

	// Callers give a stream up after the longest of these; see the platform's
	// contract of streams. patienceShare leaves time for the answer to get there.
	patienceFloor      = 2 * time.Second
	patienceObjectives = 4
	patiencePauses     = 8
	patienceShare      = 0.85

	// leastRetry and mostRetry bound the time told to refused callers.
	leastRetry = 200 * time.Millisecond
	mostRetry  = 5 * time.Second
)

// patience returns when the caller of a prompt gives up waiting.
func patience(pro Prompt) time.Time {
	dur := max(patienceFloor, patienceObjectives*pro.Objective, patiencePauses*pro.Pause)
	pat := pro.Target.Add(-pro.Objective).Add(time.Duration(patienceShare * float64(dur)))
	if pat.After(pro.Deadline) {
		return pro.Deadline
	}
	return pat
}

func (one *ask) long() bool { return one.read >= longRead }

// slack is the time until the first event is due.
func (one *ask) slack(now time.Time) ms { return msOf(one.prompt.Target.Sub(now)) - network }

// choice is a way to serve an ask.
type choice struct {
	lead  *engine
	parts []*engine
	// first is the expected time to the first event, cost what it is compared by.
	first ms
	cost  ms
	// ahead is the longest backlog of its engines.
	ahead ms
	// reserve is the memory to reserve on each engine; nil if the first one holds
	// the whole prompt.
	reserve []int64
}

// dispatch grants what can be granted, the most urgent asks first.
func (pla *Plan) dispatch(now time.Time) {
	if len(pla.waiting) == 0 {
		return
	}
	pla.sort(now)
	var left []*ask
	for _, one := range pla.waiting {
		cho, ok := pla.choose(one, now)
		switch {
		case ok && pla.starts(one, cho, now):
			pla.grant(one, cho, now)
		case pla.refuses(one, now):
		default:
			left = append(left, one)
		}
	}
	pla.waiting = left
}

// sort orders the asks: by priority, those that can still meet their objective
// first, and by the time until they must start.
func (pla *Plan) sort(now time.Time) {
	cou := max(1, min(maxParts, len(pla.order)))
	key := func(one *ask) (bool, time.Time) {
		lat := one.prompt.Target.Add(-(one.read / ms(cou)).duration())
		return lat.Before(now), lat
	}
	slices.SortStableFunc(pla.waiting, func(one, two *ask) int {
		late1, at1 := key(one)
		late2, at2 := key(two)
		if late1 != late2 {
			if late2 {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(two.prompt.Priority, one.prompt.Priority), at1.Compare(at2))
	})
}

// starts reports whether an ask takes a choice now rather than wait.
func (pla *Plan) starts(one *ask, cho choice, now time.Time) bool {
	sla := one.slack(now)
	switch {
	case !one.long():
		return cho.first <= max(sla, msOf(one.patience.Sub(now)))
	case cho.first > sla:
		return cho.ahead <= lateAhead
	default:
		return cho.ahead <= aheadTime || sla-cho.first < urgentSlack
	}
}

// choose finds the best way to serve an ask now.
func (pla *Plan) choose(one *ask, now time.Time) (choice, bool) {
	if one.long() {
		return pla.chooseMany(one, now)
	}
	return pla.chooseOne(one, now)
}

// chooseOne finds an engine for a short prompt.
func (pla *Plan) chooseOne(one *ask, now time.Time) (choice, bool) {
	var bes choice
	found := false
	ope := ms(openCost * min(1, 2*pla.longDemand(now)/float64(max(1, len(pla.order)))))
	for _, eng := range pla.order {
		if !eng.usable(one, now) || eng.free(pla.fig.MemoryTokens) < one.need || len(eng.grants)+eng.foreign >= pla.fig.Slots {
			continue
		}
		ans, con := eng.writing()
		bac := eng.backlog()
		pas := pla.fig.pass(ans+1, con+one.prompt.Tokens) * ms(eng.pace)
		rea := one.read * ms(eng.pace)
		cho := choice{lead: eng, parts: []*engine{eng}, ahead: bac}
		// The prompt waits for half of the pass in progress on average; its first
		// event ends the pass after its read.
		cho.first = pla.fig.pass(ans, con)*ms(eng.pace)/2 + bac + rea + pas + network
		cho.cost = cho.first
		lim := pauseShare * min(orElse(eng.tightest(), math.MaxFloat64), orElse(msOf(one.prompt.Pause), math.MaxFloat64))
		if ove := pas + bac + rea - lim; ove > 0 {
			cho.cost += 200 + ove
		}
		if sla := one.slack(now); cho.first > sla {
			cho.cost += 200 + cho.first - sla
		}
		if !eng.holdsTight(one.prompt.Pause) {
			cho.cost += ope
		}
		if !found || cho.cost < bes.cost {
			bes, found = cho, true
		}
	}
	return bes, found
}

// holdsTight reports whether the engine leads an answer whose pauses are bound as
// tightly as those of a request.
func (eng *engine) holdsTight(pause time.Duration) bool {
	tig := eng.tightest()
	return tig > 0 && tig <= msOf(pause)
}

func orElse(val, els ms) ms {
	if val > 0 {
		return val
	}
	return els
}

// candidate is an engine that could read a part of a prompt.
type candidate struct {
	eng     *engine
	backlog ms
	pass    ms
	lim     ms
	free    int64
}

// chooseMany divides a long prompt over engines so that its first event comes as
// early as possible, without holding up answers for longer than they may pause.
func (pla *Plan) chooseMany(one *ask, now time.Time) (choice, bool) {
	var cans []candidate
	for _, eng := range pla.order {
		if !eng.usable(one, now) || len(eng.grants)+eng.foreign >= pla.fig.Slots {
			continue
		}
		ans, con := eng.writing()
		cans = append(cans, candidate{
			eng: eng, backlog: eng.backlog(), pass: pla.fig.pass(ans, con) * ms(eng.pace),
			lim: pauseShare * orElse(eng.tightest(), math.MaxFloat64), free: eng.free(pla.fig.MemoryTokens),
		})
	}
	slices.SortStableFunc(cans, func(a, b candidate) int {
		return cmp.Compare(a.backlog+a.pass/2, b.backlog+b.pass/2)
	})
	var bes choice
	found := false
	most := min(maxParts, len(cans), max(1, int(one.read/leastPart)))
	for num := most; num >= 1; num-- {
		cho, ok := pla.divide(one, cans, num)
		if ok && (!found || cho.cost < bes.cost) {
			bes, found = cho, true
		}
	}
	return bes, found
}

// divide finds a number of engines for a prompt.
func (pla *Plan) divide(one *ask, cans []candidate, num int) (choice, bool) {
	var tak []candidate
	for _, can := range cans {
		par := one.read / ms(num) * ms(can.eng.pace)
		if can.pass+can.backlog+par <= can.lim && len(tak) < num {
			tak = append(tak, can)
		}
	}
	if len(tak) < num {
		return choice{}, false
	}
	lea := -1
	for ind, can := range tak {
		if can.free < one.need {
			continue
		}
		if lea < 0 || len(can.eng.grants) < len(tak[lea].eng.grants) {
			lea = ind
		}
	}
	cho := choice{}
	if lea < 0 {
		var ok bool
		if cho.reserve, ok = pla.spread(one, tak); !ok {
			return choice{}, false
		}
		lea = 0
	}
	tak[0], tak[lea] = tak[lea], tak[0]
	for _, can := range tak {
		cho.parts = append(cho.parts, can.eng)
		cho.ahead = max(cho.ahead, can.backlog)
		fin := can.pass/2 + can.backlog + one.read/ms(num)*ms(can.eng.pace)
		cho.first = max(cho.first, fin)
	}
	cho.lead = cho.parts[0]
	ans, con := cho.lead.writing()
	cho.first += pla.fig.pass(ans+1, con+one.prompt.Tokens)*ms(cho.lead.pace) + network
	cho.cost = cho.first + ms(num)
	return cho, true
}

// spread divides the memory of a prompt that no engine holds alone. The first
// engine gets what the others leave.
func (pla *Plan) spread(one *ask, cans []candidate) ([]int64, bool) {
	if one.need <= int64(memoryFill*float64(pla.fig.MemoryTokens)) {
		// It fits into one engine once that has ended other requests.
		return nil, false
	}
	lef := one.need
	res := make([]int64, len(cans))
	slices.SortStableFunc(cans, func(a, b candidate) int { return cmp.Compare(b.free, a.free) })
	for ind, can := range cans {
		res[ind] = max(0, min(lef, can.free))
		lef -= res[ind]
	}
	return res, lef <= 0
}

func (pla *Plan) grant(one *ask, cho choice, now time.Time) {
	gra := &grant{ask: one, lead: cho.lead, since: now, need: one.need}
	for ind, eng := range cho.parts {
		par := &part{gra: gra, eng: eng, left: one.read / ms(len(cho.parts)) * ms(eng.pace), since: now, expected: now.Add(cho.first.duration())}
		switch {
		case cho.reserve != nil:
			par.memory = cho.reserve[ind]
		case ind == 0:
			par.memory = one.need
		}
		eng.memory += par.memory
		eng.reads = append(eng.reads, par)
		gra.parts = append(gra.parts, par)
	}
	if cho.reserve != nil {
		gra.need = gra.parts[0].memory
	}
	cho.lead.grants[one.ID] = gra
	pla.grants[one.ID] = gra
	pla.assign(gra, now)
}

func (pla *Plan) assign(gra *grant, now time.Time) {
	act := Assign{ID: gra.ask.ID, Waited: gra.since.Sub(gra.ask.arrived)}
	whole := len(gra.parts) > 0 && gra.parts[0].memory >= gra.ask.need
	for _, par := range gra.parts {
		out := Part{Endpoint: par.eng.ID, Address: par.eng.Address}
		if !whole {
			out.Reserve = par.memory
		}
		act.Parts = append(act.Parts, out)
		act.First = max(act.First, par.expected.Sub(now))
	}
	pla.acts = append(pla.acts, act)
}

// refuses turns away an ask that can't be served in time, and reports so.
func (pla *Plan) refuses(one *ask, now time.Time) bool {
	usa := 0
	for _, eng := range pla.order {
		if eng.usable(one, now) {
			usa++
		}
	}
	lef := msOf(min(one.patience.Sub(now), one.prompt.Deadline.Sub(now)))
	switch {
	case usa == 0:
		pla.refuse(one, CodeNoEngine, "no engine of the pool can take the request", leastRetry)
	case one.need > int64(usa)*int64(memoryFill*float64(pla.fig.MemoryTokens)) && usa == len(pla.order):
		pla.refuse(one, CodeTooLarge, "the prompt exceeds the memory of the engines together", 0)
	case one.read/ms(min(usa, maxParts)) > lef:
		pla.refuse(one, CodeTooLate, "the prompt can't be read in the time left", leastRetry)
	case pla.wait(one, usa)+one.read/ms(min(usa, maxParts)) > lef:
		pla.refuse(one, CodeOverloaded, "the engines are busy for longer than the time left", pla.wait(one, usa).duration())
	default:
		return false
	}
	return true
}

// wait estimates how long the reads before an ask take the engines.
func (pla *Plan) wait(one *ask, usable int) ms {
	if !one.long() {
		return pla.waitForSlot(one, usable)
	}
	var sum ms
	for _, eng := range pla.order {
		sum += eng.backlog()
	}
	for _, oth := range pla.waiting {
		if oth == one {
			break
		}
		sum += oth.read
	}
	return sum / ms(max(1, usable))
}

// waitForSlot estimates how long the short prompts before an ask take the slots.
func (pla *Plan) waitForSlot(one *ask, usable int) ms {
	before := 0
	for _, oth := range pla.waiting {
		if oth == one {
			break
		}
		if !oth.long() {
			before++
		}
	}
	tim := pla.fig.answer(pla.fig.UsualAnswer, one.prompt.Tokens)
	return tim * ms(before) / ms(max(1, usable*pla.fig.Slots))
}

func (pla *Plan) refuse(one *ask, code, message string, retry time.Duration) {
	pla.acts = append(pla.acts, Refuse{ID: one.ID, Code: code, Message: message, RetryAfter: min(mostRetry, max(leastRetry, retry))})
}
