package budgeter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestQuotaFleet lets every call of many hosts fail: the resends of all hosts together
// must not exceed the limits in any window.
func TestQuotaFleet(t *testing.T) {
	const hosts, calls = 20, 40
	limits := QuotaLimits{Ratio: 0.2, Slack: 236, Window: 10 * time.Second}
	var quos []*Quota
	for range hosts {
		quos = append(quos, &Quota{Limits: limits, Hosts: func() int { return hosts }})
	}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	type step struct{ calls, resends int }
	var steps []step
	for range 300 {
		var current step
		for _, quo := range quos {
			for range calls / 10 {
				quo.Earn("p", now)
				current.calls++
				if quo.Take("p", now) {
					current.resends++
				}
			}
		}
		steps = append(steps, current)
		now = now.Add(100 * time.Millisecond)
	}
	for start := 0; start+100 <= len(steps); start++ {
		var sum step
		for _, current := range steps[start : start+100] {
			sum.calls += current.calls
			sum.resends += current.resends
		}
		require.LessOrEqual(t, float64(sum.resends), limits.Ratio*float64(sum.calls)+limits.Slack)
		require.Positive(t, sum.resends)
	}
}

func TestQuotaPools(t *testing.T) {
	quo := &Quota{Limits: QuotaLimits{Slack: 10, Window: time.Second}, Hosts: func() int { return 1 }}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for range 7 {
		require.True(t, quo.Take("a", now))
	}
	require.False(t, quo.Take("a", now))
	require.True(t, quo.Take("b", now), "pools have quotas of their own")
	require.False(t, quo.Take("a", now.Add(900*time.Millisecond)))
	require.True(t, quo.Take("a", now.Add(1100*time.Millisecond)))
}

// TestQuotaClock guards against a wall clock that is set back: such times, without a
// monotonic reading, must not reset the window.
func TestQuotaClock(t *testing.T) {
	quo := &Quota{Limits: QuotaLimits{Slack: 10, Window: time.Second}, Hosts: func() int { return 1 }}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for range 7 {
		require.True(t, quo.Take("a", now.Add(500*time.Millisecond)))
	}
	require.False(t, quo.Take("a", now.Add(-time.Hour)))
}
