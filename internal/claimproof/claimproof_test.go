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
	maxRepeats  = 4
	faultTime   = 3 * time.Second
	// freezeTime is past every time-out of a call.
	freezeTime = 6 * time.Second
	quietTime  = 20 * time.Second
	restarts   = "hosts restarted one after another"
)

// answer is what a caller was told of one try.
type answer struct {
	host   string
	ran    invoker.Execution
	status int
	code   string
}

// record keeps what callers were told of each key.
type record struct {
	mu    sync.Mutex
	tries map[string][]answer
}

func (rec *record) add(key string, ans answer) {
	if key == "" {
		// The host made a key and its answer was lost.
		return
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.tries[key] = append(rec.tries[key], ans)
}

// call makes one try and returns the key that the host used. Without an answer
// the execution is unknown.
func call(ctx context.Context, hos *testkit.Process, key string) (string, answer) {
	ans := answer{host: hos.ID, ran: invoker.Unknown}
	ctx, stop := context.WithTimeout(ctx, clientLimit)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+hos.Address+"/bookings", strings.NewReader("slot"))
	if err != nil {
		return key, ans
	}
	req.Header.Set("Authorization", "Bearer "+testkit.Key)
	if key != "" {
		req.Header.Set(invoker.KeyHeader, key)
	}
	// A connection of its own keeps the caller's library from sending twice.
	req.Close = true
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		ans.code = err.Error()
		return key, ans
	}
	defer res.Body.Close()
	txt, err := io.ReadAll(res.Body)
	if err != nil {
		return key, ans
	}
	ans.status = res.StatusCode
	ans.ran = invoker.Execution(res.Header.Get(responder.RunHeader))
	ans.code = string(txt)
	return res.Header.Get(invoker.KeyHeader), ans
}

