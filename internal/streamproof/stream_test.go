// Package streamproof_test checks with real processes and injected faults that
// callers receive complete answers or truthful errors, and that engines free all
// memory afterwards.
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

// slowDecode are the arguments of engines that decode so slowly that a fault can be
// injected while answers are being generated.
var slowDecode = []string{"--step", "20ms", "--idle-every", "200ms"}

// whenAllStarted returns a callback for askMany that calls fun once, when all n
// answers have started.
func whenAllStarted(n int, fun func()) func(int, string) {
	var mu sync.Mutex
	started := map[int]bool{}
	return func(i int, text string) {
		mu.Lock()
		defer mu.Unlock()
		if started[i] || text == "" {
			return
		}
		started[i] = true
		if len(started) == n {
			fun()
		}
	}
}

// busiest returns the engine with the most running sequences.
func busiest(t *testing.T, fle *testkit.Fleet) *testkit.Process {
	var best *testkit.Process
	most := -1
	for _, eng := range fle.Engines {
		loa, err := memory(t.Context(), eng)
		require.NoError(t, err)
		if loa.Running > most {
			best, most = eng, loa.Running
		}
	}
	return best
}

func TestEngineKilledMidStream(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 2, Engines: 3, EngineArgs: slowDecode})
	ques := questions(12, 80)
	var victim *testkit.Process
	answers := askMany(t.Context(), fle.Hosts, ques, whenAllStarted(len(ques), func() {
		victim = busiest(t, fle)
		victim.Kill()
	}))
	for i, ans := range answers {
		requireComplete(t, ques[i], ans)
	}
	require.NotNil(t, victim)
	var left []*testkit.Process
	for _, eng := range fle.Engines {
		if eng != victim {
			left = append(left, eng)
		}
	}
	requireFreed(t, left, 10*time.Second)
}

func TestConnectionsDropData(t *testing.T) {
	pla := testkit.Plan{Hosts: 2, Engines: 2, EngineArgs: slowDecode}
	links := linkEngines(t, &pla)
	fle := startFleet(t, pla)
	ques := questions(8, 150)
	answers := askMany(t.Context(), fle.Hosts, ques, whenAllStarted(len(ques), func() {
		for _, lin := range links {
			lin.BlackholeEstablished()
		}
	}))
	for i, ans := range answers {
		requireComplete(t, ques[i], ans)
	}
	requireFreed(t, fle.Engines, 20*time.Second)
}

func TestOneWayCut(t *testing.T) {
	for _, dir := range []testkit.Direction{testkit.Requests, testkit.Answers} {
		t.Run(string(dir), func(t *testing.T) {
			pla := testkit.Plan{Hosts: 1, Engines: 2, EngineArgs: slowDecode}
			links := linkEngines(t, &pla)
			fle := startFleet(t, pla)
			ques := questions(6, 100)
			answers := askMany(t.Context(), fle.Hosts, ques, whenAllStarted(len(ques), func() {
				require.NoError(t, links[busiest(t, fle).ID].Block(dir))
			}))
			for i, ans := range answers {
				requireComplete(t, ques[i], ans)
			}
			for _, lin := range links {
				_ = lin.Unblock(dir)
			}
			requireFreed(t, fle.Engines, 20*time.Second)
		})
	}
}

func TestFaultyStreams(t *testing.T) {
	tests := []struct {
		name string
		// counter is the counter that rises when a host meets the fault.
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
	fle := startFleet(t, testkit.Plan{Hosts: 1, Engines: 2, EngineArgs: slowDecode})
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.NoError(t, fle.Fault(t.Context(), fle.Engines[0], tt.faults))
			before := counter(t, fle.Hosts[0], tt.counter)
			// An engine that has just recovered gets no work for a short time, so
			// questions are sent until one of them meets the fault.
			err := testkit.Poll(t.Context(), countTimeout, func() bool {
				ques := questions(8, tt.tokens)
				ques[0].unstreamed = true
				for i, ans := range askMany(t.Context(), fle.Hosts, ques, nil) {
					requireComplete(t, ques[i], ans)
				}
				time.Sleep(time.Second)
				return counter(t, fle.Hosts[0], tt.counter) > before
			})
			require.NoError(t, err, "no request met the fault")
			require.NoError(t, fle.Fault(t.Context(), fle.Engines[0], generator.Faults{KeepDetached: tt.faults.KeepDetached}))
			requireFreed(t, fle.Engines, 20*time.Second)
		})
	}
}

