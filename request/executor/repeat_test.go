package executor

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/budgeter"
	"hemlockpin/request/placer"
	"hemlockpin/standin/booker"
	"hemlockpin/version/matcher"
	"hemlockpin/version/parser"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// roundRobin leases the endpoints in turn, except the excluded ones.
type roundRobin struct {
	addresses []string
	next      atomic.Int64
	open      atomic.Int64
}

func (rob *roundRobin) Acquire(_ context.Context, req placer.Request, _ parser.Pool) (Lease, error) {
	for range rob.addresses {
		address := rob.addresses[int(rob.next.Add(1))%len(rob.addresses)]
		if !slices.Contains(req.Excluded, address) {
			rob.open.Add(1)
			return Lease{Endpoint: address, Address: address, Release: func() { rob.open.Add(-1) }, Prefilled: func() {}}, nil
		}
	}
	return Lease{}, &RefusedError{Refuse: placer.Refuse{Code: "no_endpoint"}}
}

// startSlowService starts a service that delays each call whose number is a multiple of
// every.
func startSlowService(tb testing.TB, every int64, slow time.Duration) (string, *atomic.Int64) {
	tb.Helper()
	var count atomic.Int64
	handler := booker.New(booker.Settings{}).Handler()
	ser := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if count.Add(1)%every == 0 {
			time.Sleep(slow)
		}
		handler.ServeHTTP(wri, req)
	}))
	tb.Cleanup(ser.Close)
	return ser.Listener.Addr().String(), &count
}

func tablesOf(repeatable bool) *matcher.Matcher {
	return matcher.New(parser.Tables{
		Revision: 1,
		Routes:   []parser.Route{{Name: "slots", Match: parser.Match{PathPrefix: "/"}, Pool: "counter", TimeLimit: parser.Duration(waitTimeout), Repeatable: repeatable}},
		Pools:    []parser.Pool{{Name: "counter", Kind: parser.PoolService, Selector: parser.Selector{Service: "counter"}}},
		Teams:    []parser.Team{{Name: "clerks", KeyDigests: []string{parser.DigestKey(bearer)}}},
	})
}

func callSlots(exe *Executor, mat *matcher.Matcher) *httptest.ResponseRecorder {
	req := httptest.NewRequestWithContext(context.Background(), http.MethodGet, "/slots", http.NoBody)
	req.Header.Set("Authorization", "Bearer "+bearer)
	rec := httptest.NewRecorder()
	exe.Call(context.Background(), rec, req, mat)
	return rec
}

// TestHedges guards against hedges beyond the budget, and against a second run of calls
// that are not repeatable. Each of the two services delays some calls.
func TestHedges(t *testing.T) {
	for _, tt := range []struct {
		repeatable bool
		calls      int64
		most       float64
	}{
		{true, 400, budgeter.Burst/2 + budgeter.Share*400},
		{false, 50, 0},
	} {
		t.Run(fmt.Sprint(tt.repeatable), func(t *testing.T) {
			address, count := startSlowService(t, 25, 20*time.Millisecond)
			otherAddress, otherCount := startSlowService(t, 39, 20*time.Millisecond)
			alloc := &roundRobin{addresses: []string{address, otherAddress}}
			exe := newExecutor("", &claimsStub{})
			exe.Allocator = alloc
			scope := tally.NewTestScope("", nil)
			exe.Scope = scope
			start := time.Now()
			for range tt.calls {
				require.Equal(t, string(invoker.Ran), callSlots(exe, tablesOf(tt.repeatable)).Header().Get("Hemlockpin-Run"))
			}
			extra := float64(count.Load() + otherCount.Load() - tt.calls)
			require.LessOrEqual(t, extra, tt.most+budgeter.FloorRate*time.Since(start).Seconds())
			require.Eventually(t, func() bool { return alloc.open.Load() == 0 }, waitTimeout, time.Millisecond)
			if tt.repeatable {
				require.Positive(t, scope.Snapshot().Counters()["hedges_won+"].Value())
			}
		})
	}
}

// BenchmarkHedge delays one call in fifty by 200 ms, with hedges and with an exhausted
// budget.
func BenchmarkHedge(b *testing.B) {
	for _, spent := range []bool{false, true} {
		b.Run(fmt.Sprintf("spent=%t", spent), func(b *testing.B) {
			alloc := &roundRobin{}
			for range 3 {
				address, _ := startSlowService(b, 50, 200*time.Millisecond)
				alloc.addresses = append(alloc.addresses, address)
			}
			exe := newExecutor("", &claimsStub{})
			exe.Allocator = alloc
			mat := tablesOf(true)
			var durations []time.Duration
			for b.Loop() {
				for spent && exe.RetryBudget.Take(time.Now()) {
				}
				start := time.Now()
				callSlots(exe, mat)
				durations = append(durations, time.Since(start))
			}
			slices.Sort(durations)
			b.ReportMetric(durations[len(durations)*95/100].Seconds()*1000, "p95-ms")
			b.ReportMetric(durations[len(durations)*99/100].Seconds()*1000, "p99-ms")
		})
	}
}
