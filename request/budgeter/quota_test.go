package budgeter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestQuotaFleet has every call of many hosts fail: in no window do all repeats
// together exceed what the terms allow.
func TestQuotaFleet(t *testing.T) {
	const hosts, calls = 20, 40
	ter := QuotaLimits{Ratio: 0.2, Slack: 236, Window: 10 * time.Second}
	var quos []*Quota
	for range hosts {
		quos = append(quos, &Quota{Limits: ter, Hosts: func() int { return hosts }})
	}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	type step struct{ calls, repeats int }
	var steps []step
	for range 300 {
		var ste step
		for _, quo := range quos {
			for range calls / 10 {
				quo.Earn("p", now)
				ste.calls++
				if quo.Take("p", now) {
					ste.repeats++
				}
			}
		}
		steps = append(steps, ste)
		now = now.Add(100 * time.Millisecond)
	}
	for beg := 0; beg+100 <= len(steps); beg++ {
		var sum step
		for _, ste := range steps[beg : beg+100] {
			sum.calls += ste.calls
			sum.repeats += ste.repeats
		}
		require.LessOrEqual(t, float64(sum.repeats), ter.Ratio*float64(sum.calls)+ter.Slack)
		require.Positive(t, sum.repeats)
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

// TestQuotaClock has the wall clock jump: times without a monotonic reading that
// go back do not open the window again.
func TestQuotaClock(t *testing.T) {
	quo := &Quota{Limits: QuotaLimits{Slack: 10, Window: time.Second}, Hosts: func() int { return 1 }}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for range 7 {
		require.True(t, quo.Take("a", now.Add(500*time.Millisecond)))
	}
	require.False(t, quo.Take("a", now.Add(-time.Hour)))
}
