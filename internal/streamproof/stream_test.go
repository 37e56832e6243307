// Package streamproof_test proves with real processes that callers get whole
// answers or truthful failures and that engines lose no memory.
package streamproof_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/internal/testkit"
	"hemlockpin/request/budgeter"
	"hemlockpin/standin/generator"

	"github.com/stretchr/testify/require"
)

// slowSteps makes answers last long enough for faults to befall them midway.
var slowSteps = []string{"--step", "20ms", "--idle-every", "200ms"}

// midway returns a function that runs fun once when every answer has begun.
func midway(cou int, fun func()) func(int, string) {
	var mut sync.Mutex
	begun := map[int]bool{}
	return func(ind int, txt string) {
		mut.Lock()
		defer mut.Unlock()
		if begun[ind] || txt == "" {
			return
		}
		begun[ind] = true
		if len(begun) == cou {
			fun()
		}
	}
}

// busiest returns the engine with the most sequences.
func busiest(t *testing.T, fle *testkit.Fleet) *testkit.Process {
	var bes *testkit.Process
	top := -1
	for _, eng := range fle.Engines {
		loa, err := memory(t.Context(), eng)
		require.NoError(t, err)
		if loa.Running > top {
			bes, top = eng, loa.Running
		}
	}
	return bes
}

func TestEngineKilledMidStream(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 2, Engines: 3, EngineArgs: slowSteps})
	ques := questions(12, 80)
	var vic *testkit.Process
	anss := askMany(t.Context(), fle.Hosts, ques, midway(len(ques), func() {
		vic = busiest(t, fle)
		vic.Kill()
	}))
	for ind, ans := range anss {
		requireWhole(t, ques[ind], ans)
	}
	require.NotNil(t, vic)
	var lef []*testkit.Process
	for _, eng := range fle.Engines {
		if eng != vic {
			lef = append(lef, eng)
		}
	}
	requireFreed(t, lef, 10*time.Second)
}

func TestSilentConnections(t *testing.T) {
	pla := testkit.Plan{Hosts: 2, Engines: 2, EngineArgs: slowSteps}
	links := linked(t, &pla)
	fle := startFleet(t, pla)
	ques := questions(8, 150)
	anss := askMany(t.Context(), fle.Hosts, ques, midway(len(ques), func() {
		for _, lin := range links {
			lin.BlackholeEstablished()
		}
	}))
	for ind, ans := range anss {
		requireWhole(t, ques[ind], ans)
	}
	requireFreed(t, fle.Engines, 20*time.Second)
}

func TestOneWayCut(t *testing.T) {
	for _, dir := range []testkit.Direction{testkit.Requests, testkit.Answers} {
		t.Run(string(dir), func(t *testing.T) {
			pla := testkit.Plan{Hosts: 1, Engines: 2, EngineArgs: slowSteps}
			links := linked(t, &pla)
			fle := startFleet(t, pla)
			ques := questions(6, 100)
			anss := askMany(t.Context(), fle.Hosts, ques, midway(len(ques), func() {
				require.NoError(t, links[busiest(t, fle).ID].Block(dir))
			}))
			for ind, ans := range anss {
				requireWhole(t, ques[ind], ans)
			}
			for _, lin := range links {
				_ = lin.Unblock(dir)
			}
			requireFreed(t, fle.Engines, 20*time.Second)
		})
	}
}

func TestFaultyStreams(t *testing.T) {
	cass := []struct {
		name string
		// counter is what must rise when the fault has struck.
		counter string
		tokens  int64
		faults  generator.Faults
	}{
		{"broken", "attempts_resumed", 30, generator.Faults{BreakAfter: 10, Streams: 2}},
		{"crossed", "streams_untrusted", 30, generator.Faults{Cross: true}},
		{"doubled", "tokens_dropped", 30, generator.Faults{Double: true}},
		{"late", "tokens_dropped", 30, generator.Faults{Late: true}},
		{"gap", "streams_untrusted", 30, generator.Faults{GapAfter: 7}},
		{"early finish", "streams_untrusted", 30, generator.Faults{FinishAfter: 9}},
		{"usage", "usage_mismatched", 30, generator.Faults{LieInUsage: true}},
		{"wrong model", "attempts_resumed", 30, generator.Faults{WrongModel: true}},
		{"malformed", "attempts_resumed", 30, generator.Faults{Malformed: 5}},
		{"oversized", "attempts_resumed", 30, generator.Faults{Oversized: 5}},
		{"refused", "attempts_resumed", 30, generator.Faults{Refuse: true}},
		{"stalled", "streams_stalled", 30, generator.Faults{Stall: true}},
		{"frozen", "streams_silent", 30, generator.Faults{Freeze: true}},
		{"cancel lost", "reclaimed", 300, generator.Faults{GapAfter: 7, LoseCancel: true, KeepDetached: true}},
		{"stays detached", "attempts_resumed", 30, generator.Faults{BreakAfter: 10, Streams: 1, KeepDetached: true}},
	}
	fle := startFleet(t, testkit.Plan{Hosts: 1, Engines: 2, EngineArgs: slowSteps})
	for _, cas := range cass {
		t.Run(cas.name, func(t *testing.T) {
			require.NoError(t, fle.Fault(t.Context(), fle.Engines[0], cas.faults))
			bef := counter(t, fle.Hosts[0], cas.counter)
			// An engine that just recovered gets no work for a moment, so the
			// questions are asked until one meets the fault.
			err := testkit.Poll(t.Context(), countTimeout, func() bool {
				ques := questions(8, cas.tokens)
				ques[0].whole = true
				for ind, ans := range askMany(t.Context(), fle.Hosts, ques, nil) {
					requireWhole(t, ques[ind], ans)
				}
				time.Sleep(time.Second)
				return counter(t, fle.Hosts[0], cas.counter) > bef
			})
			require.NoError(t, err, "the fault did not strike")
			require.NoError(t, fle.Fault(t.Context(), fle.Engines[0], generator.Faults{KeepDetached: cas.faults.KeepDetached}))
			requireFreed(t, fle.Engines, 20*time.Second)
		})
	}
}

