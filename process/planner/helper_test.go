package planner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHelpersAreBounded requests engines for prompts of all lengths on many idle engines. A
// call must not name more engines than the 16 that engines accept (maxHelpers). A call with
// reserved memory also names its lead engine.
func TestHelpersAreBounded(t *testing.T) {
	for _, engines := range []int{14, 17, 40, 112} {
		for tokens := int64(100_000); tokens <= 1_200_000; tokens += 50_000 {
			sim := newSimulation(engines, 1)
			acts := sim.plan.Next(Request{ID: "a", Prompt: Prompt{
				Tokens: tokens, MaxTokens: 1000, Target: epoch.Add(4 * time.Second), Deadline: epoch.Add(15 * time.Second), Objective: 4 * time.Second, Pause: time.Second,
			}}, epoch)
			if len(acts) == 0 && tokens > 700_000 {
				// The request waits for a better choice.
				continue
			}
			require.Len(t, acts, 1, "%d tokens on %d engines", tokens, engines)
			act, ok := acts[0].(Assign)
			require.True(t, ok, "%d tokens on %d engines: %v", tokens, engines, acts[0])
			named := len(act.Parts) - 1
			if act.Parts[0].Reserve > 0 {
				named++
			}
			require.LessOrEqual(t, named, 16, "%d tokens on %d engines", tokens, engines)
		}
	}
}
