package placer

import (
	"math/rand/v2"
	"time"
)

const (
	// sampleTries bounds the random draws before all endpoints are read.
	sampleTries = 8
	// longPrefill is the prefill time from which a prompt counts as long.
	longPrefill = 100 * time.Millisecond

	minLongShare = 0.25
	maxLongShare = 0.75
	// letThrough bounds the wait for which a short prompt stays off the
	// engines reserved for long ones.
	letThrough = 50 * time.Millisecond
)

// span is a half-open range of endpoints of a view.
type span struct{ from, to int }

func (spa span) size() int { return spa.to - spa.from }

// sample draws an endpoint of the span that takes the request, or returns -1.
func sample(req Request, vie View, spa span, ran *rand.Rand) int {
	if spa.size() <= 0 {
		return -1
	}
	for range sampleTries {
		ind := spa.from + ran.IntN(spa.size())
		if vie.takes(&req, &vie.Endpoints[ind]) {
			return ind
		}
	}
	sta := ran.IntN(spa.size())
	for off := range spa.size() {
		ind := spa.from + (sta+off)%spa.size()
		if vie.takes(&req, &vie.Endpoints[ind]) {
			return ind
		}
	}
	return -1
}

// sampleOther draws an endpoint other than the first one, or returns -1.
func sampleOther(req Request, vie View, spa span, one int, ran *rand.Rand) int {
	if spa.size() < 2 {
		return -1
	}
	for range sampleTries {
		ind := spa.from + (one-spa.from+1+ran.IntN(spa.size()-1))%spa.size()
		if vie.takes(&req, &vie.Endpoints[ind]) {
			return ind
		}
	}
	return -1
}

// twoChoices draws two endpoints and takes the one with the lower estimate.
// Hosts that decide on the same old view draw different ones, so they do not
// all turn to the endpoint that looked best. Endpoints believed to hold a
// prefix compete with the two.
func twoChoices(req Request, vie View, spa span, now time.Time, ran *rand.Rand) int {
	one := sample(req, vie, spa, ran)
	if one < 0 {
		return -1
	}
	bes, est := one, estimate(&req, &vie.Endpoints[one], 0, now)
	if two := sampleOther(req, vie, spa, one, ran); two >= 0 {
		if oth := estimate(&req, &vie.Endpoints[two], 0, now); oth < est {
			bes, est = two, oth
		}
	}
	for _, cac := range vie.Cached {
		ind := vie.index(cac.Endpoint, spa)
		if ind < 0 || !vie.takes(&req, &vie.Endpoints[ind]) {
			continue
		}
		if oth := estimate(&req, &vie.Endpoints[ind], cac.Blocks, now); oth < est {
			bes, est = ind, oth
		}
	}
	return bes
}

func (vie View) index(id string, spa span) int {
	for ind := spa.from; ind < spa.to; ind++ {
		if vie.Endpoints[ind].ID == id {
			return ind
		}
	}
	return -1
}

// leastOutstanding reads all endpoints from a random start, so that equal ones
// share the load.
func leastOutstanding(req Request, vie View, ran *rand.Rand) int {
	all := len(vie.Endpoints)
	sta, bes := ran.IntN(all), -1
	for off := range all {
		ind := (sta + off) % all
		end := &vie.Endpoints[ind]
		if (bes < 0 || end.Outstanding < vie.Endpoints[bes].Outstanding) && vie.takes(&req, end) {
			bes = ind
		}
	}
	return bes
}

// leastWork takes the lowest estimate of all endpoints. Hosts with the same old
// view all choose the same one.
func leastWork(req Request, vie View, now time.Time, ran *rand.Rand) int {
	all := len(vie.Endpoints)
	sta, bes := ran.IntN(all), -1
	var low time.Duration
	for off := range all {
		ind := (sta + off) % all
		end := &vie.Endpoints[ind]
		if !vie.takes(&req, end) {
			continue
		}
		if est := estimate(&req, end, 0, now); bes < 0 || est < low {
			bes, low = ind, est
		}
	}
	return bes
}

// byClass gives each class of lengths a part of the endpoints of its own.
func byClass(req Request, vie View, now time.Time, ran *rand.Rand) int {
	all := len(vie.Endpoints)
	cla := vie.Mix.class(req.PromptTokens)
	spa := span{all * cla / classCount, all * (cla + 1) / classCount}
	if ind := twoChoices(req, vie, spa, now, ran); ind >= 0 {
		return ind
	}
	return twoChoices(req, vie, span{0, all}, now, ran)
}

// byReservation keeps the first endpoints of the view for long prompts and lets
// a short one through to them when its own would make it wait.
func byReservation(req Request, vie View, now time.Time, ran *rand.Rand) int {
	all := len(vie.Endpoints)
	cutLength := longTokens(vie)
	sha := vie.LongShare
	if sha == 0 {
		sha = min(maxLongShare, max(minLongShare, vie.Mix.longShare(cutLength)))
	}
	cut := int(sha * float64(all))
	lon, sho := span{0, cut}, span{cut, all}
	if req.PromptTokens >= cutLength {
		return firstOf(twoChoices(req, vie, lon, now, ran), func() int { return twoChoices(req, vie, sho, now, ran) })
	}
	own := twoChoices(req, vie, sho, now, ran)
	if own >= 0 && estimate(&req, &vie.Endpoints[own], 0, now) < letThrough {
		return own
	}
	oth := sample(req, vie, lon, ran)
	if own < 0 {
		return firstOf(oth, func() int { return sample(req, vie, span{0, all}, ran) })
	}
	if oth >= 0 && estimate(&req, &vie.Endpoints[oth], 0, now) < estimate(&req, &vie.Endpoints[own], 0, now) {
		return oth
	}
	return own
}

// longTokens is the length from which a prompt counts as long on the first
// endpoint that has reported.
func longTokens(vie View) int64 {
	rat := float64(assumedPrefillRate)
	for ind := range vie.Endpoints {
		if vie.Endpoints[ind].PrefillRate > 0 {
			rat = vie.Endpoints[ind].PrefillRate
			break
		}
	}
	return int64(rat * longPrefill.Seconds())
}

func firstOf(ind int, other func() int) int {
	if ind >= 0 {
		return ind
	}
	return other()
}
