package assigner

import (
	"slices"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/process/planner"
)

// activeGrant is a grant to this host that has not ended.
type activeGrant struct {
	pool      string
	req       planner.Request
	parts     []planner.Part
	grantedAt time.Time
	begun     bool
	// planners are the planners that know of the grant.
	planners []host
}

func (gra *activeGrant) knownTo(id string) bool {
	return slices.ContainsFunc(gra.planners, func(hos host) bool { return hos.id == id })
}

// event reports the grant to another planner.
func (gra *activeGrant) event(now time.Time) planner.Announced {
	return planner.Announced{Request: gra.req, Parts: gra.parts, Age: now.Sub(gra.grantedAt), Began: gra.begun}
}

// addGrant records a grant until it ends.
func (pla *Planners) addGrant(pool string, req planner.Request, act planner.Assign, hos host) {
	pla.mu.Lock()
	defer pla.mu.Unlock()
	if pla.grants == nil {
		pla.grants = map[string]*activeGrant{}
	}
	pla.grants[act.ID] = &activeGrant{pool: pool, req: req, parts: act.Parts, grantedAt: pla.Clock(), planners: []host{hos}}
}

// report sends an event of a grant to all planners that know of the grant.
func (pla *Planners) report(id string, eve planner.Event) {
	pla.mu.Lock()
	gra := pla.grants[id]
	if gra == nil {
		pla.mu.Unlock()
		return
	}
	switch eve.(type) {
	case planner.Began:
		gra.begun = true
	case planner.Ended:
		delete(pla.grants, id)
	}
	hosts := slices.Clone(gra.planners)
	pla.mu.Unlock()
	for _, hos := range hosts {
		pla.notify(hos, gra.pool, eve)
	}
}

// Announce reports the grants of this host to new planners, so that their plans begin with
// a complete view of the engines. It is called at intervals and when the planner changes.
func (pla *Planners) Announce(now time.Time) {
	type announcement struct {
		hos  host
		pool string
		eve  planner.Announced
	}
	planners := map[string]host{}
	var out []announcement
	pla.mu.Lock()
	pools := map[string]bool{}
	for _, gra := range pla.grants {
		pools[gra.pool] = true
	}
	pla.mu.Unlock()
	for poo := range pools {
		if cans := pla.candidates(poo, now); len(cans) > 0 {
			planners[poo] = cans[0]
		}
	}
	pla.mu.Lock()
	for _, gra := range pla.grants {
		hos, ok := planners[gra.pool]
		if !ok || gra.knownTo(hos.id) {
			continue
		}
		gra.planners = append(gra.planners, hos)
		out = append(out, announcement{hos, gra.pool, gra.event(now)})
	}
	pla.mu.Unlock()
	for _, ann := range out {
		pla.notify(ann.hos, ann.pool, ann.eve)
	}
	if len(out) > 0 {
		pla.Log.Info().Str("Peer", out[0].hos.id).Int("Grants", len(out)).Msg("announced grants to new planner")
	}
}

// heldNotice converts a grant in progress to a notice. The times of its request are
// relative to now, not to the time of the grant.
func heldNotice(eve planner.Announced, now time.Time) *messenger.PlanNotice {
	not := &messenger.PlanNotice{
		Id: eve.Request.ID, Kind: messenger.PlanNotice_KIND_HELD, Ask: planRequest("", eve.Request, 0, now), AgeMs: eve.Age.Milliseconds(), Begun: eve.Began,
	}
	not.Parts = partMessages(eve.Parts)
	return not
}

func heldOf(not *messenger.PlanNotice, now time.Time) planner.Announced {
	return planner.Announced{Request: requestOf(not.GetAsk(), now), Parts: partsOf(not.GetParts()), Age: fromMillis(not.GetAgeMs()), Began: not.GetBegun()}
}
