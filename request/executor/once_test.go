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
	bearer    = "key-clerks"
	callLimit = 400 * time.Millisecond
	patience  = 5 * time.Second
)

// heldClaims commits claims at once, or never, and notes what is settled.
type heldClaims struct {
	hangs bool
	// held is the number of claims that find the key held by another call.
	held int
	// then is the result of those that follow; 0 stands for committed.
	then messenger.ClaimResult_State

	mu      sync.Mutex
	settled []messenger.ClaimCommit_Step
}

func (hel *heldClaims) Commit(ctx context.Context, _ *messenger.ClaimCommit) *messenger.ClaimResult {
	if hel.hangs {
		<-ctx.Done()
		return &messenger.ClaimResult{}
	}
	hel.mu.Lock()
	defer hel.mu.Unlock()
	if hel.held--; hel.held >= 0 {
		return &messenger.ClaimResult{State: messenger.ClaimResult_STATE_HELD}
	}
	return &messenger.ClaimResult{State: max(hel.then, messenger.ClaimResult_STATE_COMMITTED), Outcome: &messenger.Outcome{Status: http.StatusAccepted}}
}

func (hel *heldClaims) Settle(com *messenger.ClaimCommit) <-chan struct{} {
	hel.mu.Lock()
	defer hel.mu.Unlock()
	hel.settled = append(hel.settled, com.GetStep())
	return make(chan struct{})
}

func (hel *heldClaims) steps() []messenger.ClaimCommit_Step {
	hel.mu.Lock()
	defer hel.mu.Unlock()
	return append([]messenger.ClaimCommit_Step(nil), hel.settled...)
}

type oneEndpoint struct{ address string }

func (one oneEndpoint) Acquire(context.Context, placer.Request, parser.Pool) (Lease, error) {
	return Lease{Endpoint: "service-0", Address: one.address, Release: func() {}, Prefilled: func() {}}, nil
}

type openDoor struct{}

func (openDoor) Admit(placer.Request, parser.Team, parser.Pool, time.Time) (func(), *placer.Refuse) {
	return func() {}, nil
}

func newExecutor(address string, cla Claims) *Executor {
	return &Executor{
		Invoker: &invoker.Invoker{}, Allocator: oneEndpoint{address}, Admitter: openDoor{}, Claims: cla, Clock: time.Now,
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

// TestAnswersWithinTheLimit has a store and a service that take longer than the
// time limit.
func TestAnswersWithinTheLimit(t *testing.T) {
	tests := []struct {
		name    string
		hangs   bool
		key     string
		ran     invoker.Execution
		settled messenger.ClaimCommit_Step
	}{
		{"store hangs, made key", true, "", invoker.NotRun, messenger.ClaimCommit_STEP_RELEASE},
		{"store hangs, own key", true, newKey(), invoker.Unknown, messenger.ClaimCommit_STEP_RELEASE},
		{"service is slow", false, newKey(), invoker.Unknown, messenger.ClaimCommit_STEP_FINISH},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ser := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(2 * callLimit) }))
			defer ser.Close()
			hel := &heldClaims{hangs: tt.hangs}
			exe := newExecutor(ser.Listener.Addr().String(), hel)
			beg := time.Now()
			rec := callOnce(t.Context(), exe, tt.key)
			// The answer must not wait for the store or the service.
			require.Less(t, time.Since(beg), 3*callLimit/2)
			require.Equal(t, string(tt.ran), rec.Header().Get(responder.RunHeader))
			require.Eventually(t, func() bool {
				return exe.CallsInProgress() == 0 && len(hel.steps()) == 1
			}, patience, time.Millisecond)
			require.Equal(t, []messenger.ClaimCommit_Step{tt.settled}, hel.steps())
		})
	}
}

// TestWaitsForHolder has a key that another call holds for a while, or beyond
// the time limit.
func TestWaitsForHolder(t *testing.T) {
	tests := []struct {
		name   string
		held   int
		then   messenger.ClaimResult_State
		status int
		ran    invoker.Execution
	}{
		{"holder finishes", 1, messenger.ClaimResult_STATE_FINISHED, http.StatusAccepted, invoker.Ran},
		{"holder gives back", 1, messenger.ClaimResult_STATE_COMMITTED, http.StatusOK, invoker.Ran},
		{"holder goes on", math.MaxInt, 0, http.StatusConflict, invoker.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ser := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			defer ser.Close()
			beg := time.Now()
			rec := callOnce(t.Context(), newExecutor(ser.Listener.Addr().String(), &heldClaims{held: tt.held, then: tt.then}), newKey())
			require.Less(t, time.Since(beg), callLimit)
			require.Equal(t, tt.status, rec.Code)
			require.Equal(t, string(tt.ran), rec.Header().Get(responder.RunHeader))
		})
	}
}

// TestGoesOnWithoutCaller has a caller that leaves while the service works.
func TestGoesOnWithoutCaller(t *testing.T) {
	ctx, leave := context.WithCancel(t.Context())
	ser := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		leave()
		time.Sleep(callLimit / 4)
	}))
	defer ser.Close()
	hel := &heldClaims{}
	exe := newExecutor(ser.Listener.Addr().String(), hel)
	callOnce(ctx, exe, newKey())
	require.Equal(t, []messenger.ClaimCommit_Step{messenger.ClaimCommit_STEP_FINISH}, hel.steps())
}

// TestSendsOnce has a service that reads a call and closes the connection, upon
// which net/http may send a request with an idempotency key again.
func TestSendsOnce(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer lis.Close()
	var mu sync.Mutex
	got := 0
	serve := func(con net.Conn, answers int) {
		defer con.Close()
		buf := make([]byte, 64<<10)
		for {
			if _, err := con.Read(buf); err != nil {
				return
			}
			mu.Lock()
			got++
			mu.Unlock()
			if answers--; answers < 0 {
				return
			}
			_, _ = con.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		}
	}
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			// The first call on each connection is answered, the second is not.
			go serve(con, 1)
		}
	}()
	exe := newExecutor(lis.Addr().String(), &heldClaims{})
	const calls = 4
	for range calls {
		callOnce(t.Context(), exe, newKey())
	}
	mu.Lock()
	defer mu.Unlock()
	require.Equal(t, calls, got)
}

// TestRefusesUnclaimed has an own key refused before its claim was looked at:
// an earlier call may have used it.
func TestRefusesUnclaimed(t *testing.T) {
	exe := newExecutor("127.0.0.1:1", &heldClaims{})
	exe.MaxBodyBytes = 1
	require.Equal(t, string(invoker.Unknown), callOnce(t.Context(), exe, newKey()).Header().Get(responder.RunHeader))
	require.Equal(t, string(invoker.NotRun), callOnce(t.Context(), exe, "").Header().Get(responder.RunHeader))
}