func TestDeadlineWithAllEnginesFaulty(t *testing.T) {
	tests := []struct {
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
	fle := startFleet(t, testkit.Plan{Hosts: 1, Engines: 2, EngineArgs: slowDecode})
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, eng := range fle.Engines {
				require.NoError(t, fle.Fault(t.Context(), eng, tt.faults))
			}
			ques := questions(4, 30)
			for i := range ques {
				ques[i].timeLimit = 4 * time.Second
			}
			ques[0].unstreamed = true
			for i, ans := range askMany(t.Context(), fle.Hosts, ques, nil) {
				requireTruthful(t, ques[i], ans)
				require.False(t, ans.ended)
				require.NotEmpty(t, ans.code)
				require.Equal(t, tt.ran, ans.ran)
			}
			for _, eng := range fle.Engines {
				require.NoError(t, fle.Fault(t.Context(), eng, generator.Faults{}))
			}
			requireFreed(t, fle.Engines, 20*time.Second)
		})
	}
}

func TestCallerDisconnected(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 1, Engines: 1, EngineArgs: slowDecode})
	require.NoError(t, fle.Fault(t.Context(), fle.Engines[0], generator.Faults{KeepDetached: true}))
	ctx, cancel := context.WithCancel(t.Context())
	ans := ask(ctx, fle.Hosts[0], question{text: "A question nobody waits for", tokens: 5000}, func(string) { cancel() })
	require.Error(t, ans.err)
	requireFreed(t, fle.Engines, 15*time.Second)
	// Counters are published every second. The memory was freed by the cancellation,
	// so the reclaimer must not have freed any.
	time.Sleep(2 * time.Second)
	require.Zero(t, counter(t, fle.Hosts[0], "reclaimed"))
}

func TestCallerDoesNotRead(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 1, Engines: 1, EngineArgs: []string{"--step", "100us"}})
	hea := http.Header{"Authorization": {"Bearer " + testkit.Key}}
	con := askWithoutReading(t, fle.Hosts[0], hea, 32_000)
	defer con.Close()
	requireCounted(t, fle.Hosts[0], "tokens", 1)
	requireCounted(t, fle.Hosts[0], "callers_slow", 0)
	requireFreed(t, fle.Engines, 30*time.Second)
}

// TestRetriesDoNotMultiply breaks every stream of every engine. The number of
// retries must stay within the retry budget.
func TestRetriesDoNotMultiply(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 1, Engines: 2, EngineArgs: slowDecode})
	for _, eng := range fle.Engines {
		require.NoError(t, fle.Fault(t.Context(), eng, generator.Faults{GapAfter: 1}))
	}
	const requests = 200
	ques := questions(requests, 30)
	for i := range ques {
		ques[i].timeLimit = 6 * time.Second
	}
	start := time.Now()
	refused := 0
	for i, ans := range askMany(t.Context(), fle.Hosts, ques, nil) {
		requireTruthful(t, ques[i], ans)
		if ans.code == "retry_budget" {
			refused++
		}
	}
	requireCounted(t, fle.Hosts[0], "attempts_resumed", 0)
	limit := budgeter.Burst + budgeter.Share*requests + budgeter.FloorRate*time.Since(start).Seconds()
	require.LessOrEqual(t, counter(t, fle.Hosts[0], "attempts_resumed"), limit)
	require.Positive(t, refused)
	requireFreed(t, fle.Engines, 20*time.Second)
}
