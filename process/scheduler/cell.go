// Package scheduler queues the requests for a cell, which is a part of a pool's
// engines, and grants engines to the hosts that submit the requests.
//
// Cell is the state machine that decides; it does no input or output and has no
// clock. Scheduler feeds events to it and delivers its actions.
package scheduler

import (
	"slices"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/placer"
)

const (
	// repeatTimeout is the time after which a waiting request that its host does
	// not repeat is dropped.
	repeatTimeout = 3 * time.Second
	// grantGrace is the time from a request's deadline to the expiry of its grant.
	grantGrace = 2 * time.Second
	// sweepInterval is the minimum time between two scans for expired requests
	// and grants.
	sweepInterval = 100 * time.Millisecond
	// typicalAnswerTokens bounds the expected length of an answer, of which only
	// the maximum is known.
	typicalAnswerTokens = 128
)

// Cell is the state of one cell. Next changes it. A Cell is not safe for
// concurrent use. Its zero value is an empty cell.
type Cell struct {
	limits          Limits
	engines         []*engine
	byID            map[string]*engine
	pending         map[string]*entry
	lastSeen        map[string]time.Time
	grants          map[string]*grant
	grantsByRequest map[string]int
	releasedAt      map[string]time.Time
	queue           queue
	prefixes        prefixes
	promise         *promise
	// shortDemand and longDemand average the prefill work of short and of long
	// prompts, in engines. answerDemand and answerMemory average the answers that
	// can move to another engine, in sequences and in tokens of memory.
	shortDemand  demand
	longDemand   demand
	answerDemand demand
	answerMemory demand
	// decoderCount is the number of engines dedicated to answers that move.
	decoderCount    int
	lastMoveRequest time.Time
	lastSweep       time.Time
	actions         []Action
}

// Next applies an event and returns the resulting actions. The returned slice is
// valid until the next call.
func (cel *Cell) Next(eve Event, now time.Time) []Action {
	cel.prepare()
	cel.chooseDecoders(now)
	cel.actions = cel.actions[:0]
	switch eve := eve.(type) {
	case Request:
		cel.submit(eve, now)
	case Cancel:
		cel.cancelOrRelease(eve.ID, now)
	case Prefilled:
		cel.markPrefilled(eve.ID)
	case Release:
		cel.cancelOrRelease(eve.ID, now)
	case Move:
		cel.answerMove(eve.ID, now)
	case Moved:
		cel.finishMove(eve.ID, now)
	case Stayed:
		cel.cancelMove(eve.ID, now)
	case Report:
		cel.acceptReport(eve, now)
	case Unreachable:
		cel.markUnreachable(eve.Endpoint)
	case Listing:
		cel.applyListing(eve, now)
	case OwnerRemoved:
		cel.ownerRemoved(eve, now)
	case Limits:
		cel.limits = eve
	case Tick:
	}
	cel.sweep(now)
	cel.dispatch(now)
	return cel.actions
}

func (cel *Cell) prepare() {
	if cel.byID != nil {
		return
	}
	cel.byID = map[string]*engine{}
	cel.pending = map[string]*entry{}
	cel.lastSeen = map[string]time.Time{}
	cel.grants = map[string]*grant{}
	cel.grantsByRequest = map[string]int{}
	cel.releasedAt = map[string]time.Time{}
}

// Waiting returns the number of waiting requests.
func (cel *Cell) Waiting() int { return cel.queue.count }

// Granted returns the number of grants that have not ended.
func (cel *Cell) Granted() int { return len(cel.grants) }

// ExpectedWait returns the time in which the live engines prefill what is queued
// and started, or maxRetryAfter if no engine is live.
func (cel *Cell) ExpectedWait(now time.Time) time.Duration {
	queued := cel.queue.promptTokens
	var rate float64
	for _, eng := range cel.engines {
		eng.advance(now)
		if !eng.live(now) {
			continue
		}
		rate += eng.prefillRate()
		for _, par := range eng.prefills {
			queued += par.prefillLeft
		}
	}
	if rate == 0 {
		return maxRetryAfter
	}
	return time.Duration(float64(queued) / rate * float64(time.Second))
}

