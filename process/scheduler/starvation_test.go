package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hemlockpin/request/placer"

	"github.com/stretchr/testify/require"
)

// flood submits a request from newRequest every 5 ms for the period, and releases each
// grant after hold. Hosts repeat their requests and engines report all the time. flood
// returns the number of grants by team.
func flood(cel *Cell, now time.Time, period time.Duration, hold time.Duration, newRequest func(n int) placer.Request) map[string]int {
	type release struct {
		at time.Time
		id string
	}
	var releases []release
	grants := map[string]int{}
	for n := 0; period > 0; n++ {
		req := newRequest(n)
		req.Model = "m"
		req.ID = fmt.Sprint(n)
		req.Deadline = now.Add(time.Minute)
		acts := slices.Clone(cel.Next(Request{ID: req.ID, Request: req}, now))
		for len(releases) > 0 && !now.Before(releases[0].at) {
			acts = append(acts, cel.Next(Prefilled{releases[0].id}, now)...)
			acts = append(acts, cel.Next(Release{releases[0].id}, now)...)
			releases = releases[1:]
		}
		for _, act := range acts {
			if _, ok := act.(Refuse); ok {
				continue
			}
			releases = append(releases, release{now.Add(hold), requestIDOf(act)})
			grants[cel.grants[requestIDOf(act)].entry.req.Team]++
		}
		for id := range cel.pending {
			cel.repeatedAt[id] = now
		}
		for _, eng := range cel.engines {
			eng.reportedAt = now
		}
		now = now.Add(5 * time.Millisecond)
		period -= 5 * time.Millisecond
	}
	return grants
}

// TestNoStarvation keeps the engines' memory full with short prompts. A long prompt
// and a group must still be granted, which needs a promise of memory.
func TestNoStarvation(t *testing.T) {
	for _, tokens := range []int64{300_000, 1_000_000} {
		cel := newCell(4, epoch)
		got := flood(cel, epoch, 20*time.Second, time.Second, func(n int) placer.Request {
			if n == 500 {
				return placer.Request{Team: "ledger", PromptTokens: tokens, MaxTokens: 10}
			}
			return placer.Request{Team: "short", PromptTokens: 1000, MaxTokens: 50_000}
		})
		require.Equal(t, 1, got["ledger"], "prompt of %d tokens", tokens)
		require.Greater(t, got["short"], 300, "short prompts are granted meanwhile")
	}
}

// TestFairShares has one team send 21 times as many requests as another on full
// engines. The smaller team must get nearly all that it requests.
func TestFairShares(t *testing.T) {
	cel := newCell(4, epoch)
	got := flood(cel, epoch, 20*time.Second, time.Second, func(n int) placer.Request {
		if n%22 == 0 {
			return placer.Request{Team: "small", PromptTokens: 1000, MaxTokens: 50_000}
		}
		return placer.Request{Team: "large", PromptTokens: 1000, MaxTokens: 50_000}
	})
	require.GreaterOrEqual(t, got["small"], 4000/22*9/10)
	require.Greater(t, got["large"], 200)
}

// TestPromiseIsBounded guards against a promise that blocks a cell for good: a group
// has a promise on every engine, and a part of that memory never becomes free. Long
// prompts must still be granted.
func TestPromiseIsBounded(t *testing.T) {
	cel := newCell(4, epoch)
	promised := false
	got := flood(cel, epoch, 50*time.Second, time.Second, func(n int) placer.Request {
		if cel.promise != nil && !promised {
			promised = true
			for _, eng := range cel.engines {
				eng.foreign = 200_000
			}
		}
		if n == 100 {
			return placer.Request{Team: "ledger", PromptTokens: 1_200_000, MaxTokens: 10}
		}
		if n%40 == 0 {
			return placer.Request{Team: "history", PromptTokens: 20_000, MaxTokens: 10}
		}
		return placer.Request{Team: "short", PromptTokens: 1000, MaxTokens: 4000}
	})
	require.True(t, promised)
	require.Greater(t, got["history"], 100)
}
