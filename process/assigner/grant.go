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
	began     bool
	// planners are the hosts that have received the grant for their plans.
	planners []host
}

// announcedTo reports whether a process of a planner has received the grant.
func (gra *activeGrant) announcedTo(hos host) bool {
	return slices.ContainsFunc(gra.planners, func(other host) bool { return other.id == hos.id && other.incarnation >= hos.incarnation })
}

// announcement returns the event that reports the grant to another planner.
func (gra *activeGrant) announcement(now time.Time) planner.Announced {
	return planner.Announced{Request: gra.req, Parts: gra.parts, Age: now.Sub(gra.grantedAt), Began: gra.began}
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

// notifyPlanners sends an event of a grant to all planners that have received the grant.
func (pla *Planners) notifyPlanners(id string, eve planner.Event) {
	pla.mu.Lock()
	gra := pla.grants[id]
	if gra == nil {
		pla.mu.Unlock()
		return
	}
	switch eve.(type) {
	case planner.Began:
		gra.began = true
	case planner.Ended:
		delete(pla.grants, id)
	}
	hosts := slices.Clone(gra.planners)
	pla.mu.Unlock()
	for _, hos := range hosts {
		pla.notify(hos, gra.pool, eve)
	}
}

// notifyPlanner reports an event that belongs to no grant to the planner of a pool.
func (pla *Planners) notifyPlanner(pool string, eve planner.Event) {
	if cans := pla.candidates(pool, pla.Clock()); len(cans) > 0 {
		pla.notify(cans[0], pool, eve)
	}
}

// Announce reports the grants of this host to new planners, so that their plans include the
// grants of earlier planners. It is called at intervals and when the planner changes.
func (pla *Planners) Announce(now time.Time) {
	pools := map[string]bool{}
	pla.mu.Lock()
	for _, gra := range pla.grants {
		pools[gra.pool] = true
	}
	pla.mu.Unlock()
	for poo := range pools {
		if cans := pla.candidates(poo, now); len(cans) > 0 {
			pla.announceTo(cans[0], poo, now)
		}
	}
}

// announceTo reports the grants of a pool to a planner that has not received them.
func (pla *Planners) announceTo(hos host, pool string, now time.Time) {
	var eves []planner.Announced
	pla.mu.Lock()
	for _, gra := range pla.grants {
		if gra.pool == pool && !gra.announcedTo(hos) {
			gra.planners = append(gra.planners, hos)
			eves = append(eves, gra.announcement(now))
		}
	}
	pla.mu.Unlock()
	for _, eve := range eves {
		pla.notify(hos, pool, eve)
	}
	if len(eves) > 0 {
		pla.Log.Info().Str("Peer", hos.id).Str("Pool", pool).Int("Grants", len(eves)).Msg("announced grants to a new planner")
	}
}

// recordPlanner records the planner that has decided on a request of this host. If it is
// not the one of the pool's previous request, it receives the grants of this host at once.
func (pla *Planners) recordPlanner(hos host, pool string, now time.Time) {
	pla.mu.Lock()
	if pla.lastPlanner == nil {
		pla.lastPlanner = map[string]host{}
	}
	changed := pla.lastPlanner[pool] != hos
	pla.lastPlanner[pool] = hos
	pla.mu.Unlock()
	if changed {
		pla.announceTo(hos, pool, now)
	}
}

// announcedMessage converts the announcement of a grant to a notice. The times of the
// grant's request are relative to now, not to the time of the grant.
func announcedMessage(eve planner.Announced, now time.Time) *messenger.PlanNotice {
	notice := &messenger.PlanNotice{
		Id: eve.Request.ID, Kind: messenger.PlanNotice_KIND_HELD, Ask: requestMessage("", eve.Request, 0, now), AgeMs: eve.Age.Milliseconds(), Begun: eve.Began,
	}
	notice.Parts = partMessages(eve.Parts)
	return notice
}

func announcedOf(notice *messenger.PlanNotice, now time.Time) planner.Announced {
	return planner.Announced{Request: requestOf(notice.GetAsk(), now), Parts: partsOf(notice.GetParts()), Age: messenger.Age(notice.GetAgeMs()), Began: notice.GetBegun()}
}
