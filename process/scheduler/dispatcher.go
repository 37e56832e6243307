package scheduler

import (
	"cmp"
	"slices"
	"time"

	"hemlockpin/request/hasher"
	"hemlockpin/request/placer"
)

// maxSkippedTeams bounds the teams that one pass over a class skips because their
// first request cannot be granted.
const maxSkippedTeams = 8

// promiseTimeout is the lifetime of a promise. A request whose promise expires gets
// no new promise for another promiseTimeout, so that other requests can be granted.
const promiseTimeout = 10 * time.Second

// shortShareDespitePromise is the share of an engine's memory that short prompts may
// use although the memory is promised to another request.
const shortShareDespitePromise = 0.2

// outcome is the result of an attempt to grant a request.
type outcome int

const (
	granted outcome = iota
	// mustWait means that no engine can start the request now.
	mustWait
	// lacksMemory means that an engine, or a group, has too little free memory for
	// the request. Memory may then be promised to the request.
	lacksMemory
	// noEngine means that no engine of the cell can serve the request any more.
	noEngine
)

// promise keeps memory on some engines free for one request, so that smaller
// requests do not starve it. A cell has at most one promise, so promises cannot
// block each other. Other requests still use the memory that is not promised.
type promise struct {
	entry *entry
	// expires bounds the time for which the promise may delay other requests.
	expires time.Time
	// memory is the promised memory of each engine, in tokens.
	memory map[*engine]int64
}

// dispatch grants all requests that can be granted. Short prompts come first, then
// groups, then long prompts. longLimit keeps long prompts off some of the engines, so
// that short prompts do not wait for long prompts.
func (cel *Cell) dispatch(now time.Time) {
	if cel.queue.count == 0 {
		return
	}
	for _, eng := range cel.engines {
		eng.advance(now)
		if !eng.live(now) {
			cel.cancelPromiseOn(eng)
		}
	}
	if cel.promise != nil && !now.Before(cel.promise.expires) {
		cel.promise.entry.promiseAfter = now.Add(promiseTimeout)
		cel.cancelPromise()
	}
	cel.dispatchClass(classShort, now)
	cel.dispatchClass(classGroup, now)
	cel.dispatchClass(classLong, now)
}

func (cel *Cell) dispatchClass(cla class, now time.Time) {
	var skipped []*team
	for len(skipped) < maxSkippedTeams {
		tea := cel.queue.nextTeam(cla, skipped)
		if tea == nil {
			return
		}
		ent := tea.heaps[cla][0]
		if cel.refuseIfExpired(ent, now) {
			continue
		}
		switch cel.tryGrant(ent, now) {
		case granted:
		case noEngine:
			cel.dequeue(ent)
			cel.refuse(ent.id, CodeNoEndpoint, "no engine of the pool can take the request", minRetryAfter)
		case lacksMemory:
			if cla != classShort {
				cel.promiseMemory(ent, now)
			}
			skipped = append(skipped, tea)
		default:
			skipped = append(skipped, tea)
		}
	}
}

func (cel *Cell) tryGrant(ent *entry, now time.Time) outcome {
	if ent.long && !cel.longAllowed(ent, now) {
		return mustWait
	}
	if ent.group {
		return cel.tryGroup(ent, now)
	}
	return cel.trySingle(ent, now)
}

// longAllowed reports whether another engine may prefill a long prompt. While
// another request has a promise, the limit is lower by one engine, which is kept for
// that request.
func (cel *Cell) longAllowed(ent *entry, now time.Time) bool {
	limit := cel.longLimit(now)
	for _, eng := range cel.engines {
		if eng.busyWithLong() {
			limit--
		}
	}
	if cel.promise != nil && cel.promise.entry != ent {
		limit--
	}
	return limit > 0
}

func (cel *Cell) trySingle(ent *entry, now time.Time) outcome {
	var best *engine
	var bestEstimate time.Duration
	result := noEngine
	avoidDecoders := ent.long && cel.canAvoidDecoders(ent, now)
	for _, eng := range cel.engines {
		if !ent.canServe(eng) {
			continue
		}
		if avoidDecoders && eng.decoder {
			result = combineOutcomes(result, mustWait)
			continue
		}
		if fit := cel.fits(ent, eng, ent.req.Need(), now); fit != granted {
			result = combineOutcomes(result, fit)
			continue
		}
		if estimate := eng.timeToFirstToken(ent, int(ent.cachedBlocks[eng.slot])) + cel.placementPenalty(ent, eng); best == nil || estimate < bestEstimate {
			best, bestEstimate = eng, estimate
		}
	}
	if best == nil {
		return result
	}
	uncached := max(1, ent.req.PromptTokens-int64(ent.cachedBlocks[best.slot])*hasher.BlockTokens)
	cel.grant(ent, []*part{{engine: best, memory: ent.req.Need(), prefillLeft: uncached}}, now)
	return granted
}

