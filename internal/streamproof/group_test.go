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

// smallEngines hold 20,000 tokens each.
var smallEngines = []string{"--memory-tokens", "20000", "--prefill-rate", "100000", "--step", "5ms", "--idle-every", "200ms"}

// ledger is a prompt of about the given tokens.
func ledger(num int, tokens int) question {
	lin := fmt.Sprintf("Ledger %d: pedal mended, belt changed. ", num)
	return question{text: strings.Repeat(lin, tokens*hasher.BytesPerToken/len(lin)), tokens: 20, limit: 25 * time.Second}
}

// TestLongPromptsRace lets the hosts place through a scheduler, and each from
// its own view.
func TestLongPromptsRace(t *testing.T) {
	for _, pol := range []string{"cell", "least-outstanding"} {
		t.Run(pol, func(t *testing.T) { raceLongPrompts(t, pol) })
	}
}

func raceLongPrompts(t *testing.T, policy string) {
	fle := startFleet(t, testkit.Plan{Hosts: 4, Engines: 4, EngineArgs: smallEngines, HostArgs: []string{"--placement", policy}})
	var ques []question
	for ind := range 12 {
		ques = append(ques, ledger(ind, 45_000))
	}
	for _, que := range questions(24, 20) {
		que.limit = 25 * time.Second
		ques = append(ques, que)
	}
	for ind, ans := range askMany(t.Context(), fle.Hosts, ques, nil) {
		requireTruthful(t, ques[ind], ans)
		require.True(t, ans.ended, "question %d: code %s", ind, ans.code)
	}
	requireFreed(t, fle.Engines, 10*time.Second)
}

func TestLongPromptThatNeverFits(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 1, Engines: 2, EngineArgs: smallEngines})
	ans := ask(t.Context(), fle.Hosts[0], ledger(0, 60_000), nil)
	require.Equal(t, http.StatusRequestEntityTooLarge, ans.status)
	require.Equal(t, "prompt_too_large", ans.code)
	require.Equal(t, "NotRun", string(ans.ran))
	require.Less(t, ans.took, 2*time.Second)
	requireFreed(t, fle.Engines, time.Second)
}

func TestGroupMemberKilled(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 2, Engines: 5, EngineArgs: smallEngines})
	que := ledger(0, 45_000)
	que.tokens = 600
	done := make(chan answer, 1)
	begun := make(chan struct{})
	go func() {
		var once bool
		done <- ask(context.Background(), fle.Hosts[0], que, func(string) {
			if !once {
				once = true
				close(begun)
			}
		})
	}()
	<-begun
	vic := member(t, fle)
	vic.Kill()
	requireWhole(t, que, <-done)
	requireCounted(t, fle.Hosts[0], "attempts_resumed", 0)
	var lef []*testkit.Process
	for _, eng := range fle.Engines {
		if eng != vic {
			lef = append(lef, eng)
		}
	}
	requireFreed(t, lef, 10*time.Second)
}

// member returns an engine that holds a share without leading the group.
func member(t *testing.T, fle *testkit.Fleet) *testkit.Process {
	for _, eng := range fle.Engines {
		loa, err := memory(t.Context(), eng)
		require.NoError(t, err)
		if loa.Running == 0 && loa.UsedTokens > 0 {
			return eng
		}
	}
	require.Fail(t, "no engine is a mere member")
	return nil
}