func (cel *Cell) refuse(id, code, message string, retry time.Duration) {
	delete(cel.lastSeen, id)
	cel.actions = append(cel.actions, Refuse{ID: id, Refuse: placer.Refuse{Code: code, Message: message, RetryAfter: min(maxRetryAfter, max(minRetryAfter, retry))}})
}

// dequeue removes a waiting request and cancels its promise.
func (cel *Cell) dequeue(ent *entry) {
	cel.queue.remove(ent)
	delete(cel.pending, ent.id)
	delete(cel.lastSeen, ent.id)
	if cel.promise != nil && cel.promise.entry == ent {
		cel.cancelPromise()
	}
}

// cancelOrRelease cancels a waiting request or releases its grant.
func (cel *Cell) cancelOrRelease(id string, now time.Time) {
	if ent := cel.pending[id]; ent != nil {
		cel.dequeue(ent)
	}
	if gra := cel.grants[id]; gra != nil {
		cel.release(gra, now)
	}
}

func (cel *Cell) release(gra *grant, now time.Time) {
	for _, par := range gra.parts {
		par.engine.suspected = par.engine.suspected || !gra.prefilled
		par.release(now)
	}
	cel.releaseTarget(gra, now)
	delete(cel.grants, gra.entry.id)
	id := gra.entry.req.ID
	if cel.grantsByRequest[id]--; cel.grantsByRequest[id] <= 0 {
		delete(cel.grantsByRequest, id)
		cel.releasedAt[id] = now
	}
}

// markPrefilled records that the prefill of a grant is done and, unless a group
// did it, that the engine caches the prompt's blocks.
func (cel *Cell) markPrefilled(id string) {
	gra := cel.grants[id]
	if gra == nil || gra.prefilled {
		return
	}
	gra.prefilled = true
	for _, par := range gra.parts {
		par.engine.finishPrefill(par)
	}
	if len(gra.parts) == 1 {
		cel.recordCache(gra.parts[0])
	}
}

func (cel *Cell) acceptReport(rep Report, now time.Time) {
	eng := cel.byID[rep.Endpoint]
	if eng == nil {
		return
	}
	if eng.incarnation != rep.Load.Incarnation {
		// A restarted engine has no cached blocks.
		eng.incarnation = rep.Load.Incarnation
		cel.prefixes.clear(eng.slot)
	}
	known := func(id string) bool {
		_, ended := cel.releasedAt[id]
		return ended || cel.grantsByRequest[id] > 0
	}
	eng.acceptReport(rep.Load, known, now)
	cel.reconcile(eng, rep.Load, now)
}

// reconcile ends grants whose requests an engine no longer lists because the
// notice of their end was lost. Reports without all sequences are ignored.
func (cel *Cell) reconcile(eng *engine, loa invoker.Load, now time.Time) {
	if loa.Partial || len(loa.Sequences) < loa.Running {
		return
	}
	listed := make(map[string]bool, len(loa.Sequences))
	for _, seq := range loa.Sequences {
		listed[seq.RequestID] = true
	}
	for _, gra := range cel.grants {
		isListed := listed[gra.entry.req.ID]
		if target := gra.target; target != nil && target.engine == eng && target.requestLost(isListed, now) {
			cel.cancelMove(gra.entry.id, now)
		}
		if source := gra.parts[0]; source.engine == eng && source.requestLost(isListed, now) {
			cel.releaseLost(gra, now)
		}
	}
}

// releaseLost releases a grant whose first engine no longer lists the request. If
// a move is under way, the request now runs on the target, so it completes the
// move instead.
func (cel *Cell) releaseLost(gra *grant, now time.Time) {
	if gra.target != nil {
		cel.finishMove(gra.entry.id, now)
		return
	}
	cel.release(gra, now)
}

