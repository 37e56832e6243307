package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hemlockpin/request/placer"

	"github.com/stretchr/testify/require"
)

// flood asks for short prompts faster than the engines' memory allows, and
// returns when the ask named x was granted.
func flood(cel *Cell, now time.Time, dur time.Duration, hold time.Duration, mix func(num int) placer.Request) map[string]int {
	type end struct {
		at time.Time
		id string
	}
	var ends []end
	got := map[string]int{}
	for num := 0; dur > 0; num++ {
		req := mix(num)
		req.Model = "m"
		req.ID = fmt.Sprint(num)
		req.Deadline = now.Add(time.Minute)
		acts := slices.Clone(cel.Next(Request{ID: req.ID, Request: req}, now))
		for len(ends) > 0 && !now.Before(ends[0].at) {
			acts = append(acts, cel.Next(Prefilled{ends[0].id}, now)...)
			acts = append(acts, cel.Next(Release{ends[0].id}, now)...)
			ends = ends[1:]
		}
		for _, act := range acts {
			if _, ok := act.(Refuse); ok {
				continue
			}
			ends = append(ends, end{now.Add(hold), askOf(act)})
			got[cel.grants[askOf(act)].ask.req.Team]++
		}
		for id := range cel.asks {
			cel.seen[id] = now
		}
		for _, eng := range cel.engines {
			eng.reportedAt = now
		}
		now = now.Add(5 * time.Millisecond)
		dur -= 5 * time.Millisecond
	}
	return got
}

// TestNoStarvation keeps the engines' memory full of short prompts. A group
// and a long prompt still get theirs.
func TestNoStarvation(t *testing.T) {
	for _, tok := range []int64{300_000, 1_000_000} {
		cel := newCell(4, epoch)
		got := flood(cel, epoch, 20*time.Second, time.Second, func(num int) placer.Request {
			if num == 500 {
				return placer.Request{Team: "ledger", PromptTokens: tok, MaxTokens: 10}
			}
			return placer.Request{Team: "short", PromptTokens: 1000, MaxTokens: 50_000}
		})
		require.Equal(t, 1, got["ledger"], "prompt of %d tokens", tok)
		require.Greater(t, got["short"], 300, "short prompts go on")
	}
}

// TestFairShares lets one team ask for ten times what another does, on full
// engines. The smaller one gets all that it asks for.
func TestFairShares(t *testing.T) {
	cel := newCell(4, epoch)
	got := flood(cel, epoch, 20*time.Second, time.Second, func(num int) placer.Request {
		if num%22 == 0 {
			return placer.Request{Team: "small", PromptTokens: 1000, MaxTokens: 50_000}
		}
		return placer.Request{Team: "large", PromptTokens: 1000, MaxTokens: 50_000}
	})
	require.GreaterOrEqual(t, got["small"], 4000/22*9/10)
	require.Greater(t, got["large"], 200)
}

// TestPromiseIsBounded promises memory on every engine to a group and then
// lets some of it never become free. Long prompts still go on.
func TestPromiseIsBounded(t *testing.T) {
	cel := newCell(4, epoch)
	promised := false
	got := flood(cel, epoch, 50*time.Second, time.Second, func(num int) placer.Request {
		if cel.promise != nil && !promised {
			promised = true
			for _, eng := range cel.engines {
				eng.foreign = 200_000
			}
		}
		if num == 100 {
			return placer.Request{Team: "ledger", PromptTokens: 1_200_000, MaxTokens: 10}
		}
		if num%40 == 0 {
			return placer.Request{Team: "history", PromptTokens: 20_000, MaxTokens: 10}
		}
		return placer.Request{Team: "short", PromptTokens: 1000, MaxTokens: 4000}
	})
	require.True(t, promised)
	require.Greater(t, got["history"], 100)
}