// combineOutcomes combines the outcomes of two engines that cannot start a request now.
// lacksMemory has precedence, because it may lead to a promise.
func combineOutcomes(first, second outcome) outcome {
	if first == lacksMemory || second == lacksMemory {
		return lacksMemory
	}
	return mustWait
}

// fits returns granted if the engine can start the request now and has the given
// memory, in tokens, free for the request, else mustWait or lacksMemory.
func (cel *Cell) fits(ent *entry, eng *engine, memory int64, now time.Time) outcome {
	if !eng.live(now) {
		return mustWait
	}
	promised := cel.promisedToOthers(ent, eng)
	if ent.long && (promised > 0 || eng.busyWithLong()) {
		return mustWait
	}
	if limit := cel.limits.MaxOutstanding; limit > 0 && eng.running >= limit {
		return mustWait
	}
	if eng.prefillTime(eng.tokensAhead(ent.req.Priority)) > backlogWindow {
		return mustWait
	}
	if eng.freeMemory()-promised >= memory || promised > 0 && eng.fitsDespitePromise(promised, memory) {
		return granted
	}
	return lacksMemory
}

// fitsDespitePromise reports whether a short prompt may use memory that is promised
// to another request: the promise must leave shortShareDespitePromise of the engine's
// total memory, and short prompts together must not exceed that share.
func (eng *engine) fitsDespitePromise(promised, memory int64) bool {
	limit := int64(shortShareDespitePromise * float64(eng.memory))
	return promised <= eng.memory-limit && eng.shortUsed+memory <= limit && eng.freeMemory() >= memory
}

// promisedToOthers returns the memory of an engine that is promised to another
// request.
func (cel *Cell) promisedToOthers(ent *entry, eng *engine) int64 {
	if cel.promise == nil || cel.promise.entry == ent {
		return 0
	}
	return cel.promise.memory[eng]
}

// canServe reports whether an engine is not leaving, is not excluded by the
// request and has its model.
func (ent *entry) canServe(eng *engine) bool {
	if eng.isLeaving() || slices.Contains(ent.req.Excluded, eng.id) {
		return false
	}
	return ent.req.Model == "" || slices.Contains(eng.models, ent.req.Model)
}

// tryGroup grants memory on several engines or on none. The lead engine, on which
// the cell accounts for the prefill, is the one with the least work ahead,
// preferably not a decoder.
func (cel *Cell) tryGroup(ent *entry, now time.Time) outcome {
	shares, totalMemory := cel.memoryShares(ent, now)
	if shares == nil {
		if totalMemory < ent.req.Need() {
			return noEngine
		}
		return mustWait
	}
	var lead *engine
	for _, share := range shares {
		if share.engine.freeMemory() < share.tokens {
			return lacksMemory
		}
		if cel.fits(ent, share.engine, share.tokens, now) != granted {
			continue
		}
		if lead == nil || lead.decoder && !share.engine.decoder || lead.decoder == share.engine.decoder && share.engine.tokensAhead(ent.req.Priority) < lead.tokensAhead(ent.req.Priority) {
			lead = share.engine
		}
	}
	if lead == nil {
		return mustWait
	}
	var parts []*part
	for _, share := range shares {
		par := &part{engine: share.engine, memory: share.tokens}
		if share.engine == lead {
			par.prefillLeft = max(1, ent.req.PromptTokens/int64(len(shares)))
			parts = append([]*part{par}, parts...)
			continue
		}
		parts = append(parts, par)
	}
	cel.grant(ent, parts, now)
	return granted
}

// memoryShare is the memory of a group's request on one engine, in tokens.
type memoryShare struct {
	engine *engine
	tokens int64
}

