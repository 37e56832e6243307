// Package budgeter bounds the retries of a host to a share of its requests, so
// that retries can't multiply the load when many endpoints fail.
package budgeter

import (
	"sync"
	"time"
)

const (
	// Share is the number of retries that one request earns.
	Share = 0.2
	// FloorRate is the number of retries a second that a host earns without
	// requests.
	FloorRate = 1.0
	// Burst is the most retries that a host saves up. It covers the streams
	// that break when one engine dies.
	Burst = 128.0
	// MinBurst is what a host may save up when all others have nothing left.
	MinBurst = 16.0
	// MaxFleetAge is the age at which what is known of the other hosts counts no
	// more.
	MaxFleetAge = 10 * time.Second
)

// Fleet is what a host knows of the budgets of the others.
type Fleet struct {
	// Left is the mean of what they have left, as a part of Burst.
	Left float64
	// AsOf is when the oldest of it was true.
	AsOf time.Time
}

// NewFleet sums up the digests of other hosts, the oldest of which is as of at.
func NewFleet(digs []Digest, at time.Time) Fleet {
	if len(digs) == 0 {
		return Fleet{}
	}
	var sum float64
	for _, dig := range digs {
		sum += min(Burst, max(0, dig.Available))
	}
	return Fleet{Left: sum / Burst / float64(len(digs)), AsOf: at}
}

// burst is the most retries that a host may save up: the less the others have
// left, the less it adds to what the fleet sends. Without fresh knowledge each
// host has its own burst, so n hosts exceed what their requests and the time
// earn by n times Burst at most, and by n times MinBurst once they know that
// nothing is left.
func (fle Fleet) burst(now time.Time) float64 {
	old := min(1, max(0, now.Sub(fle.AsOf).Seconds()/MaxFleetAge.Seconds()))
	return max(MinBurst, Burst*(fle.Left+(1-fle.Left)*old))
}

// Budget is the retry budget of one host. Its zero value is a full budget.
type Budget struct {
	mu    sync.Mutex
	spent float64
	at    time.Time
	total Digest
	fleet Fleet
}

// Digest counts what a host's budget was asked for.
type Digest struct {
	Requests int64
	Retries  int64
	Denied   int64
	// Available counts the retries left.
	Available float64
}

// SetFleet tells the budget of the other hosts.
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
	bud.total.Requests++
}

// Take spends one retry if one is left.
func (bud *Budget) Take(now time.Time) bool {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	ok := bud.take(1, now)
	if !ok {
		bud.total.Denied++
	}
	return ok
}

// spareShare is the part of the burst that is left to TakeSpare.
const spareShare = 0.5

// TakeSpare spends one retry if more than half of the burst is left. It is for
// what can wait, so that failures keep the rest.
func (bud *Budget) TakeSpare(now time.Time) bool {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	return bud.take(spareShare, now)
}

// take spends one retry within a part of the burst. The caller holds the lock.
func (bud *Budget) take(part float64, now time.Time) bool {
	bud.refill(now)
	if bud.spent+1 > part*bud.fleet.burst(now) {
		return false
	}
	bud.spent++
	bud.total.Retries++
	return true
}

// Return gives back a retry that was taken and not used.
func (bud *Budget) Return() {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	bud.spent = max(0, bud.spent-1)
	bud.total.Retries--
}

// Digest returns the counts so far.
func (bud *Budget) Digest(now time.Time) Digest {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	bud.refill(now)
	dig := bud.total
	dig.Available = Burst - bud.spent
	return dig
}

func (bud *Budget) refill(now time.Time) {
	if pas := now.Sub(bud.at); pas > 0 {
		if !bud.at.IsZero() {
			bud.spent = max(0, bud.spent-pas.Seconds()*FloorRate)
		}
		bud.at = now
	}
}
