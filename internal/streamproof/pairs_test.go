package streamproof_test

import (
	"testing"
	"time"

	"hemlockpin/internal/testkit"
	"hemlockpin/standin/generator"

	"github.com/stretchr/testify/require"
)

// TestEngineKilledWhileOthersGoSilent kills one engine midway and silences the
// established connections to the others at the same time.
func TestEngineKilledWhileOthersGoSilent(t *testing.T) {
	pla := testkit.Plan{Hosts: 2, Engines: 3, EngineArgs: slowSteps}
	links := linked(t, &pla)
	fle := startFleet(t, pla)
	ques := questions(9, 150)
	var vic *testkit.Process
	anss := askMany(t.Context(), fle.Hosts, ques, midway(len(ques), func() {
		vic = busiest(t, fle)
		vic.Kill()
		for _, lin := range links {
			lin.BlackholeEstablished()
		}
	}))
	for ind, ans := range anss {
		requireWhole(t, ques[ind], ans)
	}
	var lef []*testkit.Process
	for _, eng := range fle.Engines {
		if eng != vic {
			lef = append(lef, eng)
		}
	}
	requireFreed(t, lef, 40*time.Second)
}

// TestHostKilledWhileFrozenEngineKeepsItsWork kills a host whose engine is
// frozen, so that it can be looked at only later.
func TestHostKilledWhileFrozenEngineKeepsItsWork(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 3, Engines: 2, EngineArgs: slowSteps})
	keepAll(t, fle)
	lost := begin(t, fle.Hosts[0], questions(6, 2000))
	live := begin(t, fle.Hosts[1], questions(6, 200))
	require.NoError(t, fle.Engines[0].Freeze())
	fle.Hosts[0].Kill()
	require.NoError(t, fle.Hosts[0].Start())
	for _, ans := range <-lost.done {
		require.False(t, ans.ended)
	}
	for ind, ans := range <-live.done {
		requireWhole(t, live.ques[ind], ans)
	}
	require.NoError(t, fle.Engines[0].Resume())
	requireFreed(t, fle.Engines, 60*time.Second)
}

// TestGroupLeaderKilledAndCancelsLost kills the leader of a group while
// the other engines lose cancellations.
func TestGroupLeaderKilledAndCancelsLost(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 2, Engines: 6, EngineArgs: smallEngines})
	for _, eng := range fle.Engines {
		require.NoError(t, fle.Fault(t.Context(), eng, generator.Faults{LoseCancel: true, KeepDetached: true}))
	}
	que := ledger(0, 45_000)
	que.tokens = 600
	ask := begin(t, fle.Hosts[0], []question{que})
	vic := busiest(t, fle)
	vic.Kill()
	for _, ans := range <-ask.done {
		requireWhole(t, que, ans)
	}
	var lef []*testkit.Process
	for _, eng := range fle.Engines {
		if eng != vic {
			lef = append(lef, eng)
		}
	}
	requireFreed(t, lef, 40*time.Second)
}
