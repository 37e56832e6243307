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
	// typicalAnswerTokens is the assumed length of an answer, in tokens, if the
	// request allows a longer one. Only the maximum length is known.
	typicalAnswerTokens = 128
)

// Cell is the state of one cell. Next changes it. A Cell is not safe for
// concurrent use. Its zero value is an empty cell.
type Cell struct {
	limits  Limits
	engines []*engine
	byID    map[string]*engine
	// pending, repeatedAt and grants are keyed by the ID of the Request event.
	// repeatedAt is when the host last sent a waiting request.
	pending    map[string]*entry
	repeatedAt map[string]time.Time
	grants     map[string]*grant
	// grantsByRequest (the number of grants) and releasedAt (the end of the last
	// grant) are keyed by Request.ID, as engines list it.
	grantsByRequest map[string]int
	releasedAt      map[string]time.Time
	queue           queue
	prefixes        prefixes
	promise         *promise
	// shortDemand and longDemand are the mean numbers of engines that the prefills
	// of short and of long prompts occupy. answerDemand and answerMemory are the
	// mean number of sequences, and the mean memory in tokens, of the answers that
	// can move to another engine.
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
		cel.replyToMove(eve.ID, now)
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
		cel.removeOwner(eve, now)
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
	cel.repeatedAt = map[string]time.Time{}
	cel.grants = map[string]*grant{}
	cel.grantsByRequest = map[string]int{}
	cel.releasedAt = map[string]time.Time{}
}

// Waiting returns the number of waiting requests.
func (cel *Cell) Waiting() int { return cel.queue.count }

// Granted returns the number of grants that have not ended.
func (cel *Cell) Granted() int { return len(cel.grants) }

// ExpectedWait returns the time that the live engines need for the waiting prompts
// and for the unfinished prefills, or maxRetryAfter if no engine is live.
func (cel *Cell) ExpectedWait(now time.Time) time.Duration {
	tokens := cel.queue.promptTokens
	var rate float64
	for _, eng := range cel.engines {
		eng.advance(now)
		if !eng.live(now) {
			continue
		}
		rate += eng.prefillRate()
		for _, par := range eng.prefills {
			tokens += par.prefillLeft
		}
	}
	if rate == 0 {
		return maxRetryAfter
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

func (cel *Cell) refuse(id, code, message string, retry time.Duration) {
	delete(cel.repeatedAt, id)
	cel.actions = append(cel.actions, Refuse{ID: id, Refuse: placer.Refuse{Code: code, Message: message, RetryAfter: min(maxRetryAfter, max(minRetryAfter, retry))}})
}

// dequeue removes a waiting request and cancels its promise.
func (cel *Cell) dequeue(ent *entry) {
	cel.queue.remove(ent)
	delete(cel.pending, ent.id)
	delete(cel.repeatedAt, ent.id)
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
		par.engine.endedEarly = par.engine.endedEarly || !gra.prefilled
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

// markPrefilled records that the prefill of a grant is done and, unless the grant is
// a group's, that the engine caches the prompt's blocks.
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

// reconcile releases grants and cancels moves for which the notice of the end was
// lost: the engine no longer lists the request. It ignores reports that do not list
// all sequences.
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
		if target := gra.target; target != nil && target.engine == eng && target.updateMissing(isListed, now) {
			cel.cancelMove(gra.entry.id, now)
		}
		if source := gra.parts[0]; source.engine == eng && source.updateMissing(isListed, now) {
			cel.releaseLost(gra, now)
		}
	}
}

// releaseLost releases a grant whose first engine no longer lists the request. While
// a move is under way, the request is assumed to run on the target, so releaseLost
// completes the move instead.
func (cel *Cell) releaseLost(gra *grant, now time.Time) {
	if gra.target != nil {
		cel.finishMove(gra.entry.id, now)
		return
	}
	cel.release(gra, now)
}

// applyListing adds and removes engines. An engine that is no longer listed but still
// has grants is kept as leaving, as a later listing may contain it again. Otherwise,
// the first listing after the end of its grants removes it.
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

// addEngine adds an engine in the first free slot. It returns nil if the cell already
// has maxSlots engines.
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
	return eng != nil && (eng.unreachable || eng.endedEarly)
}

// markUnreachable stops new grants on an engine until its next report.
func (cel *Cell) markUnreachable(endpoint string) {
	if eng := cel.byID[endpoint]; eng != nil {
		eng.unreachable = true
		cel.cancelPromiseOn(eng)
	}
}

func (cel *Cell) removeOwner(own OwnerRemoved, now time.Time) {
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

// sweep refuses requests that can no longer start in time, drops requests that their
// hosts no longer repeat, releases expired grants, and forgets old releases and
// inactive teams.
func (cel *Cell) sweep(now time.Time) {
	if now.Sub(cel.lastSweep) < sweepInterval {
		return
	}
	cel.lastSweep = now
	for _, id := range sortedIDs(cel.pending) {
		ent := cel.pending[id]
		if !cel.refuseIfExpired(ent, now) && now.Sub(cel.repeatedAt[id]) > repeatTimeout {
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
	cel.queue.dropInactiveTeams()
}

// refuseIfExpired refuses a waiting request that can no longer start in time. It
// reports whether it refused the request.
func (cel *Cell) refuseIfExpired(ent *entry, now time.Time) bool {
	if now.Before(ent.latestStart) {
		return false
	}
	cel.dequeue(ent)
	cel.refuse(ent.id, CodeOverloaded, "no engine could start the prompt in time", cel.queueWait(ent.team, ent.long, now))
	return true
}

// sortedIDs returns the keys of pending in order, so that the order of actions does
// not depend on the map's iteration order.
func sortedIDs(pending map[string]*entry) []string {
	ids := make([]string, 0, len(pending))
	for id := range pending {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
