package budgeter

import (
	"sync"
	"time"
)

const (
	// quotaParts divides the window of a quota into parts, so that the window slides in
	// steps.
	quotaParts = 10
	// slackShare is the share of the slack that the hosts use. The rest compensates for
	// hosts missing from Hosts.
	slackShare = 0.7
)

// QuotaLimits limit the resends of the calls to a pool by all hosts together: in each
// window, to Ratio times the calls plus Slack.
type QuotaLimits struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Quota is a host's part of the resends that all hosts may make: a share of its own
// calls and an equal part of the slack. Limits and Hosts must be set.
type Quota struct {
	Limits QuotaLimits
	// Hosts returns the number of hosts, including this one.
	Hosts func() int

	mu     sync.Mutex
	counts map[string]*poolCounts
	// base is the time of the first use. All times are measured from it, so that a step
	// of the wall clock does not move the window.
	base time.Time
}

// poolCounts counts the calls and the resends of one pool by parts of the window. part
// is the number of the current part since the base of the quota.
type poolCounts struct {
	calls   [quotaParts]int
	resends [quotaParts]int
	part    int64
}

// SetLimits changes the limits.
func (quo *Quota) SetLimits(limits QuotaLimits) {
	quo.mu.Lock()
	defer quo.mu.Unlock()
	quo.Limits = limits
}

// Earn counts a call to a pool.
func (quo *Quota) Earn(pool string, now time.Time) {
	quo.mu.Lock()
	defer quo.mu.Unlock()
	counts := quo.countsOf(pool, now)
	counts.calls[counts.part%quotaParts]++
}

// Take takes a resend of a call to a pool. It returns false if none is left.
func (quo *Quota) Take(pool string, now time.Time) bool {
	quo.mu.Lock()
	defer quo.mu.Unlock()
	counts := quo.countsOf(pool, now)
	limit := quo.Limits.Ratio*float64(sum(counts.calls)) + slackShare*quo.Limits.Slack/float64(max(1, quo.Hosts()))
	if float64(sum(counts.resends)+1) > limit {
		return false
	}
	counts.resends[counts.part%quotaParts]++
	return true
}

func sum(counts [quotaParts]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// countsOf returns the counts of a pool after advancing its window to now. The caller
// holds the lock.
func (quo *Quota) countsOf(pool string, now time.Time) *poolCounts {
	if quo.counts == nil {
		quo.counts = map[string]*poolCounts{}
		quo.base = now
	}
	part := int64(max(0, now.Sub(quo.base)) / max(1, quo.Limits.Window/quotaParts))
	counts := quo.counts[pool]
	if counts == nil {
		counts = &poolCounts{part: part}
		quo.counts[pool] = counts
	}
	if part-counts.part >= quotaParts {
		*counts = poolCounts{part: part}
	}
	for counts.part < part {
		counts.part++
		counts.calls[counts.part%quotaParts], counts.resends[counts.part%quotaParts] = 0, 0
	}
	return counts
}
