package scheduler

import (
	"cmp"
	"slices"
	"time"

	"hemlockpin/request/hasher"
	"hemlockpin/request/placer"
)

// lookahead bounds the asks that one pass tries after the first that must wait.
const lookahead = 8

// promiseLife is the time for which a promise lasts. An ask whose memory has
// not become free by then lets others go first for as long.
const promiseLife = 10 * time.Second

// shortFill is the part of an engine's memory that short prompts may use beside
// a promise.
const shortFill = 0.2

// verdict is the outcome of an attempt to grant an ask.
type verdict int

const (
	granted verdict = iota
	// mustWait is for an engine with less work.
	mustWait
	// lacksMemory would be granted if memory were free.
	lacksMemory
	// noEngine is for an ask that no engine of the cell takes any more.
	noEngine
)

// promise keeps memory on some engines free for one ask, so that it is not
// overtaken for ever by smaller ones. There is one at a time, so promises
// cannot block each other. Other asks still use what is not promised.
type promise struct {
	ask *ask
	// until bounds the time for which the ask may hold others up.
	until  time.Time
	shares map[*engine]int64
}

// dispatch grants what can be granted, short prompts first: these never wait
// for a long one's engine, and long ones have a share of their own.
func (cel *Cell) dispatch(now time.Time) {
	if cel.queue.count == 0 {
		return
	}
	for _, eng := range cel.engines {
		eng.advance(now)
		if !eng.live(now) {
			cel.unpromiseOn(eng)
		}
	}
	if cel.promise != nil && !now.Before(cel.promise.until) {
		cel.promise.ask.patient = now.Add(promiseLife)
		cel.unpromise()
	}
	cel.pass(classShort, now)
	cel.pass(classGroup, now)
	cel.pass(classLong, now)
}

func (cel *Cell) pass(cla class, now time.Time) {
	var over []*team
	for len(over) < lookahead {
		tea := cel.queue.next(cla, over)
		if tea == nil {
			return
		}
		one := tea.heaps[cla][0]
		if cel.expired(one, now) {
			continue
		}
		switch cel.try(one, now) {
		case granted:
		case noEngine:
			cel.drop(one)
			cel.refuse(one.id, CodeNoEndpoint, "no engine of the pool can take the request", minRetryAfter)
		case lacksMemory:
			if cla != classShort {
				cel.keepFree(one, now)
			}
			over = append(over, tea)
		default:
			over = append(over, tea)
		}
	}
}

func (cel *Cell) try(one *ask, now time.Time) verdict {
	if one.long && !cel.longAllowed(one, now) {
		return mustWait
	}
	if one.group {
		return cel.tryGroup(one, now)
	}
	return cel.tryOne(one, now)
}

// longAllowed counts the engines that prefill long prompts. An ask with a
// promise takes the first place that becomes free.
func (cel *Cell) longAllowed(one *ask, now time.Time) bool {
	lim := cel.longLimit(now)
	for _, eng := range cel.engines {
		if eng.longBusy() {
			lim--
		}
	}
	if cel.promise != nil && cel.promise.ask != one {
		lim--
	}
	return lim > 0
}

func (cel *Cell) tryOne(one *ask, now time.Time) verdict {
	var bes *engine
	var est time.Duration
	ver := noEngine
	spa := one.long && cel.sparesDecoders(one, now)
	for _, eng := range cel.engines {
		if !one.takes(eng) {
			continue
		}
		if spa && eng.decoder {
			ver = worse(ver, mustWait)
			continue
		}
		if fit := cel.fits(one, eng, one.req.Need(), now); fit != granted {
			ver = worse(ver, fit)
			continue
		}
		if oth := eng.estimate(one, int(one.cached[eng.slot])) + cel.detour(one, eng); bes == nil || oth < est {
			bes, est = eng, oth
		}
	}
	if bes == nil {
		return ver
	}
	own := max(1, one.req.PromptTokens-int64(one.cached[bes.slot])*hasher.BlockTokens)
	cel.grant(one, []*part{{eng: bes, memory: one.req.Need(), left: own}}, now)
	return granted
}

// worse prefers the wait for memory, because it may call for a promise.
func worse(one, two verdict) verdict {
	if one == lacksMemory || two == lacksMemory {
		return lacksMemory
	}
	return mustWait
}

// fits reports whether an engine can start an ask now that takes the memory.
func (cel *Cell) fits(one *ask, eng *engine, memory int64, now time.Time) verdict {
	if !eng.live(now) {
		return mustWait
	}
	oth := cel.othersShare(one, eng)
	if one.long && (oth > 0 || eng.longBusy()) {
		return mustWait
	}
	if lim := cel.limits.MaxOutstanding; lim > 0 && eng.running >= lim {
		return mustWait
	}
	if eng.prefillTime(eng.ahead(one.req.Priority)) > backlogWindow {
		return mustWait
	}
	if eng.free()-oth >= memory || oth > 0 && eng.letsThrough(oth, memory) {
		return granted
	}
	return lacksMemory
}

// letsThrough gives a short prompt memory that is promised to another ask, out
// of the part of the engine that no promise of a group takes.
func (eng *engine) letsThrough(promised, memory int64) bool {
	sho := int64(shortFill * float64(eng.memory))
	return promised <= eng.memory-sho && eng.shortUsed+memory <= sho && eng.free() >= memory
}

// othersShare is the memory of an engine promised to another ask.
func (cel *Cell) othersShare(one *ask, eng *engine) int64 {
	if cel.promise == nil || cel.promise.ask == one {
		return 0
	}
	return cel.promise.shares[eng]
}

