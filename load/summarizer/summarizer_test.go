package summarizer_test

import (
	"testing"
	"time"

	"hemlockpin/load/mixer"
	"hemlockpin/load/sender"
	"hemlockpin/load/summarizer"

	"github.com/stretchr/testify/require"
)

// A refused prompt counts with its latency target, so that refusing prompts does
// not improve a score.
func TestScoreCountsRefusedPromptsAtLatencyTarget(t *testing.T) {
	sum := summarizer.New(mixer.Wijesinghe(), 0, time.Second)
	sum.IdleFirstToken = func(mixer.Request) time.Duration { return 100 * time.Millisecond }
	for _, out := range []sender.Outcome{sender.Whole, sender.Refused} {
		sum.Add(sender.Result{
			Outcome: out, First: 100 * time.Millisecond,
			Request: mixer.Request{Kind: mixer.KindPrompt, Class: mixer.ClassShort, PromptTokens: 1000, LatencyTarget: 5 * time.Second},
		})
	}
	rep := sum.Report()
	require.InDelta(t, 50, rep.Score.ShortSlowdown, 0.1)
	require.InDelta(t, 100, rep.Score.PortLouis, 0.2)
	require.InDelta(t, 50, rep.Score.Wijesinghe, 0.1)
}
