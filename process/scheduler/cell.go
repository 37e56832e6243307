// Package scheduler queues the requests of one cell of engines and grants
// engines to the hosts that ask.
//
// Cell decides: it is a state machine without input, output or a clock.
// Scheduler carries the decisions out.
package scheduler

import (
	"slices"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/placer"
)

const (
	// askTimeout is the time after which an ask that its host does not repeat
	// is dropped.
	askTimeout = 3 * time.Second
	// grantGrace is the time after its deadline at which a grant expires.
	grantGrace = 2 * time.Second
	// sweepInterval is the least time between two looks for what has expired.
	sweepInterval = 100 * time.Millisecond
	// typicalAnswer bounds the answer tokens that are expected when only the
	// limit of the answer is known.
	typicalAnswer = 128
)

// Cell is the state of one cell. Next changes it; it must not be used by two
// goroutines at a time. Its zero value is an empty cell.
type Cell struct {
	limits   Limits
	engines  []*engine
	byID     map[string]*engine
	asks     map[string]*ask
	seen     map[string]time.Time
	grants   map[string]*grant
	requests map[string]int
	released map[string]time.Time
	queue    queue
	prefixes prefixes
	promise  *promise
	// shorts and longs are the prefills by class; answers and held are the
	// answers that can move, in sequences and in tokens of memory.
	shorts  demand
	longs   demand
	answers demand
	held    demand
	// decoders counts the engines set apart for answers that move.
	decoders  int
	moveAsked time.Time
	swept     time.Time
	actions   []Action
}

