package streamproof_test

import (
	"context"
	"testing"
	"time"

	"hemlockpin/internal/testkit"
	"hemlockpin/standin/generator"

	"github.com/stretchr/testify/require"
)

// keepAll makes every engine keep what its owners leave behind.
func keepAll(t *testing.T, fle *testkit.Fleet) {
	t.Helper()
	for _, eng := range fle.Engines {
		require.NoError(t, fle.Fault(t.Context(), eng, generator.Faults{KeepDetached: true}))
	}
}

// asked is a set of questions in progress.
type asked struct {
	ques []question
	done chan []answer
}

// begin asks and returns once every answer has begun.
func begin(t *testing.T, hos *testkit.Process, ques []question) asked {
	t.Helper()
	all := make(chan struct{})
	ask := asked{ques, make(chan []answer, 1)}
	go func() {
		ask.done <- askMany(context.Background(), []*testkit.Process{hos}, ques, midway(len(ques), func() { close(all) }))
	}()
	select {
	case <-all:
	case <-time.After(20 * time.Second):
		require.Fail(t, "the answers did not begin")
	}
	return ask
}

// requireOwners waits until the only owner of memory is the given host.
func requireOwners(t *testing.T, engs []*testkit.Process, host string, within time.Duration) {
	t.Helper()
	err := testkit.Poll(t.Context(), within, func() bool {
		for _, eng := range engs {
			loa, err := memory(t.Context(), eng)
			if err != nil {
				return false
			}
			for _, seq := range loa.Sequences {
				if seq.Owner.Host != host {
					return false
				}
			}
		}
		return true
	})
	require.NoError(t, err)
}

func TestHostKilledAndReplaced(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 3, Engines: 2, EngineArgs: slowSteps})
	keepAll(t, fle)
	lost := begin(t, fle.Hosts[0], questions(6, 2000))
	live := begin(t, fle.Hosts[1], questions(6, 700))
	fle.Hosts[0].Kill()
	require.NoError(t, fle.Hosts[0].Start())
	requireOwners(t, fle.Engines, fle.Hosts[1].ID, 30*time.Second)
	for _, ans := range <-lost.done {
		require.False(t, ans.ended)
	}
	for ind, ans := range <-live.done {
		requireWhole(t, live.ques[ind], ans)
	}
	requireFreed(t, fle.Engines, 20*time.Second)
}

func TestHostKilledForGood(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 3, Engines: 2, EngineArgs: slowSteps})
	keepAll(t, fle)
	lost := begin(t, fle.Hosts[0], questions(6, 2500))
	live := begin(t, fle.Hosts[1], questions(6, 1200))
	fle.Hosts[0].Kill()
	require.NoError(t, fle.Unlist(t.Context(), fle.Hosts[0].ID))
	for ind, ans := range <-live.done {
		requireWhole(t, live.ques[ind], ans)
	}
	<-lost.done
	requireFreed(t, fle.Engines, 60*time.Second)
}

func TestHostFrozenAndWoken(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 3, Engines: 2, EngineArgs: slowSteps})
	keepAll(t, fle)
	// The answers are too long to end by themselves meanwhile.
	ques := questions(6, 20_000)
	for ind := range ques {
		ques[ind].limit = 8 * time.Second
	}
	lost := begin(t, fle.Hosts[0], ques)
	require.NoError(t, fle.Hosts[0].Freeze())
	// The owner is silent but its time is not over: nothing may be taken.
	time.Sleep(4 * time.Second)
	var held int
	for _, eng := range fle.Engines {
		loa, err := memory(t.Context(), eng)
		require.NoError(t, err)
		held += len(loa.Sequences)
	}
	require.Equal(t, len(ques), held)
	requireFreed(t, fle.Engines, 40*time.Second)
	live := begin(t, fle.Hosts[1], questions(4, 200))
	require.NoError(t, fle.Hosts[0].Resume())
	for ind, ans := range <-lost.done {
		require.False(t, ans.ended)
		ques[ind].limit = 0
		requireTruthful(t, ques[ind], ans)
	}
	for ind, ans := range <-live.done {
		requireWhole(t, live.ques[ind], ans)
	}
	requireFreed(t, fle.Engines, 20*time.Second)
}
