package assigner

import (
	"slices"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/process/planner"
)

// held is a grant of this host that has not ended.
type held struct {
	pool  string
	ask   planner.Request
	parts []planner.Part
	since time.Time
	begun bool
	// hosts are the planners that have it in their accounts.
	hosts []host
}

func (hel *held) knows(id string) bool {
	return slices.ContainsFunc(hel.hosts, func(hos host) bool { return hos.id == id })
}

// event tells another planner of the grant.
func (hel *held) event(now time.Time) planner.Held {
	return planner.Held{Request: hel.ask, Parts: hel.parts, Age: now.Sub(hel.since), Begun: hel.begun}
}

// keep notes a grant until it ends.
func (pla *Planners) keep(pool string, ask planner.Request, act planner.Assign, hos host) {
	pla.mu.Lock()
	defer pla.mu.Unlock()
	if pla.held == nil {
		pla.held = map[string]*held{}
	}
	pla.held[act.ID] = &held{pool: pool, ask: ask, parts: act.Parts, since: pla.Clock(), hosts: []host{hos}}
}

// tell passes an event of a grant on to all planners that have it.
func (pla *Planners) tell(id string, eve planner.Event) {
	pla.mu.Lock()
	hel := pla.held[id]
	if hel == nil {
		pla.mu.Unlock()
		return
	}
	switch eve.(type) {
	case planner.Began:
		hel.begun = true
	case planner.Ended:
		delete(pla.held, id)
	}
	hoss := slices.Clone(hel.hosts)
	pla.mu.Unlock()
	for _, hos := range hoss {
		pla.notify(hos, hel.pool, eve)
	}
}

// Announce tells planners that are new of the grants of this host, so that their
// accounts begin whole. It is called at intervals and when the planner changes.
func (pla *Planners) Announce(now time.Time) {
	type news struct {
		hos  host
		pool string
		eve  planner.Held
	}
	lead := map[string]host{}
	var out []news
	pla.mu.Lock()
	pools := map[string]bool{}
	for _, hel := range pla.held {
		pools[hel.pool] = true
	}
	pla.mu.Unlock()
	for poo := range pools {
		if cans := pla.candidates(poo, now); len(cans) > 0 {
			lead[poo] = cans[0]
		}
	}
	pla.mu.Lock()
	for _, hel := range pla.held {
		hos, ok := lead[hel.pool]
		if !ok || hel.knows(hos.id) {
			continue
		}
		hel.hosts = append(hel.hosts, hos)
		out = append(out, news{hos, hel.pool, hel.event(now)})
	}
	pla.mu.Unlock()
	for _, one := range out {
		pla.notify(one.hos, one.pool, one.eve)
	}
	if len(out) > 0 {
		pla.Log.Info().Str("Peer", out[0].hos.id).Int("Grants", len(out)).Msg("grants announced to a new planner")
	}
}

// heldNotice converts a grant in progress. Times are left out of the ask's age.
func heldNotice(eve planner.Held, now time.Time) *messenger.PlanNotice {
	not := &messenger.PlanNotice{
		Id: eve.Request.ID, Kind: messenger.PlanNotice_KIND_HELD, Ask: request("", eve.Request, 0, now), AgeMs: eve.Age.Milliseconds(), Begun: eve.Begun,
	}
	not.Parts = partsTo(eve.Parts)
	return not
}

func heldOf(not *messenger.PlanNotice, now time.Time) planner.Held {
	return planner.Held{Request: askOf(not.GetAsk(), now), Parts: partsOf(not.GetParts()), Age: millis(not.GetAgeMs()), Begun: not.GetBegun()}
}
