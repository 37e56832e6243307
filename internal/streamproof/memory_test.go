package streamproof_test

import (
	"context"
	"testing"
	"time"

	"hemlockpin/internal/testkit"
	"hemlockpin/standin/generator"

	"github.com/stretchr/testify/require"
)

// keepDetached makes every engine keep sequences whose connection is lost, so that
// only a cancellation or a reclaimer frees them.
func keepDetached(t *testing.T, fle *testkit.Fleet) {
	t.Helper()
	for _, eng := range fle.Engines {
		require.NoError(t, fle.Fault(t.Context(), eng, generator.Faults{KeepDetached: true}))
	}
}

// inProgress is a set of questions in progress. Their answers are sent to done.
type inProgress struct {
	questions []question
	done      chan []answer
}

// startQuestions sends questions and returns once every answer has started.
func startQuestions(t *testing.T, host *testkit.Process, ques []question) inProgress {
	t.Helper()
	allStarted := make(chan struct{})
	asked := inProgress{ques, make(chan []answer, 1)}
	go func() {
		asked.done <- askMany(context.Background(), []*testkit.Process{host}, ques, whenAllStarted(len(ques), func() { close(allStarted) }))
	}()
	select {
	case <-allStarted:
	case <-time.After(20 * time.Second):
		require.Fail(t, "not all answers started within 20 s")
	}
	return asked
}

// requireOwners waits until all memory in use is owned by the given host.
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
	fle := startFleet(t, testkit.Plan{Hosts: 3, Engines: 2, EngineArgs: slowDecode})
	keepDetached(t, fle)
	lost := startQuestions(t, fle.Hosts[0], questions(6, 2000))
	live := startQuestions(t, fle.Hosts[1], questions(6, 700))
	fle.Hosts[0].Kill()
	require.NoError(t, fle.Hosts[0].Start())
	requireOwners(t, fle.Engines, fle.Hosts[1].ID, 30*time.Second)
	for _, ans := range <-lost.done {
		require.False(t, ans.ended)
	}
	for i, ans := range <-live.done {
		requireComplete(t, live.questions[i], ans)
	}
	requireFreed(t, fle.Engines, 20*time.Second)
}

func TestHostKilledForGood(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 3, Engines: 2, EngineArgs: slowDecode})
	keepDetached(t, fle)
	lost := startQuestions(t, fle.Hosts[0], questions(6, 2500))
	live := startQuestions(t, fle.Hosts[1], questions(6, 1200))
	fle.Hosts[0].Kill()
	require.NoError(t, fle.Unlist(t.Context(), fle.Hosts[0].ID))
	for i, ans := range <-live.done {
		requireComplete(t, live.questions[i], ans)
	}
	<-lost.done
	requireFreed(t, fle.Engines, 60*time.Second)
}

func TestHostFrozenAndResumed(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 3, Engines: 2, EngineArgs: slowDecode})
	keepDetached(t, fle)
	// The answers are so long that they can't be complete before the time limit.
	ques := questions(6, 20_000)
	for i := range ques {
		ques[i].timeLimit = 8 * time.Second
	}
	lost := startQuestions(t, fle.Hosts[0], ques)
	require.NoError(t, fle.Hosts[0].Freeze())
	// The owner does not respond, but its requests have not reached their time
	// limit, so their memory must not be reclaimed.
	time.Sleep(4 * time.Second)
	var held int
	for _, eng := range fle.Engines {
		loa, err := memory(t.Context(), eng)
		require.NoError(t, err)
		held += len(loa.Sequences)
	}
	require.Equal(t, len(ques), held)
	requireFreed(t, fle.Engines, 40*time.Second)
	live := startQuestions(t, fle.Hosts[1], questions(4, 200))
	require.NoError(t, fle.Hosts[0].Resume())
	for i, ans := range <-lost.done {
		require.False(t, ans.ended)
		ques[i].timeLimit = 0
		requireTruthful(t, ques[i], ans)
	}
	for i, ans := range <-live.done {
		requireComplete(t, live.questions[i], ans)
	}
	requireFreed(t, fle.Engines, 20*time.Second)
}
