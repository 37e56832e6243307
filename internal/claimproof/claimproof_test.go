// Package claimproof_test proves with real processes that no call runs twice and
// that no caller is told "not run" of a call that ran.
package claimproof_test

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/internal/testkit"
	"hemlockpin/request/responder"
	"hemlockpin/standin/booker"
	"hemlockpin/standin/keeper"
	"hemlockpin/version/parser"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
)

const (
	seed        = 20261204
	hosts       = 4
	callers     = 8
	callLimit   = 2 * time.Second
	clientLimit = 4 * time.Second
	maxTries  = 4
	faultTime   = 3 * time.Second
	// freezeTime is past every time-out of a call.
	freezeTime = 6 * time.Second
	drainTimeout  = 20 * time.Second
	rollingRestart   = "hosts restarted one after another"
)

// answer is what a caller was told of one try.
type tryResult struct {
	host   string
	execution    invoker.Execution
	status int
	code   string
}

// record keeps what callers were told of each key.
type callLog struct {
	mu    sync.Mutex
	tries map[string][]tryResult
}

func (log *callLog) add(key string, res tryResult) {
	if key == "" {
		// The host made a key and its answer was lost.
		return
	}
	log.mu.Lock()
	defer log.mu.Unlock()
	log.tries[key] = append(log.tries[key], res)
}

// call makes one try and returns the key that the host used. Without an answer
// the execution is unknown.
func call(ctx context.Context, host *testkit.Process, key string) (string, tryResult) {
	res := tryResult{host: host.ID, execution: invoker.Unknown}
	ctx, stop := context.WithTimeout(ctx, clientLimit)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host.Address+"/bookings", strings.NewReader("slot"))
	if err != nil {
		return key, res
	}
	req.Header.Set("Authorization", "Bearer "+testkit.Key)
	if key != "" {
		req.Header.Set(invoker.KeyHeader, key)
	}
	// A connection of its own keeps the caller's library from sending twice.
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		res.code = err.Error()
		return key, res
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return key, res
	}
	res.status = resp.StatusCode
	res.execution = invoker.Execution(resp.Header.Get(responder.RunHeader))
	res.code = string(text)
	return resp.Header.Get(invoker.KeyHeader), res
}

