package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestBacklogIsBounded fills the engines with long prompts until hundreds of requests
// wait. A call of Next must evaluate only some of the requests, the most urgent ones most
// often, and each request within two seconds; otherwise the work of a call grows with the
// backlog.
func TestBacklogIsBounded(t *testing.T) {
	const engines, requests = 20, 400
	sim := newSimulation(engines, 1)
	now := epoch
	request := func(i int) Request {
		return Request{ID: fmt.Sprint(i), Host: "h", Prompt: Prompt{
			Tokens: 150_000, MaxTokens: 1000, Objective: 60 * time.Second, Pause: time.Second,
			Target: now.Add(60 * time.Second), Deadline: now.Add(120 * time.Second),
		}}
	}
	for i := range requests {
		sim.plan.Next(request(i), now)
		now = now.Add(time.Millisecond)
	}
	require.Greater(t, sim.plan.Waiting(), requests/2)
	highest := 0
	for range 200 {
		now = now.Add(tickInterval)
		for _, pen := range sim.plan.waiting {
			pen.lastSeen = now
		}
		sim.plan.Next(Tick{}, now)
		evaluated := 0
		for _, pen := range sim.plan.waiting {
			if pen.evaluated.Equal(now) {
				evaluated++
			}
			require.LessOrEqual(t, now.Sub(pen.evaluated), 2*time.Second)
		}
		highest = max(highest, evaluated)
	}
	require.LessOrEqual(t, highest, 40, "one call of Next evaluated too many requests; an evaluation takes up to a millisecond with a hundred engines")
	// Calls of Next between ticks evaluate no request, and a new request waits its turn.
	for i := range 20 {
		sim.plan.Next(Ended{fmt.Sprint("none", i)}, now)
		sim.plan.Next(request(requests+i), now)
	}
	for _, pen := range sim.plan.waiting {
		require.False(t, pen.evaluated.After(now))
	}
	require.True(t, sim.plan.waiting[len(sim.plan.waiting)-1].evaluated.IsZero())
}

// TestLatePromptOnIdleEngines submits a prompt that three idle engines can't prefill within
// its objective, but long before its caller gives up. It must be granted at once: its own
// work is no demand of others for the engines.
func TestLatePromptOnIdleEngines(t *testing.T) {
	sim := newSimulation(3, 1)
	acts := sim.plan.Next(Request{ID: "r", Host: "h", Prompt: Prompt{
		Tokens: 500_000, Target: epoch.Add(3 * time.Second), Deadline: epoch.Add(15 * time.Second), Objective: 3 * time.Second, Pause: time.Second,
	}}, epoch)
	require.Len(t, acts, 1)
	require.IsType(t, Assign{}, acts[0])
}
