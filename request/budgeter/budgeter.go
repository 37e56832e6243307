// Package budgeter limits the retries of a host to a share of its requests, so that
// retries do not multiply the load when many endpoints fail. Budget does so for one
// host, Quota for each pool and all hosts together.
package budgeter

import (
	"sync"
	"time"
)

const (
	// Share is the number of retries that one request earns.
	Share = 0.2
	// FloorRate is the number of retries a second that a host earns without requests.
	FloorRate = 1.0
	// Burst is the maximum number of retries that a host can accumulate. It covers the
	// streams that break when one engine fails.
	Burst = 128.0
	// MinBurst is the number of retries that a host can accumulate even if all other
	// hosts have none left.
	MinBurst = 16.0
	// MaxFleetAge is the age from which the summary of other hosts' digests is ignored.
	// Peers keeps a digest for half of that time.
	MaxFleetAge = 10 * time.Second
)

// Fleet summarizes the retry budgets of the other hosts.
type Fleet struct {
	// Left is the mean number of retries left to the other hosts, as a share of Burst.
	Left float64
	// AsOf is the time of the oldest digest included.
	AsOf time.Time
}

// NewFleet summarizes the digests of other hosts, the oldest of which dates from at.
func NewFleet(digests []Digest, at time.Time) Fleet {
	if len(digests) == 0 {
		return Fleet{}
	}
	var sum float64
	for _, dig := range digests {
		sum += min(Burst, max(0, dig.Available))
	}
	return Fleet{Left: sum / Burst / float64(len(digests)), AsOf: at}
}

// burst returns the maximum number of retries that the host can accumulate. The fewer
// retries the other hosts have left, the lower it is, so that the fleet's total stays
// bounded. Without recent digests each host uses its own Burst. So n hosts together
// exceed the retries earned by requests and time by at most n times Burst, and by at
// most n times MinBurst once their digests show that no retries are left.
func (fle Fleet) burst(now time.Time) float64 {
	staleness := min(1, max(0, now.Sub(fle.AsOf).Seconds()/MaxFleetAge.Seconds()))
	return max(MinBurst, Burst*(fle.Left+(1-fle.Left)*staleness))
}

// Budget is the retry budget of one host. Its zero value is a full budget.
type Budget struct {
	mu         sync.Mutex
	spent      float64
	refilledAt time.Time
	counts     Digest
	fleet      Fleet
}

// Digest is a summary of a host's budget.
type Digest struct {
	Requests int64
	Retries  int64
	Denied   int64
	// Available is Burst less the retries spent.
	Available float64
}

// SetFleet sets the summary of the other hosts' budgets.
func (bud *Budget) SetFleet(fle Fleet) {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	bud.fleet = fle
}

// Earn credits one admitted request.
func (bud *Budget) Earn(now time.Time) {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	bud.refill(now)
	bud.spent = max(0, bud.spent-Share)
	bud.counts.Requests++
}

// Take spends one retry if one is left.
func (bud *Budget) Take(now time.Time) bool {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	ok := bud.take(1, now)
	if !ok {
		bud.counts.Denied++
	}
	return ok
}

// spareShare is the share of the burst that TakeSpare may spend.
const spareShare = 0.5

// TakeSpare spends one retry if more than half of the burst is left. It serves retries
// that are not urgent, so that the rest is left for failures.
func (bud *Budget) TakeSpare(now time.Time) bool {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	return bud.take(spareShare, now)
}

// take spends one retry within a share of the burst. The caller holds the lock.
func (bud *Budget) take(share float64, now time.Time) bool {
	bud.refill(now)
	if bud.spent+1 > share*bud.fleet.burst(now) {
		return false
	}
	bud.spent++
	bud.counts.Retries++
	return true
}

// Return gives back a retry that was taken but not used.
func (bud *Budget) Return() {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	bud.spent = max(0, bud.spent-1)
	bud.counts.Retries--
}

// Digest returns a summary of the budget.
func (bud *Budget) Digest(now time.Time) Digest {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	bud.refill(now)
	dig := bud.counts
	dig.Available = Burst - bud.spent
	return dig
}

func (bud *Budget) refill(now time.Time) {
	if elapsed := now.Sub(bud.refilledAt); elapsed > 0 {
		if !bud.refilledAt.IsZero() {
			bud.spent = max(0, bud.spent-elapsed.Seconds()*FloorRate)
		}
		bud.refilledAt = now
	}
}
