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
)

// Budget is the retry budget of one host. Its zero value is a full budget.
type Budget struct {
	mu    sync.Mutex
	spent float64
	at    time.Time
	total Digest
}

// Digest counts what a host's budget was asked for.
type Digest struct {
	Requests int64
	Retries  int64
	Denied   int64
	// Available counts the retries left.
	Available float64
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
	ok := bud.take(Burst, now)
	if !ok {
		bud.total.Denied++
	}
	return ok
}

// TakeSpare spends one retry if more than half of the burst is left. It is for
// what can wait, so that failures keep the rest.
func (bud *Budget) TakeSpare(now time.Time) bool {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	return bud.take(Burst/2, now)
}

// take spends one retry within a limit. The caller holds the lock.
func (bud *Budget) take(lim float64, now time.Time) bool {
	bud.refill(now)
	if bud.spent+1 > lim {
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
