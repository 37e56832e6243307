package placer

import (
	"math/rand/v2"
	"time"
)

const (
	// maxDraws bounds the random draws of one endpoint.
	maxDraws = 8
	// longPrefill is the prefill time from which a prompt counts as long.
	longPrefill = 100 * time.Millisecond

	// minLongShare and maxLongShare bound the share of the endpoints that
	// PolicyReservation dedicates to long prompts, unless View.LongShare sets it.
	minLongShare = 0.25
	maxLongShare = 0.75
	// maxShortEstimate is the estimate of the time to the first token below which a
	// short prompt does not use the engines dedicated to long prompts.
	maxShortEstimate = 50 * time.Millisecond
)

// span is a half-open range of endpoints of a view.
type span struct{ from, to int }

func (spa span) size() int { return spa.to - spa.from }

// drawEndpoint returns the index of a random endpoint of the span that accepts the
// request. If maxDraws draws find none, it scans the span; it returns -1 if no endpoint
// accepts the request.
func drawEndpoint(req Request, vie View, spa span, ran *rand.Rand) int {
	if spa.size() <= 0 {
		return -1
	}
	for range maxDraws {
		i := spa.from + ran.IntN(spa.size())
		if vie.accepts(&req, &vie.Endpoints[i]) {
			return i
		}
	}
	start := ran.IntN(spa.size())
	for offset := range spa.size() {
		i := spa.from + (start+offset)%spa.size()
		if vie.accepts(&req, &vie.Endpoints[i]) {
			return i
		}
	}
	return -1
}

// drawOther returns the index of a random endpoint other than first that accepts the
// request, or -1 if maxDraws draws find none.
func drawOther(req Request, vie View, spa span, first int, ran *rand.Rand) int {
	if spa.size() < 2 {
		return -1
	}
	for range maxDraws {
		i := spa.from + (first-spa.from+1+ran.IntN(spa.size()-1))%spa.size()
		if vie.accepts(&req, &vie.Endpoints[i]) {
			return i
		}
	}
	return -1
}

// twoChoices draws two endpoints and returns the one with the lower estimate. Hosts
// that decide on the same outdated view draw different endpoints, so they do not all
// send to the endpoint with the lowest estimate, as a herd. Endpoints that may hold a
// prefix of the prompt in their cache are compared with the two.
func twoChoices(req Request, vie View, spa span, now time.Time, ran *rand.Rand) int {
	first := drawEndpoint(req, vie, spa, ran)
	if first < 0 {
		return -1
	}
	best, lowest := first, estimate(&req, &vie.Endpoints[first], 0, now)
	if second := drawOther(req, vie, spa, first, ran); second >= 0 {
		if estimated := estimate(&req, &vie.Endpoints[second], 0, now); estimated < lowest {
			best, lowest = second, estimated
		}
	}
	for _, cached := range vie.Cached {
		i := vie.index(cached.Endpoint, spa)
		if i < 0 || !vie.accepts(&req, &vie.Endpoints[i]) {
			continue
		}
		if estimated := estimate(&req, &vie.Endpoints[i], cached.Blocks, now); estimated < lowest {
			best, lowest = i, estimated
		}
	}
	return best
}

func (vie View) index(id string, spa span) int {
	for i := spa.from; i < spa.to; i++ {
		if vie.Endpoints[i].ID == id {
			return i
		}
	}
	return -1
}

// leastOutstanding scans all endpoints from a random start, so that endpoints with
// equal counts share the load.
func leastOutstanding(req Request, vie View, ran *rand.Rand) int {
	total := len(vie.Endpoints)
	start, best := ran.IntN(total), -1
	for offset := range total {
		i := (start + offset) % total
		end := &vie.Endpoints[i]
		if (best < 0 || end.Outstanding < vie.Endpoints[best].Outstanding) && vie.accepts(&req, end) {
			best = i
		}
	}
	return best
}

// leastWork returns the endpoint with the lowest estimate of all. Hosts with the same
// outdated view all choose the same endpoint.
func leastWork(req Request, vie View, now time.Time, ran *rand.Rand) int {
	total := len(vie.Endpoints)
	start, best := ran.IntN(total), -1
	var lowest time.Duration
	for offset := range total {
		i := (start + offset) % total
		end := &vie.Endpoints[i]
		if !vie.accepts(&req, end) {
			continue
		}
		if estimated := estimate(&req, end, 0, now); best < 0 || estimated < lowest {
			best, lowest = i, estimated
		}
	}
	return best
}

// byClass gives each class of prompt lengths an equal part of the endpoints. It places
// by two choices in the part of the request's class, or among all endpoints if none of
// that part accepts the request.
func byClass(req Request, vie View, now time.Time, ran *rand.Rand) int {
	total := len(vie.Endpoints)
	class := vie.Mix.class(req.PromptTokens)
	spa := span{total * class / classCount, total * (class + 1) / classCount}
	if i := twoChoices(req, vie, spa, now, ran); i >= 0 {
		return i
	}
	return twoChoices(req, vie, span{0, total}, now, ran)
}

// byReservation dedicates the first endpoints of the view to long prompts. A short
// prompt may use one of them if its estimate there is lower than on the other
// endpoints, and the estimate on those is at least maxShortEstimate.
func byReservation(req Request, vie View, now time.Time, ran *rand.Rand) int {
	total := len(vie.Endpoints)
	minTokens := minLongTokens(vie)
	share := vie.LongShare
	if share == 0 {
		share = min(maxLongShare, max(minLongShare, vie.Mix.longShare(minTokens)))
	}
	boundary := int(share * float64(total))
	long, short := span{0, boundary}, span{boundary, total}
	if req.PromptTokens >= minTokens {
		return firstChosen(twoChoices(req, vie, long, now, ran), func() int { return twoChoices(req, vie, short, now, ran) })
	}
	shortChoice := twoChoices(req, vie, short, now, ran)
	if shortChoice >= 0 && estimate(&req, &vie.Endpoints[shortChoice], 0, now) < maxShortEstimate {
		return shortChoice
	}
	longChoice := drawEndpoint(req, vie, long, ran)
	if shortChoice < 0 {
		return firstChosen(longChoice, func() int { return drawEndpoint(req, vie, span{0, total}, ran) })
	}
	if longChoice >= 0 && estimate(&req, &vie.Endpoints[longChoice], 0, now) < estimate(&req, &vie.Endpoints[shortChoice], 0, now) {
		return longChoice
	}
	return shortChoice
}

// minLongTokens returns the length from which a prompt counts as long, by the prefill
// rate of the first endpoint that has reported one.
func minLongTokens(vie View) int64 {
	rate := float64(assumedPrefillRate)
	for i := range vie.Endpoints {
		if vie.Endpoints[i].PrefillRate > 0 {
			rate = vie.Endpoints[i].PrefillRate
			break
		}
	}
	return int64(rate * longPrefill.Seconds())
}

// firstChosen returns i, or the result of other if i is -1.
func firstChosen(i int, other func() int) int {
	if i >= 0 {
		return i
	}
	return other()
}