// run makes calls until ctx ends, one in four under a key that the host makes.
// A key is repeated on any host while it is unknown whether it ran, and given
// up once it is known.
func (rec *record) run(ctx context.Context, fle *testkit.Fleet, rnd *rand.Rand) {
	for ctx.Err() == nil {
		key := uuid.Must(uuid.NewV7()).String()
		if rnd.IntN(4) == 0 {
			key = ""
		}
		for range maxRepeats {
			used, ans := call(context.WithoutCancel(ctx), fle.Hosts[rnd.IntN(len(fle.Hosts))], key)
			key = used
			rec.add(key, ans)
			if ans.ran != invoker.Unknown || key == "" {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// links are the faulty connections of the fleet.
type links struct {
	t   *testing.T
	all []*testkit.Link
}

// via returns the address of a link to address.
func (lins *links) via(address string) string {
	lin, err := testkit.NewLink(uuid.NewString(), address)
	require.NoError(lins.t, err)
	lins.t.Cleanup(lin.Close)
	lins.all = append(lins.all, lin)
	return lin.Address()
}

// silenceOpen makes all open connections silent for good; later ones work.
func (lins *links) silenceOpen() {
	for _, lin := range lins.all {
		lin.BlackholeEstablished()
	}
}

func startFleet(t *testing.T) (*testkit.Fleet, *links) {
	t.Helper()
	bin, err := testkit.Build()
	require.NoError(t, err)
	lins := &links{t: t}
	tab := testkit.SampleTables()
	for ind := range tab.Routes {
		tab.Routes[ind].TimeLimit = parser.Duration(callLimit)
	}
	fle, err := testkit.Start(t.Context(), testkit.Plan{
		Bin: bin, Model: testkit.Model, Hosts: hosts, Services: 2, Tables: tab, ServiceArgs: []string{"--delay", "20ms"},
		PlatformVia: func(add string) string { return lins.via(add) },
		EndpointVia: func(_, add string) string { return lins.via(add) },
		PeerVia:     func(_, add string) string { return lins.via(add) },
	})
	require.NoError(t, err)
	t.Cleanup(fle.Stop)
	return fle, lins
}

// runs adds up the executions that the services counted.
func runs(t *testing.T, fle *testkit.Fleet) map[string]int {
	t.Helper()
	out := map[string]int{}
	for _, ser := range fle.Services {
		var one map[string]int
		require.NoError(t, testkit.GetJSON(t.Context(), "http://"+ser.Address+"/control/runs", &one))
		for key, cou := range one {
			out[key] += cou
		}
	}
	return out
}

// why sums up why a caller does not know whether a try ran.
func why(ans answer) string {
	if ans.status == 0 {
		return ans.code[strings.LastIndex(ans.code, ": ")+2:]
	}
	var bod struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.Unmarshal([]byte(ans.code), &bod)
	return bod.Error.Code
}

// check compares what callers were told with what the services counted, and
// returns why tries were unknown.
func (rec *record) check(t *testing.T, cou map[string]int) map[string]int {
	t.Helper()
	said := map[invoker.Execution]int{}
	whys := map[string]int{}
	repeated := 0
	for key, anss := range rec.tries {
		require.LessOrEqual(t, cou[key], 1, "key %s ran %d times: %v", key, cou[key], anss)
		las := anss[len(anss)-1]
		said[las.ran]++
		for _, ans := range anss {
			if ans.ran == invoker.Unknown {
				whys[why(ans)]++
			}
		}
		if len(anss) > 1 {
			repeated++
		}
		switch las.ran {
		case invoker.NotRun:
			require.Zero(t, cou[key], "key %s was told not run: %v", key, anss)
		case invoker.Ran:
			require.Equal(t, 1, cou[key], "key %s was told ran: %v", key, anss)
		}
	}
	require.NotEmpty(t, rec.tries)
	require.Positive(t, said[invoker.Ran], "no call ran")
	t.Logf("seed %d: %d keys, %d repeated, last told %v, unknown by %v", seed, len(rec.tries), repeated, said, whys)
	return whys
}

// platformFault switches a fault of the platform on for a while.
func platformFault(t *testing.T, fle *testkit.Fleet, fau keeper.Faults, dur time.Duration) {
	t.Helper()
	require.NoError(t, fle.Fault(t.Context(), fle.Platform, fau))
	time.Sleep(dur)
	require.NoError(t, fle.Fault(t.Context(), fle.Platform, keeper.Faults{}))
}

func loseAnswers(t *testing.T, fle *testkit.Fleet, cou int) {
	t.Helper()
	for _, ser := range fle.Services {
		require.NoError(t, fle.Fault(t.Context(), ser, booker.Faults{LoseAnswers: cou}))
	}
}

func killAndRestart(t *testing.T, hos *testkit.Process) {
	t.Helper()
	hos.Kill()
	time.Sleep(faultTime / 4)
	require.NoError(t, hos.Start())
	time.Sleep(faultTime / 4)
}

func freezeAndWake(t *testing.T, hos *testkit.Process) {
	t.Helper()
	require.NoError(t, hos.Freeze())
	time.Sleep(freezeTime)
	require.NoError(t, hos.Resume())
}

type faultCase struct {
	name  string
	fault func(t *testing.T)
}

func faultCases(fle *testkit.Fleet, lins *links) []faultCase {
	return []faultCase{
		{"calm", func(*testing.T) { time.Sleep(faultTime / 2) }},
		{"host killed", func(t *testing.T) { killAndRestart(t, fle.Hosts[0]); killAndRestart(t, fle.Hosts[1]) }},
		{"host frozen past all time-outs", func(t *testing.T) { freezeAndWake(t, fle.Hosts[1]) }},
		{"platform loses answers", func(t *testing.T) { platformFault(t, fle, keeper.Faults{LoseAnswers: 40}, faultTime) }},
		{"platform down", func(t *testing.T) { platformFault(t, fle, keeper.Faults{Down: true}, faultTime) }},
		{"platform slow", func(t *testing.T) { platformFault(t, fle, keeper.Faults{SlowMs: 700}, faultTime) }},
		{"services lose answers", func(t *testing.T) { loseAnswers(t, fle, 20); time.Sleep(faultTime) }},
		{"open connections silent", func(t *testing.T) {
			lins.silenceOpen()
			time.Sleep(faultTime)
		}},
		{"host frozen, platform loses answers, services lose answers", func(t *testing.T) {
			require.NoError(t, fle.Fault(t.Context(), fle.Platform, keeper.Faults{LoseAnswers: 40}))
			loseAnswers(t, fle, 10)
			freezeAndWake(t, fle.Hosts[2])
		}},
		{"services lose answers, platform down", func(t *testing.T) {
			loseAnswers(t, fle, 20)
			time.Sleep(faultTime / 30)
			platformFault(t, fle, keeper.Faults{Down: true}, faultTime/2)
		}},
		{restarts, func(t *testing.T) {
			for _, hos := range fle.Hosts[:2] {
				require.NoError(t, hos.Signal(syscall.SIGTERM))
				cod, err := hos.Wait(quietTime)
				require.NoError(t, err)
				require.Zero(t, cod, hos.ID)
				require.NoError(t, hos.Start())
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
	for ind, tt := range faultCases(fle, lins) {
		t.Run(tt.name, func(t *testing.T) {
			rec := &record{tries: map[string][]answer{}}
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			var gro sync.WaitGroup
			for num := range callers {
				gro.Go(func() { rec.run(ctx, fle, rand.New(rand.NewPCG(seed, uint64(100*ind+num)))) })
			}
			time.Sleep(faultTime / 4)
			tt.fault(t)
			require.NoError(t, fle.Fault(t.Context(), fle.Platform, keeper.Faults{}))
			loseAnswers(t, fle, 0)
			time.Sleep(faultTime / 4)
			stop()
			gro.Wait()
			whys := rec.check(t, runs(t, fle))
			if tt.name == restarts {
				delete(whys, "connection refused")
				require.Empty(t, whys, "a graceful restart cuts no call")
			}
		})
	}
	t.Run("drain", func(t *testing.T) {
		for _, hos := range fle.Hosts {
			require.NoError(t, hos.Signal(syscall.SIGTERM))
		}
		for _, hos := range fle.Hosts {
			cod, err := hos.Wait(quietTime)
			require.NoError(t, err)
			require.Zero(t, cod, hos.ID)
		}
	})
}
