package placer

import (
	"math/rand/v2"
	"time"
)

const (
	// sampleTries bounds the random draws before the endpoints are scanned in order.
	sampleTries = 8
	// longPrefill is the prefill time from which a prompt counts as long.
	longPrefill = 100 * time.Millisecond

	minLongShare = 0.25
	maxLongShare = 0.75
	// maxShortWait is the estimated wait up to which a short prompt does not use the
	// engines reserved for long prompts.
	maxShortWait = 50 * time.Millisecond
)

// span is a half-open range of endpoints of a view.
type span struct{ from, to int }

func (spa span) size() int { return spa.to - spa.from }

// drawEndpoint returns the index of a random endpoint of the span that accepts the
// request, or -1.
func drawEndpoint(req Request, vie View, spa span, ran *rand.Rand) int {
	if spa.size() <= 0 {
		return -1
	}
	for range sampleTries {
		i := spa.from + ran.IntN(spa.size())
		if vie.accepts(&req, &vie.Endpoints[i]) {
			return i
		}
	}
	start := ran.IntN(spa.size())
	for off := range spa.size() {
		i := spa.from + (start+off)%spa.size()
		if vie.accepts(&req, &vie.Endpoints[i]) {
			return i
		}
	}
	return -1
}

// drawOther returns the index of a random endpoint other than first, or -1.
func drawOther(req Request, vie View, spa span, first int, ran *rand.Rand) int {
	if spa.size() < 2 {
		return -1
	}
	for range sampleTries {
		i := spa.from + (first-spa.from+1+ran.IntN(spa.size()-1))%spa.size()
		if vie.accepts(&req, &vie.Endpoints[i]) {
			return i
		}
	}
	return -1
}

// twoChoices draws two endpoints and returns the one with the lower estimate. Hosts
// that decide on the same outdated view draw different endpoints, so they do not all
// send to the endpoint with the lowest estimate. Endpoints that may hold a prefix of
// the prompt in their cache are compared with the two.
func twoChoices(req Request, vie View, spa span, now time.Time, ran *rand.Rand) int {
	first := drawEndpoint(req, vie, spa, ran)
	if first < 0 {
		return -1
	}
	best, est := first, estimate(&req, &vie.Endpoints[first], 0, now)
	if second := drawOther(req, vie, spa, first, ran); second >= 0 {
		if other := estimate(&req, &vie.Endpoints[second], 0, now); other < est {
			best, est = second, other
		}
	}
	for _, cached := range vie.Cached {
		i := vie.index(cached.Endpoint, spa)
		if i < 0 || !vie.accepts(&req, &vie.Endpoints[i]) {
			continue
		}
		if other := estimate(&req, &vie.Endpoints[i], cached.Blocks, now); other < est {
			best, est = i, other
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
	for off := range total {
		i := (start + off) % total
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
	for off := range total {
		i := (start + off) % total
		end := &vie.Endpoints[i]
		if !vie.accepts(&req, end) {
			continue
		}
		if est := estimate(&req, end, 0, now); best < 0 || est < lowest {
			best, lowest = i, est
		}
	}
	return best
}

// byClass divides the endpoints among the classes of prompt lengths.
func byClass(req Request, vie View, now time.Time, ran *rand.Rand) int {
	total := len(vie.Endpoints)
	class := vie.Mix.class(req.PromptTokens)
	spa := span{total * class / classCount, total * (class + 1) / classCount}
	if i := twoChoices(req, vie, spa, now, ran); i >= 0 {
		return i
	}
	return twoChoices(req, vie, span{0, total}, now, ran)
}

// byReservation reserves the first endpoints of the view for long prompts. A short
// prompt may use them if it would wait on its own endpoints.
func byReservation(req Request, vie View, now time.Time, ran *rand.Rand) int {
	total := len(vie.Endpoints)
	longLength := longTokens(vie)
	share := vie.LongShare
	if share == 0 {
		share = min(maxLongShare, max(minLongShare, vie.Mix.longShare(longLength)))
	}
	boundary := int(share * float64(total))
	long, short := span{0, boundary}, span{boundary, total}
	if req.PromptTokens >= longLength {
		return orElse(twoChoices(req, vie, long, now, ran), func() int { return twoChoices(req, vie, short, now, ran) })
	}
	shortChoice := twoChoices(req, vie, short, now, ran)
	if shortChoice >= 0 && estimate(&req, &vie.Endpoints[shortChoice], 0, now) < maxShortWait {
		return shortChoice
	}
	longChoice := drawEndpoint(req, vie, long, ran)
	if shortChoice < 0 {
		return orElse(longChoice, func() int { return drawEndpoint(req, vie, span{0, total}, ran) })
	}
	if longChoice >= 0 && estimate(&req, &vie.Endpoints[longChoice], 0, now) < estimate(&req, &vie.Endpoints[shortChoice], 0, now) {
		return longChoice
	}
	return shortChoice
}

// longTokens returns the length from which a prompt counts as long, by the prefill rate
// of the first endpoint that has reported one.
func longTokens(vie View) int64 {
	rate := float64(assumedPrefillRate)
	for i := range vie.Endpoints {
		if vie.Endpoints[i].PrefillRate > 0 {
			rate = vie.Endpoints[i].PrefillRate
			break
		}
	}
	return int64(rate * longPrefill.Seconds())
}

func orElse(i int, other func() int) int {
	if i >= 0 {
		return i
	}
	return other()
}
