package assigner

import (
	"context"
	"errors"
	"time"

	"hemlockpin/process/gossiper"
)

const (
	// suspectPeriod is how long a planner that did not answer receives no requests. It
	// doubles with each successive failure up to maxSuspectPeriod, since membership takes
	// some seconds to declare an unresponsive host dead.
	suspectPeriod    = 2 * time.Second
	maxSuspectPeriod = 16 * time.Second
	// A planner becomes suspect by a timeout only if its first missed reply is at least
	// minMissPeriod ago. Before that, requests that time out go to other hosts, which relay
	// them to the planner: this host may itself cause the timeouts if it has little
	// processor time, and each suspicion leads to a second plan of the pool.
	minMissPeriod = 300 * time.Millisecond
)

// suspicion records the failures of a planner to answer.
type suspicion struct {
	// incarnation is that of the planner when it became suspect. A planner that has
	// restarted since is not suspect: hosts that saw the failure and hosts that did not
	// would otherwise use different planners.
	incarnation uint64
	// firstMissed is the time of the first missed reply since the last answer.
	firstMissed time.Time
	until       time.Time
	period      time.Duration
}

// covers reports whether the suspicion holds for an incarnation of the planner.
func (sus suspicion) covers(incarnation uint64, now time.Time) bool {
	return now.Before(sus.until) && incarnation <= sus.incarnation
}

// recordIncarnation records the incarnation of a live peer. pla.mu must be held.
func (pla *Planners) recordIncarnation(per gossiper.Peer) {
	if pla.incarnations == nil {
		pla.incarnations = map[string]uint64{}
	}
	pla.incarnations[per.ID] = per.Started
}

// suspect records that a planner failed to answer. After an error other than a timeout the
// planner becomes suspect at once, after a timeout only if minMissPeriod has passed since
// the first missed reply.
func (pla *Planners) suspect(id string, err error) {
	now := pla.Clock()
	pla.mu.Lock()
	defer pla.mu.Unlock()
	if pla.suspects == nil {
		pla.suspects = map[string]suspicion{}
	}
	sus, incarnation := pla.suspects[id], pla.incarnations[id]
	if sus.covers(incarnation, now) {
		// Another request has already made the planner suspect.
		return
	}
	if incarnation > sus.incarnation {
		sus = suspicion{incarnation: incarnation}
	}
	if sus.firstMissed.IsZero() {
		sus.firstMissed = now
	}
	if errors.Is(err, context.DeadlineExceeded) && now.Sub(sus.firstMissed) < minMissPeriod {
		pla.suspects[id] = sus
		return
	}
	sus.period = min(maxSuspectPeriod, max(suspectPeriod, 2*sus.period))
	sus.until = now.Add(sus.period)
	pla.suspects[id] = sus
	pla.Log.Warn().Str("Peer", id).Uint64("Incarnation", incarnation).Err(err).Dur("ForMs", sus.period).Msg("planner did not answer; sending it no requests for a time, unless it restarts")
}

// clearSuspicion ends the suspicion of a planner that has answered.
func (pla *Planners) clearSuspicion(id string) {
	pla.mu.Lock()
	defer pla.mu.Unlock()
	delete(pla.suspects, id)
}
