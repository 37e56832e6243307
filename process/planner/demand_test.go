package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRefusedPromptsAreNoDemand guards against a long prompt that waits on idle engines, because
// requests that were refused at once, as too late to be read, count as work that is still to come.
func TestRefusedPromptsAreNoDemand(t *testing.T) {
	sim := newSimulation(14, 1)
	prompt := func(target, deadline time.Duration) Prompt {
		return Prompt{Tokens: 700_000, MaxTokens: 1000, Target: epoch.Add(target), Deadline: epoch.Add(deadline), Objective: 3 * time.Second, Pause: time.Second}
	}
	for i := range 5 {
		now := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
		acts := sim.plan.Next(Request{ID: fmt.Sprint("late-", i), Prompt: prompt(0, time.Second)}, now)
		require.Len(t, acts, 1)
		require.Equal(t, CodeTooLate, acts[0].(Refuse).Code)
	}
	acts := sim.plan.Next(Request{ID: "sound", Prompt: prompt(4*time.Second, 16*time.Second)}, epoch.Add(time.Second))
	require.Len(t, acts, 1, "the prompt waits")
	require.IsType(t, Assign{}, acts[0])
}
