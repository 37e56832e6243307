package streamproof_test

import (
	"testing"
	"time"

	"hemlockpin/internal/testkit"
	"hemlockpin/standin/generator"

	"github.com/stretchr/testify/require"
)

// TestEngineKilledWhileConnectionsDropData kills an engine while all answers are being
// generated. At the same time the open connections to the other engines stop
// delivering data.
func TestEngineKilledWhileConnectionsDropData(t *testing.T) {
	pla := testkit.Plan{Hosts: 2, Engines: 3, EngineArgs: slowDecode}
	links := linkEngines(t, &pla)
	fle := startFleet(t, pla)
	ques := questions(9, 150)
	var victim *testkit.Process
	answers := askMany(t.Context(), fle.Hosts, ques, whenAllStarted(len(ques), func() {
		victim = busiest(t, fle)
		victim.Kill()
		for _, lin := range links {
			lin.BlackholeEstablished()
		}
	}))
	for i, ans := range answers {
		requireComplete(t, ques[i], ans)
	}
	var left []*testkit.Process
	for _, eng := range fle.Engines {
		if eng != victim {
			left = append(left, eng)
		}
	}
	requireFreed(t, left, 40*time.Second)
}

// TestHostKilledWhileFrozenEngineKeepsItsWork kills a host while one of its engines
// is frozen. The memory of the lost requests can be reclaimed only after the engine
// has resumed.
func TestHostKilledWhileFrozenEngineKeepsItsWork(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 3, Engines: 2, EngineArgs: slowDecode})
	keepDetached(t, fle)
	lost := startQuestions(t, fle.Hosts[0], questions(6, 2000))
	live := startQuestions(t, fle.Hosts[1], questions(6, 200))
	require.NoError(t, fle.Engines[0].Freeze())
	fle.Hosts[0].Kill()
	require.NoError(t, fle.Hosts[0].Start())
	for _, ans := range <-lost.done {
		require.False(t, ans.ended)
	}
	for i, ans := range <-live.done {
		requireComplete(t, live.questions[i], ans)
	}
	require.NoError(t, fle.Engines[0].Resume())
	requireFreed(t, fle.Engines, 60*time.Second)
}

// TestGroupLeaderKilledAndCancelsLost kills the leader of a group while all engines
// lose cancellations.
func TestGroupLeaderKilledAndCancelsLost(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 2, Engines: 6, EngineArgs: smallEngines})
	for _, eng := range fle.Engines {
		require.NoError(t, fle.Fault(t.Context(), eng, generator.Faults{LoseCancel: true, KeepDetached: true}))
	}
	que := longQuestion(0, 45_000)
	que.tokens = 600
	ask := startQuestions(t, fle.Hosts[0], []question{que})
	victim := busiest(t, fle)
	victim.Kill()
	for _, ans := range <-ask.done {
		requireComplete(t, que, ans)
	}
	var left []*testkit.Process
	for _, eng := range fle.Engines {
		if eng != victim {
			left = append(left, eng)
		}
	}
	requireFreed(t, left, 40*time.Second)
}