// run makes calls until ctx ends, one in four under a key that the host makes.
// A key is repeated on any host while it is unknown whether it ran, and given
// up once it is known.
func (log *callLog) run(ctx context.Context, fle *testkit.Fleet, ran *rand.Rand) {
	for ctx.Err() == nil {
		key := uuid.Must(uuid.NewV7()).String()
		if ran.IntN(4) == 0 {
			key = ""
		}
		for range maxTries {
			used, res := call(context.WithoutCancel(ctx), fle.Hosts[ran.IntN(len(fle.Hosts))], key)
			key = used
			log.add(key, res)
			if res.execution != invoker.Unknown || key == "" {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// links are the faulty connections of the fleet.
type faultyLinks struct {
	t   *testing.T
	all []*testkit.Link
}

// via returns the address of a link to address.
func (lins *faultyLinks) via(address string) string {
	lin, err := testkit.NewLink(uuid.NewString(), address)
	require.NoError(lins.t, err)
	lins.t.Cleanup(lin.Close)
	lins.all = append(lins.all, lin)
	return lin.Address()
}

// silenceOpen makes all open connections silent for good; later ones work.
func (lins *faultyLinks) blackholeOpen() {
	for _, lin := range lins.all {
		lin.BlackholeEstablished()
	}
}

func startFleet(t *testing.T) (*testkit.Fleet, *faultyLinks) {
	t.Helper()
	bin, err := testkit.Build()
	require.NoError(t, err)
	lins := &faultyLinks{t: t}
	tab := testkit.SampleTables()
	for i := range tab.Routes {
		tab.Routes[i].TimeLimit = parser.Duration(callLimit)
	}
	fle, err := testkit.Start(t.Context(), testkit.Plan{
		Bin: bin, Model: testkit.Model, Hosts: hosts, Services: 2, Tables: tab, ServiceArgs: []string{"--delay", "20ms"},
		PlatformVia: func(address string) string { return lins.via(address) },
		EndpointVia: func(_, address string) string { return lins.via(address) },
		PeerVia:     func(_, address string) string { return lins.via(address) },
	})
	require.NoError(t, err)
	t.Cleanup(fle.Stop)
	return fle, lins
}

// runs adds up the executions that the services counted.
func countExecutions(t *testing.T, fle *testkit.Fleet) map[string]int {
	t.Helper()
	out := map[string]int{}
	for _, ser := range fle.Services {
		var counts map[string]int
		require.NoError(t, testkit.GetJSON(t.Context(), "http://"+ser.Address+"/control/runs", &counts))
		for key, n := range counts {
			out[key] += n
		}
	}
	return out
}

// why sums up why a caller does not know whether a try ran.
func unknownReason(res tryResult) string {
	if res.status == 0 {
		return res.code[strings.LastIndex(res.code, ": ")+2:]
	}
	var body struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.Unmarshal([]byte(res.code), &body)
	return body.Error.Code
}

// check compares what callers were told with what the services counted, and
// returns why tries were unknown.
func (log *callLog) check(t *testing.T, n map[string]int) map[string]int {
	t.Helper()
	outcomes := map[invoker.Execution]int{}
	reasons := map[string]int{}
	repeated := 0
	for key, results := range log.tries {
		require.LessOrEqual(t, n[key], 1, "key %s ran %d times: %v", key, n[key], results)
		last := results[len(results)-1]
		outcomes[last.execution]++
		for _, res := range results {
			if res.execution == invoker.Unknown {
				reasons[unknownReason(res)]++
			}
		}
		if len(results) > 1 {
			repeated++
		}
		switch last.execution {
		case invoker.NotRun:
			require.Zero(t, n[key], "key %s was told not run: %v", key, results)
		case invoker.Ran:
			require.Equal(t, 1, n[key], "key %s was told ran: %v", key, results)
		}
	}
	require.NotEmpty(t, log.tries)
	require.Positive(t, outcomes[invoker.Ran], "no call ran")
	t.Logf("seed %d: %d keys, %d repeated, last told %v, unknown by %v", seed, len(log.tries), repeated, outcomes, reasons)
	return reasons
}

// platformFault switches a fault of the platform on for a while.
func platformFault(t *testing.T, fle *testkit.Fleet, fau keeper.Faults, duration time.Duration) {
	t.Helper()
	require.NoError(t, fle.Fault(t.Context(), fle.Platform, fau))
	time.Sleep(duration)
	require.NoError(t, fle.Fault(t.Context(), fle.Platform, keeper.Faults{}))
}

func loseAnswers(t *testing.T, fle *testkit.Fleet, n int) {
	t.Helper()
	for _, ser := range fle.Services {
		require.NoError(t, fle.Fault(t.Context(), ser, booker.Faults{LoseAnswers: n}))
	}
}

func killAndRestart(t *testing.T, host *testkit.Process) {
	t.Helper()
	host.Kill()
	time.Sleep(faultTime / 4)
	require.NoError(t, host.Start())
	time.Sleep(faultTime / 4)
}

func freezeAndResume(t *testing.T, host *testkit.Process) {
	t.Helper()
	require.NoError(t, host.Freeze())
	time.Sleep(freezeTime)
	require.NoError(t, host.Resume())
}

type faultCase struct {
	name  string
	fault func(t *testing.T)
}

func faultCases(fle *testkit.Fleet, lins *faultyLinks) []faultCase {
	return []faultCase{
		{"calm", func(*testing.T) { time.Sleep(faultTime / 2) }},
		{"host killed", func(t *testing.T) { killAndRestart(t, fle.Hosts[0]); killAndRestart(t, fle.Hosts[1]) }},
		{"host frozen past all time-outs", func(t *testing.T) { freezeAndResume(t, fle.Hosts[1]) }},
		{"platform loses answers", func(t *testing.T) { platformFault(t, fle, keeper.Faults{LoseAnswers: 40}, faultTime) }},
		{"platform down", func(t *testing.T) { platformFault(t, fle, keeper.Faults{Down: true}, faultTime) }},
		{"platform slow", func(t *testing.T) { platformFault(t, fle, keeper.Faults{SlowMs: 700}, faultTime) }},
		{"services lose answers", func(t *testing.T) { loseAnswers(t, fle, 20); time.Sleep(faultTime) }},
		{"open connections silent", func(t *testing.T) {
			lins.blackholeOpen()
			time.Sleep(faultTime)
		}},
		{"host frozen, platform loses answers, services lose answers", func(t *testing.T) {
			require.NoError(t, fle.Fault(t.Context(), fle.Platform, keeper.Faults{LoseAnswers: 40}))
			loseAnswers(t, fle, 10)
			freezeAndResume(t, fle.Hosts[2])
		}},
		{"services lose answers, platform down", func(t *testing.T) {
			loseAnswers(t, fle, 20)
			time.Sleep(faultTime / 30)
			platformFault(t, fle, keeper.Faults{Down: true}, faultTime/2)
		}},
		{rollingRestart, func(t *testing.T) {
			for _, host := range fle.Hosts[:2] {
				require.NoError(t, host.Signal(syscall.SIGTERM))
				code, err := host.Wait(drainTimeout)
				require.NoError(t, err)
				require.Zero(t, code, host.ID)
				require.NoError(t, host.Start())
				time.Sleep(faultTime / 3)
			}
		}},
		{"host killed, platform down", func(t *testing.T) {
			require.NoError(t, fle.Fault(t.Context(), fle.Platform, keeper.Faults{Down: true, SlowMs: 50}))
			killAndRestart(t, fle.Hosts[3])
			require.NoError(t, fle.Fault(t.Context(), fle.Platform, keeper.Faults{}))
		}},
	}
}

// TestClaims runs callers that repeat their keys over several hosts under faults.
func TestClaims(t *testing.T) {
	fle, lins := startFleet(t)
	for i, tt := range faultCases(fle, lins) {
		t.Run(tt.name, func(t *testing.T) {
			log := &callLog{tries: map[string][]tryResult{}}
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			var wg sync.WaitGroup
			for worker := range callers {
				wg.Go(func() { log.run(ctx, fle, rand.New(rand.NewPCG(seed, uint64(100*i+worker)))) })
			}
			time.Sleep(faultTime / 4)
			tt.fault(t)
			require.NoError(t, fle.Fault(t.Context(), fle.Platform, keeper.Faults{}))
			loseAnswers(t, fle, 0)
			time.Sleep(faultTime / 4)
			stop()
			wg.Wait()
			reasons := log.check(t, countExecutions(t, fle))
			if tt.name == rollingRestart {
				delete(reasons, "connection refused")
				require.Empty(t, reasons, "a graceful restart cuts no call")
			}
		})
	}
	t.Run("drain", func(t *testing.T) {
		for _, host := range fle.Hosts {
			require.NoError(t, host.Signal(syscall.SIGTERM))
		}
		for _, host := range fle.Hosts {
			code, err := host.Wait(drainTimeout)
			require.NoError(t, err)
			require.Zero(t, code, host.ID)
		}
	})
}
