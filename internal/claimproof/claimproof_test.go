// Package claimproof_test checks with real processes and injected faults that no
// call runs twice, and that no response reports NotRun for a call that ran.
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
	maxTries    = 4
	faultTime   = 3 * time.Second
	// freezeTime is longer than every time-out of a call.
	freezeTime     = 6 * time.Second
	drainTimeout   = 20 * time.Second
	rollingRestart = "hosts restarted one after another"
)

// tryResult is what a caller knows about one try of a call.
type tryResult struct {
	host      string
	execution invoker.Execution
	status    int
	detail    string
}

// callLog records the results of all tries by key.
type callLog struct {
	mu    sync.Mutex
	tries map[string][]tryResult
}

func (log *callLog) add(key string, res tryResult) {
	if key == "" {
		// The host generated the key and its response was lost.
		return
	}
	log.mu.Lock()
	defer log.mu.Unlock()
	log.tries[key] = append(log.tries[key], res)
}

// call sends one try and returns the key that the host used. Without a complete
// response the execution is Unknown.
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
	// On a reused connection the HTTP client could send the request twice.
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		res.detail = err.Error()
		return key, res
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return key, res
	}
	res.status = resp.StatusCode
	res.execution = invoker.Execution(resp.Header.Get(responder.RunHeader))
	res.detail = string(text)
	return resp.Header.Get(invoker.KeyHeader), res
}

// run makes calls until ctx ends. For one call in four the host generates the key.
// While the execution is Unknown, the call is retried under the same key on a
// random host, up to maxTries times in all.
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

// faultyLinks are the links in front of the platform, the endpoints and the peers.
type faultyLinks struct {
	t   *testing.T
	all []*testkit.Link
}

// via starts a link to an address and returns the address of the link.
func (lins *faultyLinks) via(address string) string {
	lin, err := testkit.NewLink(uuid.NewString(), address)
	require.NoError(lins.t, err)
	lins.t.Cleanup(lin.Close)
	lins.all = append(lins.all, lin)
	return lin.Address()
}

// blackholeOpen drops all further data of the open connections. Connections opened
// later work.
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

// countExecutions returns for each key the sum of the executions that the services
// counted.
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

// unknownReason returns why the execution of a try is Unknown: the error code of
// the response, or the last part of the connection error.
func unknownReason(res tryResult) string {
	if res.status == 0 {
		return res.detail[strings.LastIndex(res.detail, ": ")+2:]
	}
	var body struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.Unmarshal([]byte(res.detail), &body)
	return body.Error.Code
}

// check compares the results of the callers with the executions that the services
// counted. It returns how often each reason made an execution Unknown.
func (log *callLog) check(t *testing.T, executions map[string]int) map[string]int {
	t.Helper()
	outcomes := map[invoker.Execution]int{}
	reasons := map[string]int{}
	repeated := 0
	for key, tries := range log.tries {
		require.LessOrEqual(t, executions[key], 1, "key %s ran %d times: %v", key, executions[key], tries)
		last := tries[len(tries)-1]
		outcomes[last.execution]++
		for _, res := range tries {
			if res.execution == invoker.Unknown {
				reasons[unknownReason(res)]++
			}
		}
		if len(tries) > 1 {
			repeated++
		}
		switch last.execution {
		case invoker.NotRun:
			require.Zero(t, executions[key], "key %s was reported as not run: %v", key, tries)
		case invoker.Ran:
			require.Equal(t, 1, executions[key], "key %s was reported as run: %v", key, tries)
		}
	}
	require.NotEmpty(t, log.tries)
	require.Positive(t, outcomes[invoker.Ran], "no call ran")
	t.Logf("seed %d: %d keys, %d retried, last execution %v, reasons for unknown %v", seed, len(log.tries), repeated, outcomes, reasons)
	return reasons
}

// platformFault sets faults of the platform for a time.
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

// TestClaims injects faults while callers retry calls under the same keys on
// several hosts. A lost response, a frozen host or a takeover of the claim must not
// lead to a second execution.
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
				require.Empty(t, reasons, "a graceful restart must not abort a call")
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
