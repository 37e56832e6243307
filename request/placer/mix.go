package placer

import (
	"math"
	"math/bits"
	"time"
)

const (
	// mixBuckets is the number of buckets of a Mix.
	mixBuckets = 24
	// mixHalfLife is the time in which the weight of a past request halves.
	mixHalfLife = 30 * time.Second
	// classCount is the number of classes of PolicyClasses.
	classCount = 3
)

// Mix is a histogram of recent requests by prompt length, weighted by their tokens, in
// buckets of powers of two. It is an immutable value; its zero value is empty.
type Mix struct {
	// weights holds the tokens of each bucket, decayed until decayedAt.
	weights   [mixBuckets]float64
	decayedAt time.Time
}

func bucketOf(tokens int64) int {
	return min(bits.Len64(uint64(max(0, tokens))), mixBuckets-1)
}

// WithRequest returns the mix after one more request.
func (mix Mix) WithRequest(tokens int64, now time.Time) Mix {
	if elapsed := now.Sub(mix.decayedAt); !mix.decayedAt.IsZero() && elapsed > 0 {
		decay := math.Exp2(-elapsed.Seconds() / mixHalfLife.Seconds())
		for i := range mix.weights {
			mix.weights[i] *= decay
		}
	}
	mix.decayedAt = now
	mix.weights[bucketOf(tokens)] += float64(tokens)
	return mix
}

// class returns the class of a prompt length. The boundaries divide the tokens of
// recent requests into classCount equal parts, so that each class needs the same number
// of engines.
func (mix Mix) class(tokens int64) int {
	var total, before float64
	bucket := bucketOf(tokens)
	for i, weight := range mix.weights {
		total += weight
		if i < bucket {
			before += weight
		}
	}
	if total == 0 {
		return 0
	}
	mid := before + mix.weights[bucket]/2
	return min(classCount-1, int(mid/total*classCount))
}

// longShare returns the share of recent tokens that are in the bucket of minTokens or a
// higher one.
func (mix Mix) longShare(minTokens int64) float64 {
	var total, long float64
	for i, weight := range mix.weights {
		total += weight
		if i >= bucketOf(minTokens) {
			long += weight
		}
	}
	if total == 0 {
		return 0
	}
	return long / total
}