// applyListing adds and removes engines. A removed engine that still has grants
// is kept as leaving until they have ended, as it may be listed again.
func (cel *Cell) applyListing(lis Listing, now time.Time) {
	keep := map[string]bool{}
	for _, end := range lis.Engines {
		keep[end.ID] = true
		eng := cel.byID[end.ID]
		if eng == nil {
			if eng = cel.addEngine(end.ID, now); eng == nil {
				continue
			}
		}
		eng.address = end.Address
		eng.models = end.Models
		eng.listedLeaving = end.Leaving
	}
	for _, eng := range cel.engines {
		if keep[eng.id] {
			continue
		}
		cel.cancelPromiseOn(eng)
		if eng.running > 0 {
			eng.listedLeaving = true
			keep[eng.id] = true
			continue
		}
		cel.prefixes.clear(eng.slot)
		delete(cel.byID, eng.id)
	}
	cel.engines = slices.DeleteFunc(cel.engines, func(eng *engine) bool { return !keep[eng.id] })
}

func (cel *Cell) addEngine(id string, now time.Time) *engine {
	var used uint64
	for _, eng := range cel.engines {
		used |= 1 << eng.slot
	}
	for slot := range maxSlots {
		if used&(1<<slot) == 0 {
			eng := &engine{id: id, slot: slot, advancedAt: now}
			cel.byID[id] = eng
			cel.engines = append(cel.engines, eng)
			return eng
		}
	}
	return nil
}

// MayHaveFailed reports whether an engine may have failed, so that its load report
// is read sooner.
func (cel *Cell) MayHaveFailed(endpoint string) bool {
	eng := cel.byID[endpoint]
	return eng != nil && (eng.unreachable || eng.suspected)
}

// markUnreachable stops new grants on an engine until its next report.
func (cel *Cell) markUnreachable(endpoint string) {
	if eng := cel.byID[endpoint]; eng != nil {
		eng.unreachable = true
		cel.cancelPromiseOn(eng)
	}
}

func (cel *Cell) ownerRemoved(own OwnerRemoved, now time.Time) {
	for _, ent := range cel.pending {
		if ent.host == own.Host && ent.incarnation <= own.Incarnation {
			cel.dequeue(ent)
		}
	}
	for _, gra := range cel.grants {
		if gra.entry.host == own.Host && gra.entry.incarnation <= own.Incarnation {
			cel.release(gra, now)
		}
	}
}

// sweep drops expired requests and those that their hosts no longer repeat, and
// releases expired grants.
func (cel *Cell) sweep(now time.Time) {
	if now.Sub(cel.lastSweep) < sweepInterval {
		return
	}
	cel.lastSweep = now
	for _, id := range sortedIDs(cel.pending) {
		ent := cel.pending[id]
		if !cel.refuseIfExpired(ent, now) && now.Sub(cel.lastSeen[id]) > repeatTimeout {
			cel.dequeue(ent)
		}
	}
	for _, gra := range cel.grants {
		if now.After(gra.expires) {
			cel.release(gra, now)
		}
	}
	for id, at := range cel.releasedAt {
		if now.Sub(at) > releasedGrace {
			delete(cel.releasedAt, id)
		}
	}
	cel.queue.dropIdleTeams()
}

// refuseIfExpired refuses a waiting request that can no longer start in time. It
// reports whether it did.
func (cel *Cell) refuseIfExpired(ent *entry, now time.Time) bool {
	if now.Before(ent.latestStart) {
		return false
	}
	cel.dequeue(ent)
	cel.refuse(ent.id, CodeOverloaded, "no engine could start the prompt in time", cel.queueWait(ent.team, ent.long, now))
	return true
}

// sortedIDs returns the request IDs in order, so that the order of actions does
// not depend on the map's iteration order.
func sortedIDs(pending map[string]*entry) []string {
	ids := make([]string, 0, len(pending))
	for id := range pending {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
