package scheduler

import (
	"math"
	"time"

	"hemlockpin/request/hasher"
)

const (
	// maxWaitShare is the share of a request's slack that its expected wait in
	// the queue may take; a request that would wait longer is refused at once.
	maxWaitShare = 0.5
	// demandPeriod is the time constant of the exponential average of demand.
	demandPeriod = 20 * time.Second
	// minDemandAge is the minimum time over which demand is averaged, so that
	// the first work after the start does not count as a high load.
	minDemandAge = 2 * time.Second
	// shortHeadroom is the number of engines reserved for short prompts beyond the
	// mean number that their prefills occupy, as a multiple of the square root of
	// that number.
	shortHeadroom = 1.2
	// minShortShare is the minimum share of the engines reserved for short
	// prompts.
	minShortShare = 0.15
	// CodeInfeasible refuses a prompt whose prefill would end after its deadline
	// even if it started at once.
	CodeInfeasible = "deadline_infeasible"
)

// demand is an exponential average of the use of a resource, such as busy engines,
// running sequences or tokens of memory. Work is an amount of the resource multiplied
// by the seconds for which it is used. The zero value has no work.
type demand struct {
	// sum is the decayed sum at updatedAt; since is the time of the first work.
	sum       float64
	updatedAt time.Time
	since     time.Time
}

func (dem demand) withWork(work float64, now time.Time) demand {
	if dem.since.IsZero() {
		dem.since = now
	}
	dem.sum = dem.decayed(now) + work/demandPeriod.Seconds()
	dem.updatedAt = now
	return dem
}

func (dem demand) decayed(now time.Time) float64 {
	return dem.sum * math.Exp(-max(0, now.Sub(dem.updatedAt).Seconds())/demandPeriod.Seconds())
}

// mean returns the average over the time since the first work. It corrects the bias of
// the exponential average while that time is short compared with demandPeriod.
func (dem demand) mean(now time.Time) float64 {
	age := max(minDemandAge, now.Sub(dem.since))
	return dem.decayed(now) / (1 - math.Exp(-age.Seconds()/demandPeriod.Seconds()))
}

// submit queues or refuses a new request. For a granted request it repeats the grant;
// for a waiting request it only records the repetition.
func (cel *Cell) submit(req Request, now time.Time) {
	if gra := cel.grants[req.ID]; gra != nil {
		cel.emitGrant(gra)
		return
	}
	if cel.pending[req.ID] != nil {
		cel.repeatedAt[req.ID] = now
		return
	}
	ent := cel.newEntry(req, now)
	if !cel.admit(ent, now) {
		return
	}
	if limit := cel.limits.MaxWaiting; limit > 0 && cel.queue.count >= limit && !cel.makeRoom(ent, now) {
		return
	}
	cel.pending[ent.id] = ent
	cel.repeatedAt[ent.id] = now
	cel.queue.push(ent)
	cel.countDemand(ent, now)
}

// countDemand adds a request to the demand for prefills and for answers.
func (cel *Cell) countDemand(ent *entry, now time.Time) {
	prefill := cel.prefillTime(ent.req.PromptTokens).Seconds()
	if ent.long {
		cel.longDemand = cel.longDemand.withWork(prefill, now)
	} else {
		cel.shortDemand = cel.shortDemand.withWork(prefill, now)
	}
	if cel.movable(ent) {
		decode := cel.answerTime(ent.req.MaxTokens).Seconds()
		cel.answerDemand = cel.answerDemand.withWork(decode, now)
		cel.answerMemory = cel.answerMemory.withWork(decode*float64(ent.req.Need()), now)
	}
}

func (cel *Cell) newEntry(eve Request, now time.Time) *entry {
	req := eve.Request
	ent := &entry{id: eve.ID, host: eve.Host, incarnation: eve.Incarnation, req: req, arrived: now}
	ent.team = cel.queue.team(req.Team, req.Share)
	cel.prefixes.match(req.Prefix, &ent.cachedBlocks)
	var mostCached uint16
	for _, blocks := range ent.cachedBlocks {
		mostCached = max(mostCached, blocks)
	}
	uncached := max(1, req.PromptTokens-int64(mostCached)*hasher.BlockTokens)
	prefill := cel.prefillTime(uncached)
	ent.cost = float64(uncached + answerWeight*min(req.MaxTokens, typicalAnswerTokens))
	ent.long = prefill >= longPrefill
	ent.latestStart = req.Deadline.Add(-prefill - cel.answerTime(req.MaxTokens))
	ent.key = now.Add(time.Duration(prefillKeyFactor * float64(prefill))).Add(-time.Duration(req.Priority) * priorityKeyStep)
	return ent
}