// Next takes an event and returns the actions that follow. The returned slice
// is valid until the next call.
func (cel *Cell) Next(eve Event, now time.Time) []Action {
	cel.prepare()
	cel.chooseDecoders(now)
	cel.actions = cel.actions[:0]
	switch eve := eve.(type) {
	case Request:
		cel.ask(eve, now)
	case Cancel:
		cel.end(eve.ID, now)
	case Prefilled:
		cel.prefilled(eve.ID)
	case Release:
		cel.end(eve.ID, now)
	case Move:
		cel.move(eve.ID, now)
	case Moved:
		cel.moved(eve.ID, now)
	case Stayed:
		cel.stayed(eve.ID, now)
	case Report:
		cel.report(eve, now)
	case Unreachable:
		cel.unreachable(eve.Endpoint)
	case Listing:
		cel.list(eve, now)
	case OwnerRemoved:
		cel.ownerGone(eve, now)
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
	cel.asks = map[string]*ask{}
	cel.seen = map[string]time.Time{}
	cel.grants = map[string]*grant{}
	cel.requests = map[string]int{}
	cel.released = map[string]time.Time{}
}

// Waiting returns the number of waiting asks.
func (cel *Cell) Waiting() int { return cel.queue.count }

// Granted returns the number of grants that have not ended.
func (cel *Cell) Granted() int { return len(cel.grants) }

// ExpectedWait returns the expected wait of a new prompt.
func (cel *Cell) ExpectedWait(now time.Time) time.Duration {
	queued := cel.queue.tokens
	var rat float64
	for _, eng := range cel.engines {
		eng.advance(now)
		if !eng.live(now) {
			continue
		}
		rat += eng.prefillRate()
		for _, par := range eng.prefills {
			queued += par.left
		}
	}
	if rat == 0 {
		return maxRetryAfter
	}
	return time.Duration(float64(queued) / rat * float64(time.Second))
}

func (cel *Cell) refuse(id, code, message string, retry time.Duration) {
	delete(cel.seen, id)
	cel.actions = append(cel.actions, Refuse{ID: id, Refuse: placer.Refuse{Code: code, Message: message, RetryAfter: min(maxRetryAfter, max(minRetryAfter, retry))}})
}

// drop takes a waiting ask out of the queue.
func (cel *Cell) drop(one *ask) {
	cel.queue.remove(one)
	delete(cel.asks, one.id)
	delete(cel.seen, one.id)
	if cel.promise != nil && cel.promise.ask == one {
		cel.unpromise()
	}
}

// end cancels a waiting ask or releases a grant.
func (cel *Cell) end(id string, now time.Time) {
	if one := cel.asks[id]; one != nil {
		cel.drop(one)
	}
	if gra := cel.grants[id]; gra != nil {
		cel.release(gra, now)
	}
}

func (cel *Cell) release(gra *grant, now time.Time) {
	for _, par := range gra.parts {
		par.eng.doubted = par.eng.doubted || !gra.prefilled
		par.give(now)
	}
	cel.giveTarget(gra, now)
	delete(cel.grants, gra.ask.id)
	id := gra.ask.req.ID
	if cel.requests[id]--; cel.requests[id] <= 0 {
		delete(cel.requests, id)
		cel.released[id] = now
	}
}

// prefilled notes that the lead engine is done with the prompt and holds its
// prefix.
func (cel *Cell) prefilled(id string) {
	gra := cel.grants[id]
	if gra == nil || gra.prefilled {
		return
	}
	gra.prefilled = true
	for _, par := range gra.parts {
		par.eng.prefilled(par)
	}
	if len(gra.parts) == 1 {
		cel.cache(gra.parts[0])
	}
}

func (cel *Cell) report(rep Report, now time.Time) {
	eng := cel.byID[rep.Endpoint]
	if eng == nil {
		return
	}
	if eng.incarnation != rep.Load.Incarnation {
		// Another process of the engine has none of the blocks.
		eng.incarnation = rep.Load.Incarnation
		cel.prefixes.clear(eng.slot)
	}
	known := func(id string) bool {
		_, ended := cel.released[id]
		return ended || cel.requests[id] > 0
	}
	eng.accept(rep.Load, known, now)
	cel.reconcile(eng, rep.Load, now)
}

// reconcile ends the grants whose requests an engine no longer lists, because
// the notice of their end was lost.
func (cel *Cell) reconcile(eng *engine, loa invoker.Load, now time.Time) {
	if loa.Partial || len(loa.Sequences) < loa.Running {
		return
	}
	listed := make(map[string]bool, len(loa.Sequences))
	for _, seq := range loa.Sequences {
		listed[seq.RequestID] = true
	}
	for _, gra := range cel.grants {
		lis := listed[gra.ask.req.ID]
		if tar := gra.target; tar != nil && tar.eng == eng && tar.lost(lis, now) {
			cel.stayed(gra.ask.id, now)
		}
		if sou := gra.parts[0]; sou.eng == eng && sou.lost(lis, now) {
			cel.leave(gra, now)
		}
	}
}

// leave ends a grant whose engine no longer has its request, or its move, if
// the request has gone on elsewhere.
func (cel *Cell) leave(gra *grant, now time.Time) {
	if gra.target != nil {
		cel.moved(gra.ask.id, now)
		return
	}
	cel.release(gra, now)
}

// list takes engines in and out of the cell. An engine that went keeps its
// account until its grants have ended, as it may come back.
func (cel *Cell) list(lis Listing, now time.Time) {
	keep := map[string]bool{}
	for _, end := range lis.Engines {
		keep[end.ID] = true
		eng := cel.byID[end.ID]
		if eng == nil {
			if eng = cel.add(end.ID, now); eng == nil {
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
		cel.unpromiseOn(eng)
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

func (cel *Cell) add(id string, now time.Time) *engine {
	var use uint64
	for _, eng := range cel.engines {
		use |= 1 << eng.slot
	}
	for slo := range maxSlots {
		if use&(1<<slo) == 0 {
			eng := &engine{id: id, slot: slo, advanced: now}
			cel.byID[id] = eng
			cel.engines = append(cel.engines, eng)
			return eng
		}
	}
	return nil
}

// Suspected reports whether an engine may have failed, so that its report should
// be read soon.
func (cel *Cell) Suspected(endpoint string) bool {
	eng := cel.byID[endpoint]
	return eng != nil && (eng.lost || eng.doubted)
}

// unreachable keeps new asks from an engine until a report is read.
func (cel *Cell) unreachable(endpoint string) {
	if eng := cel.byID[endpoint]; eng != nil {
		eng.lost = true
		cel.unpromiseOn(eng)
	}
}

func (cel *Cell) ownerGone(own OwnerRemoved, now time.Time) {
	for _, one := range cel.asks {
		if one.host == own.Host && one.inc <= own.Incarnation {
			cel.drop(one)
		}
	}
	for _, gra := range cel.grants {
		if gra.ask.host == own.Host && gra.ask.inc <= own.Incarnation {
			cel.release(gra, now)
		}
	}
}

// sweep ends what has expired.
func (cel *Cell) sweep(now time.Time) {
	if now.Sub(cel.swept) < sweepInterval {
		return
	}
	cel.swept = now
	for _, id := range sortedKeys(cel.asks) {
		one := cel.asks[id]
		if !cel.expired(one, now) && now.Sub(cel.seen[id]) > askTimeout {
			cel.drop(one)
		}
	}
	for _, gra := range cel.grants {
		if now.After(gra.expires) {
			cel.release(gra, now)
		}
	}
	for id, at := range cel.released {
		if now.Sub(at) > releasedGrace {
			delete(cel.released, id)
		}
	}
	cel.queue.forget()
}

// expired refuses a waiting ask that can no longer start in time.
func (cel *Cell) expired(one *ask, now time.Time) bool {
	if now.Before(one.latestStart) {
		return false
	}
	cel.drop(one)
	cel.refuse(one.id, CodeOverloaded, "no engine could start the prompt in time", cel.wait(one.team, one.long, now))
	return true
}

// sortedKeys makes the order of actions a function of the state.
func sortedKeys(asks map[string]*ask) []string {
	ids := make([]string, 0, len(asks))
	for id := range asks {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
