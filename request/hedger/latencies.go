package hedger

import (
	"math"
	"sync"
	"time"
)

const (
	// hedgeQuantile is the quantile of the recent latencies after which a call is
	// hedged.
	hedgeQuantile = 0.95
	// minWeight is the total weight of the recent calls below which calls are not
	// hedged.
	minWeight = 20
	// halfLife is the age at which the weight of a call has halved.
	halfLife = 30 * time.Second
	// minDelay keeps calls from being hedged because of a short pause of the host
	// itself.
	minDelay = 2 * time.Millisecond

	// The histogram has bucketCount buckets. firstBucket is the upper limit of the
	// first; each further limit is bucketRatio times the one before.
	bucketCount = 80
	bucketRatio = 1.15
	firstBucket = time.Millisecond
)

// Latencies is a histogram of the recent latencies of the calls of a pool. Its zero
// value is empty.
type Latencies struct {
	mu        sync.Mutex
	counts    [bucketCount]float64
	total     float64
	decayedAt time.Time
}

// Observe adds the latency of one call.
func (lat *Latencies) Observe(latency time.Duration, now time.Time) {
	lat.mu.Lock()
	defer lat.mu.Unlock()
	lat.decay(now)
	lat.counts[bucketOf(latency)]++
	lat.total++
}

// Delay returns how long to wait before a call is hedged, and false if too few calls
// were observed recently.
func (lat *Latencies) Delay(now time.Time) (time.Duration, bool) {
	lat.mu.Lock()
	defer lat.mu.Unlock()
	lat.decay(now)
	if lat.total < minWeight {
		return 0, false
	}
	left := lat.total * hedgeQuantile
	for i, count := range lat.counts {
		if left -= count; left <= 0 {
			return max(minDelay, bucketLimit(i)), true
		}
	}
	return bucketLimit(bucketCount - 1), true
}

// decay reduces the weight of old calls. The caller holds the lock.
func (lat *Latencies) decay(now time.Time) {
	elapsed := now.Sub(lat.decayedAt)
	if elapsed < time.Second {
		return
	}
	factor := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
	for i := range lat.counts {
		lat.counts[i] *= factor
	}
	lat.total *= factor
	lat.decayedAt = now
}

func bucketOf(latency time.Duration) int {
	if latency <= firstBucket {
		return 0
	}
	i := math.Ceil(math.Log(float64(latency)/float64(firstBucket)) / math.Log(bucketRatio))
	return min(bucketCount-1, int(i))
}

// bucketLimit returns the upper limit of a bucket.
func bucketLimit(i int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Pow(bucketRatio, float64(i)))
}