func TestDeadlineWithAllEnginesFaulty(t *testing.T) {
	cass := []struct {
		name   string
		ran    invoker.Execution
		faults generator.Faults
	}{
		{"frozen", invoker.Unknown, generator.Faults{Freeze: true}},
		{"stalled", invoker.Unknown, generator.Faults{Stall: true}},
		{"refusing", invoker.NotRun, generator.Faults{Refuse: true}},
		{"crossed", invoker.Unknown, generator.Faults{Cross: true}},
		{"early finish", invoker.Ran, generator.Faults{FinishAfter: 3}},
	}
	fle := startFleet(t, testkit.Plan{Hosts: 1, Engines: 2, EngineArgs: slowSteps})
	for _, cas := range cass {
		t.Run(cas.name, func(t *testing.T) {
			for _, eng := range fle.Engines {
				require.NoError(t, fle.Fault(t.Context(), eng, cas.faults))
			}
			ques := questions(4, 30)
			for ind := range ques {
				ques[ind].limit = 4 * time.Second
			}
			ques[0].whole = true
			for ind, ans := range askMany(t.Context(), fle.Hosts, ques, nil) {
				requireTruthful(t, ques[ind], ans)
				require.False(t, ans.ended)
				require.NotEmpty(t, ans.code)
				require.Equal(t, cas.ran, ans.ran)
			}
			for _, eng := range fle.Engines {
				require.NoError(t, fle.Fault(t.Context(), eng, generator.Faults{}))
			}
			requireFreed(t, fle.Engines, 20*time.Second)
		})
	}
}

func TestCallerGone(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 1, Engines: 1, EngineArgs: slowSteps})
	require.NoError(t, fle.Fault(t.Context(), fle.Engines[0], generator.Faults{KeepDetached: true}))
	ctx, cancel := context.WithCancel(t.Context())
	ans := ask(ctx, fle.Hosts[0], question{text: "A question nobody waits for", tokens: 5000}, func(string) { cancel() })
	require.Error(t, ans.err)
	requireFreed(t, fle.Engines, 15*time.Second)
	// The counters are shown each second. The cancel did it, not the reclaimer.
	time.Sleep(2 * time.Second)
	require.Zero(t, counter(t, fle.Hosts[0], "reclaimed"))
}

func TestCallerDoesNotRead(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 1, Engines: 1, EngineArgs: []string{"--step", "100us"}})
	hea := http.Header{"Authorization": {"Bearer " + testkit.Key}}
	con := openUnread(t, fle.Hosts[0], hea, 32_000)
	defer con.Close()
	requireCounted(t, fle.Hosts[0], "tokens", 1)
	requireCounted(t, fle.Hosts[0], "callers_slow", 0)
	requireFreed(t, fle.Engines, 30*time.Second)
}

// TestRetriesDoNotMultiply breaks every stream of every engine and counts the
// dispatches beyond the first.
func TestRetriesDoNotMultiply(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 1, Engines: 2, EngineArgs: slowSteps})
	for _, eng := range fle.Engines {
		require.NoError(t, fle.Fault(t.Context(), eng, generator.Faults{GapAfter: 1}))
	}
	const requests = 200
	ques := questions(requests, 30)
	for ind := range ques {
		ques[ind].limit = 6 * time.Second
	}
	sta := time.Now()
	refused := 0
	for ind, ans := range askMany(t.Context(), fle.Hosts, ques, nil) {
		requireTruthful(t, ques[ind], ans)
		if ans.code == "retry_budget" {
			refused++
		}
	}
	requireCounted(t, fle.Hosts[0], "attempts_resumed", 0)
	lim := budgeter.Burst + budgeter.Share*requests + budgeter.FloorRate*time.Since(sta).Seconds()
	require.LessOrEqual(t, counter(t, fle.Hosts[0], "attempts_resumed"), lim)
	require.Positive(t, refused)
	requireFreed(t, fle.Engines, 20*time.Second)
}
