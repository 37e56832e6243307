package planner

import (
	"cmp"
	"slices"
	"time"
)

const (
	// retryInterval is the shortest time between two evaluations of a waiting request. It
	// is short against the prefill of a part, which takes some tens of milliseconds. The
	// first retryBatch requests of a kind are evaluated at this interval, the next
	// retryBatch at twice the interval, and so on.
	retryInterval = 8 * time.Millisecond
	retryBatch    = 3
	// acceptableLoss is the expected loss, to the request itself and to others, up to which
	// a request with time to wait starts at once, as a share of its weight.
	acceptableLoss = 0.06
	// waitShare is the spare time, as a share of the objective, below which a request
	// accepts more than acceptableLoss. The accepted loss rises linearly to lateLoss when no
	// spare time is left.
	waitShare = 0.5
	// waitMargin is the time in ms by which the slack of a request whose best choice is
	// late must exceed the time to the first event on idle engines for the request to wait
	// for a better choice.
	waitMargin = 40
	// opportunityRate is the weight lost for each second in which an engine is not free
	// for a prompt that could still meet its objective.
	opportunityRate = 2.0
)

// dispatch grants engines to waiting requests, the most urgent first. A new request is
// evaluated at once if no request of its kind waits ahead of it. Waiting requests are
// evaluated again after retryInterval, and less often the more of their kind are ahead of
// them, so that the work of a call of Next hardly grows with the backlog.
func (pla *Plan) dispatch(now time.Time) {
	if len(pla.waiting) == 0 || !pla.hasNewRequest && now.Sub(pla.lastDispatch) < retryInterval {
		return
	}
	pla.hasNewRequest, pla.lastDispatch = false, now
	pla.sortWaiting(now)
	var aheadByKind [2]int
	var stillWaiting []*pending
	for _, pen := range pla.waiting {
		ahead := &aheadByKind[pen.kindIndex()]
		if !pen.due(*ahead, now) {
			stillWaiting = append(stillWaiting, pen)
			*ahead++
			continue
		}
		pen.evaluated = now
		cho, ok := pla.choose(pen, now)
		switch {
		case ok && pla.shouldStart(pen, cho, now):
			pla.grant(pen, cho, now)
		case pla.refuseIfInfeasible(pen, cho, ok, now):
		default:
			stillWaiting = append(stillWaiting, pen)
			*ahead++
		}
	}
	pla.waiting = stillWaiting
}

// kindIndex is the index of the request's kind in dispatch: 1 for a long prompt, 0 for a
// short one.
func (pen *pending) kindIndex() int {
	if pen.long() {
		return 1
	}
	return 0
}

// due reports whether a request is to be evaluated, given the number of requests of its
// kind ahead of it.
func (pen *pending) due(ahead int, now time.Time) bool {
	if pen.evaluated.IsZero() {
		return ahead == 0 || now.Sub(pen.arrived) >= retryInterval
	}
	return now.Sub(pen.evaluated) >= retryInterval*time.Duration(1+ahead/retryBatch)
}

// idleFirst is the shortest time to the first event of a request, on idle engines.
func (pla *Plan) idleFirst(pen *pending) ms {
	partCount := max(1, min(maxParts, len(pla.sortedEngines), int(pen.prefill/minPart)))
	return pen.prefill/ms(partCount) + pla.costs.decodePass(1, pen.prompt.Tokens) + networkTime
}

// sortWaiting orders the waiting requests: those that can still meet their objective come
// first, then by priority and by the latest time at which they must start.
func (pla *Plan) sortWaiting(now time.Time) {
	for _, pen := range pla.waiting {
		pen.latestStart = pen.prompt.Target.Add(-pla.idleFirst(pen).duration())
	}
	slices.SortStableFunc(pla.waiting, func(a, b *pending) int {
		if late := a.latestStart.Before(now); late != b.latestStart.Before(now) {
			if late {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(b.prompt.Priority, a.prompt.Priority), a.latestStart.Compare(b.latestStart))
	})
}

// shouldStart reports whether a request starts with a choice now instead of waiting for a
// better choice. The accepted loss grows as the request's spare time runs out.
func (pla *Plan) shouldStart(pen *pending, cho choice, now time.Time) bool {
	weight := pla.weight(pen)
	if cho.first > msOf(pen.callerDeadline.Sub(now)) {
		return false
	}
	ownLoss := pla.latenessLoss(pen, cho.first, now)
	spare := onTimeShare*pen.slack(now) - cho.first
	if ownLoss < lateLoss*weight {
		urgency := 1 - float64(spare)/(waitShare*float64(max(1, msOf(pen.prompt.Objective))))
		return cho.loss <= weight*(acceptableLoss+(lateLoss-acceptableLoss)*min(1, max(0, urgency)))
	}
	if pen.slack(now)-pla.idleFirst(pen) > waitMargin {
		// Engines that become idle in time could still meet the objective.
		return false
	}
	return cho.loss-ownLoss < (1-lateLoss)*weight-pla.opportunityLoss(pen, now)
}

// opportunityLoss is the expected loss of the requests that will arrive while engines
// prefill a late prompt. It grows with the share of the engines that other requests
// occupy.
func (pla *Plan) opportunityLoss(pen *pending, now time.Time) float64 {
	busy := min(1, pla.longShare(pen, now)+pla.shortShare(now))
	return opportunityRate * busy * busy * float64(pen.prefill) / 1000
}