// admit decides whether a request needs a group, and refuses a request that the
// engines cannot serve or cannot serve in time. It reports whether the request may be
// queued.
func (cel *Cell) admit(ent *entry, now time.Time) bool {
	available := cel.capacityFor(ent, now)
	ent.group = ent.req.Need() > available.largest
	ent.long = ent.long || ent.group
	cel.relaxLatestStart(ent, now)
	wait := cel.queueWait(ent.team, ent.long, now)
	switch {
	case !available.listed:
		cel.refuse(ent.id, CodeNoEndpoint, "no engine of the pool can take the request", minRetryAfter)
	case available.largest == 0:
		cel.refuse(ent.id, CodeUnavailable, "no engine of the cell reports", minRetryAfter)
	case ent.req.Need() > available.sum:
		cel.refuse(ent.id, CodeTooLarge, "the prompt exceeds the memory of the engines together", 0)
	case !ent.latestStart.After(now):
		cel.refuse(ent.id, CodeInfeasible, "the prompt cannot be read within the time limit", 0)
	case wait.Seconds() > maxWaitShare*ent.latestStart.Sub(now).Seconds():
		cel.refuse(ent.id, CodeOverloaded, "the queue is too long for the time limit", wait)
	default:
		return true
	}
	return false
}

// capacity is the memory of the engines that can serve a request, in tokens:
// of the largest live engine and of all live engines. listed reports whether
// there is any such engine, live or not.
type capacity struct {
	listed  bool
	largest int64
	sum     int64
}

func (cel *Cell) capacityFor(ent *entry, now time.Time) capacity {
	var available capacity
	for _, eng := range cel.engines {
		if !ent.canServe(eng) {
			continue
		}
		available.listed = true
		if eng.live(now) {
			available.largest = max(available.largest, eng.memory)
			available.sum += eng.memory
		}
	}
	return available
}

// relaxLatestStart moves latestStart later by the time reserved for the answer if the
// request could not start in time otherwise, as the answer may be shorter than
// expected. The estimate is for one engine and a group prefills faster, so the
// latestStart of a group is its deadline.
func (cel *Cell) relaxLatestStart(ent *entry, now time.Time) {
	if ent.group {
		ent.latestStart = ent.req.Deadline
		return
	}
	if !ent.latestStart.After(now) {
		ent.latestStart = ent.latestStart.Add(cel.answerTime(ent.req.MaxTokens))
	}
}

// makeRoom frees a place in a full queue by refusing the last request of the team with
// the most waiting requests relative to its share. If the team of the new request
// would have at least as many relative to its own share, makeRoom refuses the new
// request instead and returns false.
func (cel *Cell) makeRoom(ent *entry, now time.Time) bool {
	top := cel.queue.mostWaitingPerShare()
	own := float64(ent.team.waiting()+1) / ent.team.share
	if top == nil || top == ent.team || float64(top.waiting())/top.share <= own {
		cel.refuse(ent.id, CodePoolFull, "too many requests wait for the pool", cel.queueWait(ent.team, ent.long, now))
		return false
	}
	last := top.lastEntry()
	cel.dequeue(last)
	cel.refuse(last.id, CodePoolFull, "too many requests of the team wait for the pool", cel.queueWait(last.team, last.long, now))
	return true
}

// queueWait estimates the wait of a new request of the team: the prefill time of all
// waiting short prompts, or of all waiting long prompts and groups if long is true. It
// is at most the prefill time of the team's own such requests at the team's share of
// the engines.
func (cel *Cell) queueWait(tea *team, long bool, now time.Time) time.Duration {
	var all, otherShares float64
	for _, other := range cel.queue.active {
		all += other.waitingTokens(long)
		if other.waitingTokens(long) > 0 && other != tea {
			otherShares += other.share
		}
	}
	rate := cel.totalPrefillRate()
	if rate == 0 || all == 0 {
		return 0
	}
	limit := float64(cel.longLimit(now))
	if n := float64(len(cel.engines)); long {
		rate *= limit / n
	} else if n > limit {
		rate *= (n - limit) / n
	}
	own := tea.waitingTokens(long) * (otherShares + tea.share) / tea.share
	return time.Duration(min(all, own) / rate * float64(time.Second))
}

// totalPrefillRate returns the sum of the engines' prefill rates, in tokens a
// second.
func (cel *Cell) totalPrefillRate() float64 {
	var rate float64
	for _, eng := range cel.engines {
		rate += eng.prefillRate()
	}
	return rate
}

// prefillTime returns the time to prefill tokens at the mean rate of the engines.
func (cel *Cell) prefillTime(tokens int64) time.Duration {
	if len(cel.engines) == 0 {
		return 0
	}
	return time.Duration(float64(tokens) * float64(len(cel.engines)) / cel.totalPrefillRate() * float64(time.Second))
}

// answerTime returns the expected time to decode an answer on the slowest engine.
func (cel *Cell) answerTime(maxTokens int64) time.Duration {
	var step time.Duration
	for _, eng := range cel.engines {
		step = max(step, eng.stepTime)
	}
	return time.Duration(min(maxTokens, typicalAnswerTokens)) * step
}

// longLimit returns the number of engines that may prefill long prompts at the same
// time. If the pool sets no LongShare, these are all engines except the decoders or
// the engines reserved for short prompts, whichever are more.
func (cel *Cell) longLimit(now time.Time) int {
	engines := len(cel.engines)
	if cel.limits.LongShare > 0 {
		return max(1, int(cel.limits.LongShare*float64(engines)))
	}
	short := cel.shortDemand.mean(now)
	reserved := max(short+shortHeadroom*math.Sqrt(short), minShortShare*float64(engines))
	return max(1, engines-max(cel.decoderCount, int(math.Ceil(reserved))))
}
