package budgeter

import (
	"sync"
	"time"
)

const (
	// quotaParts divides the window of a quota, so that it slides in steps.
	quotaParts = 10
	// quotaFill is the share of the slack that the hosts give out; the rest makes
	// up for hosts that this one has not heard of.
	quotaFill = 0.7
)

// QuotaLimits bound the repeats of the calls to a pool over all hosts: in each window,
// to Ratio of the calls and Slack.
type QuotaLimits struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Quota is a host's part of the repeats that all hosts may send. A host may
// repeat a share of its own calls and its part of the slack. Its zero value needs
// Limits and Hosts.
type Quota struct {
	Limits QuotaLimits
	// Hosts returns the number of hosts, this one among them.
	Hosts func() int

	mu    sync.Mutex
	pools map[string]*account
	// base is the first time that was seen. Times are taken against it, so that a
	// step of the wall clock does not move the window.
	base time.Time
}

// account counts the calls and the repeats of one pool by parts of the window.
type account struct {
	calls   [quotaParts]int
	repeats [quotaParts]int
	at      int64
}

// SetLimits changes the limits.
func (quo *Quota) SetLimits(ter QuotaLimits) {
	quo.mu.Lock()
	defer quo.mu.Unlock()
	quo.Limits = ter
}

// Earn counts a call for a pool.
func (quo *Quota) Earn(pool string, now time.Time) {
	quo.mu.Lock()
	defer quo.mu.Unlock()
	acc := quo.account(pool, now)
	acc.calls[acc.at%quotaParts]++
}

// Take reports whether a call for a pool may be repeated, and counts the repeat.
func (quo *Quota) Take(pool string, now time.Time) bool {
	quo.mu.Lock()
	defer quo.mu.Unlock()
	acc := quo.account(pool, now)
	lim := quo.Limits.Ratio*float64(sum(acc.calls)) + quotaFill*quo.Limits.Slack/float64(max(1, quo.Hosts()))
	if float64(sum(acc.repeats)+1) > lim {
		return false
	}
	acc.repeats[acc.at%quotaParts]++
	return true
}

func sum(nums [quotaParts]int) int {
	tot := 0
	for _, num := range nums {
		tot += num
	}
	return tot
}

// account moves the window of a pool on. The caller holds the lock.
func (quo *Quota) account(pool string, now time.Time) *account {
	if quo.pools == nil {
		quo.pools = map[string]*account{}
		quo.base = now
	}
	at := int64(max(0, now.Sub(quo.base)) / max(1, quo.Limits.Window/quotaParts))
	acc := quo.pools[pool]
	if acc == nil {
		acc = &account{at: at}
		quo.pools[pool] = acc
	}
	if at-acc.at >= quotaParts {
		*acc = account{at: at}
	}
	for acc.at < at {
		acc.at++
		acc.calls[acc.at%quotaParts], acc.repeats[acc.at%quotaParts] = 0, 0
	}
	return acc
}
