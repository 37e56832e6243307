package streamproof_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"hemlockpin/internal/testkit"
	"hemlockpin/request/hasher"

	"github.com/stretchr/testify/require"
)

// smallEngines are the arguments of engines with memory for 20,000 tokens each.
var smallEngines = []string{"--memory-tokens", "20000", "--prefill-rate", "100000", "--step", "5ms", "--idle-every", "200ms"}

// longQuestion returns a question whose prompt has about the given number of
// tokens.
func longQuestion(i int, tokens int) question {
	line := fmt.Sprintf("Ledger %d: pedal mended, belt changed. ", i)
	return question{text: strings.Repeat(line, tokens*hasher.BytesPerToken/len(line)), tokens: 20, timeLimit: 25 * time.Second}
}

// TestLongPromptsRace sends long prompts, each of which needs a group of engines,
// and short ones through all hosts at once. It runs with placement by the cell's
// scheduler and with placement by each host from its local view, where hosts compete
// for the same engines.
func TestLongPromptsRace(t *testing.T) {
	for _, policy := range []string{"cell", "least-outstanding"} {
		t.Run(policy, func(t *testing.T) { raceLongPrompts(t, policy) })
	}
}

func raceLongPrompts(t *testing.T, policy string) {
	fle := startFleet(t, testkit.Plan{Hosts: 4, Engines: 4, EngineArgs: smallEngines, HostArgs: []string{"--placement", policy}})
	var ques []question
	for i := range 12 {
		ques = append(ques, longQuestion(i, 45_000))
	}
	for _, que := range questions(24, 20) {
		que.timeLimit = 25 * time.Second
		ques = append(ques, que)
	}
	for i, ans := range askMany(t.Context(), fle.Hosts, ques, nil) {
		requireTruthful(t, ques[i], ans)
		require.True(t, ans.ended, "question %d: code %s", i, ans.code)
	}
	requireFreed(t, fle.Engines, 10*time.Second)
}

func TestLongPromptThatNeverFits(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 1, Engines: 2, EngineArgs: smallEngines})
	ans := ask(t.Context(), fle.Hosts[0], longQuestion(0, 60_000), nil)
	require.Equal(t, http.StatusRequestEntityTooLarge, ans.status)
	require.Equal(t, "prompt_too_large", ans.code)
	require.Equal(t, "NotRun", string(ans.ran))
	require.Less(t, ans.elapsed, 2*time.Second)
	requireFreed(t, fle.Engines, time.Second)
}

func TestGroupMemberKilled(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 2, Engines: 5, EngineArgs: smallEngines})
	que := longQuestion(0, 45_000)
	que.tokens = 600
	done := make(chan answer, 1)
	started := make(chan struct{})
	go func() {
		var once bool
		done <- ask(context.Background(), fle.Hosts[0], que, func(string) {
			if !once {
				once = true
				close(started)
			}
		})
	}()
	<-started
	victim := groupMember(t, fle)
	victim.Kill()
	requireComplete(t, que, <-done)
	requireCounted(t, fle.Hosts[0], "attempts_resumed", 0)
	var left []*testkit.Process
	for _, eng := range fle.Engines {
		if eng != victim {
			left = append(left, eng)
		}
	}
	requireFreed(t, left, 10*time.Second)
}

// groupMember returns an engine that holds a share of a group's memory and does not
// lead the group.
func groupMember(t *testing.T, fle *testkit.Fleet) *testkit.Process {
	for _, eng := range fle.Engines {
		loa, err := memory(t.Context(), eng)
		require.NoError(t, err)
		if loa.Running == 0 && loa.UsedTokens > 0 {
			return eng
		}
	}
	require.Fail(t, "no engine is a member of a group without leading it")
	return nil
}
