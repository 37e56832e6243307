package hedger

import (
	"math"
	"sync"
	"time"
)

const (
	// quantile of the recent times after which a call is sent again.
	quantile = 0.95
	// minSamples is the weight of recent calls from which the times are trusted.
	minSamples = 20
	// halfLife is the age at which a time counts half.
	halfLife = 30 * time.Second
	// minDelay keeps calls from being hedged for a pause of the host itself.
	minDelay = 2 * time.Millisecond

	buckets     = 80
	bucketRatio = 1.15
	firstBucket = time.Millisecond
)

// Latencies is a histogram of how long the calls of a pool took lately. Its zero
// value is empty.
type Latencies struct {
	mu     sync.Mutex
	counts [buckets]float64
	total  float64
	at     time.Time
}

// Observe adds the time of one call.
func (tim *Latencies) Observe(dur time.Duration, now time.Time) {
	tim.mu.Lock()
	defer tim.mu.Unlock()
	tim.fade(now)
	tim.counts[bucketOf(dur)]++
	tim.total++
}

// Delay returns how long to wait for a first dispatch before a second one, and
// false while too little is known.
func (tim *Latencies) Delay(now time.Time) (time.Duration, bool) {
	tim.mu.Lock()
	defer tim.mu.Unlock()
	tim.fade(now)
	if tim.total < minSamples {
		return 0, false
	}
	lef := tim.total * quantile
	for ind, cou := range tim.counts {
		if lef -= cou; lef <= 0 {
			return max(minDelay, limitOf(ind)), true
		}
	}
	return limitOf(buckets - 1), true
}

// fade lets old times count less. The caller holds the lock.
func (tim *Latencies) fade(now time.Time) {
	pas := now.Sub(tim.at)
	if pas < time.Second {
		return
	}
	fac := math.Exp2(-pas.Seconds() / halfLife.Seconds())
	for ind := range tim.counts {
		tim.counts[ind] *= fac
	}
	tim.total *= fac
	tim.at = now
}

func bucketOf(dur time.Duration) int {
	if dur <= firstBucket {
		return 0
	}
	ind := math.Ceil(math.Log(float64(dur)/float64(firstBucket)) / math.Log(bucketRatio))
	return min(buckets-1, int(ind))
}

// limitOf is the upper limit of a bucket.
func limitOf(ind int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Pow(bucketRatio, float64(ind)))
}
