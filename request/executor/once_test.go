package executor

import (
	"context"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/connection/messenger"
	"hemlockpin/request/placer"
	"hemlockpin/request/receiver"
	"hemlockpin/request/responder"
	"hemlockpin/version/matcher"
	"hemlockpin/version/parser"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"
)

const (
	bearer      = "key-clerks"
	callLimit   = 400 * time.Millisecond
	waitTimeout = 5 * time.Second
)

// claimsStub commits claims at once, or never if hangs is set, and records the steps
// that are settled.
type claimsStub struct {
	hangs bool
	// held is the number of claims that find the key held by another call.
	held int
	// afterHeld is the result of the later claims; 0 stands for committed.
	afterHeld messenger.ClaimResult_State

	mu      sync.Mutex
	settled []messenger.ClaimCommit_Step
}

func (cla *claimsStub) Commit(ctx context.Context, _ *messenger.ClaimCommit) *messenger.ClaimResult {
	if cla.hangs {
		<-ctx.Done()
		return &messenger.ClaimResult{}
	}
	cla.mu.Lock()
	defer cla.mu.Unlock()
	if cla.held--; cla.held >= 0 {
		return &messenger.ClaimResult{State: messenger.ClaimResult_STATE_HELD}
	}
	return &messenger.ClaimResult{State: max(cla.afterHeld, messenger.ClaimResult_STATE_COMMITTED), Outcome: &messenger.Outcome{Status: http.StatusAccepted}}
}

func (cla *claimsStub) Settle(com *messenger.ClaimCommit) <-chan struct{} {
	cla.mu.Lock()
	defer cla.mu.Unlock()
	cla.settled = append(cla.settled, com.GetStep())
	return make(chan struct{})
}

func (cla *claimsStub) steps() []messenger.ClaimCommit_Step {
	cla.mu.Lock()
	defer cla.mu.Unlock()
	return append([]messenger.ClaimCommit_Step(nil), cla.settled...)
}

type singleEndpoint struct{ address string }

func (end singleEndpoint) Acquire(context.Context, placer.Request, parser.Pool) (Lease, error) {
	return Lease{Endpoint: "service-0", Address: end.address, Release: func() {}, Prefilled: func() {}}, nil
}

type admitAll struct{}

func (admitAll) Admit(placer.Request, parser.Team, parser.Pool, time.Time) (func(), *placer.Refuse) {
	return func() {}, nil
}

func newExecutor(address string, cla Claims) *Executor {
	return &Executor{
		Invoker: &invoker.Invoker{}, Allocator: singleEndpoint{address}, Admitter: admitAll{}, Claims: cla, Clock: time.Now,
		Scope: tally.NoopScope, Tracer: noop.NewTracerProvider().Tracer(""), MaxBodyBytes: 1 << 20,
	}
}

func serviceTables() *matcher.Matcher {
	return matcher.New(parser.Tables{
		Revision: 1,
		Routes:   []parser.Route{{Name: "bookings", Match: parser.Match{PathPrefix: "/bookings"}, Pool: "counter", TimeLimit: parser.Duration(callLimit)}},
		Pools:    []parser.Pool{{Name: "counter", Kind: parser.PoolService, Selector: parser.Selector{Service: "counter"}}},
		Teams:    []parser.Team{{Name: "clerks", KeyDigests: []string{parser.DigestKey(bearer)}}},
	})
}