// memoryShares divides the memory of a request over the engines of its promise, then
// over the engines with the most free memory. It skips engines with memory promised
// to another request. shares is nil if the engines cannot hold the request.
// totalMemory is the memory of all live engines that can serve the request, in tokens.
func (cel *Cell) memoryShares(ent *entry, now time.Time) (shares []memoryShare, totalMemory int64) {
	var engines []*engine
	for _, eng := range cel.engines {
		if !ent.canServe(eng) || !eng.live(now) {
			continue
		}
		totalMemory += eng.memory
		if cel.promisedToOthers(ent, eng) == 0 {
			engines = append(engines, eng)
		}
	}
	pro := cel.promise
	slices.SortStableFunc(engines, func(a, b *engine) int {
		if pro != nil && pro.entry == ent && (pro.memory[a] > 0) != (pro.memory[b] > 0) {
			return cmp.Compare(pro.memory[b], pro.memory[a])
		}
		return cmp.Compare(b.freeMemory(), a.freeMemory())
	})
	if pro == nil || pro.entry != ent {
		cel.putLeadFirst(ent, engines, now)
	}
	memory := make([]int64, len(engines))
	for i, eng := range engines {
		memory[i] = max(0, eng.memory-eng.foreign)
	}
	for i, tokens := range placer.Split(ent.req.Need(), memory) {
		shares = append(shares, memoryShare{engines[i], tokens})
	}
	return shares, totalMemory
}

// putLeadFirst puts first the first engine that is not a decoder, can start the
// prefill now and has enough free memory for the largest share, so that the group
// includes that engine.
func (cel *Cell) putLeadFirst(ent *entry, engines []*engine, now time.Time) {
	for i, eng := range engines {
		if !eng.decoder && float64(eng.freeMemory()) >= placer.GroupFill*float64(eng.memory) && cel.fits(ent, eng, 0, now) == granted {
			copy(engines[1:i+1], engines[:i])
			engines[0] = eng
			return
		}
	}
}

// promiseMemory promises memory to a request, unless a promise exists or the
// request had one that expired recently.
func (cel *Cell) promiseMemory(ent *entry, now time.Time) {
	if cel.promise != nil || now.Before(ent.promiseAfter) {
		return
	}
	pro := &promise{entry: ent, expires: now.Add(promiseTimeout), memory: map[*engine]int64{}}
	if ent.group {
		shares, _ := cel.memoryShares(ent, now)
		for _, share := range shares {
			pro.memory[share.engine] = share.tokens
		}
	} else if eng := cel.engineWithMostFreeMemory(ent, now); eng != nil {
		pro.memory[eng] = ent.req.Need()
	}
	if len(pro.memory) > 0 {
		cel.promise = pro
	}
}

func (cel *Cell) engineWithMostFreeMemory(ent *entry, now time.Time) *engine {
	var best *engine
	for _, eng := range cel.engines {
		if !ent.canServe(eng) || !eng.live(now) || eng.memory-eng.foreign < ent.req.Need() {
			continue
		}
		if best == nil || eng.freeMemory() > best.freeMemory() {
			best = eng
		}
	}
	return best
}

func (cel *Cell) cancelPromise() { cel.promise = nil }

// cancelPromiseOn cancels a promise that includes memory on the engine.
func (cel *Cell) cancelPromiseOn(eng *engine) {
	if cel.promise != nil && cel.promise.memory[eng] > 0 {
		cel.cancelPromise()
	}
}

func (cel *Cell) grant(ent *entry, parts []*part, now time.Time) {
	cel.dequeue(ent)
	cel.queue.charge(ent)
	gra := &grant{entry: ent, parts: parts, expires: ent.req.Deadline.Add(grantGrace)}
	for _, par := range parts {
		par.grant = gra
		par.grantedAt = now
		par.engine.addPart(par)
		cel.trimCache(par.engine)
	}
	cel.grants[ent.id] = gra
	cel.grantsByRequest[ent.req.ID]++
	delete(cel.releasedAt, ent.req.ID)
	cel.emitGrant(gra)
}

func (cel *Cell) emitGrant(gra *grant) {
	lead := gra.parts[0].engine
	if len(gra.parts) == 1 {
		cel.actions = append(cel.actions, Grant{ID: gra.entry.id, Endpoint: lead.id, Address: lead.address})
		return
	}
	var parts []placer.Part
	for _, par := range gra.parts {
		parts = append(parts, placer.Part{Endpoint: par.engine.id, Address: par.engine.address, Tokens: par.memory})
	}
	cel.actions = append(cel.actions, GrantGroup{ID: gra.entry.id, Parts: parts})
}
