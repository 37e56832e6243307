package scheduler

import (
	"math"
	"time"

	"hemlockpin/request/hasher"
)

const (
	// waitShare is the part of a request's slack that the queue before it may
	// take; a request that would wait longer is refused at once.
	waitShare = 0.5
	// demandPeriod is the time over which the work of short prompts is
	// averaged.
	demandPeriod = 20 * time.Second
	// minDemandAge is the least time over which work is averaged.
	minDemandAge = 2 * time.Second
	// headroom sets how many engines short prompts get beyond their mean work,
	// in square roots of it.
	headroom = 1.2
	// minShortShare is the least share of the engines left to short prompts.
	minShortShare = 0.15
	// CodeInfeasible refuses a prompt whose prefill alone exceeds its time.
	CodeInfeasible = "deadline_infeasible"
)

// demand averages work that takes a place for some time: the prefills of short
// or of long prompts, in engines, or the answers, in sequences or in tokens of
// memory. Its zero value has seen no work.
type demand struct {
	sum   float64
	at    time.Time
	since time.Time
}

func (dem demand) withWork(work float64, now time.Time) demand {
	if dem.since.IsZero() {
		dem.since = now
	}
	dem.sum = dem.faded(now) + work/demandPeriod.Seconds()
	dem.at = now
	return dem
}

func (dem demand) faded(now time.Time) float64 {
	return dem.sum * math.Exp(-max(0, now.Sub(dem.at).Seconds())/demandPeriod.Seconds())
}

// level is the mean over the time for which work has been counted.
func (dem demand) level(now time.Time) float64 {
	age := max(minDemandAge, now.Sub(dem.since))
	return dem.faded(now) / (1 - math.Exp(-age.Seconds()/demandPeriod.Seconds()))
}

// ask takes a request in, or refuses it.
func (cel *Cell) ask(eve Request, now time.Time) {
	if gra := cel.grants[eve.ID]; gra != nil {
		cel.answer(gra)
		return
	}
	if cel.asks[eve.ID] != nil {
		cel.seen[eve.ID] = now
		return
	}
	one := cel.newAsk(eve, now)
	if !cel.feasible(one, now) {
		return
	}
	if lim := cel.limits.MaxWaiting; lim > 0 && cel.queue.count >= lim && !cel.makeRoom(one, now) {
		return
	}
	cel.asks[one.id] = one
	cel.seen[one.id] = now
	cel.queue.push(one)
	cel.count(one, now)
}

// count adds an ask to the demand for prefills and for answers.
func (cel *Cell) count(one *ask, now time.Time) {
	pre := cel.prefillTime(one.req.PromptTokens).Seconds()
	if one.long {
		cel.longs = cel.longs.withWork(pre, now)
	} else {
		cel.shorts = cel.shorts.withWork(pre, now)
	}
	if cel.movable(one) {
		dec := cel.answerTime(one.req.MaxTokens).Seconds()
		cel.answers = cel.answers.withWork(dec, now)
		cel.held = cel.held.withWork(dec*float64(one.req.Need()), now)
	}
}

func (cel *Cell) newAsk(eve Request, now time.Time) *ask {
	req := eve.Request
	one := &ask{id: eve.ID, host: eve.Host, inc: eve.Incarnation, req: req, arrived: now}
	one.team = cel.queue.team(req.Team, req.Share)
	cel.prefixes.match(req.Prefix, &one.cached)
	var hit uint16
	for _, cou := range one.cached {
		hit = max(hit, cou)
	}
	own := max(1, req.PromptTokens-int64(hit)*hasher.BlockTokens)
	pre := cel.prefillTime(own)
	one.cost = float64(own + answerWeight*min(req.MaxTokens, typicalAnswer))
	one.long = pre >= longPrefill
	one.latestStart = req.Deadline.Add(-pre - cel.answerTime(req.MaxTokens))
	one.key = now.Add(time.Duration(stretch * float64(pre))).Add(-time.Duration(req.Priority) * priorityHeadStart)
	return one
}

