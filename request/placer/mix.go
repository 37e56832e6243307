package placer

import (
	"math"
	"math/bits"
	"time"
)

const (
	mixBuckets = 24
	// mixHalfLife is the time in which the weight of a past request halves.
	mixHalfLife = 30 * time.Second
	// classCount is the number of classes of PolicyClasses.
	classCount = 3
)

// Mix is a histogram of recent requests by prompt length, weighted by their tokens, in
// buckets of powers of two. It is an immutable value; its zero value is empty.
type Mix struct {
	work [mixBuckets]float64
	at   time.Time
}

func bucketOf(tokens int64) int {
	return min(bits.Len64(uint64(max(0, tokens))), mixBuckets-1)
}

// WithRequest returns the mix after one more request.
func (mix Mix) WithRequest(tokens int64, now time.Time) Mix {
	if elapsed := now.Sub(mix.at); !mix.at.IsZero() && elapsed > 0 {
		decay := math.Exp2(-elapsed.Seconds() / mixHalfLife.Seconds())
		for i := range mix.work {
			mix.work[i] *= decay
		}
	}
	mix.at = now
	mix.work[bucketOf(tokens)] += float64(tokens)
	return mix
}

// class returns the class of a prompt length. The boundaries divide the tokens of
// recent requests into classCount equal parts, so that each class needs the same number
// of engines.
func (mix Mix) class(tokens int64) int {
	var total, before float64
	bucket := bucketOf(tokens)
	for i, work := range mix.work {
		total += work
		if i < bucket {
			before += work
		}
	}
	if total == 0 {
		return 0
	}
	mid := before + mix.work[bucket]/2
	return min(classCount-1, int(mid/total*classCount))
}

// longShare returns the share of recent tokens in prompts of at least the given length.
func (mix Mix) longShare(tokens int64) float64 {
	var total, long float64
	for i, work := range mix.work {
		total += work
		if i >= bucketOf(tokens) {
			long += work
		}
	}
	if total == 0 {
		return 0
	}
	return long / total
}
