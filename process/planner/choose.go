package planner

import (
	"cmp"
	"slices"
	"time"
)

const (
	// retryInterval is the shortest time between two looks at an ask that waits; parts of
	// a read take some tens of milliseconds. retryAtOnce asks of a kind are looked at that
	// often, as many more half as often, and so on.
	retryInterval = 8 * time.Millisecond
	retryAtOnce   = 3
	// longRead is the time of a read on one engine, in ms, from which a prompt
	// counts as long and may be divided.
	longRead = 90
	// leastPart is the least time of a part in ms; smaller ones gain nothing.
	leastPart = 40
	// maxHelpers is the number of engines that a call may name; the engines refuse
	// calls that name more. The lead is named only where it holds reserved memory.
	maxHelpers = 16
	// maxParts is the number of engines that may read one prompt.
	maxParts = maxHelpers + 1
	// acceptLoss is the share of its weight that a request may be expected to
	// lose and still start, when it could also wait.
	acceptLoss = 0.06
	// waitShare is the share of its objective that a request must have left to wait
	// for a choice that loses nothing.
	waitShare = 0.5
	// waitMargin is the time in ms beyond that on idle engines that a late choice
	// must have left to wait for a better one.
	waitMargin = 40
	// shortsPerEngine is the rate of short prompts a second at which an engine
	// counts as taken up: its passes then read for a third of their time.
	shortsPerEngine = 9
	// lastChance is the time in ms before a caller gives up at which a late prompt
	// is read although others could use the engines.
	lastChance = 500
	// opportunityRate is the weight that is lost for each second of an engine that
	// is not free for a prompt which could still meet its objective.
	opportunityRate = 2.0
	// lateAhead is the backlog in ms up to which an engine gets a prompt that
	// misses its objective anyway.
	lateAhead = 80
	// openCost weighs an engine that long prompts could use as a whole, when
	// these take up half of the engines, against the loss of requests.
	openCost = 0.3
	// tieCost weighs the time to the first event, as a share of the objective.
	tieCost = 0.1
	// tieWeight does the same for long prompts, as a share of their weight.
	tieWeight = 0.05
	// harmTime is the time in ms for which an engine is chosen that is later to
	// begin but loses a unit of weight less.
	harmTime = 200
	// leadTime is the delay in ms for which an answer is kept away from an engine
	// that writes none whose pauses are bound as tightly.
	leadTime = 300
	// network is the time in ms that a request and its first event spend between
	// hosts.
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

func (one *pending) long() bool { return one.read >= longRead }

// slack is the time until the first event is due.
func (one *pending) slack(now time.Time) ms { return msOf(one.prompt.Target.Sub(now)) }

// choice is a way to serve an ask.
type choice struct {
	lead  *engine
	parts []*engine
	// first is the expected time to the first event.
	first ms
	// loss is the expected loss of this and other requests, in weights; cost adds
	// what tells equal choices apart.
	loss float64
	cost float64
	// ahead is the longest backlog of its engines.
	ahead ms
	// reserve is the memory to reserve on each engine; nil if the first one holds
	// the whole prompt.
	reserve []int64
}

// dispatch grants what can be granted, the most urgent asks first. A new ask is looked at
// at once if none of its kind waits before it. Those that wait are looked at again after
// retryInterval, and later the more of their kind are before them, so that the work of a
// step hardly grows with the backlog.
func (pla *Plan) dispatch(now time.Time) {
	if len(pla.waiting) == 0 || !pla.fresh && now.Sub(pla.dispatched) < retryInterval {
		return
	}
	pla.fresh, pla.dispatched = false, now
	pla.sort(now)
	var before [2]int
	var left []*pending
	for _, one := range pla.waiting {
		num := &before[one.kind()]
		if !one.due(*num, now) {
			left = append(left, one)
			*num++
			continue
		}
		one.tried = now
		cho, ok := pla.choose(one, now)
		switch {
		case ok && pla.starts(one, cho, now):
			pla.grant(one, cho, now)
		case pla.refuses(one, cho, ok, now):
		default:
			left = append(left, one)
			*num++
		}
	}
	pla.waiting = left
}

// kind is 1 for asks of long prompts, and 0 for the others.
func (one *pending) kind() int {
	if one.long() {
		return 1
	}
	return 0
}

// due reports whether an ask with a number of others of its kind before it is looked at.
func (one *pending) due(before int, now time.Time) bool {
	if one.tried.IsZero() {
		return before == 0 || now.Sub(one.arrived) >= retryInterval
	}
	return now.Sub(one.tried) >= retryInterval*time.Duration(1+before/retryAtOnce)
}

// best is the least time to the first event of an ask, on idle engines.
func (pla *Plan) best(one *pending) ms {
	num := max(1, min(maxParts, len(pla.order), int(one.read/leastPart)))
	return one.read/ms(num) + pla.fig.pass(1, one.prompt.Tokens) + network
}

// sort orders the asks: those that can still meet their objective first, by
// priority, and by the time at which they must start.
func (pla *Plan) sort(now time.Time) {
	for _, one := range pla.waiting {
		one.latest = one.prompt.Target.Add(-pla.best(one).duration())
	}
	slices.SortStableFunc(pla.waiting, func(one, two *pending) int {
		if lat := one.latest.Before(now); lat != two.latest.Before(now) {
			if lat {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(two.prompt.Priority, one.prompt.Priority), one.latest.Compare(two.latest))
	})
}

// starts reports whether an ask takes a choice now rather than wait. What may be
// lost by it grows as the time runs out in which the ask could wait.
func (pla *Plan) starts(one *pending, cho choice, now time.Time) bool {
	wei := pla.weight(one)
	if cho.first > msOf(one.patience.Sub(now)) {
		return false
	}
	own := pla.late(one, cho.first, now)
	room := earlyShare*one.slack(now) - cho.first
	if own < lateLoss*wei {
		urg := 1 - float64(room)/(waitShare*float64(max(1, msOf(one.prompt.Objective))))
		return cho.loss <= wei*(acceptLoss+(lateLoss-acceptLoss)*min(1, max(0, urg)))
	}
	if one.slack(now)-pla.best(one) > waitMargin {
		// Engines that become idle in time could still meet the objective.
		return false
	}
	left := (1 - lateLoss) * wei
	if msOf(one.patience.Sub(now))-cho.first > lastChance {
		left -= pla.opportunity(one, now)
	}
	if one.long() && cho.ahead > lateAhead {
		return false
	}
	return cho.loss-own < left
}

// opportunity is the expected loss of the requests that will come while engines
// read a late prompt. It grows with the share of the engines that others take up.
func (pla *Plan) opportunity(one *pending, now time.Time) float64 {
	cou := float64(max(1, len(pla.order)))
	loa := min(1, pla.longShare(now)+pla.short.value(now)/(shortsPerEngine*cou))
	return opportunityRate * loa * loa * float64(one.read) / 1000
}

// choose finds the best way to serve an ask now.
func (pla *Plan) choose(one *pending, now time.Time) (choice, bool) {
	if one.long() {
		return pla.chooseMany(one, now)
	}
	return pla.chooseOne(one, now)
}

// chooseOne finds an engine for a short prompt.
func (pla *Plan) chooseOne(one *pending, now time.Time) (choice, bool) {
	var bes choice
	found := false
	for _, eng := range pla.order {
		if !eng.usable(one, now) || eng.free(pla.fig.MemoryTokens) < one.need || len(eng.grants)+eng.foreign >= pla.fig.Slots {
			continue
		}
		cho := choice{lead: eng, parts: []*engine{eng}, ahead: eng.backlog(now)}
		cho.first = eng.ready(false, now) + eng.nextWriteTime(pla.fig, one.prompt.Tokens) + one.read*eng.pace + network
		cho.loss = pla.late(one, cho.first, now) + pla.harm(eng, one.read, one.prompt.Tokens, false, now)
		cho.cost = cho.loss + tieCost*float64(cho.first/max(1, msOf(one.prompt.Objective)))
		cho.cost += openCost / float64(1+eng.tight(one.prompt.Pause))
		if !found || cho.cost < bes.cost {
			bes, found = cho, true
		}
	}
	return bes, found
}

// candidate is an engine that could read a part of a prompt.
type candidate struct {
	eng *engine
	// ready is the time until the engine could have read nothing more, harm what
	// a part would cost the engine's other requests.
	ready ms
	harm  float64
	free  int64
	key   ms
}

// chooseMany divides a long prompt over engines so that its first event comes
// early and others lose little.
func (pla *Plan) chooseMany(one *pending, now time.Time) (choice, bool) {
	var cans []candidate
	for _, eng := range pla.order {
		if !eng.usable(one, now) || len(eng.grants)+eng.foreign >= pla.fig.Slots {
			continue
		}
		cans = append(cans, candidate{eng: eng, free: eng.free(pla.fig.MemoryTokens)})
	}
	var bes choice
	found := false
	sho := pla.shortEngines()
	most := min(maxParts, len(cans), max(1, int(one.read/leastPart)))
	for num := most; num >= 1; num = min(num-1, num*4/5) {
		cho, ok := pla.divide(one, cans, num, sho, now)
		if ok && (!found || cho.cost < bes.cost) {
			bes, found = cho, true
		}
	}
	return bes, found
}

// divide finds a number of engines for a prompt. shorts is the number of engines that
// serve short prompts.
func (pla *Plan) divide(one *pending, cans []candidate, num, shorts int, now time.Time) (choice, bool) {
	rea := one.read / ms(num)
	for ind := range cans {
		can := &cans[ind]
		can.ready = can.eng.ready(num > 1, now)
		can.harm = pla.harm(can.eng, rea, 0, num > 1, now) + pla.block(can.eng, rea, shorts, now)
		can.key = can.ready + rea*can.eng.pace + harmTime*ms(can.harm)
	}
	slices.SortStableFunc(cans, func(a, b candidate) int { return cmp.Compare(a.key, b.key) })
	cho := choice{}
	lea := pla.leader(one, cans, rea, now)
	if lea < 0 {
		var ok bool
		if num > maxHelpers {
			return choice{}, false
		}
		if cho.reserve, ok = pla.spread(one, cans[:num]); !ok {
			return choice{}, false
		}
		lea = 0
	}
	tak := append([]candidate{cans[lea]}, slices.Delete(slices.Clone(cans), lea, lea+1)[:num-1]...)
	for _, can := range tak {
		cho.parts = append(cho.parts, can.eng)
		cho.ahead = max(cho.ahead, can.eng.backlog(now))
		cho.first = max(cho.first, can.ready+rea*can.eng.pace)
		cho.loss += can.harm
	}
	cho.lead = cho.parts[0]
	cho.first += cho.lead.nextWriteTime(pla.fig, one.prompt.Tokens) + network
	cho.loss += pla.late(one, cho.first, now)
	cho.cost = cho.loss + tieWeight*pla.weight(one)*float64(cho.first/max(1, msOf(one.prompt.Objective)))
	return cho, true
}

// leader returns the engine that holds the prompt and writes the answer; -1 if
// none has the memory. Answers are kept together, so that long parts find engines
// without answers.
func (pla *Plan) leader(one *pending, cans []candidate, read ms, now time.Time) int {
	lea := -1
	var bes ms
	for ind, can := range cans {
		if can.free < one.need {
			continue
		}
		har := pla.harm(can.eng, read, one.prompt.Tokens, true, now)
		key := can.key + harmTime*ms(har-can.harm) + leadTime/ms(1+can.eng.tight(one.prompt.Pause))
		if lea < 0 || key < bes {
			lea, bes = ind, key
		}
	}
	return lea
}

// spread divides the memory of a prompt that no engine holds alone. The first
// engine gets what the others leave.
func (pla *Plan) spread(one *pending, cans []candidate) ([]int64, bool) {
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

func (pla *Plan) grant(one *pending, cho choice, now time.Time) {
	gra := &grant{ask: one, lead: cho.lead, since: now, need: one.need, expected: now.Add(cho.first.duration()), unread: len(cho.parts)}
	cho.lead.lead(gra)
	for ind, eng := range cho.parts {
		num := len(cho.parts)
		par := &part{gra: gra, eng: eng, read: one.read / ms(num) * eng.pace, tokens: float64(one.prompt.Tokens) / float64(num)}
		switch {
		case cho.reserve != nil:
			par.memory = cho.reserve[ind]
		case ind == 0:
			par.memory = one.need
		}
		par.size = par.read
		gra.parts = append(gra.parts, par)
	}
	if len(gra.parts) == 1 {
		for _, oth := range cho.lead.joined() {
			if oth != gra {
				oth.expected = oth.expected.Add(gra.parts[0].read.duration())
			}
		}
	}
	for _, par := range gra.parts {
		par.eng.add(pla.fig, par, now)
		par.eng.spoil(pla.fig)
		pla.delay(par.eng, now)
	}
	if cho.reserve != nil {
		gra.need = gra.parts[0].memory
	}
	pla.grants[one.ID] = gra
	pla.assign(gra, now)
}

// delay moves the expected first events of what an engine reads later.
func (pla *Plan) delay(eng *engine, now time.Time) {
	for _, pars := range [][]*part{eng.divided, eng.whole} {
		for _, par := range pars {
			if exp := now.Add(pla.firstAfter(par, now).duration()); exp.After(par.gra.expected) {
				par.gra.expected = exp
			}
		}
	}
}

func (pla *Plan) assign(gra *grant, now time.Time) {
	act := Assign{ID: gra.ask.ID, First: gra.expected.Sub(now), Waited: gra.since.Sub(gra.ask.arrived)}
	whole := len(gra.parts) > 0 && gra.parts[0].memory >= gra.ask.need
	for _, par := range gra.parts {
		out := Part{Endpoint: par.eng.ID, Address: par.eng.Address}
		if !whole {
			out.Reserve = par.memory
		}
		act.Parts = append(act.Parts, out)
	}
	pla.acts = append(pla.acts, act)
}

// refuses turns away an ask that can't be served in time, and reports so. The
// choice is the best one now, if there is any.
func (pla *Plan) refuses(one *pending, cho choice, found bool, now time.Time) bool {
	usa := 0
	for _, eng := range pla.order {
		if eng.usable(one, now) {
			usa++
		}
	}
	lef := msOf(min(one.patience.Sub(now), one.prompt.Deadline.Sub(now)))
	wai := pla.wait(one, usa)
	if found {
		wai += max(0, cho.first-pla.best(one))
	}
	switch {
	case usa == 0:
		pla.refuse(one, CodeNoEngine, "no engine of the pool can take the request", leastRetry)
	case one.need > int64(usa)*int64(memoryFill*float64(pla.fig.MemoryTokens)) && usa == len(pla.order):
		pla.refuse(one, CodeTooLarge, "the prompt exceeds the memory of the engines together", 0)
	case pla.best(one) > lef:
		pla.refuse(one, CodeTooLate, "the prompt can't be read in the time left", leastRetry)
	case wai+pla.best(one) > lef:
		pla.refuse(one, CodeOverloaded, "the engines are busy for longer than the time left", wai.duration())
	default:
		return false
	}
	return true
}

// wait estimates how long the asks before one take the engines.
func (pla *Plan) wait(one *pending, usable int) ms {
	if !one.long() {
		return pla.waitForSlot(one, usable)
	}
	var tot ms
	for _, oth := range pla.waiting {
		if oth == one {
			break
		}
		tot += oth.read
	}
	return tot / ms(max(1, usable))
}

// waitForSlot estimates how long the short prompts before an ask take the slots.
func (pla *Plan) waitForSlot(one *pending, usable int) ms {
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

func (pla *Plan) refuse(one *pending, code, message string, retry time.Duration) {
	pla.acts = append(pla.acts, Refuse{ID: one.ID, Code: code, Message: message, RetryAfter: min(mostRetry, max(leastRetry, retry))})
}