// feasible refuses what no engine of the cell can serve, or not in time.
func (cel *Cell) feasible(one *ask, now time.Time) bool {
	hol := cel.holders(one, now)
	one.group = one.req.Need() > hol.largest
	one.long = one.long || one.group
	cel.loosen(one, now)
	wai := cel.wait(one.team, one.long, now)
	switch {
	case !hol.listed:
		cel.refuse(one.id, CodeNoEndpoint, "no engine of the pool can take the request", minRetryAfter)
	case hol.largest == 0:
		cel.refuse(one.id, CodeUnavailable, "no engine of the cell reports", minRetryAfter)
	case one.req.Need() > hol.sum:
		cel.refuse(one.id, CodeTooLarge, "the prompt exceeds the memory of the engines together", 0)
	case !one.latestStart.After(now):
		cel.refuse(one.id, CodeInfeasible, "the prompt cannot be read within the time limit", 0)
	case wai.Seconds() > waitShare*one.latestStart.Sub(now).Seconds():
		cel.refuse(one.id, CodeOverloaded, "the queue is too long for the time limit", wai)
	default:
		return true
	}
	return false
}

// holders sums up the engines that an ask can use.
type holders struct {
	listed  bool
	largest int64
	sum     int64
}

func (cel *Cell) holders(one *ask, now time.Time) holders {
	var hol holders
	for _, eng := range cel.engines {
		if !one.takes(eng) {
			continue
		}
		hol.listed = true
		if eng.live(now) {
			hol.largest = max(hol.largest, eng.memory)
			hol.sum += eng.memory
		}
	}
	return hol
}

// loosen gives a request without slack the time set aside for its answer, as
// the answer may be shorter than expected. A group reads its prompt faster than
// one engine, so only its deadline counts.
func (cel *Cell) loosen(one *ask, now time.Time) {
	if one.group {
		one.latestStart = one.req.Deadline
		return
	}
	if !one.latestStart.After(now) {
		one.latestStart = one.latestStart.Add(cel.answerTime(one.req.MaxTokens))
	}
}

// makeRoom finds a place in a full queue for an ask of a team that has less
// than its share of it, at the cost of the team furthest over its share.
func (cel *Cell) makeRoom(one *ask, now time.Time) bool {
	lar := cel.queue.largest()
	own := float64(one.team.waiting()+1) / one.team.share
	if lar == nil || lar == one.team || float64(lar.waiting())/lar.share <= own {
		cel.refuse(one.id, CodePoolFull, "too many requests wait for the pool", cel.wait(one.team, one.long, now))
		return false
	}
	vic := lar.last()
	cel.drop(vic)
	cel.refuse(vic.id, CodePoolFull, "too many requests of the team wait for the pool", cel.wait(vic.team, vic.long, now))
	return true
}

// wait estimates the time until the asks of a class that wait before a new one
// of the team have started: those of all teams, or the team's own at its share
// of the engines, whichever is less.
func (cel *Cell) wait(tea *team, long bool, now time.Time) time.Duration {
	var all, sha float64
	for _, oth := range cel.queue.active {
		all += oth.waitingTokens(long)
		if oth.waitingTokens(long) > 0 && oth != tea {
			sha += oth.share
		}
	}
	rat := cel.rate()
	if rat == 0 || all == 0 {
		return 0
	}
	lim := float64(cel.longLimit(now))
	if n := float64(len(cel.engines)); long {
		rat *= lim / n
	} else if n > lim {
		rat *= (n - lim) / n
	}
	own := tea.waitingTokens(long) * (sha + tea.share) / tea.share
	return time.Duration(min(all, own) / rat * float64(time.Second))
}

// rate is the prefill rate of all engines together, in tokens a second.
func (cel *Cell) rate() float64 {
	var rat float64
	for _, eng := range cel.engines {
		rat += eng.prefillRate()
	}
	return rat
}

func (cel *Cell) prefillTime(tokens int64) time.Duration {
	if len(cel.engines) == 0 {
		return 0
	}
	return time.Duration(float64(tokens) * float64(len(cel.engines)) / cel.rate() * float64(time.Second))
}

// answerTime is the expected time of an answer.
func (cel *Cell) answerTime(maxTokens int64) time.Duration {
	var ste time.Duration
	for _, eng := range cel.engines {
		ste = max(ste, eng.step)
	}
	return time.Duration(min(maxTokens, typicalAnswer)) * ste
}

// longLimit is the number of engines that may prefill long prompts at a time.
func (cel *Cell) longLimit(now time.Time) int {
	cou := len(cel.engines)
	if cel.limits.LongShare > 0 {
		return max(1, int(cel.limits.LongShare*float64(cou)))
	}
	sho := cel.shorts.level(now)
	lef := max(sho+headroom*math.Sqrt(sho), minShortShare*float64(cou))
	return max(1, cou-max(cel.decoders, int(math.Ceil(lef))))
}
