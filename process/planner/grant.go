package planner

import "time"

// part is the prefill that one engine does for a grant.
type part struct {
	gra *grant
	eng *engine
	// prefill is the time left to prefill at the engine's pace, tokens the number of tokens
	// that no pass has started to prefill, and passPrefill the share of prefill that belongs
	// to the pass in progress. memory is the number of tokens of memory that the part uses
	// on its engine.
	prefill     ms
	tokens      float64
	passPrefill ms
	memory      int64
}

// divided reports whether other engines prefill parts of the same prompt.
func (par *part) divided() bool { return len(par.gra.parts) > 1 }

// grant is a request with the engines that serve it.
type grant struct {
	req   *pending
	lead  *engine
	parts []*part
	// pendingParts is the estimated number of parts whose prefill has not ended.
	pendingParts int
	began        bool
	// pauseExceeded reports that the answer has paused, or will pause, for longer than its
	// limit on pauses.
	pauseExceeded bool
	grantedAt     time.Time
	// expectedFirst is the time at which the first event should arrive.
	expectedFirst time.Time
	// leadMemory is the memory in tokens that the grant holds on the lead engine.
	leadMemory int64
}

// decoding reports whether the lead engine generates the answer.
func (gra *grant) decoding() bool { return gra.began || gra.pendingParts == 0 }

// grant gives a request the engines of a choice.
func (pla *Plan) grant(pen *pending, cho choice, now time.Time) {
	gra := &grant{req: pen, lead: cho.lead, grantedAt: now, leadMemory: pen.memory, expectedFirst: now.Add(cho.first.duration()), pendingParts: len(cho.engines)}
	cho.lead.addGrant(gra)
	if cho.lead.Cold.Cold() {
		cho.lead.coldBucket = cho.lead.coldBucket.WithCall()
	}
	for i, eng := range cho.engines {
		n := len(cho.engines)
		par := &part{gra: gra, eng: eng, prefill: pen.prefill / ms(n) * eng.pace, tokens: float64(pen.prompt.Tokens) / float64(n)}
		switch {
		case cho.reserve != nil:
			par.memory = cho.reserve[i]
		case i == 0:
			par.memory = pen.memory
		}
		gra.parts = append(gra.parts, par)
	}
	if len(gra.parts) == 1 {
		for _, other := range cho.lead.undividedAwaitingFirst() {
			if other != gra {
				other.expectedFirst = other.expectedFirst.Add(gra.parts[0].prefill.duration())
			}
		}
	}
	for _, par := range gra.parts {
		if par.eng.Limited {
			par.eng.bucket = par.eng.bucket.WithCall()
		}
		par.eng.addPart(pla.costs, par, now)
		par.eng.markExceededPauses(pla.costs)
		pla.postponeExpected(par.eng, now)
	}
	if cho.reserve != nil {
		gra.leadMemory = gra.parts[0].memory
	}
	pla.grants[pen.ID] = gra
	pla.appendAssign(gra, now)
}

// postponeExpected postpones the expected first events of the grants whose parts wait on
// an engine.
func (pla *Plan) postponeExpected(eng *engine, now time.Time) {
	for _, pars := range [][]*part{eng.dividedQueue, eng.undividedQueue} {
		for _, par := range pars {
			if expected := now.Add(pla.firstEventDelay(par, now).duration()); expected.After(par.gra.expectedFirst) {
				par.gra.expectedFirst = expected
			}
		}
	}
}

// appendAssign appends the action that grants engines to a request, also when a granted
// request is repeated.
func (pla *Plan) appendAssign(gra *grant, now time.Time) {
	act := Assign{ID: gra.req.ID, First: gra.expectedFirst.Sub(now), Waited: gra.grantedAt.Sub(gra.req.arrived), Far: pla.crossing(gra.req, gra.lead).Leaves}
	leadHoldsAll := len(gra.parts) > 0 && gra.parts[0].memory >= gra.req.memory
	for _, par := range gra.parts {
		assigned := Part{Endpoint: par.eng.ID, Address: par.eng.Address}
		if !leadHoldsAll {
			assigned.Reserve = par.memory
		}
		act.Parts = append(act.Parts, assigned)
	}
	pla.actions = append(pla.actions, act)
}
