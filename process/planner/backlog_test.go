package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestBacklogIsBounded fills the engines with long prompts until hundreds of asks wait:
// a step of the plan looks at some of them only, the most urgent ones the most often,
// and at each of them within two seconds.
func TestBacklogIsBounded(t *testing.T) {
	const engines, asks = 20, 400
	wor := newWorld(engines, 1)
	now := epoch
	ask := func(ind int) Request {
		return Request{ID: fmt.Sprint(ind), Host: "h", Prompt: Prompt{
			Tokens: 150_000, MaxTokens: 1000, Objective: 60 * time.Second, Pause: time.Second,
			Target: now.Add(60 * time.Second), Deadline: now.Add(120 * time.Second),
		}}
	}
	for ind := range asks {
		wor.plan.Next(ask(ind), now)
		now = now.Add(time.Millisecond)
	}
	require.Greater(t, wor.plan.Waiting(), asks/2)
	most := 0
	for range 200 {
		now = now.Add(tick)
		for _, one := range wor.plan.waiting {
			one.seen = now
		}
		wor.plan.Next(Tick{}, now)
		looked := 0
		for _, one := range wor.plan.waiting {
			if one.tried.Equal(now) {
				looked++
			}
			require.LessOrEqual(t, now.Sub(one.tried), 2*time.Second)
		}
		most = max(most, looked)
	}
	require.LessOrEqual(t, most, 40, "a look takes up to a millisecond at a hundred engines")
	// The steps between ticks look at none, and a new ask waits its turn.
	for ind := range 20 {
		wor.plan.Next(Ended{fmt.Sprint("none", ind)}, now)
		wor.plan.Next(ask(asks+ind), now)
	}
	for _, one := range wor.plan.waiting {
		require.False(t, one.tried.After(now))
	}
	require.True(t, wor.plan.waiting[len(wor.plan.waiting)-1].tried.IsZero())
}
