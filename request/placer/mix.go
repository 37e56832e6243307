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

// Mix holds the work of recent requests by prompt length, in powers of two of
// tokens. It is an immutable value; its zero value knows nothing.
type Mix struct {
	work [mixBuckets]float64
	at   time.Time
}

func bucketOf(tokens int64) int {
	return min(bits.Len64(uint64(max(0, tokens))), mixBuckets-1)
}

// WithRequest returns the mix after one more request.
func (mix Mix) WithRequest(tokens int64, now time.Time) Mix {
	if gap := now.Sub(mix.at); !mix.at.IsZero() && gap > 0 {
		dec := math.Exp2(-gap.Seconds() / mixHalfLife.Seconds())
		for ind := range mix.work {
			mix.work[ind] *= dec
		}
	}
	mix.at = now
	mix.work[bucketOf(tokens)] += float64(tokens)
	return mix
}

// class returns the class of a length, where the cut-offs divide the work into
// classCount equal parts, so that each class needs the same number of engines.
func (mix Mix) class(tokens int64) int {
	var all, bef float64
	buc := bucketOf(tokens)
	for ind, wor := range mix.work {
		all += wor
		if ind < buc {
			bef += wor
		}
	}
	if all == 0 {
		return 0
	}
	mid := bef + mix.work[buc]/2
	return min(classCount-1, int(mid/all*classCount))
}

// longShare returns the share of the work in prompts of at least the length.
func (mix Mix) longShare(tokens int64) float64 {
	var all, lon float64
	for ind, wor := range mix.work {
		all += wor
		if ind >= bucketOf(tokens) {
			lon += wor
		}
	}
	if all == 0 {
		return 0
	}
	return lon / all
}