// takes reports whether an engine can serve the ask at all.
func (one *ask) takes(eng *engine) bool {
	if eng.gone() || slices.Contains(one.req.Excluded, eng.id) {
		return false
	}
	return one.req.Model == "" || slices.Contains(eng.models, one.req.Model)
}

// tryGroup grants memory on several engines or on none.
func (cel *Cell) tryGroup(one *ask, now time.Time) verdict {
	shas, all := cel.groupShares(one, now)
	if shas == nil {
		if all < one.req.Need() {
			return noEngine
		}
		return mustWait
	}
	var lea *engine
	for _, sha := range shas {
		if sha.eng.free() < sha.tokens {
			return lacksMemory
		}
		if cel.fits(one, sha.eng, sha.tokens, now) != granted {
			continue
		}
		if lea == nil || lea.decoder && !sha.eng.decoder || lea.decoder == sha.eng.decoder && sha.eng.ahead(one.req.Priority) < lea.ahead(one.req.Priority) {
			lea = sha.eng
		}
	}
	if lea == nil {
		return mustWait
	}
	var pars []*part
	for _, sha := range shas {
		par := &part{eng: sha.eng, memory: sha.tokens}
		if sha.eng == lea {
			par.left = max(1, one.req.PromptTokens/int64(len(shas)))
			pars = append([]*part{par}, pars...)
			continue
		}
		pars = append(pars, par)
	}
	cel.grant(one, pars, now)
	return granted
}

type groupShare struct {
	eng    *engine
	tokens int64
}

// groupShares divides a prompt over the engines of its promise, or else over
// those with the most free memory that are not promised to another ask. It also
// returns the memory of all engines that the ask could have.
func (cel *Cell) groupShares(one *ask, now time.Time) (shas []groupShare, all int64) {
	var engs []*engine
	for _, eng := range cel.engines {
		if !one.takes(eng) || !eng.live(now) {
			continue
		}
		all += eng.memory
		if cel.othersShare(one, eng) == 0 {
			engs = append(engs, eng)
		}
	}
	pro := cel.promise
	slices.SortStableFunc(engs, func(a, b *engine) int {
		if pro != nil && pro.ask == one && (pro.shares[a] > 0) != (pro.shares[b] > 0) {
			return cmp.Compare(pro.shares[b], pro.shares[a])
		}
		return cmp.Compare(b.free(), a.free())
	})
	if pro == nil || pro.ask != one {
		cel.leadFirst(one, engs, now)
	}
	mems := make([]int64, len(engs))
	for ind, eng := range engs {
		mems[ind] = max(0, eng.memory-eng.foreign)
	}
	for ind, tok := range placer.Split(one.req.Need(), mems) {
		shas = append(shas, groupShare{engs[ind], tok})
	}
	return shas, all
}

// leadFirst moves the first engine that can start the prompt to the front, if
// its memory suffices for a share of any size.
func (cel *Cell) leadFirst(one *ask, engs []*engine, now time.Time) {
	for ind, eng := range engs {
		if !eng.decoder && float64(eng.free()) >= placer.GroupFill*float64(eng.memory) && cel.fits(one, eng, 0, now) == granted {
			copy(engs[1:ind+1], engs[:ind])
			engs[0] = eng
			return
		}
	}
}

// keepFree promises memory to an ask, unless another one has a promise.
func (cel *Cell) keepFree(one *ask, now time.Time) {
	if cel.promise != nil || now.Before(one.patient) {
		return
	}
	pro := &promise{ask: one, until: now.Add(promiseLife), shares: map[*engine]int64{}}
	if one.group {
		shas, _ := cel.groupShares(one, now)
		for _, sha := range shas {
			pro.shares[sha.eng] = sha.tokens
		}
	} else if eng := cel.mostFree(one, now); eng != nil {
		pro.shares[eng] = one.req.Need()
	}
	if len(pro.shares) > 0 {
		cel.promise = pro
	}
}

func (cel *Cell) mostFree(one *ask, now time.Time) *engine {
	var bes *engine
	for _, eng := range cel.engines {
		if !one.takes(eng) || !eng.live(now) || eng.memory-eng.foreign < one.req.Need() {
			continue
		}
		if bes == nil || eng.free() > bes.free() {
			bes = eng
		}
	}
	return bes
}

func (cel *Cell) unpromise() { cel.promise = nil }

// unpromiseOn gives up a promise that counts on an engine.
func (cel *Cell) unpromiseOn(eng *engine) {
	if cel.promise != nil && cel.promise.shares[eng] > 0 {
		cel.unpromise()
	}
}

func (cel *Cell) grant(one *ask, pars []*part, now time.Time) {
	cel.drop(one)
	cel.queue.charge(one)
	gra := &grant{ask: one, parts: pars, expires: one.req.Deadline.Add(grantGrace)}
	for _, par := range pars {
		par.gra = gra
		par.since = now
		par.eng.add(par)
		cel.makeCacheRoom(par.eng)
	}
	cel.grants[one.id] = gra
	cel.requests[one.req.ID]++
	delete(cel.released, one.req.ID)
	cel.answer(gra)
}

func (cel *Cell) answer(gra *grant) {
	lea := gra.parts[0].eng
	if len(gra.parts) == 1 {
		cel.actions = append(cel.actions, Grant{ID: gra.ask.id, Endpoint: lea.id, Address: lea.address})
		return
	}
	var pars []placer.Part
	for _, par := range gra.parts {
		pars = append(pars, placer.Part{Endpoint: par.eng.id, Address: par.eng.address, Tokens: par.memory})
	}
	cel.actions = append(cel.actions, GrantGroup{ID: gra.ask.id, Parts: pars})
}
