package scheduler

import (
	"cmp"
	"slices"
	"time"

	"hemlockpin/request/hasher"
	"hemlockpin/request/placer"
)

// lookahead is the number of teams whose first request has to wait after which a
// pass over a class ends.
const lookahead = 8

// promiseTimeout is the lifetime of a promise. A request whose memory has not
// become free by then gets no other promise for the same time, so that others can
// be granted.
const promiseTimeout = 10 * time.Second

// shortShareBesidePromise is the share of an engine's memory that short prompts
// may use in spite of a promise.
const shortShareBesidePromise = 0.2

// outcome is the result of an attempt to grant a request.
type outcome int

const (
	granted outcome = iota
	// mustWait means that no engine can start the request now.
	mustWait
	// lacksMemory means that only free memory is missing.
	lacksMemory
	// noEngine means that no engine of the cell can serve the request any more.
	noEngine
)

// promise keeps memory on some engines free for one request, so that smaller
// requests do not starve it. A cell has at most one promise, so promises cannot
// block each other. Other requests still use the memory that is not promised.
type promise struct {
	entry *entry
	// until bounds the time for which the promise may delay other requests.
	until  time.Time
	shares map[*engine]int64
}

// dispatch grants all requests that can be granted. Short prompts come first:
// they do not wait for engines that are busy with long prompts, and long prompts
// have a share of the engines of their own.
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
	if cel.promise != nil && !now.Before(cel.promise.until) {
		cel.promise.entry.promiseAfter = now.Add(promiseTimeout)
		cel.cancelPromise()
	}
	cel.dispatchClass(classShort, now)
	cel.dispatchClass(classGroup, now)
	cel.dispatchClass(classLong, now)
}

func (cel *Cell) dispatchClass(cla class, now time.Time) {
	var skipped []*team
	for len(skipped) < lookahead {
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
// another request has a promise, one engine of the limit is kept for that request.
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
	var estimate time.Duration
	result := noEngine
	avoidDecoders := ent.long && cel.canAvoidDecoders(ent, now)
	for _, eng := range cel.engines {
		if !ent.canServe(eng) {
			continue
		}
		if avoidDecoders && eng.decoder {
			result = worse(result, mustWait)
			continue
		}
		if fit := cel.fits(ent, eng, ent.req.Need(), now); fit != granted {
			result = worse(result, fit)
			continue
		}
		if candidate := eng.timeToFirstToken(ent, int(ent.cachedBlocks[eng.slot])) + cel.placementPenalty(ent, eng); best == nil || candidate < estimate {
			best, estimate = eng, candidate
		}
	}
	if best == nil {
		return result
	}
	uncached := max(1, ent.req.PromptTokens-int64(ent.cachedBlocks[best.slot])*hasher.BlockTokens)
	cel.grant(ent, []*part{{engine: best, memory: ent.req.Need(), prefillLeft: uncached}}, now)
	return granted
}

// worse combines the outcomes of two engines that cannot serve a request now.
// lacksMemory has precedence, because it may lead to a promise.
func worse(first, second outcome) outcome {
	if first == lacksMemory || second == lacksMemory {
		return lacksMemory
	}
	return mustWait
}

// fits returns granted if an engine can start a request now that takes the memory,
// else mustWait or lacksMemory.
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
	if eng.freeMemory()-promised >= memory || promised > 0 && eng.fitsBesidePromise(promised, memory) {
		return granted
	}
	return lacksMemory
}

// fitsBesidePromise reports whether a short prompt may use memory that is promised
// to another request. It may if the promise leaves shortShareBesidePromise of the
// engine's total memory, and short prompts together do not exceed that share.
func (eng *engine) fitsBesidePromise(promised, memory int64) bool {
	limit := int64(shortShareBesidePromise * float64(eng.memory))
	return promised <= eng.memory-limit && eng.shortUsed+memory <= limit && eng.freeMemory() >= memory
}

// promisedToOthers returns the memory of an engine that is promised to another
// request.
func (cel *Cell) promisedToOthers(ent *entry, eng *engine) int64 {
	if cel.promise == nil || cel.promise.entry == ent {
		return 0
	}
	return cel.promise.shares[eng]
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
	shares, all := cel.groupShares(ent, now)
	if shares == nil {
		if all < ent.req.Need() {
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

type groupShare struct {
	engine *engine
	tokens int64
}

// groupShares divides a request over the engines of its promise, or without one
// over those with the most free memory that are not promised to another request.
// It also returns the total memory of all live engines that can serve the request.
func (cel *Cell) groupShares(ent *entry, now time.Time) (shares []groupShare, all int64) {
	var engines []*engine
	for _, eng := range cel.engines {
		if !ent.canServe(eng) || !eng.live(now) {
			continue
		}
		all += eng.memory
		if cel.promisedToOthers(ent, eng) == 0 {
			engines = append(engines, eng)
		}
	}
	pro := cel.promise
	slices.SortStableFunc(engines, func(a, b *engine) int {
		if pro != nil && pro.entry == ent && (pro.shares[a] > 0) != (pro.shares[b] > 0) {
			return cmp.Compare(pro.shares[b], pro.shares[a])
		}
		return cmp.Compare(b.freeMemory(), a.freeMemory())
	})
	if pro == nil || pro.entry != ent {
		cel.moveLeadFirst(ent, engines, now)
	}
	memory := make([]int64, len(engines))
	for i, eng := range engines {
		memory[i] = max(0, eng.memory-eng.foreign)
	}
	for i, tokens := range placer.Split(ent.req.Need(), memory) {
		shares = append(shares, groupShare{engines[i], tokens})
	}
	return shares, all
}

// moveLeadFirst moves to the front the first engine that can start the prefill
// now and has enough free memory for the largest share, so that the group
// includes it.
func (cel *Cell) moveLeadFirst(ent *entry, engines []*engine, now time.Time) {
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
	pro := &promise{entry: ent, until: now.Add(promiseTimeout), shares: map[*engine]int64{}}
	if ent.group {
		shares, _ := cel.groupShares(ent, now)
		for _, share := range shares {
			pro.shares[share.engine] = share.tokens
		}
	} else if eng := cel.engineWithMostFree(ent, now); eng != nil {
		pro.shares[eng] = ent.req.Need()
	}
	if len(pro.shares) > 0 {
		cel.promise = pro
	}
}

func (cel *Cell) engineWithMostFree(ent *entry, now time.Time) *engine {
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
	if cel.promise != nil && cel.promise.shares[eng] > 0 {
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
