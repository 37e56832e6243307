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

// announcedTo reports whether a planner has received the grant.
func (gra *activeGrant) announcedTo(id string) bool {
	return slices.ContainsFunc(gra.planners, func(hos host) bool { return hos.id == id })
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

// Announce reports the grants of this host to new planners, so that their plans include the
// grants of earlier planners. It is called at intervals and when the planner changes.
func (pla *Planners) Announce(now time.Time) {
	type announcement struct {
		hos  host
		pool string
		eve  planner.Announced
	}
	plannerOf := map[string]host{}
	var out []announcement
	pla.mu.Lock()
	pools := map[string]bool{}
	for _, gra := range pla.grants {
		pools[gra.pool] = true
	}
	pla.mu.Unlock()
	for poo := range pools {
		if cans := pla.candidates(poo, now); len(cans) > 0 {
			plannerOf[poo] = cans[0]
		}
	}
	pla.mu.Lock()
	for _, gra := range pla.grants {
		hos, ok := plannerOf[gra.pool]
		if !ok || gra.announcedTo(hos.id) {
			continue
		}
		gra.planners = append(gra.planners, hos)
		out = append(out, announcement{hos, gra.pool, gra.announcement(now)})
	}
	pla.mu.Unlock()
	for _, ann := range out {
		pla.notify(ann.hos, ann.pool, ann.eve)
	}
	if len(out) > 0 {
		pla.Log.Info().Str("Peer", out[0].hos.id).Int("Grants", len(out)).Msg("announced grants to new planners; the key Peer names the first")
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
	return planner.Announced{Request: requestOf(notice.GetAsk(), now), Parts: partsOf(notice.GetParts()), Age: fromMillis(notice.GetAgeMs()), Began: notice.GetBegun()}
}
