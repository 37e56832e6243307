package throttler

import (
	"math"
	"time"
)

const (
	// maxTokens is the number of calls that may follow each other at once.
	maxTokens = 1
	// minRate is the rate in calls per second at which an endpoint with a lower limit still
	// gets calls, since only an answer shows that its limit has been lifted.
	minRate = 0.2
	// maxRate bounds rates in calls per second, so that a time of 0 adds no calls.
	maxRate = 1e9
)

// Bucket counts the calls that a limit allows. It is an immutable value; the zero value
// allows none until it has been filled.
type Bucket struct {
	tokens float64
	at     time.Time
}

// WithFill returns the bucket after it was filled at a rate up to now.
func (buc Bucket) WithFill(rate float64, now time.Time) Bucket {
	return buc.WithFillTo(maxTokens, rate, now)
}

// WithFillTo returns the bucket after it was filled at a rate up to now, to at most burst calls.
func (buc Bucket) WithFillTo(burst, rate float64, now time.Time) Bucket {
	if buc.at.IsZero() {
		return Bucket{at: now}
	}
	elapsed := max(0, now.Sub(buc.at).Seconds())
	return Bucket{tokens: min(burst, buc.tokens+elapsed*boundRate(rate)), at: now}
}

// Allows reports whether the bucket allows a call.
func (buc Bucket) Allows() bool { return buc.tokens >= 1 }

// WithCall returns the bucket after a call. More calls than allowed delay the next ones.
func (buc Bucket) WithCall() Bucket {
	buc.tokens--
	return buc
}

// Wait returns the time until the bucket allows a call.
func (buc Bucket) Wait(rate float64) time.Duration {
	return time.Duration(max(0, 1-buc.tokens) / boundRate(rate) * float64(time.Second))
}

// boundRate keeps a rate within minRate and maxRate. No number counts as minRate.
func boundRate(rate float64) float64 {
	if math.IsNaN(rate) {
		return minRate
	}
	return min(maxRate, max(minRate, rate))
}
