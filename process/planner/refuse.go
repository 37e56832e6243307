package planner

import (
	"slices"
	"time"
)

const (
	// minRetryAfter and maxRetryAfter bound the time that refused callers are asked to
	// wait.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// refuseIfInfeasible refuses a request that cannot be served in time and reports whether it
// did. cho is the best choice now if found is true.
func (pla *Plan) refuseIfInfeasible(pen *pending, cho choice, found bool, now time.Time) bool {
	usable := 0
	for _, eng := range pla.sortedEngines {
		if eng.available(pen, now) {
			usable++
		}
	}
	timeLeft := pen.timeLeft(now)
	wait := max(pla.queueWait(pen, usable), pla.limitWait(pen, now))
	if found {
		wait += max(0, cho.first-pla.idleFirst(pen))
	}
	switch {
	case usable == 0:
		pla.appendRefuse(pen, CodeNoEngine, "no engine of the pool can take the request", minRetryAfter)
	case pen.memory > int64(usable)*int64(memoryFill*float64(pla.costs.MemoryTokens)) && usable == len(pla.sortedEngines):
		pla.appendRefuse(pen, CodeTooLarge, "the prompt exceeds the memory of the engines together", 0)
	case pla.idleFirst(pen) > timeLeft:
		pla.appendRefuse(pen, CodeTooLate, "the prompt can't be read in the time left", minRetryAfter)
	case wait+pla.idleFirst(pen) > timeLeft:
		pla.appendRefuse(pen, CodeOverloaded, "the engines are busy for longer than the time left", wait.duration())
	default:
		return false
	}
	return true
}

// queueWait estimates how long the requests ahead of a request occupy the engines.
func (pla *Plan) queueWait(pen *pending, usable int) ms {
	if !pen.long() {
		return pla.slotWait(pen, usable)
	}
	var total ms
	for _, other := range pla.waiting {
		if other == pen {
			break
		}
		total += other.prefill
	}
	return total / ms(max(1, usable))
}

// limitWait estimates how long a request waits for the limits of the engines, if all engines
// have one or are cold.
func (pla *Plan) limitWait(pen *pending, now time.Time) ms {
	var rate float64
	for _, eng := range pla.sortedEngines {
		if !eng.available(pen, now) {
			continue
		}
		switch {
		case eng.Limited && eng.Cold.Cold():
			rate += min(eng.Limit, eng.Cold.Rate)
		case eng.Limited:
			rate += eng.Limit
		case eng.Cold.Cold():
			rate += eng.Cold.Rate
		default:
			return 0
		}
	}
	ahead := slices.Index(pla.waiting, pen)
	if ahead < 0 || rate <= 0 {
		return 0
	}
	return ms(float64(ahead) / rate * 1000)
}

// slotWait estimates how long the short prompts ahead of a request occupy the slots.
func (pla *Plan) slotWait(pen *pending, usable int) ms {
	ahead := 0
	for _, other := range pla.waiting {
		if other == pen {
			break
		}
		if !other.long() {
			ahead++
		}
	}
	answerTime := pla.costs.decodeAnswer(pla.costs.UsualAnswer, pen.prompt.Tokens)
	return answerTime * ms(ahead) / ms(max(1, usable*pla.costs.Slots))
}

func (pla *Plan) appendRefuse(pen *pending, code, message string, retry time.Duration) {
	pla.actions = append(pla.actions, Refuse{ID: pen.ID, Code: code, Message: message, RetryAfter: min(maxRetryAfter, max(minRetryAfter, retry))})
}