func callOnce(ctx context.Context, exe *Executor, key string) *httptest.ResponseRecorder {
	req := httptest.NewRequestWithContext(ctx, http.MethodPost, "/bookings", strings.NewReader("slot"))
	req.Header.Set("Authorization", "Bearer "+bearer)
	if key != "" {
		req.Header.Set(receiver.KeyHeader, key)
	}
	rec := httptest.NewRecorder()
	exe.Call(ctx, rec, req, serviceTables())
	return rec
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// TestAnswersWithinTheLimit guards against answers after the time limit when the store
// or the service is slow.
func TestAnswersWithinTheLimit(t *testing.T) {
	tests := []struct {
		name    string
		hangs   bool
		key     string
		ran     invoker.Execution
		settled messenger.ClaimCommit_Step
	}{
		{"store hangs, generated key", true, "", invoker.NotRun, messenger.ClaimCommit_STEP_RELEASE},
		{"store hangs, caller's key", true, newKey(), invoker.Unknown, messenger.ClaimCommit_STEP_RELEASE},
		{"service is slow", false, newKey(), invoker.Unknown, messenger.ClaimCommit_STEP_FINISH},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ser := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(2 * callLimit) }))
			defer ser.Close()
			claims := &claimsStub{hangs: tt.hangs}
			exe := newExecutor(ser.Listener.Addr().String(), claims)
			start := time.Now()
			rec := callOnce(t.Context(), exe, tt.key)
			// The answer must not wait for the store or the service.
			require.Less(t, time.Since(start), 3*callLimit/2)
			require.Equal(t, string(tt.ran), rec.Header().Get(responder.RunHeader))
			require.Eventually(t, func() bool {
				return exe.CallsInProgress() == 0 && len(claims.steps()) == 1
			}, waitTimeout, time.Millisecond)
			require.Equal(t, []messenger.ClaimCommit_Step{tt.settled}, claims.steps())
		})
	}
}

// TestWaitsForHolder guards against a refusal of a repeat whose holder is about to end,
// and against an answer after the time limit.
func TestWaitsForHolder(t *testing.T) {
	tests := []struct {
		name   string
		held   int
		then   messenger.ClaimResult_State
		status int
		ran    invoker.Execution
	}{
		{"holder finishes", 1, messenger.ClaimResult_STATE_FINISHED, http.StatusAccepted, invoker.Ran},
		{"holder releases", 1, messenger.ClaimResult_STATE_COMMITTED, http.StatusOK, invoker.Ran},
		{"holder outlasts the time limit", math.MaxInt, 0, http.StatusConflict, invoker.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ser := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			defer ser.Close()
			start := time.Now()
			rec := callOnce(t.Context(), newExecutor(ser.Listener.Addr().String(), &claimsStub{held: tt.held, afterHeld: tt.then}), newKey())
			require.Less(t, time.Since(start), callLimit)
			require.Equal(t, tt.status, rec.Code)
			require.Equal(t, string(tt.ran), rec.Header().Get(responder.RunHeader))
		})
	}
}

// TestContinuesWithoutCaller guards against a call without a recorded outcome because
// its caller disconnected while the service was running the call.
func TestContinuesWithoutCaller(t *testing.T) {
	ctx, leave := context.WithCancel(t.Context())
	ser := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		leave()
		time.Sleep(callLimit / 4)
	}))
	defer ser.Close()
	claims := &claimsStub{}
	exe := newExecutor(ser.Listener.Addr().String(), claims)
	callOnce(ctx, exe, newKey())
	require.Equal(t, []messenger.ClaimCommit_Step{messenger.ClaimCommit_STEP_FINISH}, claims.steps())
}

// TestSendsOnce guards against a second send by net/http, which may repeat a request
// with an idempotency key when the service closes the connection without an answer.
func TestSendsOnce(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	var mu sync.Mutex
	requests := 0
	serve := func(con net.Conn, answers int) {
		defer con.Close()
		buf := make([]byte, 64<<10)
		for {
			if _, err := con.Read(buf); err != nil {
				return
			}
			mu.Lock()
			requests++
			mu.Unlock()
			if answers--; answers < 0 {
				return
			}
			_, _ = con.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		}
	}
	go func() {
		for {
			con, err := listener.Accept()
			if err != nil {
				return
			}
			// The first call on each connection is answered, the second is not.
			go serve(con, 1)
		}
	}()
	exe := newExecutor(listener.Addr().String(), &claimsStub{})
	const calls = 4
	for range calls {
		callOnce(t.Context(), exe, newKey())
	}
	mu.Lock()
	defer mu.Unlock()
	require.Equal(t, calls, requests)
}

// TestRefusesUnclaimed checks that a refused call that was not claimed is not reported
// as not run if the caller supplied the key: an earlier call may have used the key.
func TestRefusesUnclaimed(t *testing.T) {
	exe := newExecutor("127.0.0.1:1", &claimsStub{})
	exe.MaxBodyBytes = 1
	require.Equal(t, string(invoker.Unknown), callOnce(t.Context(), exe, newKey()).Header().Get(responder.RunHeader))
	require.Equal(t, string(invoker.NotRun), callOnce(t.Context(), exe, "").Header().Get(responder.RunHeader))
}
